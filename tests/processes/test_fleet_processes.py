"""Fleet membership among real processes, with network and process faults."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from fleet_daemons import ROOT, FleetProcesses

ProcessFactory = Callable[..., FleetProcesses]


@pytest.fixture
def new_fleet(tmp_path: Path) -> Iterator[ProcessFactory]:
    started: list[FleetProcesses] = []

    def start_fleet(*args: object, **kwargs: object) -> FleetProcesses:
        started.append(FleetProcesses(tmp_path, *args, **kwargs))  # type: ignore[arg-type]
        return started[-1]

    yield start_fleet
    for fleet in started:
        fleet.close()


def test_all_join_through_one_member_and_a_killed_one_is_removed_and_can_rejoin(
    new_fleet: ProcessFactory,
) -> None:
    fleet = new_fleet(4, known=lambda number: [0, 1] if number < 2 else [0])
    fleet.until_settled(4)
    fleet.skip_log()
    fleet.kill(2)
    fleet.until_settled(3)
    assert any("n2 is declared dead" in each for each in fleet.fleet_lines(0))
    fleet.skip_log()
    fleet.start(2)
    fleet.until_settled(4)
    assert not any("dead" in each for number in range(4) for each in fleet.fleet_lines(number))


def test_a_member_that_receives_sigterm_leaves_and_is_never_declared_dead(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(3)
    fleet.until_settled(3)
    fleet.skip_log()
    fleet.signal(1, signal.SIGTERM)
    assert fleet.running.pop(1).wait(10) == 0
    fleet.until_settled(2)
    for number in (0, 2):
        assert "n1 has left" in fleet.fleet_lines(number)
        assert not any("dead" in each for each in fleet.fleet_lines(number))


def test_each_side_of_a_partition_settles_and_all_agree_once_it_heals(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(4)
    fleet.until_settled(4)
    fleet.skip_log()
    fleet.relay.cut(0, 1)
    fleet.until_settled(2)
    fleet.skip_log()
    fleet.relay.heal()
    fleet.until_settled(4)


def test_a_stopped_member_declares_nobody_dead_when_it_resumes(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(4)
    fleet.until_settled(4)
    fleet.signal(3, signal.SIGSTOP)
    time.sleep(2.0)  # the time it is stopped
    fleet.signal(3, signal.SIGCONT)
    time.sleep(1.0)
    fleet.until_settled(4)  # by each last log line, whether or not the stop was noticed
    assert not any("dead" in each for each in fleet.fleet_lines(3))


def test_a_fleet_settles_while_three_in_ten_datagrams_are_lost(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(4)
    fleet.relay.lose(0.3, seed=5)
    fleet.until_settled(4)


def test_keys_are_rotated_by_reloads_and_other_keys_are_rejected(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(3)
    fleet.until_settled(3)
    fleet.kill(2)
    fleet.write_keys(7, of=2)
    fleet.until_settled(2)
    fleet.start(2)
    for numbers in ((1, 2), (2, 1), (2,)):
        fleet.write_keys(*numbers, of=0)
        fleet.write_keys(*numbers, of=1)
        for number in (0, 1):
            fleet.signal(number, signal.SIGHUP)
        time.sleep(0.7)
    fleet.skip_log()
    fleet.write_keys(2, of=2)
    fleet.signal(2, signal.SIGHUP)
    fleet.until_settled(3)
    assert "02" * 32 not in "".join(fleet.log(number).read_text() for number in range(3))


def test_replayed_datagrams_change_nothing(new_fleet: ProcessFactory) -> None:
    fleet = new_fleet(3)
    fleet.until_settled(3)
    replayed = list(fleet.relay.recorded)
    fleet.kill(2)
    fleet.until_settled(2)
    fleet.skip_log()
    for target, data in replayed * 3:
        fleet.relay.send(target, data)
    time.sleep(1.0)
    assert not any("n2" in each for number in (0, 1) for each in fleet.fleet_lines(number))


def test_without_the_fleet_setting_no_fleet_module_is_loaded() -> None:
    probe = "import sys, micadeck.daemon; print([each for each in sys.modules if 'micadeck.fleet' in each])"
    result = subprocess.run(
        [sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
