"""Guards against work sent to a new process under the id of one that was at its address before."""

from __future__ import annotations

import random
from typing import Any

import pytest
from loopback import OK, ScriptedServer, async_test, list_entry, run_harness, until

from micadeck.engine.address_owners import AddressOwners
from micadeck.engine.ports import EndpointEntry, EndpointUpdate
from micadeck.policy.events import ListedServer, ServerState

ADDRESSES = [("127.0.0.1", port) for port in (1, 2, 3)]


def entry(name: str, address: int | None, started_at: int | None = None) -> EndpointEntry:
    if address is None:
        return EndpointEntry(ListedServer(name, state=ServerState.REMOVED), None)
    return EndpointEntry(ListedServer(name, started_at=started_at), ADDRESSES[address])


def test_of_two_servers_at_one_address_the_later_one_is_there() -> None:
    owners = AddressOwners()

    def resolved(*entries: EndpointEntry, full: bool = False) -> dict[str, bool]:
        update = owners.resolve(EndpointUpdate(1, full, entries))
        return {each.endpoint.server: each.address is not None for each in update.entries}

    assert resolved(entry("a", 0), entry("b", 1, 5), full=True) == {"a": True, "b": True}
    assert resolved(entry("c", 0, 7)) == {"c": True, "a": False}
    assert resolved(entry("a", 0)) == {"a": False}  # its zone or weight changed
    assert resolved(entry("c", None)) == {"c": False, "a": True}
    assert resolved(entry("c", 1, 7)) == {"c": True, "b": False}
    assert resolved(entry("c", 2, 8)) == {"c": True, "b": True}
    assert resolved(entry("d", 2, 8)) == {"d": True}  # which of them is there can't be told
    assert resolved(entry("a", 0), entry("e", 0, 9), full=True) == {"e": True}
    assert resolved(entry("a", 1), entry("f", 2)) == {"a": True, "f": True}


@pytest.mark.parametrize("seed", range(5))
def test_any_sequence_of_changes_gives_what_a_full_list_gives(seed: int) -> None:
    drawn = random.Random(seed)
    owners = AddressOwners()
    listed: dict[str, EndpointEntry] = {}
    live: set[str] = set()
    for _ in range(400):
        changes = {}
        for name in drawn.sample("abcdefg", drawn.randint(1, 4)):
            address = drawn.choice([None, 0, 1, 2])
            changes[name] = entry(name, address, drawn.choice([None, 1, 2, 3]))
        listed = {name: each for name, each in {**listed, **changes}.items() if each.address is not None}
        for each in owners.resolve(EndpointUpdate(1, False, tuple(changes.values()))).entries:
            (live.discard if each.address is None else live.add)(each.endpoint.server)
        full = AddressOwners().resolve(EndpointUpdate(1, True, tuple(listed.values())))
        assert live == {each.endpoint.server for each in full.entries}


@async_test
async def test_a_process_at_the_address_of_another_gets_nothing_under_the_old_id() -> None:
    other = await ScriptedServer(OK).start()

    def listed(name: str, **changes: Any) -> dict[str, Any]:
        return list_entry(name, other.address, **changes)

    async with run_harness(OK, extra_entries=[listed("old", cell=2)]) as harness:
        harness.discovery.publish(listed("new", cell=3, zone="b", started_ms=1))
        servers = harness.sidecar._runtime.upstream._servers
        await until(lambda: "new" in servers)
        assert servers.keys() == {"s-0", "new"} and harness.sidecar._engine.known_servers == 2
        harness.discovery.publish(listed("new", state="left"))
        await until(lambda: "old" in servers)
    other.stop()
