"""A member with its sockets on the virtual network, and its configuration file."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import pytest
from helpers import S

from micadeck import errors
from micadeck.config import ConfigError, parse
from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.fleet.authentication import DatagramAuthenticator, Keys
from micadeck.fleet.config import FleetConfig, FleetConfigError, load
from micadeck.fleet.host import FleetHost
from micadeck.fleet.messages import PingRequest
from micadeck.fleet.settings import FleetSettings
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy.events import ListedServer, ServerState
from micadeck.runtime import Runtime
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.wire import Wire

KEYS = Keys(((1, b"k" * 32),))


def virtual() -> Wire:
    return Wire(VirtualLoop(3), random.Random(4))  # type: ignore[abstract]


def host_of(wire: Wire, number: int) -> VirtualNetwork:
    return VirtualNetwork(wire.machine(Host(f"sidecar-{number}"), f"10.0.0.{number + 1}"))


class FleetHosts:
    """Some hosts, each with its log and how often it suspected its endpoint list."""

    def __init__(self, count: int) -> None:
        self.wire = virtual()
        self.loop = self.wire.loop
        self.logs: list[list[str]] = [[] for _ in range(count)]
        self.suspicions = [0] * count
        self.hosts: list[FleetHost] = []
        self.places = tuple((f"10.0.0.{number + 1}", 9100) for number in range(count))

    async def start(self) -> None:
        for number, place in enumerate(self.places):
            network = host_of(self.wire, number)
            peers = PeerDatagrams(network, self.places, None, number)

            def suspect_stale(number: int = number) -> None:
                self.suspicions[number] += 1

            config, log = FleetConfig(KEYS, "north", None, FleetSettings()), self.logs[number].append
            host = FleetHost(
                network, peers, config, f"n{number}", place, self.places, number, log, suspect_stale
            )
            await peers.listen(place, lambda sender, data: None)
            host.start()
            self.hosts.append(host)

    def play(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start all, do this once they agree, and end all."""

        async def run_all() -> None:
            await self.start()
            await asyncio.sleep(12.0)
            assert all(host.member.is_settled for host in self.hosts)
            await work()
            for host in self.hosts:
                host.close()

        self.loop.run_until_complete(run_all())


def entry(name: str, state: ServerState) -> EndpointEntry:
    address = None if state is ServerState.REMOVED else ("10.1.0.1", 80)
    return EndpointEntry(ListedServer(name, state=state), address)


def test_a_hint_of_a_drain_makes_the_others_query_discovery_and_nothing_else() -> None:
    fleet = FleetHosts(4)

    async def work() -> None:
        update = EndpointUpdate(
            7, False, (entry("s-1", ServerState.DRAINING), entry("s-2", ServerState.READY))
        )
        fleet.hosts[3].publish_endpoint_update(update)
        fleet.hosts[1].publish_endpoint_update(update)  # its own discovery sent it as well
        await asyncio.sleep(5.0)
        assert [count > 0 for count in fleet.suspicions] == [True, False, True, False]

    fleet.play(work)
    assert all("fleet: 4 members, settled" in log for log in fleet.logs)
    assert not any(
        "later process" in text for log in fleet.logs for text in log
    )  # they left, nobody took over


def test_a_full_list_causes_no_hints() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        many = tuple(entry(f"s-{number}", ServerState.DRAINING) for number in range(200))
        fleet.hosts[0].publish_endpoint_update(EndpointUpdate(8, False, many))
        fleet.hosts[0].publish_endpoint_update(EndpointUpdate(9, True, many[:3]))
        await asyncio.sleep(5.0)

    fleet.play(work)
    assert fleet.suspicions == [0, 0, 0]


class Stranger(asyncio.DatagramProtocol):
    """A holder of the key that sends arbitrary messages."""

    def __init__(self, fleet: FleetHosts) -> None:
        self.received: list[tuple[float, int]] = []
        self.authenticator = DatagramAuthenticator("stranger", 1, KEYS)
        self.network = host_of(fleet.wire, 9)
        self._fleet = fleet

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        read = DatagramAuthenticator("any", 1, KEYS).decode(self.network.wall(), data)
        assert read is not None
        self.received.append((self._fleet.loop.time(), read[1][0]))

    def send(self, message: Any) -> None:
        self._transport.sendto(self.authenticator.encode(self.network.wall(), message), self._fleet.places[0])


def test_a_helper_sends_its_nack_in_time() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        stranger = Stranger(fleet)
        await stranger.network.datagrams(lambda: stranger, ("10.0.0.10", 9100))
        for number in range(8):  # wherever the helper's own period stands
            sent_at = fleet.loop.time()
            stranger.send(PingRequest(number, "n8", "10.0.0.9", 9100, 0))
            await asyncio.sleep(0.41)
            nack_delays = [at - sent_at for at, kind in stranger.received if kind == 3]
            assert len(nack_delays) == 1 and nack_delays[0] < 0.205
            stranger.received.clear()

    fleet.play(work)


GOOD_RECORD = [0, "n7", 5, 0, 0, "10.0.0.7", 9100, None, None]
# Of a record: the index of an invalid value, and the value.
INVALID_VALUES = [
    (1, "n" * 150),  # a name that fills a datagram
    (1, ""),
    (2, -1),
    (3, 2**64 - 1),  # an incarnation that nobody can refute
    (4, 9),
    (5, "no address"),
    (6, 70_000),
    (7, ["r" * 150, 0, 0]),
    (8, "b" * 150),
]


@pytest.mark.parametrize(("part", "value"), INVALID_VALUES)
def test_records_out_of_bounds_are_rejected_and_stop_nobody(part: int, value: Any) -> None:
    fleet = FleetHosts(3)
    record = [*GOOD_RECORD[:part], value, *GOOD_RECORD[part + 1 :]]

    async def work() -> None:
        stranger = Stranger(fleet)
        await stranger.network.datagrams(lambda: stranger, ("10.0.0.10", 9100))
        stranger.send([0, 1, 0, [record]])
        stranger.send([5, [0, 0], False, [record]])
        if part in (1, 5, 6):
            stranger.send([2, 1, record[1], record[5], record[6], 0, []])
        await asyncio.sleep(10.0)
        assert all(host.member.is_settled for host in fleet.hosts)
        assert fleet.hosts[0].member.malformed_messages == (3 if part in (1, 5, 6) else 2)

    fleet.play(work)
    assert fleet.loop.unhandled_errors == []


def test_a_core_without_the_daemon_leaves_the_fleet_too(tmp_path: Path) -> None:
    (tmp_path / "k").write_text("ab" * 32)
    (tmp_path / "fleet.toml").write_text(GOOD)
    wire = virtual()
    logs: list[list[str]] = [[], []]

    async def work() -> None:
        runtimes = []
        for number in range(2):
            given = {**of_fleet(tmp_path), "name": f"n{number}", "peer_listen": f"10.0.0.{number + 1}:9100"}
            runtimes.append(Runtime(parse(given), host_of(wire, number), logs[number].append))
            await runtimes[-1].start()
        await asyncio.sleep(8.0)
        runtimes[0].close()
        await asyncio.sleep(2.0)
        runtimes[1].close()

    wire.loop.run_until_complete(work())
    assert "fleet: n0 has left" in logs[1] and "fleet: n0 is declared dead" not in logs[1]


GOOD = '[[keys]]\nnumber = 1\nfile = "k"\n'


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("", "keys"),
        ("keys = []", "keys"),
        (GOOD * 3, "keys"),
        (GOOD * 2, "twice"),
        (GOOD.replace("= 1", "= 256"), "number"),
        (GOOD.replace('"k"', '"nowhere"'), "nowhere"),
        (GOOD.replace('"k"', '"odd"'), "odd"),
        (GOOD.replace('"k"', '"short"'), "key 1"),
        (GOOD + "[settings]\nperiods = 3", "periods"),
        ('advertise = "here"\n' + GOOD, "address:port"),
        ("region = 7\n" + GOOD, "region"),
        ("region = ", "fleet.toml"),
    ],
)
def test_a_bad_file_is_named_by_its_key_with_what_to_do(tmp_path: Path, text: str, names: str) -> None:
    for name, digits in (("k", "ab" * 32), ("odd", "xyz"), ("short", "abcd")):
        (tmp_path / name).write_text(digits)
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(FleetConfigError, match=names) as fault:
        load(str(path))
    assert FleetConfigError.advice in str(fault.value) and "abab" not in str(fault.value)
    path.write_text(GOOD)
    assert load(str(path)).keys.by_number == ((1, bytes.fromhex("ab" * 32)),)


def test_the_settings_are_read_by_the_keys_of_the_file() -> None:
    keys = [field.encode_name for field in msgspec.structs.fields(FleetSettings)]
    assert keys == [
        "period_us",
        "answer_within_us",
        "helpers",
        "suspicion_periods",
        "suspicion_most",
        "suspicion_lossy",
        "slow_most",
        "spread",
        "forget_us",
        "remember_us",
        "rumours_us",
    ]
    text = "\n".join(f"{key} = {number}" for number, key in enumerate(keys, 1))
    settings = msgspec.toml.decode(text, type=FleetSettings, strict=False)
    assert list(msgspec.structs.astuple(settings)) == list(range(1, 12))


def of_fleet(folder: Path) -> dict[str, Any]:
    """A configuration with the fleet that stands in this folder."""
    return {
        "name": "n0",
        "listen": "10.0.0.1:0",
        "discovery": "10.9.9.9:1",
        "seed": "1",
        "peer_listen": "10.0.0.1:9100",
        "peers": ["10.0.0.1:9100", "10.0.0.2:9100"],
        "fleet": str(folder / "fleet.toml"),
        "settings": {
            "lanes": [{"name": "check", "giveUpUs": 500_000, "promiseUs": 200_000}],
            "bounds": {"sendCap": 3, "mayTell": True},
        },
    }


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"name": "n" * 41}, "name"),
        ({"name": "vessel desk"}, "name"),
        ({"peer_listen": None}, "peer_listen"),
        ({"settings": {"lanes": [{"name": "check", "giveUpUs": 1, "promiseUs": 1}]}}, "mayTell"),
        ({"fleet": "/nowhere/fleet.toml"}, "can't be read"),
    ],
)
def test_what_a_member_cannot_do_without_is_named(tmp_path: Path, change: dict[str, Any], names: str) -> None:
    (tmp_path / "k").write_text("ab" * 32)
    (tmp_path / "fleet.toml").write_text(GOOD)
    assert parse(of_fleet(tmp_path)).fleet is not None
    with pytest.raises(ConfigError, match=names):
        parse({**of_fleet(tmp_path), **change})


def test_each_error_has_its_own_advice_for_operators() -> None:
    kinds = [errors.MicadeckError]
    for kind in kinds:
        kinds += kind.__subclasses__()
        assert kind.advice.endswith(".") and kind.advice in str(kind("What."))
    assert len(kinds) > 1 and {kind.advice for kind in kinds[1:]}.isdisjoint({errors.MicadeckError.advice})
    others = [each for each in errors.OperatorError.__subclasses__() if each is not errors.MicadeckError]
    for each in others:
        others += each.__subclasses__()
        assert each.advice.endswith(".") and each.advice != errors.OperatorError.advice
    assert others


def test_the_longest_name_and_place_fit_a_datagram_with_capacity_for_a_record() -> None:
    from micadeck.fleet import FleetMember, MemberRecord

    identity = MemberRecord.of_process("n" * 40, 2 * 10**15, ("255.255.255.255", 65_535))
    member = FleetMember(identity, KEYS, 1, FleetSettings(), 0)
    member.join([("10.0.0.2", 9100)])
    out = member.tick(S, 2 * 10**15)
    assert out.datagrams and all(len(data) <= 256 for _, data in out.datagrams)
    assert member.authenticator.max_message_bytes() > 130
