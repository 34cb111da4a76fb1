"""The virtual clock and network, the oracles, and whole days under faults."""

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
SEEDS = (200, 290)  # of every run of the tests
AMONG = 100  # seeds in which each broken build has to be found


def loop_of(seed: int = 1) -> VirtualLoop:
    return VirtualLoop(seed)  # type: ignore[abstract]  # as asyncio's own


# The loop


def test_time_moves_only_when_nothing_is_runnable() -> None:
    loop = loop_of()
    seen: list[tuple[str, float]] = []

    async def work() -> None:
        async def spin() -> None:
            for _ in range(50):
                await asyncio.sleep(0)
            seen.append(("spun", loop.time()))

        task = loop.create_task(spin())
        await asyncio.sleep(3600.0)
        seen.append(("slept", loop.time()))
        await task
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(5.0):
                await loop.create_future()

    loop.run_until_complete(work())
    assert seen == [("spun", 0.0), ("slept", 3600.0)]
    assert loop.time() == 3605.0


def test_what_is_due_at_one_instant_runs_in_an_order_drawn_from_the_seed() -> None:
    def order(seed: int) -> str:
        loop = loop_of(seed)
        seen: list[str] = []

        async def work() -> None:
            for name in "abcd":
                loop.call_later(1.0, seen.append, name)
            for name in "xyz":
                loop.call_soon(seen.append, name)
            await asyncio.sleep(2.0)

        loop.run_until_complete(work())
        return "".join(seen)

    told = [order(seed) for seed in range(40)]
    assert told == [order(seed) for seed in range(40)]
    assert {each[:3] for each in told} == {"xyz"}  # soon is soon, in order
    assert len({each[3:] for each in told}) > 10


def test_a_host_runs_one_callback_after_another_and_the_others_time_goes_on() -> None:
    loop = loop_of()
    seen: list[tuple[str, int]] = []
    slow, quick = Host("slow", cost_us=1_000), Host("quick")

    async def work() -> None:
        for _ in range(3):
            loop.after_us(10, lambda: seen.append(("slow", loop.now_us)), host=slow)
            loop.after_us(10, lambda: seen.append(("quick", loop.now_us)), host=quick)
        await asyncio.sleep(1.0)

    loop.run_until_complete(work())
    assert sorted(at for name, at in seen if name == "quick") == [10, 10, 10]
    assert [round(at, -2) for name, at in seen if name == "slow"] == [0, 1_000, 2_000]


def test_a_killed_hosts_callbacks_never_run() -> None:
    loop, host = loop_of(), Host("h")
    seen: list[int] = []

    async def work() -> None:
        loop.after_us(10, seen.append, 1, host=host)
        host.is_dead = True
        await asyncio.sleep(1.0)

    loop.run_until_complete(work())
    assert seen == []


def test_a_callback_without_an_end_is_told() -> None:
    loop = VirtualLoop(1, most_steps=1_000)  # type: ignore[abstract]

    def again() -> None:
        loop.call_soon(again)

    async def work() -> None:
        again()
        await asyncio.sleep(1.0)

    with pytest.raises(Exhausted):
        loop.run_until_complete(work())


# Streams, as code on real sockets sees them


class Noted(asyncio.Protocol):
    """Keeps what happens to one end."""

    def __init__(self, keeps_open: bool = False) -> None:
        self.seen: list[str] = []
        self.data = b""
        self.keeps_open = keeps_open
        self.transport: VirtualTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.seen.append("eof")
        return self.keeps_open

    def pause_writing(self) -> None:
        self.seen.append("pause")

    def resume_writing(self) -> None:
        self.seen.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.seen.append("lost" if exc is None else "reset")


class Pair:
    """Two machines; `there` listens."""

    address = ("10.9.0.2", 80)

    def __init__(self, backlog: int = 16, most: int = 100, keeps_open: bool = False) -> None:
        self.loop = loop_of()
        self.wire = Wire(self.loop, random.Random(1))
        self.here = self.wire.machine(Host("here"), "10.9.0.1", most)
        self.there = self.wire.machine(Host("there"), "10.9.0.2")
        self.taken: list[Noted] = []
        self.listener = VirtualListener(self.there, self._take, self.address, 8, backlog)
        self._keeps_open = keeps_open

    def _take(self) -> Noted:
        self.taken.append(Noted(self._keeps_open))
        return self.taken[-1]

    async def open(self, machine: Machine | None = None) -> tuple[Noted, Noted]:
        near: Noted = await (machine or self.here).dial(Noted, self.address)
        await asyncio.sleep(0.01)
        return near, self.taken[-1]


def on_wire(work: Callable[[Pair], Awaitable[None]], **how: Any) -> None:
    pair = Pair(**how)

    async def run() -> None:
        async with asyncio.timeout(60.0):
            await work(pair)

    pair.loop.run_until_complete(run())
    assert pair.loop.faults == []


def test_bytes_come_whole_and_in_order_in_any_pieces() -> None:
    async def work(pair: Pair) -> None:
        pair.wire.ways.in_pieces, pair.wire.ways.window = 0.9, 500
        near, far = await pair.open()
        sent = random.Random(2).randbytes(50_000)
        for start in range(0, len(sent), 7_000):
            near.transport.write(sent[start : start + 7_000])
        await asyncio.sleep(5.0)
        assert far.data == sent

    on_wire(work)


def test_a_reader_that_pauses_fills_the_window_and_pauses_the_writer() -> None:
    async def work(pair: Pair) -> None:
        pair.wire.ways.window = 1_000
        near, far = await pair.open()
        near.transport.set_write_buffer_limits(high=0)
        far.transport.pause_reading()
        near.transport.write(b"x" * 5_000)
        await asyncio.sleep(1.0)
        assert near.seen == ["pause"] and far.data == b""
        assert near.transport.get_write_buffer_size() == 4_000
        far.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert near.seen == ["pause", "resume"] and len(far.data) == 5_000

    on_wire(work)


def test_half_a_close_leaves_the_way_back_open() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        near.transport.write(b"ask")
        near.transport.write_eof()
        await asyncio.sleep(0.1)
        assert far.seen == ["eof"] and far.data == b"ask"
        far.transport.write(b"answer")
        await asyncio.sleep(0.1)
        assert near.data == b"answer"
        far.transport.close()
        await asyncio.sleep(0.1)
        assert near.seen == ["eof", "lost"] and far.seen == ["eof", "lost"]

    on_wire(work, keeps_open=True)


def test_an_end_that_closes_with_bytes_unread_resets_the_other() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        far.transport.pause_reading()
        near.transport.write(b"never read")
        await asyncio.sleep(0.1)
        assert far.transport.has_unread()
        far.transport.close()
        await asyncio.sleep(0.1)
        assert near.seen == ["reset"]

    on_wire(work)


def test_a_request_that_crosses_an_end_is_reset() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        far.transport.close()
        near.transport.write(b"crossing")
        await asyncio.sleep(0.1)
        assert far.data == b""
        assert near.seen[-1] in ("lost", "reset")

    on_wire(work)


def test_an_end_that_shuts_its_socket_hears_nothing_more() -> None:
    async def work(pair: Pair) -> None:
        near, far = await pair.open()
        near.transport.shutdown()
        far.transport.write(b"too late")
        await asyncio.sleep(0.1)
        assert near.data == b""
        near.transport.abort()
        await asyncio.sleep(0.1)
        assert near.seen == ["lost"]

    on_wire(work)


def test_dials_are_refused_unheard_left_waiting_or_short_of_descriptors() -> None:
    async def work(pair: Pair) -> None:
        with pytest.raises(ConnectionRefusedError):
            await pair.here.dial(Noted, ("10.9.0.2", 81))
        pair.wire.cut("here", "there")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await pair.open()
        pair.wire.heal("here", "there")
        near, _ = await pair.open()
        pair.here.most = 1
        with pytest.raises(OSError, match="too many open files"):
            await pair.open()
        near.transport.close()
        await asyncio.sleep(0.1)
        await pair.open()

    on_wire(work)


def test_a_full_backlog_is_not_heard_until_the_next_try() -> None:
    async def work(pair: Pair) -> None:
        pair.there.most = 0  # it accepts nobody
        dials = [asyncio.ensure_future(pair.here.dial(Noted, pair.address)) for _ in range(4)]
        await asyncio.sleep(0.5)
        assert [each.done() for each in dials].count(True) == 2  # their connections wait to be accepted
        pair.there.most = 100
        pair.there.freed()
        await asyncio.sleep(1.0)
        assert all(each.done() for each in dials) and len(pair.taken) == 4

    on_wire(work, backlog=2)


def test_what_is_cut_off_comes_when_the_way_is_open_again() -> None:
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

    on_wire(work)


def test_a_stream_breaks_at_its_byte() -> None:
    async def work(pair: Pair) -> None:
        for at in (1, 5, 9, 10):
            near, far = await pair.open()
            near.transport.out.breaks_at = at
            near.transport.write(b"0123456789")
            await asyncio.sleep(0.1)
            assert near.seen == ["reset"] and far.seen == ["reset"]
            assert far.data in (b"", b"0123456789"[:at])

    on_wire(work)


def test_datagrams_are_lost_doubled_and_late() -> None:
    class Ear(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.heard: list[bytes] = []
            self.out: Any = None

        def connection_made(self, transport: Any) -> None:
            self.out = transport

        def datagram_received(self, data: bytes, addr: Any) -> None:
            self.heard.append(data)

    async def work(pair: Pair) -> None:
        here, there = Ear(), Ear()
        await VirtualNetwork(pair.here).datagrams(lambda: here, ("10.9.0.1", 9))
        await VirtualNetwork(pair.there).datagrams(lambda: there, ("10.9.0.2", 9))
        ways = pair.wire.ways
        ways.lost, ways.doubled, ways.late_us = 0.3, 0.3, 10_000
        sent = [bytes([number]) for number in range(200)]
        for each in sent:
            here.out.sendto(each, ("10.9.0.2", 9))
        await asyncio.sleep(1.0)
        heard = there.heard
        assert 20 < len(set(sent) - set(heard)) < 80  # some are lost
        assert len(heard) > len(set(heard))  # some come twice
        assert heard != sorted(heard)  # and not in order

    on_wire(work)


# Whole days


@pytest.fixture(scope="module")
def days() -> Tally:
    return play_many(*SEEDS, jobs=1)


def test_no_rule_breaks_on_drawn_days(days: Tally) -> None:
    assert [f"seed {each.seed}: {each.first}" for each in days.failures] == []


def test_no_day_is_empty_and_all_that_can_happen_does(days: Tally) -> None:
    assert days.empty == []
    assert [each for each in MUST_OCCUR if not days.counts[each]] == []


def test_a_seed_plays_the_same_day_in_any_process(days: Tally) -> None:
    first, last = SEEDS[0], SEEDS[0] + 8
    probe = (
        "import sys; from micadeck.simulation.seed_sweep import play_many\n"
        f"if __name__ == '__main__': print(sorted(play_many({first}, {last}, jobs=1).digests.items()))"
    )
    wanted = str(sorted((seed, days.digests[seed]) for seed in range(first, last)))
    for salt in ("0", "4711"):
        environ = {**os.environ, "PYTHONHASHSEED": salt}
        told = subprocess.run(
            [sys.executable, "-c", probe], cwd=ROOT, env=environ, capture_output=True, text=True, check=True
        )
        assert told.stdout.strip() == wanted
    beside = play_many(first, last, jobs=8)
    assert str(sorted(beside.digests.items())) == wanted


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_build_is_found(name: str) -> None:
    mutant, rules = MUTANTS[name]
    with mutant():
        assert any(rules & {*play(draw(seed)).rules} for seed in range(AMONG))


@pytest.mark.parametrize("file", SCENARIOS, ids=lambda file: file.stem)
def test_a_written_day_goes_as_it_says(file: Path) -> None:
    day = read(file)
    assert play(day).rules == list(day.expect)


def test_a_day_that_breaks_a_rule_is_made_small() -> None:
    mutant, _ = MUTANTS["what may have run is refused"]
    with mutant():
        seed = next(s for s in range(AMONG) if "a refusal is harmless" in play(draw(s)).rules)

        def fails(day: Scenario) -> bool:
            return "a refusal is harmless" in play(day).rules

        small = shrink(draw(seed), fails, most=150)
        assert fails(small)
    assert len(small.faults) <= 2 and len(orders(small)) <= 3
    assert play(small).violations == []


def test_leaving_a_request_out_changes_no_other() -> None:
    day = draw(5)
    some = msgspec.structs.replace(day, only=(3, 7, 20))
    assert orders(some) == [each for each in orders(day) if each.number in (3, 7, 20)]


# The commands


def test_a_scenario_comes_back_as_it_was_written(tmp_path: Path) -> None:
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
def test_nonsense_in_a_scenario_names_its_key(tmp_path: Path, text: str, named: str) -> None:
    file = tmp_path / "day.toml"
    file.write_text(text)
    told = CliRunner().invoke(main, ["scenario", str(file)])
    assert told.exit_code == 1 and named in told.output


def test_the_commands_play_replay_and_tell_how(tmp_path: Path) -> None:
    run = CliRunner().invoke(main, ["run", "--seeds", "200:204", "--jobs", "1"])
    assert run.exit_code == 0 and "4 days in" in run.output and "0 days broke a rule" in run.output
    account = tmp_path / "account"
    one = CliRunner().invoke(main, ["replay", "200", "--trace", str(account)])
    again = CliRunner().invoke(main, ["replay", "200"])
    assert one.exit_code == 0 and account.read_text() in again.output
    assert play(draw(200)).digest in one.output
    mutant, _ = MUTANTS["a failure is not answered"]
    with mutant():
        broken = CliRunner().invoke(main, ["run", "--seeds", "0:25", "--jobs", "1"])
    assert broken.exit_code == 1 and "python -m micadeck.simulation replay" in broken.output
    assert CliRunner().invoke(main, ["run", "--seeds", "4:4"]).exit_code == 2


def test_every_kind_of_fault_is_played() -> None:
    day = Scenario(1, faults=tuple(Fault(1.0, kind, 0.3, amount=4.0) for kind in Kind))
    result = play(day)
    assert {f"fault {kind.value}" for kind in Kind} <= result.counts.keys()
