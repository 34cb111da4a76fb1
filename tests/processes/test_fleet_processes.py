"""Membership among real processes, with faults between them."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from fleet_daemons import ROOT, Daemons

Make = Callable[..., Daemons]


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    made: list[Daemons] = []

    def one(*given: object, **how: object) -> Daemons:
        made.append(Daemons(tmp_path, *given, **how))  # type: ignore[arg-type]
        return made[-1]

    yield one
    for each in made:
        each.close()


def test_all_join_through_one_and_a_killed_member_is_removed_and_back_under_its_name(make: Make) -> None:
    daemons = make(4, known=lambda number: [0, 1] if number < 2 else [0])
    daemons.until_settled(4)
    daemons.mark()
    daemons.kill(2)
    daemons.until_settled(3)
    assert any("n2 is declared dead" in each for each in daemons.fleet_lines(0))
    daemons.mark()
    daemons.start(2)
    daemons.until_settled(4)
    assert not any("dead" in each for number in range(4) for each in daemons.fleet_lines(number))


def test_a_member_that_gets_sigterm_leaves_and_is_never_declared_dead(make: Make) -> None:
    daemons = make(3)
    daemons.until_settled(3)
    daemons.mark()
    daemons.signal(1, signal.SIGTERM)
    assert daemons.running.pop(1).wait(10) == 0
    daemons.until_settled(2)
    for number in (0, 2):
        assert "n1 has left" in daemons.fleet_lines(number)
        assert not any("dead" in each for each in daemons.fleet_lines(number))


def test_each_side_of_a_partition_settles_and_all_agree_once_it_heals(make: Make) -> None:
    daemons = make(4)
    daemons.until_settled(4)
    daemons.mark()
    daemons.relay.cut(0, 1)
    daemons.until_settled(2)
    daemons.mark()
    daemons.relay.heal()
    daemons.until_settled(4)


def test_a_stopped_member_declares_nobody_dead_when_it_resumes(make: Make) -> None:
    daemons = make(4)
    daemons.until_settled(4)
    daemons.signal(3, signal.SIGSTOP)
    time.sleep(2.0)  # how long it is stopped
    daemons.signal(3, signal.SIGCONT)
    time.sleep(1.0)
    daemons.until_settled(4)  # by the last line of each, whether or not it noticed
    assert not any("dead" in each for each in daemons.fleet_lines(3))


def test_a_fleet_settles_while_three_in_ten_datagrams_are_lost(make: Make) -> None:
    daemons = make(4)
    daemons.relay.lossy(0.3, seed=5)
    daemons.until_settled(4)


def test_keys_are_rotated_by_reloads_and_other_keys_are_rejected(make: Make) -> None:
    daemons = make(3)
    daemons.until_settled(3)
    daemons.kill(2)
    daemons.keys(7, of=2)
    daemons.until_settled(2)
    daemons.start(2)
    for numbers in ((1, 2), (2, 1), (2,)):
        daemons.keys(*numbers, of=0)
        daemons.keys(*numbers, of=1)
        for number in (0, 1):
            daemons.signal(number, signal.SIGHUP)
        time.sleep(0.7)
    daemons.mark()
    daemons.keys(2, of=2)
    daemons.signal(2, signal.SIGHUP)
    daemons.until_settled(3)
    assert "02" * 32 not in "".join(daemons.log(number).read_text() for number in range(3))


def test_replayed_datagrams_change_nothing(make: Make) -> None:
    daemons = make(3)
    daemons.until_settled(3)
    old = list(daemons.relay.recorded)
    daemons.kill(2)
    daemons.until_settled(2)
    daemons.mark()
    for target, data in old * 3:
        daemons.relay.send(target, data)
    time.sleep(1.0)
    assert not any("n2" in each for number in (0, 1) for each in daemons.fleet_lines(number))


def test_without_the_key_nothing_of_the_fleet_is_loaded() -> None:
    probe = "import sys, micadeck.daemon; print([each for each in sys.modules if 'micadeck.fleet' in each])"
    result = subprocess.run(
        [sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
