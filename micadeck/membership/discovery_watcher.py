"""The platform's roster: reading its list of servers, fetching it and watching it."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.discovery_client import DiscoveryCallError, DiscoveryClient
from micadeck.membership.watch_health import WatchHealth
from micadeck.network import Address, Network, Timer, parse_address
from micadeck.policy.events import ListedServer, ServerState

_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}
_MOST_CALLS = 8  # at once; more fail unasked
# Of a list, counted before it is read: each may cost 100 bytes as an object, also where it takes three bytes
# of the list.  A list of 3,200 servers has 55,000.
_MOST_VALUES = 160_000


def parse_listing(given: object) -> EndpointUpdate:
    """Read a list of servers in discovery's form; raise ValueError on nonsense."""
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    version, full, servers = given.get("version"), given.get("full"), given.get("servers")
    if type(version) is not int or version < 0:
        raise ValueError(f"version: a whole number is needed, not {version!r:.60}")
    if not isinstance(full, bool):
        raise ValueError(f"full: true or false is needed, not {full!r:.60}")
    if not isinstance(servers, list):
        raise ValueError(f"servers: a list is needed, not {servers!r:.60}")
    return EndpointUpdate(version, full, tuple(_entry(each) for each in servers))


def _entry(given: object) -> EndpointEntry:
    if not isinstance(given, dict):
        raise ValueError("servers: an object is needed for each")
    name = given.get("id")
    if not isinstance(name, str) or not name:
        raise ValueError(f"servers: an id is needed, not {name!r:.60}")
    try:
        state = _STATES[given["state"]]
    except (KeyError, TypeError):
        raise ValueError(f"servers: unknown state {given.get('state')!r:.60} of {name:.60}") from None
    address = None if state is ServerState.REMOVED else parse_address(given.get("addr"))
    started_ms = _number(given, "started_ms", 0)
    listed = ListedServer(
        server=name,
        zone=_text(given, "zone"),
        kind=_text(given, "kind"),
        cell=int(_number(given, "cell", 0)),
        state=state,
        nominal=_number(given, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return EndpointEntry(listed, address)


def _check_values(body: bytes) -> None:
    """Raise ValueError on a list that would cost far more memory than its bytes."""
    values = sum(body.count(each) for each in (b",", b":", b"{", b"["))
    if values > _MOST_VALUES:
        raise ValueError(f"servers: {values} values are more than the {_MOST_VALUES} that are read")


def _text(given: dict[str, Any], key: str) -> str:
    value = given.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise ValueError(f"servers: {key}: a text is needed, not {value!r:.60}")
    return value


def _number(given: dict[str, Any], key: str, default: float) -> float:
    value = given.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise ValueError(f"servers: {key}: a number is needed, not {value!r:.60}")
    return value


class DiscoveryWatcher:
    """Calls to discovery.  Every `follow` and `fetch` is answered by one call of `on_list` or `on_failed`."""

    def __init__(
        self,
        network: Network,
        address: Address,
        version: int | None,
        pushed: bool,
        *,
        allowed_us: int = 10_000_000,
        grace_us: int = 1_000_000,
        seed: int | str = 0,
        log: Callable[[str], None] | None = None,
    ) -> None:
        self._network = network
        self._address = address
        self._version = version
        self._pushed = pushed
        self._vigil = WatchHealth(allowed_us, random.Random(seed), is_pushed=pushed, grace_us=grace_us)
        self._log = log
        self._told_nonsense = False  # since the last list that could be read
        self._renewal: Timer | None = None
        self._wants_whole = False  # whether the watch begins with the whole list
        self._on_list: Callable[[EndpointUpdate], None] = _ignore
        self._on_failed: Callable[[], None] = _ignore_nothing
        self._is_followed = pushed
        self._changes = 0  # of what is known, so far
        self._watch: asyncio.Task[None] | None = None
        self._watch_answered = False
        self._fetches: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        """Where lists are pushed, the agent's are heard from the start on, unasked."""
        self._on_list, self._on_failed = on_list, on_failed
        if self._pushed:
            self._watch = self._spawn(self._hear_pushed())

    @property
    def is_watching(self) -> bool:
        """Whether a watch is up, or being begun."""
        return self._watch is not None and not self._watch.done()

    def watch(self, wanted: bool) -> None:
        """Watch the list from now on, or no longer.

        Asked again before its first answer, a watch goes on as it is: to call anew would give up the place in
        discovery's line, and calls that are begun over and over while it is slow would never be answered.
        """
        if self._pushed:
            return
        self._is_followed = wanted
        if self._watch is not None and self.is_watching:
            if wanted and not self._watch_answered:
                return
            self._watch.cancel()
            self._watch = None
        if wanted:
            self._watch_answered = False
            self._watch = self._spawn(self._follow())

    def allow(self, allowed_us: int, grace_us: int) -> None:
        """Go by other times that the settings allow: without asking, and after word of a drain."""
        self._vigil.allow(allowed_us, grace_us)

    def suspect_stale(self) -> None:
        """Something speaks against the list: the watch is begun anew, unless it confirms the list by then."""
        now = self._network.now()
        due = self._vigil.doubted(now)
        if due is not None:
            self._renewal = self._network.call_later((due - now) / 1e6, self._renew)

    def _renew(self) -> None:
        """Ask for everything: what changed since a version says nothing where the version is in doubt.

        A watch that waits for its first answer, or failed and is asked for again by the decisions, is left
        alone: guards against storms on a discovery that is slow or down.
        """
        self._renewal = None
        is_due = self._vigil.is_due(self._network.now())
        if not is_due or self._watch is None or self._watch.done() or not self._watch_answered:
            return
        self._watch.cancel()
        self._watch_answered = False
        self._wants_whole = True
        self._watch = self._spawn(self._hear_pushed() if self._pushed else self._follow())

    def fetch(self) -> None:
        """Ask once for the whole list."""
        if len(self._tasks) >= _MOST_CALLS:
            self._network.call_soon(self._on_failed)
            return
        fetch = self._spawn(self._fetch())
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)

    def move(self, address: Address) -> None:
        """Ask at another address from now on, and leave the old one at once.

        What was on its way is asked anew there: no failure of the old one is told.  The other discovery
        counts its own versions, so it is asked for everything first, and taken whatever was known.
        """
        self._address = address
        self._version = None
        self._changes += 1
        fetches = len(self._fetches)
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        self._fetches.clear()
        self._watch, self._watch_answered = None, False
        self._vigil.moved()
        if self._is_followed:
            self._watch = self._spawn(self._hear_pushed() if self._pushed else self._follow())
        for _ in range(fetches):
            self.fetch()

    def close(self) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._network.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _fetch(self) -> None:
        calls, changes = self._calls(), self._changes
        try:
            listing, _ = await calls.call(None, self._vigil.first, _ignore)
        except DiscoveryCallError:
            self._on_failed()
        else:
            if self._version is not None and listing.version > self._version:
                self.suspect_stale()  # the watch should have said so
            self._heard(listing, changes)
        finally:
            calls.close()

    async def _follow(self) -> None:
        try:
            await self._watch_on()
        except DiscoveryCallError:
            self._watch = None
            self._on_failed()

    async def _hear_pushed(self) -> None:
        while True:
            try:
                await self._watch_on()
            except DiscoveryCallError:
                await self._network.sleep(self._vigil.waiting.apart_s)  # nobody else asks again

    async def _watch_on(self) -> None:
        """Watch until a call fails.  The first call waits for nothing, so that it is answered soon."""
        calls, patience = self._calls(), self._vigil.first
        try:
            while True:
                changes = self._changes
                after = None if self._wants_whole else self._version

                def told(listing: EndpointUpdate, changes: int = changes) -> None:
                    self._heard(listing, changes)

                listing, goes_on = await calls.call(after, patience, told)
                self._wants_whole = False
                brought_news = listing.version != self._version
                self._vigil.confirmed(self._network.now(), brought_news=brought_news)
                if listing.full or listing.entries or not self._watch_answered:
                    self._watch_answered = True
                    self._heard(listing, changes)
                is_up = goes_on and patience.wait_ms > 0
                patience = self._vigil.waiting if is_up else self._vigil.second
        finally:
            calls.close()

    def _calls(self) -> DiscoveryClient[EndpointUpdate]:
        return DiscoveryClient(self._network, self._address, self._read)

    def _read(self, body: bytes) -> EndpointUpdate:
        """Read an answer; of many in a row that can't be read, the first is told."""
        try:
            _check_values(body)
            listing = parse_listing(json.loads(body))
        except (ValueError, RecursionError) as nonsense:
            if self._log is not None and not self._told_nonsense:
                self._log(f"discovery: {nonsense}; its last list holds")
            self._told_nonsense = True
            raise ValueError(str(nonsense)) from None
        self._told_nonsense = False
        return listing

    def _heard(self, listing: EndpointUpdate, changes: int) -> None:
        """Take over an answer to a call that began when so many changes were known.

        Guards against a list that was overtaken: a fetch and a watch run side by side, and the one that began
        first may end last.  A lower version that nothing overtook is that of a discovery that began anew.
        """
        known = self._version
        if changes != self._changes and known is not None and listing.version < known:
            listing = EndpointUpdate(known, False, ())
        else:
            self._version = listing.version
            self._changes += 1
        self._on_list(listing)


def _ignore(_: object) -> None:
    """Nothing is kept of it."""


def _ignore_nothing() -> None:
    """Nobody listens yet."""
