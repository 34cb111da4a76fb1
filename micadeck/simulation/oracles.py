"""What must hold, seen from outside: from the bytes on the wire, the work that servers did, what clients got.

Nothing here asks the program, but for what it still holds once all is quiet.
"""

from __future__ import annotations

import gzip
import hashlib
from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httptools
import msgspec

from micadeck.simulation import clients, consul, servers
from micadeck.simulation.servers import Server
from micadeck.simulation.streams import Pipe, VirtualTransport

if TYPE_CHECKING:
    from micadeck.simulation.wire import Wire

SLACK_S = 0.03  # for an answer to cross the network, and for a tick
GRACE_S = 0.5  # rule 3
LISTS_S = 6.0  # what discovery has to tell counts as told by then, whether or not it arrived
FALL_S = 1.0  # rule 4: in any such span
FALL_MULTIPLE = 3.0  # no more than so many times what it can do
_FALL_CHANCE = 3.0  # and so many mean requests beside, for chance


@dataclass(slots=True)
class Violation:
    """A rule that broke."""

    rule: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"{self.at_s:10.6f} s  {self.rule}: {self.text}"


@dataclass(slots=True)
class _Fate:
    """What became of one try of a client."""

    one: clients.Try
    effects: int = 0
    answers: int = 0
    sent: int = 0  # attempts
    out: tuple[VirtualTransport, str] | None = None  # the attempt whose last byte left, and its server


@dataclass(slots=True)
class _Upward:
    """A stream from a sidecar to a server."""

    server: str
    parser: Any = None
    fate: _Fate | None = None
    began_at: float = 0.0
    answer: Any = None


class Oracles:
    """Hears everything; keeps what broke, what occurred how often, and the account of the day."""

    def __init__(self, wire: Wire, trace: list[str] | None = None) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.servers: dict[str, Server] = {}  # by host name
        self.places: dict[str, str] = {}  # the hosts by their addresses
        self._wire = wire
        self._loop = wire.loop
        self._trace = trace
        self._hash = hashlib.blake2b(digest_size=16)
        self._fates: dict[str, _Fate] = {}
        self._effects: Counter[tuple[str, str]] = Counter()  # by order and class
        self._upward: dict[int, _Upward] = {}  # by the stream's number
        self._told: dict[int, _Told] = {}
        self._heard: dict[str, dict[str, tuple[str, float, int]]] = {}  # by sidecar: state, since, started_ms
        self._sent: dict[str, deque[tuple[float, float]]] = {}  # work that reached a cold server, lately
        self._fell: set[str] = set()
        self._ended: dict[str, float] = {}  # servers that are listed as leaving or gone, since when
        self._unheard = 0  # faults by which nobody can be told anything
        self._well_at = 0.0  # when the last of these was over

    # The account

    def note(self, text: str) -> None:
        line = f"{self._loop.now_us / 1e6:10.6f}  {text}"
        self._hash.update(line.encode())
        if self._trace is not None:
            self._trace.append(line)

    def digest(self) -> str:
        return self._hash.hexdigest()

    def broke(self, rule: str, text: str) -> None:
        self.note(f"BROKEN {rule}: {text}")
        self.violations.append(Violation(rule, self._loop.time(), text))

    # What clients see (rule 1)

    def asked(self, one: clients.Try) -> None:
        self._fates[one.ident] = _Fate(one)
        self.counts["requests"] += 1
        self.note(f"client asks {one.ident} {one.order.kind}")

    @staticmethod
    def _due(one: clients.Try, accepted_at: float) -> float:
        """When its time is up; it begins once a sidecar that had no descriptor left has accepted it."""
        return one.until + max(accepted_at - one.asked_at, 0.0)

    def answered(self, one: clients.Try | None, status: int, body: bytes, accepted_at: float) -> None:
        if one is None:
            self.broke("one answer", f"an answer that nobody waits for: {status} {body[:60]!r}")
            return
        fate = self._fates.get(one.ident)
        self.note(f"client hears {one.ident} {status}")
        if fate is None:
            self.broke("one answer", f"{one.ident} has its answer before its last byte")
            return
        fate.answers += 1
        self.counts[f"answer {status}"] += 1
        if fate.answers > 1:
            self.broke("one answer", f"{one.ident} has {fate.answers}")
        late_s = self._loop.time() - self._due(one, accepted_at)
        if late_s > SLACK_S:
            self.broke("in time", f"{one.ident} is {late_s:.3f} s late")
        if status == 200:
            # Spoilt answers hold other bodies; those must not come through as good.
            _, _, ident = body.decode("latin-1").partition(" ")
            if ident != one.ident:
                self.broke("own answer", f"{one.ident} got {body[:60]!r}")
        elif status not in (502, 503, 504):
            self.broke("one answer", f"{one.ident} was answered {status}: {body[:60]!r}")

    def closed(self, one: clients.Try, was_new: bool) -> None:
        """A connection ended without an answer."""
        fate = self._fates[one.ident]
        if not one.gone and not fate.answers:
            one.gone = True
            self.counts["connection closed without an answer"] += 1
            self.note(f"client loses {one.ident}")
            if fate.sent:
                self.broke(
                    "one answer", f"{one.ident} was taken, and its connection closed without an answer"
                )

    def left(self, one: clients.Try, accepted_at: float) -> None:
        fate = self._fates[one.ident]
        over_s = self._loop.time() - self._due(one, accepted_at)
        if over_s > SLACK_S and not one.gone and not fate.answers:
            self.broke("one answer", f"{one.ident} has none {over_s:.3f} s after its time")
        one.gone = True
        self.counts["client left"] += 1
        self.note(f"client leaves {one.ident}")

    def excuse(self, sidecar_place: Any) -> None:
        """A sidecar was killed: what it owed is not owed any more."""
        for fate in self._fates.values():
            if not fate.answers and (fate.one.order.sidecar == sidecar_place):
                fate.one.gone = True

    # What servers do (rules 2 and 4)

    def came(self, server: Server, job: servers.Job) -> None:
        self._push_over(server, job)

    def ran(self, server: Server, job: servers.Job, is_repeat: bool) -> None:
        self.note(f"{server.name} runs {job.ident}{' again, dropped' if is_repeat else ''}")
        self.counts["run"] += 1
        fate = self._fates.get(job.ident)
        if fate is None:
            # A request whose last byte the client has not written can't run.
            self.broke("no effect twice", f"{job.ident} ran before it was asked")
            return
        if is_repeat:
            self.counts["repeat dropped"] += 1
            return
        kind = fate.one.order.kind
        fate.effects += 1
        self._effects[(job.order, kind)] += 1
        if kind != "check" and self._effects[(job.order, kind)] > 1 and fate.effects > 1:
            self.broke(
                "no effect twice", f"{kind} {job.ident} ran {fate.effects} times, last at {server.name}"
            )
        if kind == "lodge" and fate.answers and fate.one.status == 503:
            self.broke("a refusal is harmless", f"{job.ident} was refused and ran at {server.name}")
        if kind == "lodge" and self._effects[(job.order, kind)] > 1 and fate.effects == 1:
            self.broke("a refusal is harmless", f"order {job.order} ran again as {job.ident}")

    def _push_over(self, server: Server, job: servers.Job) -> None:
        now = self._loop.time()
        if server.started_at is None or server.warmth(now) >= 1.0:
            return
        self.counts["request at a cold server"] += 1
        sent = self._sent.setdefault(f"{server.name} {server.started_at}", deque())
        sent.append((now, job.work_s))
        while sent[0][0] < now - FALL_S:
            sent.popleft()
        can = FALL_MULTIPLE * server.cores * server.warmth(now) * FALL_S + _FALL_CHANCE * server.work_s
        asked = sum(work for _, work in sent)
        key = f"{server.name} {server.started_at}"
        if asked > can and key not in self._fell and self._was_told(server):
            self._fell.add(key)
            self.broke(
                "cold servers",
                f"{server.name} was sent {asked:.2f} core-seconds in {FALL_S} s, can bear {can:.2f}",
            )

    def _was_told(self, server: Server) -> bool:
        """Whether two thirds of the sidecars heard of its start."""
        assert server.started_at is not None
        told = [
            heard[server.name][2] >= int(server.started_at * 1e3)
            for heard in self._heard.values()
            if server.name in heard
        ]
        return sum(told) * 3 >= 2 * len(self._heard)

    # What discovery has to tell (rule 3)

    def listed(self, server: str, state: str) -> None:
        """Discovery's own list says this of a server from now on."""
        if state == "active":
            self._ended.pop(server, None)
        else:
            self._ended.setdefault(server, self._loop.time())

    def told_nothing(self, begins: bool) -> None:
        """A fault begins, or ends, under which discovery can tell nobody anything."""
        self._unheard += 1 if begins else -1
        self._well_at = self._loop.time()

    # What the wire carries (rules 2 and 3)

    def listen_in(self, pipe: Pipe, data: bytes, has_landed: bool) -> None:
        """Bytes leave a socket, or land in one."""
        source, target = pipe.source, pipe.target
        start, end = source.machine.host.name, target.machine.host.name
        if start.startswith("sidecar") and end.startswith("server") and not has_landed:
            self._asks(source, end, data)
        elif start.startswith("server") and end.startswith("sidecar") and has_landed:
            self._hears(target, data)
        elif start.startswith(("discovery", "consul")) and end.startswith("sidecar") and has_landed:
            told = self._told.get(target.number)
            if told is None:
                told = self._told[target.number] = _Told(self, end)
            told.feed(data)

    def _asks(self, transport: VirtualTransport, server: str, data: bytes) -> None:
        upward = self._upward.get(transport.number)
        if upward is None:
            upward = self._upward[transport.number] = _Upward(server)
            upward.parser = httptools.HttpRequestParser(_Asked(self, upward, transport))
        upward.parser.feed_data(data)

    def began(self, upward: _Upward, transport: VirtualTransport) -> None:
        """A request's first byte leaves a sidecar."""
        upward.began_at = self._loop.time()
        sidecar, server = transport.machine.host.name, self.servers[upward.server]
        ended_at = self._ended.get(server.name)
        if ended_at is not None and not self._unheard:
            late_s = upward.began_at - max(ended_at, self._well_at) - LISTS_S - GRACE_S
            if late_s > 0.0:
                self.broke(
                    "lists",
                    f"{sidecar} begins a request at {server.name}, which left {late_s:.3f} s too long",
                )
        heard = self._heard.get(sidecar, {}).get(server.name)
        if heard is not None and heard[0] != "active" and upward.began_at > heard[1] + GRACE_S:
            self.broke(
                "drains", f"{sidecar} begins a request at {server.name}, {heard[0]} since {heard[1]:.3f} s"
            )

    def is_sent(self, upward: _Upward, transport: VirtualTransport, ident: str) -> None:
        """A request's last byte leaves a sidecar."""
        self.counts["attempt"] += 1
        self.note(f"{transport.machine.host.name} sends {ident} to {upward.server}")
        fate = self._fates.get(ident)
        if fate is None:
            self.broke("one answer", f"{ident} was sent on before it was asked")
            return
        if fate.out is not None:
            before, _ = fate.out
            self.counts["further attempt"] += 1
            if not before.is_shut and before is not transport:
                self.broke(
                    "one attempt at a time", f"{ident} goes to {upward.server}, and is out at {fate.out[1]}"
                )
        if fate.answers:
            self.broke("one answer", f"{ident} was sent on after its answer")
        fate.sent += 1
        fate.out = (transport, upward.server)
        upward.fate = fate

    def _hears(self, transport: VirtualTransport, data: bytes) -> None:
        upward = self._upward.get(transport.number)
        if upward is None or upward.fate is None:
            return
        # Whatever came, the attempt is no longer silent; a whole answer ends it.
        if upward.answer is None:
            upward.answer = httptools.HttpResponseParser(_Answered(upward, transport))
        try:
            upward.answer.feed_data(data)
        except httptools.HttpParserError:
            upward.answer = None

    # What discovery told

    def restarted(self, sidecar: str, known: dict[str, Any]) -> None:
        """A process of a sidecar starts with this list."""
        self._heard[sidecar] = {}
        self.told(sidecar, known)

    def told(self, sidecar: str, listing: dict[str, Any]) -> None:
        now, heard = self._loop.time(), self._heard.setdefault(sidecar, {})
        listed = {each["id"]: each for each in listing["servers"]}
        if listing["full"]:
            for name in heard.keys() - listed.keys():
                if heard[name][0] != "left":
                    heard[name] = ("left", now, heard[name][2])
        for name, each in listed.items():
            before = heard.get(name)
            since = before[1] if before is not None and before[0] == each["state"] else now
            heard[name] = (each["state"], since, each.get("started_ms", 0) - _EPOCH_MS)


_EPOCH_MS = 1_700_000_000_000


class _Asked:
    """Hears a parser of what a sidecar writes to a server."""

    def __init__(self, oracles: Oracles, upward: _Upward, transport: VirtualTransport) -> None:
        self._oracles, self._upward, self._transport = oracles, upward, transport
        self._ident = ""

    def on_message_begin(self) -> None:
        self._ident = ""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self._ident = value.decode()

    def on_headers_complete(self) -> None:
        if self._ident:
            self._oracles.began(self._upward, self._transport)

    def on_message_complete(self) -> None:
        if self._ident:
            self._oracles.is_sent(self._upward, self._transport, self._ident)


class _Answered:
    """Hears a parser of what a server answers."""

    def __init__(self, upward: _Upward, transport: VirtualTransport) -> None:
        self._upward, self._transport = upward, transport

    def on_message_complete(self) -> None:
        fate = self._upward.fate
        if fate is not None and fate.out is not None and fate.out[0] is self._transport:
            fate.out = None
        self._upward.fate = None


class _Told:
    """Reads what discovery tells a sidecar on one stream."""

    def __init__(self, oracles: Oracles, sidecar: str) -> None:
        self._oracles, self._sidecar = oracles, sidecar
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._is_zipped = False

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-encoding":
            self._is_zipped = value == b"gzip"

    def on_message_begin(self) -> None:
        self._body = b""

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() == 200:
            said = msgspec.json.decode(gzip.decompress(self._body) if self._is_zipped else self._body)
            if isinstance(said, list):
                said = consul.listing(said)
            if "servers" in said:  # an agent is asked for other things too
                self._oracles.told(self._sidecar, said)
