"""A member on its sockets, on the virtual network; and what its file may say."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest
from helpers import S

from magpiemux.interface import ListedServer, ServerState
from micadeck import errors
from micadeck.engine import Entry, Listing
from micadeck.fleet.config import FleetConfig, FleetConfigError, check_name, load
from micadeck.fleet.host import FleetHost
from micadeck.fleet.seal import Keys
from micadeck.fleet.settings import FleetSettings
from micadeck.peers import Peers
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.wire import Wire

KEYS = Keys(((1, b"k" * 32),))


class Fleetful:
    """Some hosts, each with what it logged and how often it doubted its list."""

    def __init__(self, count: int) -> None:
        self.loop = VirtualLoop(3)  # type: ignore[abstract]
        self.wire = Wire(self.loop, random.Random(4))
        self.logs: list[list[str]] = [[] for _ in range(count)]
        self.doubts = [0] * count
        self.hosts: list[FleetHost] = []
        self.places = tuple((f"10.0.0.{number + 1}", 9100) for number in range(count))

    async def start(self, keys: Keys = KEYS) -> None:
        for number, place in enumerate(self.places):
            network = VirtualNetwork(self.wire.machine(Host(f"sidecar-{number}"), place[0]))
            peers = Peers(network, self.places, None, number)

            def doubt(number: int = number) -> None:
                self.doubts[number] += 1

            config, log = FleetConfig(keys, "north", None, FleetSettings()), self.logs[number].append
            host = FleetHost(
                network, peers, config, f"n{number}", place, self.places, number, log, doubt
            )  # fmt: skip
            await peers.listen(place, lambda sender, data: None)
            host.start()
            self.hosts.append(host)


def entry(name: str, state: ServerState) -> Entry:
    address = None if state is ServerState.GONE else ("10.1.0.1", 80)
    return Entry(ListedServer(name, state=state), address)


def test_word_of_a_drain_makes_the_others_ask_discovery_and_nothing_else() -> None:
    fleet = Fleetful(4)

    async def work() -> None:
        await fleet.start()
        await asyncio.sleep(12.0)
        assert all(host.fleet.settled for host in fleet.hosts)
        told = Listing(7, False, (entry("s-1", ServerState.DRAINING), entry("s-2", ServerState.READY)))
        fleet.hosts[3].listed(told)
        fleet.hosts[1].listed(told)  # it was told by its own discovery as well
        await asyncio.sleep(5.0)
        assert [count > 0 for count in fleet.doubts] == [True, False, True, False]
        for host in fleet.hosts:
            host.close()

    fleet.loop.run_until_complete(work())
    assert all("fleet: 4 members, settled" in log for log in fleet.logs)


def test_a_list_that_is_all_news_says_nothing_of_single_servers() -> None:
    fleet = Fleetful(3)

    async def work() -> None:
        await fleet.start()
        await asyncio.sleep(8.0)
        many = tuple(entry(f"s-{number}", ServerState.DRAINING) for number in range(200))
        fleet.hosts[0].listed(Listing(8, False, many))
        fleet.hosts[0].listed(Listing(9, True, many[:3]))
        await asyncio.sleep(5.0)
        for host in fleet.hosts:
            host.close()

    fleet.loop.run_until_complete(work())
    assert fleet.doubts == [0, 0, 0]


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


def test_a_file_that_is_not_there_and_a_name_that_fits_no_datagram() -> None:
    with pytest.raises(FleetConfigError, match="can't be read"):
        load("/nowhere/fleet.toml")
    with pytest.raises(FleetConfigError, match="name"):
        check_name("n" * 41)
    check_name("n" * 40)


def test_each_error_of_its_own_says_what_an_operator_can_do() -> None:
    kinds = [errors.MicadeckError]
    for kind in kinds:
        kinds += kind.__subclasses__()
        assert kind.advice.endswith(".") and kind.advice in str(kind("What."))
    assert len(kinds) > 1 and {kind.advice for kind in kinds[1:]}.isdisjoint({errors.MicadeckError.advice})


def test_the_longest_name_and_place_fit_a_datagram_with_room_for_a_claim() -> None:
    from micadeck.fleet import Fleet

    member = Fleet("n" * 40, 2 * 10**15, ("255.255.255.255", 65_535), KEYS, 1, FleetSettings(), 0)
    member.join([("10.0.0.2", 9100)])
    out = member.tick(S, 2 * 10**15)
    assert out.datagrams and all(len(data) <= 256 for _, data in out.datagrams)
    assert member.seal.room() > 130
