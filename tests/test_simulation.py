"""The virtual clock and network, the oracles, and simulated days."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from broken_builds import MUTANTS
from click.testing import CliRunner

from micadeck.simulation.__main__ import main
from micadeck.simulation.loop import Exhausted, Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.scenario import Fault, Kind, Scenario, draw, orders, read, write
from micadeck.simulation.seed_sweep import MUST_OCCUR, Tally, play_many
from micadeck.simulation.shrink import shrink
from micadeck.simulation.simulated_day import play
from micadeck.simulation.streams import VirtualTransport
from micadeck.simulation.wire import Machine, VirtualListener, Wire

ROOT = Path(__file__).parent.parent
SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.toml"))
SEEDS = (200, 290)  # swept in every test run
MUTANT_SEEDS = 100  # one of them at least has to find each mutant


def make_loop(seed: int = 1) -> VirtualLoop:
    return VirtualLoop(seed)  # type: ignore[abstract]  # like asyncio's own loops


# The event loop


def test_the_clock_advances_only_when_no_callback_is_ready() -> None:
    loop = make_loop()
    events: list[tuple[str, float]] = []

    async def work() -> None:
        async def spin() -> None:
            for _ in range(50):
                await asyncio.sleep(0)
            events.append(("spun", loop.time()))

        task = loop.create_task(spin())
        await asyncio.sleep(3600.0)
        events.append(("slept", loop.time()))
        await task
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5.0):
                await loop.create_future()

    loop.run_until_complete(work())
    assert events == [("spun", 0.0), ("slept", 3600.0)]
    assert loop.time() == 3605.0


def test_timers_due_at_one_instant_run_in_an_order_drawn_from_the_seed() -> None:
    def order(seed: int) -> str:
        loop = make_loop(seed)
        events: list[str] = []

        async def work() -> None:
            for name in "abcd":
                loop.call_later(1.0, events.append, name)
            for name in "xyz":
                loop.call_soon(events.append, name)
            await asyncio.sleep(2.0)

        loop.run_until_complete(work())
        return "".join(events)

    orders_seen = [order(seed) for seed in range(40)]
    assert orders_seen == [order(seed) for seed in range(40)]
    assert {names[:3] for names in orders_seen} == {"xyz"}  # call_soon keeps its order
    assert len({names[3:] for names in orders_seen}) > 10


def test_cpu_cost_serializes_the_callbacks_of_one_host_and_delays_no_other() -> None:
    loop = make_loop()
    events: list[tuple[str, int]] = []
    slow, quick = Host("slow", cost_us=1_000), Host("quick")

    async def work() -> None:
        for _ in range(3):
            loop.call_after_us(10, lambda: events.append(("slow", loop.now_us)), host=slow)
            loop.call_after_us(10, lambda: events.append(("quick", loop.now_us)), host=quick)
        await asyncio.sleep(1.0)

    loop.run_until_complete(work())
    assert sorted(at for name, at in events if name == "quick") == [10, 10, 10]
    assert [round(at, -2) for name, at in events if name == "slow"] == [0, 1_000, 2_000]


def test_a_killed_hosts_callbacks_never_run() -> None:
    loop, host = make_loop(), Host("h")
    events: list[int] = []

    async def work() -> None:
        loop.call_after_us(10, events.append, 1, host=host)
        host.is_dead = True
        await asyncio.sleep(1.0)

    loop.run_until_complete(work())
    assert events == []


def test_an_endless_chain_of_callbacks_raises_exhausted() -> None:
    loop = VirtualLoop(1, max_steps=1_000)  # type: ignore[abstract]

    def reschedule() -> None:
        loop.call_soon(reschedule)

    async def work() -> None:
        reschedule()
        await asyncio.sleep(1.0)

    with pytest.raises(Exhausted):
        loop.run_until_complete(work())


# Streams, with the behaviour of real sockets


class RecordingProtocol(asyncio.Protocol):
    """Records the events of one end."""

    def __init__(self, keeps_open: bool = False) -> None:
        self.events: list[str] = []
        self.data = b""
        self.keeps_open = keeps_open
        self.transport: VirtualTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.events.append("eof")
        return self.keeps_open

    def pause_writing(self) -> None:
        self.events.append("pause")

    def resume_writing(self) -> None:
        self.events.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.events.append("lost" if exc is None else "reset")


class Pair:
    """Two machines; `there` listens."""

    address = ("10.9.0.2", 80)

    def __init__(self, backlog: int = 16, max_descriptors: int = 100, keeps_open: bool = False) -> None:
        self.loop = make_loop()
        self.wire = Wire(self.loop, random.Random(1))
        self.here = self.wire.machine(Host("here"), "10.9.0.1", max_descriptors)
        self.there = self.wire.machine(Host("there"), "10.9.0.2")
        self.accepted: list[RecordingProtocol] = []
        self.listener = VirtualListener(self.there, self._accept, self.address, 8, backlog)
        self._keeps_open = keeps_open

    def _accept(self) -> RecordingProtocol:
        self.accepted.append(RecordingProtocol(self._keeps_open))
        return self.accepted[-1]

    async def open(self, machine: Machine | None = None) -> tuple[RecordingProtocol, RecordingProtocol]:
        near: RecordingProtocol = await (machine or self.here).dial(RecordingProtocol, self.address)
        await asyncio.sleep(0.01)
        return near, self.accepted[-1]


def run_on_pair(work: Callable[[Pair], Awaitable[None]], **options: Any) -> None:
    pair = Pair(**options)

    async def run() -> None:
        async with asyncio.timeout(60.0):
            await work(pair)

    pair.loop.run_until_complete(run())
    assert pair.loop.unhandled_errors == []


def test_split_writes_arrive_complete_and_in_order() -> None:
    async def work(pair: Pair) -> None:
        pair.wire.conditions.split_rate, pair.wire.conditions.window_bytes = 0.9, 500
        near, far = await pair.open()
        sent = random.Random(2).randbytes(50_000)
        for start in range(0, len(sent), 7_000):
            near.transport.write(sent[start : start + 7_000])
        await asyncio.sleep(5.0)
        assert far.data == sent

    run_on_pair(work)


def test_a_reader_that_pauses_fills_the_window_and_pauses_the_writer() -> None:
    async def work(pair: Pair) -> None:
        pair.wire.conditions.window_bytes = 1_000
        near, far = await pair.open()
        near.transport.set_write_buffer_limits(high=0)
        far.transport.pause_reading()
        near.transport.write(b"x" * 5_000)
        await asyncio.sleep(1.0)
        assert near.events == ["pause"] and far.data == b""
        assert near.transport.get_write_buffer_size() == 4_000
        far.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert near.events == ["pause", "resume"] and len(far.data) == 5_000

    run_on_pair(work)


def test_a_half_closed_stream_still_carries_the_other_direction() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        near.transport.write(b"ask")
        near.transport.write_eof()
        await asyncio.sleep(0.1)
        assert far.events == ["eof"] and far.data == b"ask"
        far.transport.write(b"answer")
        await asyncio.sleep(0.1)
        assert near.data == b"answer"
        far.transport.close()
        await asyncio.sleep(0.1)
        assert near.events == ["eof", "lost"] and far.events == ["eof", "lost"]

    run_on_pair(work, keeps_open=True)


def test_closing_with_unread_bytes_resets_the_other_end() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        far.transport.pause_reading()
        near.transport.write(b"never read")
        await asyncio.sleep(0.1)
        assert far.transport.has_unread()
        far.transport.close()
        await asyncio.sleep(0.1)
        assert near.events == ["reset"]

    run_on_pair(work)


def test_a_write_that_crosses_a_close_is_reset() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        far.transport.close()
        near.transport.write(b"crossing")
        await asyncio.sleep(0.1)
        assert far.data == b""
        assert near.events[-1] in ("lost", "reset")

    run_on_pair(work)


def test_an_end_that_shut_down_receives_nothing_more() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        near.transport.shutdown()
        far.transport.write(b"too late")
        await asyncio.sleep(0.1)
        assert near.data == b""
        near.transport.abort()
        await asyncio.sleep(0.1)
        assert near.events == ["lost"]

    run_on_pair(work)


def test_dials_are_refused_time_out_in_a_partition_or_lack_descriptors() -> None:
    async def work(pair: Pair) -> None:
        with pytest.raises(ConnectionRefusedError):
            await pair.here.dial(RecordingProtocol, ("10.9.0.2", 81))
        pair.wire.cut("here", "there")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await pair.open()
        pair.wire.heal("here", "there")
        near, _ = await pair.open()
        pair.here.max_descriptors = 1
        with pytest.raises(OSError, match="too many open files"):
            await pair.open()
        near.transport.close()
        await asyncio.sleep(0.1)
        await pair.open()

    run_on_pair(work)


def test_a_full_backlog_drops_dials_until_the_syn_is_resent() -> None:
    async def work(pair: Pair) -> None:
        pair.there.max_descriptors = 0  # no descriptor to accept with
        dials = [asyncio.ensure_future(pair.here.dial(RecordingProtocol, pair.address)) for _ in range(4)]
        await asyncio.sleep(0.5)
        assert [dial.done() for dial in dials].count(True) == 2  # their connections are in the backlog
        pair.there.max_descriptors = 100
        pair.there.descriptor_freed()
        await asyncio.sleep(1.0)
        assert all(dial.done() for dial in dials) and len(pair.accepted) == 4

    run_on_pair(work, backlog=2)


def test_bytes_stopped_by_a_partition_arrive_after_it_heals() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        pair.wire.cut("here", "there")
        near.transport.write(b"late")
        far.transport.write(b"at once")
        await asyncio.sleep(1.0)
        assert far.data == b"" and near.data == b"at once"
        pair.wire.heal("here", "there")
        await asyncio.sleep(0.1)
        assert far.data == b"late"

    run_on_pair(work)


def test_a_stream_is_reset_at_the_given_byte() -> None:
    async def work(pair: Pair) -> None:
        for at in (1, 5, 9, 10):
            near, far = await pair.open()
            near.transport.outbound.reset_at = at
            near.transport.write(b"0123456789")
            await asyncio.sleep(0.1)
            assert near.events == ["reset"] and far.events == ["reset"]
            assert far.data in (b"", b"0123456789"[:at])

    run_on_pair(work)


def test_datagrams_are_lost_duplicated_and_delayed() -> None:
    class DatagramRecorder(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: list[bytes] = []
            self.transport: Any = None

        def connection_made(self, transport: Any) -> None:
            self.transport = transport

        def datagram_received(self, data: bytes, addr: Any) -> None:
            self.received.append(data)

    async def work(pair: Pair) -> None:
        here, there = DatagramRecorder(), DatagramRecorder()
        await VirtualNetwork(pair.here).datagrams(lambda: here, ("10.9.0.1", 9))
        await VirtualNetwork(pair.there).datagrams(lambda: there, ("10.9.0.2", 9))
        conditions = pair.wire.conditions
        conditions.loss_rate, conditions.duplicate_rate, conditions.extra_delay_us = 0.3, 0.3, 10_000
        sent = [bytes([number]) for number in range(200)]
        for datagram in sent:
            here.transport.sendto(datagram, ("10.9.0.2", 9))
        await asyncio.sleep(1.0)
        received = there.received
        assert 20 < len(set(sent) - set(received)) < 80  # some are lost
        assert len(received) > len(set(received))  # some are duplicated
        assert received != sorted(received)  # and some are reordered

    run_on_pair(work)


# Simulated days


@pytest.fixture(scope="module")
def days() -> Tally:
    return play_many(*SEEDS, jobs=1)


def test_no_oracle_reports_a_violation_in_a_seed_sweep(days: Tally) -> None:
    assert [f"seed {failure.seed}: {failure.first}" for failure in days.failures] == []


def test_a_seed_sweep_covers_every_event_and_no_day_is_empty(days: Tally) -> None:
    assert days.empty == []
    assert [key for key in MUST_OCCUR if not days.counts[key]] == []


def test_a_seed_gives_the_same_trace_hash_in_any_process(days: Tally) -> None:
    first, last = SEEDS[0], SEEDS[0] + 8
    probe = (
        "import sys; from micadeck.simulation.seed_sweep import play_many\n"
        f"if __name__ == '__main__': print(sorted(play_many({first}, {last}, jobs=1).digests.items()))"
    )
    expected = str(sorted((seed, days.digests[seed]) for seed in range(first, last)))
    for salt in ("0", "4711"):
        environ = {**os.environ, "PYTHONHASHSEED": salt}
        completed = subprocess.run(
            [sys.executable, "-c", probe], cwd=ROOT, env=environ, capture_output=True, text=True, check=True
        )
        assert completed.stdout.strip() == expected
    parallel = play_many(first, last, jobs=8)
    assert str(sorted(parallel.digests.items())) == expected


@pytest.mark.parametrize("name", MUTANTS)
def test_the_oracles_find_each_mutant(name: str) -> None:
    mutant, rules = MUTANTS[name]
    with mutant():
        assert any(rules & {*play(draw(seed)).rules} for seed in range(MUTANT_SEEDS))


@pytest.mark.parametrize("file", SCENARIOS, ids=lambda file: file.stem)
def test_a_scenario_file_violates_what_it_expects(file: Path) -> None:
    day = read(file)
    assert play(day).rules == list(day.expect)


def test_shrinking_keeps_the_violation() -> None:
    mutant, _ = MUTANTS["what may have run is refused"]
    with mutant():
        seed = next(s for s in range(MUTANT_SEEDS) if "a refusal is harmless" in play(draw(s)).rules)

        def fails(day: Scenario) -> bool:
            return "a refusal is harmless" in play(day).rules

        shrunk = shrink(draw(seed), fails, max_runs=150)
        assert fails(shrunk)
    assert len(shrunk.faults) <= 2 and len(orders(shrunk)) <= 3
    assert play(shrunk).violations == []


def test_leaving_orders_out_does_not_change_the_others() -> None:
    day = draw(5)
    subset = msgspec.structs.replace(day, only=(3, 7, 20))
    assert orders(subset) == [order for order in orders(day) if order.number in (3, 7, 20)]


# The commands


def test_a_scenario_file_round_trips(tmp_path: Path) -> None:
    for seed in range(20):
        file = tmp_path / f"{seed}.toml"
        write(draw(seed), file)
        assert read(file) == draw(seed)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("seed = 1\nservres = 4\n", "servres"),
        ('seed = 1\n[[faults]]\nat_s = 1.0\nkind = "quake"\n', "quake"),
        ("servers = 3\n", "seed"),
        ("seed = [\n", "end of document"),
        ('seed = 1\nrate = "many"\n', "rate"),
    ],
)
def test_the_error_for_an_invalid_scenario_names_the_key(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "day.toml"
    file.write_text(text)
    result = CliRunner().invoke(main, ["scenario", str(file)])
    assert result.exit_code == 1 and named in result.output


def test_run_and_replay_print_traces_failures_and_their_seeds(tmp_path: Path) -> None:
    run = CliRunner().invoke(main, ["run", "--seeds", "200:204", "--jobs", "1"])
    assert run.exit_code == 0 and "4 days in" in run.output and "0 days broke a rule" in run.output
    trace_file = tmp_path / "trace"
    first = CliRunner().invoke(main, ["replay", "200", "--trace", str(trace_file)])
    second = CliRunner().invoke(main, ["replay", "200"])
    assert first.exit_code == 0 and trace_file.read_text() in second.output
    assert play(draw(200)).digest in first.output
    mutant, _ = MUTANTS["a failure is not answered"]
    with mutant():
        broken = CliRunner().invoke(main, ["run", "--seeds", "0:25", "--jobs", "1"])
    assert broken.exit_code == 1 and "python -m micadeck.simulation replay" in broken.output
    assert CliRunner().invoke(main, ["run", "--seeds", "4:4"]).exit_code == 2


def test_every_kind_of_fault_is_injected() -> None:
    day = Scenario(1, faults=tuple(Fault(1.0, kind, 0.3, amount=4.0) for kind in Kind))
    result = play(day)
    assert {f"fault {kind.value}" for kind in Kind} <= result.counts.keys()
