"""Servers whose address another process has taken over, although the list still names them.  No I/O.

A process that has gone may stay on the list for a while, and a new one may come up at its address under
another id.  What is sent to the old id arrives at the new process: in another cell, and maybe a second time.
Of two servers at one address, the one that started later is there.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from micadeck.engine.ports import EndpointEntry, EndpointUpdate
from micadeck.network import Address
from micadeck.policy.events import ServerState


class AddressOwners:
    """Removes such servers from endpoint updates, and adds them again if they are found to be there.

    Owns the addresses of all listed servers.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._entries: dict[str, EndpointEntry] = {}
        self._names: dict[Address, dict[str, None]] = defaultdict(dict)
        self._displaced: set[str] = set()

    def resolve(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return the update without the servers whose address is another's."""
        if update.full:
            self._entries.clear()
            self._names.clear()
            self._displaced.clear()
        shared = self._apply(update.entries)
        if not shared:
            return update
        entries = {entry.endpoint.server: entry for entry in update.entries}
        for address in shared:
            self._resolve_address(address, entries)
        if update.full:
            entries = {name: entry for name, entry in entries.items() if name not in self._displaced}
        return replace(update, entries=tuple(entries.values()))

    def _apply(self, entries: Iterable[EndpointEntry]) -> list[Address]:
        """Record the entries; return the addresses that are, or were, those of several servers."""
        touched: dict[Address, bool] = {}
        for entry in entries:
            name = entry.endpoint.server
            self._displaced.discard(name)
            before = self._entries.pop(name, None)
            if before is not None and before.address is not None:
                names = self._names[before.address]
                touched[before.address] = touched.get(before.address, False) or len(names) > 1
                names.pop(name, None)
                if not names:
                    del self._names[before.address]
            if entry.address is not None:
                self._entries[name] = entry
                names = self._names[entry.address]
                names[name] = None
                touched[entry.address] = touched.get(entry.address, False) or len(names) > 1
        return [address for address, was_shared in touched.items() if was_shared]

    def _resolve_address(self, address: Address, entries: dict[str, EndpointEntry]) -> None:
        """Put into `entries` what changes for the servers at an address."""
        names = self._names.get(address, {})
        latest = max((self._entries[name].endpoint.started_at or 0 for name in names), default=0)
        for name in names:
            entry = self._entries[name]
            if (entry.endpoint.started_at or 0) < latest:
                self._displaced.add(name)
                entries[name] = _removed(entry)
            elif name in self._displaced:
                self._displaced.discard(name)
                entries[name] = entry


def _removed(entry: EndpointEntry) -> EndpointEntry:
    return EndpointEntry(replace(entry.endpoint, state=ServerState.REMOVED), None)
