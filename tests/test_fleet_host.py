"""Fleet members with sockets on the virtual network, and the fleet's configuration file."""

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


def new_wire() -> Wire:
    return Wire(VirtualLoop(3), random.Random(4))  # type: ignore[abstract]


def network_of(wire: Wire, number: int) -> VirtualNetwork:
    return VirtualNetwork(wire.machine(Host(f"sidecar-{number}"), f"10.0.0.{number + 1}"))


class FleetHosts:
    """Fleet hosts with their logs, and how often each suspected its endpoint list."""

    def __init__(self, count: int) -> None:
        self.wire = new_wire()
        self.loop = self.wire.loop
        self.logs: list[list[str]] = [[] for _ in range(count)]
        self.suspicions = [0] * count
        self.hosts: list[FleetHost] = []
        self.addresses = tuple((f"10.0.0.{number + 1}", 9100) for number in range(count))

    async def start(self) -> None:
        for number, address in enumerate(self.addresses):
            network = network_of(self.wire, number)
            peers = PeerDatagrams(network, self.addresses, None, number)

            def suspect_stale(number: int = number) -> None:
                self.suspicions[number] += 1

            config, log = FleetConfig(KEYS, "north", None, FleetSettings()), self.logs[number].append
            host = FleetHost(
                network, peers, config, f"n{number}", address, self.addresses, number, log, suspect_stale
            )
            await peers.listen(address, lambda sender, data: None)
            host.start()
            self.hosts.append(host)

    def run_settled(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start all hosts, run `work` once they agree, and close them."""

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


def test_a_drain_hint_only_makes_the_other_members_query_discovery() -> None:
    fleet = FleetHosts(4)

    async def work() -> None:
        update = EndpointUpdate(
            7, False, (entry("s-1", ServerState.DRAINING), entry("s-2", ServerState.READY))
        )
        fleet.hosts[3].publish_endpoint_update(update)
        fleet.hosts[1].publish_endpoint_update(update)  # n1 has the update from its own discovery too
        await asyncio.sleep(5.0)
        assert [count > 0 for count in fleet.suspicions] == [True, False, True, False]

    fleet.run_settled(work)
    assert all("fleet: 4 members, settled" in log for log in fleet.logs)
    assert not any(
        "later process" in text for log in fleet.logs for text in log
    )  # the members left; none was superseded


def test_a_full_list_causes_no_hints() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        entries = tuple(entry(f"s-{number}", ServerState.DRAINING) for number in range(200))
        fleet.hosts[0].publish_endpoint_update(EndpointUpdate(8, False, entries))
        fleet.hosts[0].publish_endpoint_update(EndpointUpdate(9, True, entries[:3]))
        await asyncio.sleep(5.0)

    fleet.run_settled(work)
    assert fleet.suspicions == [0, 0, 0]


class ArbitrarySender(asyncio.DatagramProtocol):
    """A sender of arbitrary messages that has the fleet's key."""

    def __init__(self, fleet: FleetHosts) -> None:
        self.received: list[tuple[float, int]] = []
        self.authenticator = DatagramAuthenticator("stranger", 1, KEYS)
        self.network = network_of(fleet.wire, 9)
        self._fleet = fleet

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        decoded = DatagramAuthenticator("any", 1, KEYS).decode(self.network.wall(), data)
        assert decoded is not None
        self.received.append((self._fleet.loop.time(), decoded[1][0]))

    def send(self, message: Any) -> None:
        self._transport.sendto(
            self.authenticator.encode(self.network.wall(), message), self._fleet.addresses[0]
        )


def test_a_member_sends_its_nack_for_an_indirect_probe_in_time() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        arbitrary_sender = ArbitrarySender(fleet)
        await arbitrary_sender.network.datagrams(lambda: arbitrary_sender, ("10.0.0.10", 9100))
        for number in range(8):  # at several points of the member's own probe interval
            sent_at = fleet.loop.time()
            arbitrary_sender.send(PingRequest(number, "n8", "10.0.0.9", 9100, 0))
            await asyncio.sleep(0.41)
            nack_delays = [at - sent_at for at, kind in arbitrary_sender.received if kind == 3]
            assert len(nack_delays) == 1 and nack_delays[0] < 0.205
            arbitrary_sender.received.clear()

    fleet.run_settled(work)


VALID_RECORD = [0, "n7", 5, 0, 0, "10.0.0.7", 9100, None, None]
# The index of an invalid value in a record, and the value.
INVALID_VALUES = [
    (1, "n" * 150),  # a name that fills a datagram
    (1, ""),
    (2, -1),
    (3, 2**64 - 1),  # an incarnation too high to refute
    (4, 9),
    (5, "no address"),
    (6, 70_000),
    (7, ["r" * 150, 0, 0]),
    (8, "b" * 150),
]


@pytest.mark.parametrize(("part", "value"), INVALID_VALUES)
def test_records_out_of_bounds_are_rejected_and_disrupt_no_member(part: int, value: Any) -> None:
    fleet = FleetHosts(3)
    record = [*VALID_RECORD[:part], value, *VALID_RECORD[part + 1 :]]

    async def work() -> None:
        arbitrary_sender = ArbitrarySender(fleet)
        await arbitrary_sender.network.datagrams(lambda: arbitrary_sender, ("10.0.0.10", 9100))
        arbitrary_sender.send([0, 1, 0, [record]])
        arbitrary_sender.send([5, [0, 0], False, [record]])
        if part in (1, 5, 6):
            arbitrary_sender.send([2, 1, record[1], record[5], record[6], 0, []])
        await asyncio.sleep(10.0)
        assert all(host.member.is_settled for host in fleet.hosts)
        assert fleet.hosts[0].member.malformed_messages == (3 if part in (1, 5, 6) else 2)

    fleet.run_settled(work)
    assert fleet.loop.unhandled_errors == []


def test_a_runtime_without_the_sidecar_leaves_the_fleet_on_close(tmp_path: Path) -> None:
    (tmp_path / "k").write_text("ab" * 32)
    (tmp_path / "fleet.toml").write_text(VALID_FILE)
    wire = new_wire()
    logs: list[list[str]] = [[], []]

    async def work() -> None:
        runtimes = []
        for number in range(2):
            config = {
                **fleet_config(tmp_path),
                "name": f"n{number}",
                "peer_listen": f"10.0.0.{number + 1}:9100",
            }
            runtimes.append(Runtime(parse(config), network_of(wire, number), logs[number].append))
            await runtimes[-1].start()
        await asyncio.sleep(8.0)
        runtimes[0].close()
        await asyncio.sleep(2.0)
        runtimes[1].close()

    wire.loop.run_until_complete(work())
    assert "fleet: n0 has left" in logs[1] and "fleet: n0 is declared dead" not in logs[1]


VALID_FILE = '[[keys]]\nnumber = 1\nfile = "k"\n'


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("", "keys"),
        ("keys = []", "keys"),
        (VALID_FILE * 3, "keys"),
        (VALID_FILE * 2, "twice"),
        (VALID_FILE.replace("= 1", "= 256"), "number"),
        (VALID_FILE.replace('"k"', '"nowhere"'), "nowhere"),
        (VALID_FILE.replace('"k"', '"odd"'), "odd"),
        (VALID_FILE.replace('"k"', '"short"'), "key 1"),
        (VALID_FILE + "[settings]\nperiods = 3", "periods"),
        ('advertise = "here"\n' + VALID_FILE, "address:port"),
        ("region = 7\n" + VALID_FILE, "region"),
        ("region = ", "fleet.toml"),
    ],
)
def test_an_invalid_file_is_reported_by_key_with_advice(tmp_path: Path, text: str, names: str) -> None:
    for name, digits in (("k", "ab" * 32), ("odd", "xyz"), ("short", "abcd")):
        (tmp_path / name).write_text(digits)
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(FleetConfigError, match=names) as caught:
        load(str(path))
    assert FleetConfigError.advice in str(caught.value) and "abab" not in str(caught.value)
    path.write_text(VALID_FILE)
    assert load(str(path)).keys.by_number == ((1, bytes.fromhex("ab" * 32)),)


def test_the_settings_keep_the_keys_of_the_file() -> None:
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


def fleet_config(folder: Path) -> dict[str, Any]:
    """Return a configuration that uses the fleet file in this folder."""
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
def test_a_missing_or_invalid_requirement_of_a_member_is_named(
    tmp_path: Path, change: dict[str, Any], names: str
) -> None:
    (tmp_path / "k").write_text("ab" * 32)
    (tmp_path / "fleet.toml").write_text(VALID_FILE)
    assert parse(fleet_config(tmp_path)).fleet is not None
    with pytest.raises(ConfigError, match=names):
        parse({**fleet_config(tmp_path), **change})


def test_each_error_has_its_own_advice_for_operators() -> None:
    kinds = [errors.MicadeckError]
    for kind in kinds:
        kinds += kind.__subclasses__()
        assert kind.advice.endswith(".") and kind.advice in str(kind("What."))
    assert len(kinds) > 1 and {kind.advice for kind in kinds[1:]}.isdisjoint({errors.MicadeckError.advice})
    others = [other for other in errors.OperatorError.__subclasses__() if other is not errors.MicadeckError]
    for other in others:
        others += other.__subclasses__()
        assert other.advice.endswith(".") and other.advice != errors.OperatorError.advice
    assert others


def test_the_longest_name_and_address_leave_capacity_for_a_record_in_a_datagram() -> None:
    from micadeck.fleet import FleetMember, MemberRecord

    identity = MemberRecord.of_process("n" * 40, 2 * 10**15, ("255.255.255.255", 65_535))
    member = FleetMember(identity, KEYS, 1, FleetSettings(), 0)
    member.join([("10.0.0.2", 9100)])
    output = member.tick(S, 2 * 10**15)
    assert output.datagrams and all(len(data) <= 256 for _, data in output.datagrams)
    assert member.authenticator.max_message_bytes() > 130
