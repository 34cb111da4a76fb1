"""Oracles: invariants checked from outside, by bytes on the wire, work at servers and clients' answers.

No oracle reads the program's state, but for the leak check once a run is idle.
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

ANSWER_SLACK_S = 0.03  # network delay of an answer, and one tick
GRACE_S = 0.5  # rule 3: for requests to a server that drains or left
LIST_DELAY_S = 6.0  # limit for a change of discovery's list to be applied, whether or not it arrived
COLD_WINDOW_S = 1.0  # rule 4: sliding window of the work sent to a cold server
COLD_LOAD_MULTIPLE = 3.0  # limit of that work, as a multiple of the server's capacity
_COLD_EXTRA_REQUESTS = 3.0  # further mean requests allowed, for random variation


@dataclass(slots=True)
class Violation:
    """A violated invariant."""

    rule: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"{self.at_s:10.6f} s  {self.rule}: {self.text}"


@dataclass(slots=True)
class _RequestState:
    """The state of one client request."""

    request: clients.ClientRequest
    executions: int = 0
    answers: int = 0
    attempts: int = 0
    last_attempt: tuple[VirtualTransport, str] | None = (
        None  # the last attempt that was sent, until it ends, and its server
    )


@dataclass(slots=True)
class _UpstreamStream:
    """A stream from a sidecar to a server."""

    server: str
    parser: Any = None
    state: _RequestState | None = None
    started_at: float = 0.0
    response_parser: Any = None


class Oracles:
    """Observes a run; keeps the violations, event counts and the trace with its hash."""

    def __init__(self, wire: Wire, trace: list[str] | None = None) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.servers: dict[str, Server] = {}  # by host name
        self.hosts_by_address: dict[str, str] = {}  # host names by address
        self._wire = wire
        self._loop = wire.loop
        self._trace = trace
        self._hash = hashlib.blake2b(digest_size=16)
        self._requests: dict[str, _RequestState] = {}
        self._executions: Counter[tuple[str, str]] = Counter()  # by order and class
        self._streams: dict[int, _UpstreamStream] = {}  # by stream number
        self._list_parsers: dict[int, _ListParser] = {}
        # By sidecar and server: state, since when, started_ms.
        self._known_servers: dict[str, dict[str, tuple[str, float, int]]] = {}
        self._cold_work: dict[str, deque[tuple[float, float]]] = {}  # by cold server
        self._overloaded: set[str] = set()
        self._inactive_since: dict[str, float] = {}  # when servers were listed as leaving or removed
        self._discovery_faults = 0  # faults in force that keep discovery from delivering changes
        self._discovery_changed_at = 0.0  # when one of them last began or ended

    # Trace and violations

    def trace_event(self, text: str) -> None:
        line = f"{self._loop.now_us / 1e6:10.6f}  {text}"
        self._hash.update(line.encode())
        if self._trace is not None:
            self._trace.append(line)

    def digest(self) -> str:
        return self._hash.hexdigest()

    def add_violation(self, rule: str, text: str) -> None:
        self.trace_event(f"BROKEN {rule}: {text}")
        self.violations.append(Violation(rule, self._loop.time(), text))

    # Clients (rule 1)

    def on_sent(self, request: clients.ClientRequest) -> None:
        self._requests[request.ident] = _RequestState(request)
        self.counts["requests"] += 1
        self.trace_event(f"client asks {request.ident} {request.order.kind}")

    @staticmethod
    def _deadline(request: clients.ClientRequest, accepted_at: float) -> float:
        """The deadline, counted from the accept if a sidecar without free descriptors accepted late."""
        return request.deadline + max(accepted_at - request.sent_at, 0.0)

    def on_answer(
        self, request: clients.ClientRequest | None, status: int, body: bytes, accepted_at: float
    ) -> None:
        if request is None:
            self.add_violation("one answer", f"an answer that nobody waits for: {status} {body[:60]!r}")
            return
        state = self._requests.get(request.ident)
        self.trace_event(f"client hears {request.ident} {status}")
        if state is None:
            self.add_violation("one answer", f"{request.ident} has its answer before its last byte")
            return
        state.answers += 1
        self.counts[f"answer {status}"] += 1
        if state.answers > 1:
            self.add_violation("one answer", f"{request.ident} has {state.answers}")
        late_s = self._loop.time() - self._deadline(request, accepted_at)
        if late_s > ANSWER_SLACK_S:
            self.add_violation("in time", f"{request.ident} is {late_s:.3f} s late")
        if status == 200:
            # A malformed response has another body, which must not reach a client as a success.
            _, _, ident = body.decode("latin-1").partition(" ")
            if ident != request.ident:
                self.add_violation("own answer", f"{request.ident} got {body[:60]!r}")
        elif status not in (502, 503, 504):
            self.add_violation("one answer", f"{request.ident} was answered {status}: {body[:60]!r}")

    def on_connection_closed(self, request: clients.ClientRequest, was_new: bool) -> None:
        """A connection closed without an answer."""
        state = self._requests[request.ident]
        if not request.is_abandoned and not state.answers:
            request.is_abandoned = True
            self.counts["connection closed without an answer"] += 1
            self.trace_event(f"client loses {request.ident}")
            if state.attempts:
                self.add_violation(
                    "one answer", f"{request.ident} was taken, and its connection closed without an answer"
                )

    def on_client_left(self, request: clients.ClientRequest, accepted_at: float) -> None:
        state = self._requests[request.ident]
        late_s = self._loop.time() - self._deadline(request, accepted_at)
        if late_s > ANSWER_SLACK_S and not request.is_abandoned and not state.answers:
            self.add_violation("one answer", f"{request.ident} has none {late_s:.3f} s after its time")
        request.is_abandoned = True
        self.counts["client left"] += 1
        self.trace_event(f"client leaves {request.ident}")

    def on_sidecar_killed(self, sidecar: Any) -> None:
        """A sidecar was killed: its unanswered requests are due no answer."""
        for state in self._requests.values():
            if not state.answers and (state.request.order.sidecar == sidecar):
                state.request.is_abandoned = True

    # Servers (rules 2 and 4)

    def on_received(self, server: Server, job: servers.Job) -> None:
        self._check_cold_load(server, job)

    def on_executed(self, server: Server, job: servers.Job, is_repeat: bool) -> None:
        self.trace_event(f"{server.name} runs {job.ident}{' again, dropped' if is_repeat else ''}")
        self.counts["run"] += 1
        state = self._requests.get(job.ident)
        if state is None:
            # A request can't run before the client has written its last byte.
            self.add_violation("no effect twice", f"{job.ident} ran before it was asked")
            return
        if is_repeat:
            self.counts["repeat dropped"] += 1
            return
        kind = state.request.order.kind
        state.executions += 1
        self._executions[(job.order, kind)] += 1
        if kind != "check" and self._executions[(job.order, kind)] > 1 and state.executions > 1:
            self.add_violation(
                "no effect twice", f"{kind} {job.ident} ran {state.executions} times, last at {server.name}"
            )
        if kind == "lodge" and state.answers and state.request.status == 503:
            self.add_violation("a refusal is harmless", f"{job.ident} was refused and ran at {server.name}")
        if kind == "lodge" and self._executions[(job.order, kind)] > 1 and state.executions == 1:
            self.add_violation("a refusal is harmless", f"order {job.order} ran again as {job.ident}")

    def _check_cold_load(self, server: Server, job: servers.Job) -> None:
        now = self._loop.time()
        if server.started_at is None or server.capacity_share(now) >= 1.0:
            return
        self.counts["request at a cold server"] += 1
        sent = self._cold_work.setdefault(f"{server.name} {server.started_at}", deque())
        sent.append((now, job.work_s))
        while sent[0][0] < now - COLD_WINDOW_S:
            sent.popleft()
        limit = (
            COLD_LOAD_MULTIPLE * server.cores * server.capacity_share(now) * COLD_WINDOW_S
            + _COLD_EXTRA_REQUESTS * server.work_s
        )
        received = sum(work for _, work in sent)
        key = f"{server.name} {server.started_at}"
        if received > limit and key not in self._overloaded and self._is_start_known(server):
            self._overloaded.add(key)
            self.add_violation(
                "cold servers",
                f"{server.name} was sent {received:.2f} core-seconds in {COLD_WINDOW_S} s, "
                f"can bear {limit:.2f}",
            )

    def _is_start_known(self, server: Server) -> bool:
        """Whether two thirds of the sidecars know of its start."""
        assert server.started_at is not None
        informed = [
            known[server.name][2] >= int(server.started_at * 1e3)
            for known in self._known_servers.values()
            if server.name in known
        ]
        return sum(informed) * 3 >= 2 * len(self._known_servers)

    # Discovery's list (rule 3)

    def on_listed(self, server: str, state: str) -> None:
        """Discovery lists a server in this state from now on."""
        if state == "active":
            self._inactive_since.pop(server, None)
        else:
            self._inactive_since.setdefault(server, self._loop.time())

    def on_discovery_fault(self, begins: bool) -> None:
        """A fault begins or ends that keeps discovery from delivering changes."""
        self._discovery_faults += 1 if begins else -1
        self._discovery_changed_at = self._loop.time()

    # Bytes on the wire (rules 2 and 3)

    def observe(self, pipe: Pipe, data: bytes, has_arrived: bool) -> None:
        """Bytes leave a socket, or arrive in one."""
        source, target = pipe.source, pipe.target
        start, end = source.machine.host.name, target.machine.host.name
        if start.startswith("sidecar") and end.startswith("server") and not has_arrived:
            self._observe_request(source, end, data)
        elif start.startswith("server") and end.startswith("sidecar") and has_arrived:
            self._observe_response(target, data)
        elif start.startswith(("discovery", "consul")) and end.startswith("sidecar") and has_arrived:
            parser = self._list_parsers.get(target.number)
            if parser is None:
                parser = self._list_parsers[target.number] = _ListParser(self, end)
            parser.feed(data)

    def _observe_request(self, transport: VirtualTransport, server: str, data: bytes) -> None:
        upstream = self._streams.get(transport.number)
        if upstream is None:
            upstream = self._streams[transport.number] = _UpstreamStream(server)
            upstream.parser = httptools.HttpRequestParser(_RequestCallbacks(self, upstream, transport))
        upstream.parser.feed_data(data)

    def on_request_started(self, upstream: _UpstreamStream, transport: VirtualTransport) -> None:
        """A request's first byte leaves a sidecar."""
        upstream.started_at = self._loop.time()
        sidecar, server = transport.machine.host.name, self.servers[upstream.server]
        ended_at = self._inactive_since.get(server.name)
        if ended_at is not None and not self._discovery_faults:
            late_s = upstream.started_at - max(ended_at, self._discovery_changed_at) - LIST_DELAY_S - GRACE_S
            if late_s > 0.0:
                self.add_violation(
                    "lists",
                    f"{sidecar} begins a request at {server.name}, which left {late_s:.3f} s too long",
                )
        known = self._known_servers.get(sidecar, {}).get(server.name)
        if known is not None and known[0] != "active" and upstream.started_at > known[1] + GRACE_S:
            self.add_violation(
                "drains", f"{sidecar} begins a request at {server.name}, {known[0]} since {known[1]:.3f} s"
            )

    def on_request_sent(self, upstream: _UpstreamStream, transport: VirtualTransport, ident: str) -> None:
        """A request's last byte leaves a sidecar."""
        self.counts["attempt"] += 1
        self.trace_event(f"{transport.machine.host.name} sends {ident} to {upstream.server}")
        state = self._requests.get(ident)
        if state is None:
            self.add_violation("one answer", f"{ident} was sent on before it was asked")
            return
        if state.last_attempt is not None:
            previous, _ = state.last_attempt
            self.counts["further attempt"] += 1
            if not previous.is_shut_down and previous is not transport:
                self.add_violation(
                    "one attempt at a time",
                    f"{ident} goes to {upstream.server}, and is out at {state.last_attempt[1]}",
                )
        if state.answers:
            self.add_violation("one answer", f"{ident} was sent on after its answer")
        state.attempts += 1
        state.last_attempt = (transport, upstream.server)
        upstream.state = state

    def _observe_response(self, transport: VirtualTransport, data: bytes) -> None:
        upstream = self._streams.get(transport.number)
        if upstream is None or upstream.state is None:
            return
        # A complete response ends the attempt.
        if upstream.response_parser is None:
            upstream.response_parser = httptools.HttpResponseParser(_ResponseCallbacks(upstream, transport))
        try:
            upstream.response_parser.feed_data(data)
        except httptools.HttpParserError:
            upstream.response_parser = None

    # Lists that reach sidecars

    def on_sidecar_started(self, sidecar: str, known: dict[str, Any]) -> None:
        """A sidecar process starts with this list."""
        self._known_servers[sidecar] = {}
        self.on_list_received(sidecar, known)

    def on_list_received(self, sidecar: str, roster_list: dict[str, Any]) -> None:
        now, known = self._loop.time(), self._known_servers.setdefault(sidecar, {})
        entries = {entry["id"]: entry for entry in roster_list["servers"]}
        if roster_list["full"]:
            for name in known.keys() - entries.keys():
                if known[name][0] != "left":
                    known[name] = ("left", now, known[name][2])
        for name, entry in entries.items():
            before = known.get(name)
            since = before[1] if before is not None and before[0] == entry["state"] else now
            known[name] = (entry["state"], since, entry.get("started_ms", 0) - _EPOCH_MS)


_EPOCH_MS = 1_700_000_000_000


class _RequestCallbacks:
    """Parser callbacks for a sidecar's requests to a server."""

    def __init__(self, oracles: Oracles, upstream: _UpstreamStream, transport: VirtualTransport) -> None:
        self._oracles, self._upstream, self._transport = oracles, upstream, transport
        self._ident = ""

    def on_message_begin(self) -> None:
        self._ident = ""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self._ident = value.decode()

    def on_headers_complete(self) -> None:
        if self._ident:
            self._oracles.on_request_started(self._upstream, self._transport)

    def on_message_complete(self) -> None:
        if self._ident:
            self._oracles.on_request_sent(self._upstream, self._transport, self._ident)


class _ResponseCallbacks:
    """Parser callbacks for a server's responses."""

    def __init__(self, upstream: _UpstreamStream, transport: VirtualTransport) -> None:
        self._upstream, self._transport = upstream, transport

    def on_message_complete(self) -> None:
        state = self._upstream.state
        if state is not None and state.last_attempt is not None and state.last_attempt[0] is self._transport:
            state.last_attempt = None
        self._upstream.state = None


class _ListParser:
    """Parses discovery's responses to a sidecar on one stream."""

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
            decoded = msgspec.json.decode(gzip.decompress(self._body) if self._is_zipped else self._body)
            if isinstance(decoded, list):
                decoded = consul.roster_list(decoded)
            if "servers" in decoded:  # an agent also answers other queries
                self._oracles.on_list_received(self._sidecar, decoded)
