"""The stand-in's HTTP server: reads, writes and injected faults."""

from __future__ import annotations

import asyncio
import base64
import gzip
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from micadeck.stand_ins.consul.state import HOST, NODE, State

_DEFAULT_WAIT_S, _MAX_WAIT_S = 300.0, 600.0


@dataclass
class Fault:
    """A fault of the next reads.

    `hang`: no response.  `reset`: the connection is reset in the middle of the body.  `truncated`: half the
    JSON, with a matching length.  `trickle`: a byte every 50 ms.  `status`: that status, with `text`.
    `index`: this X-Consul-Index.  `huge`: a body of 5 MiB.  `redirect`: a 307 to `to`.
    """

    kind: str
    times: int = 1
    status: int = 500
    text: str = "No cluster leader"
    index: int = 0
    to: str = ""


class NotFound(Exception):
    """Answered with 404."""


def _read_state(state: State, path: str, query: dict[str, str], tags: list[str]) -> Any:
    """The result of a read; raise NotFound."""
    kind, _, name = path.removeprefix("/v1/").rpartition("/")
    match kind, name:
        case "health/service", _:
            return state.health(name, passing="passing" in query, tags=tags)
        case "catalog/service", _:
            return state.catalog(name, tags)
        case "catalog", "nodes":
            return list(state.nodes.values())
        case "catalog", "services":
            return state.service_tags()
        case "catalog", "datacenters":
            return ["dc1"]
        case "catalog/node", _:
            node = state.nodes.get(name)
            return {"Node": node, "Services": state.node_services(name)} if node else None
        case "health/node", _:
            return state.node_checks(name)
        case "health/checks", _:
            return state.service_checks(name)
        case "health/state", "any" | "passing" | "warning" | "critical":
            return [row for row in state.checks.values() if name in ("any", row["Status"])]
        case _ if path.startswith("/v1/kv/"):
            return _read_keys(state, path.removeprefix("/v1/kv/"), query)
        case _:
            raise NotFound(path)


def _read_keys(state: State, key: str, query: dict[str, str]) -> Any:
    is_prefix = "recurse" in query or "keys" in query
    rows = [
        row for name, row in sorted(state.keys.items()) if name == key or (is_prefix and name.startswith(key))
    ]
    if not rows:
        raise NotFound("")
    if "raw" in query:
        return base64.b64decode(rows[0]["Value"] or "")
    return [row["Key"] for row in rows] if "keys" in query else rows


def _is_true(text: str) -> bool:
    """Parse a boolean as Go does; raise ValueError on anything else."""
    if text in ("1", "t", "T", "TRUE", "true", "True"):
        return True
    if text in ("0", "f", "F", "FALSE", "false", "False"):
        return False
    raise ValueError(f"enable: {text!r:.40} is neither true nor false")


class StandInConsul:
    """A server with its agent."""

    def __init__(self, *, tokens: set[str] | None = None) -> None:
        self.state = State()  # the leader's
        self._follower = State()
        for state in (self.state, self._follower):
            state.put_node(NODE, HOST)
        self.tokens = tokens  # None: no access control
        self.has_leader = True
        self.stale_by_s = 0.0  # replication lag that stale reads see
        self.faults: list[Fault] = []
        self.reads = 0  # of the catalogue, health and keys
        self.rng = random.Random()  # for the jitter of blocking queries
        self._changed = asyncio.Event()
        self._pending: deque[tuple[float, Callable[[State], object]]] = deque()  # not yet on the follower
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> StandInConsul:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def change(self, apply: Callable[[State], object]) -> Any:
        """Apply a change, wake blocking queries and return the change's result.

        The follower applies it later, as from a replicated log, so `apply` must be deterministic.
        """
        self._pending.append((asyncio.get_running_loop().time(), apply))
        self._catch_up()
        result = apply(self.state)
        self._changed.set()
        self._changed = asyncio.Event()
        return result

    def restart_empty(self) -> None:
        """Lose all data, as an agent can: no services, and the index starts over."""

        def clear(state: State) -> None:
            state.__init__()  # type: ignore[misc]
            state.put_node(NODE, HOST)

        self.change(clear)

    def _catch_up(self) -> None:
        applied_until = asyncio.get_running_loop().time() - self.stale_by_s
        while self._pending and self._pending[0][0] <= applied_until:
            self._pending.popleft()[1](self._follower)

    def _state_for_read(self, is_stale: bool) -> State:
        """The leader's state, or a lagging follower's."""
        if not is_stale or not self.stale_by_s:
            return self.state
        self._catch_up()
        return self._follower

    # HTTP

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(":") for line in head[1:] if line)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = head[0].split(" ")
                if not await self._answer(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        parts = urlsplit(target)
        path = unquote(parts.path)
        query_values = parse_qs(parts.query, keep_blank_values=True)
        query = {name: values[-1] for name, values in query_values.items()}
        is_read = path.startswith(("/v1/catalog/", "/v1/health/", "/v1/kv/")) and method == "GET"
        self.reads += is_read
        fault = self._next_fault() if is_read else None
        if fault is not None and fault.kind not in ("truncated", "index", "reset", "trickle", "huge"):
            return await self._inject(fault, target, writer)
        token = headers.get("x-consul-token", query.get("token", ""))
        if self.tokens is not None and path.startswith("/v1/") and token not in self.tokens:
            _write_response(writer, 403, b"Permission denied")
            return True
        if is_read and not self.has_leader and "stale" not in query:
            _write_response(writer, 500, b"No cluster leader")
            return True
        try:
            if is_read:
                index, result = await self._read(path, query, query_values.get("tag", []))
            elif path.startswith("/v1/kv/"):
                index, result = 0, self._write_key(method, path.removeprefix("/v1/kv/"), query, body)
            else:
                fields = _canonical(json.loads(body or b"null"))
                index, result = 0, self._handle_other(method, path, query, fields)
        except NotFound as error:
            response_headers = {}
            if is_read:
                index = self._index(self._state_for_read("stale" in query), path)
                response_headers["X-Consul-Index"] = str(index)
            _write_response(writer, 404, str(error).encode(), response_headers)
            return True
        except (KeyError, TypeError, ValueError) as error:
            _write_response(writer, 400, f"Request decode failed: {error!r}".encode())
            return True
        response_headers = {}
        if is_read:
            response_headers = {
                "X-Consul-Index": str(fault.index if fault is not None and fault.kind == "index" else index),
                "X-Consul-KnownLeader": "true" if self.has_leader else "false",
                "X-Consul-LastContact": str(int(self.stale_by_s * 1_000) if "stale" in query else 0),
            }
        raw = (
            b""
            if result is None and not is_read
            else result
            if isinstance(result, bytes)
            else json.dumps(result).encode()
        )
        if fault is not None and fault.kind != "index":
            return await self._inject(fault, target, writer, raw, response_headers)
        if "gzip" in headers.get("accept-encoding", "") and len(raw) > 1_024:
            raw, response_headers["Content-Encoding"] = gzip.compress(raw, 1), "gzip"
        _write_response(writer, 200, raw, response_headers)
        return True

    def _next_fault(self) -> Fault | None:
        if not self.faults:
            return None
        fault = self.faults[0]
        fault.times -= 1
        if fault.times <= 0:
            self.faults.pop(0)
        return fault

    async def _inject(
        self,
        fault: Fault,
        target: str,
        writer: asyncio.StreamWriter,
        raw: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> bool:
        match fault.kind:
            case "hang":
                await asyncio.sleep(3_600)
            case "status":
                _write_response(writer, fault.status, fault.text.encode())
            case "redirect":
                _write_response(writer, 307, b"", {"Location": f"http://{fault.to}{target}"})
            case "truncated":
                _write_response(writer, 200, raw[: len(raw) // 2], headers)
            case "huge":
                _write_response(writer, 200, b'["' + b"x" * (5 << 20) + b'"]', headers)
            case "reset":
                response = _encode_response(200, raw, headers)
                writer.write(response[: len(response) - len(raw) // 2 - 1])
                await writer.drain()
                writer.transport.abort()
                return False
            case "trickle":
                for byte in _encode_response(200, raw, headers):
                    writer.write(bytes((byte,)))
                    await asyncio.sleep(0.05)
            case _:
                raise ValueError(f"no such fault: {fault.kind}")
        return True

    # Reads and writes

    async def _read(self, path: str, query: dict[str, str], tags: list[str]) -> tuple[int, Any]:
        if "filter" in query:
            raise ValueError("the stand-in knows no filters")
        known_index = int(query.get("index", "0"))
        is_stale = "stale" in query
        loop = asyncio.get_running_loop()
        wait_s = min(_seconds(query.get("wait", "")) or _DEFAULT_WAIT_S, _MAX_WAIT_S)
        until = loop.time() + wait_s + self.rng.random() * wait_s / 16
        index = self._index(self._state_for_read(is_stale), path)
        while known_index and index == known_index and loop.time() < until:
            # A lagging follower changes as time passes, without an event.
            step_s = 0.05 if is_stale and self.stale_by_s else until - loop.time()
            changed = self._changed
            try:
                async with asyncio.timeout(min(step_s, until - loop.time())):
                    await changed.wait()
            except TimeoutError:
                pass
            index = self._index(self._state_for_read(is_stale), path)
        return index, _read_state(self._state_for_read(is_stale), path, query, tags)

    @staticmethod
    def _index(state: State, path: str) -> int:
        kind, _, name = path.removeprefix("/v1/").rpartition("/")
        if kind in ("health/service", "health/checks", "catalog/service"):
            return state.service_index(name)
        return state.keys_index if path.startswith("/v1/kv/") else state.index

    def _write_key(self, method: str, key: str, query: dict[str, str], body: bytes) -> bool:
        cas = int(query["cas"]) if "cas" in query else None
        if method == "PUT":
            flags = int(query.get("flags", "0"))
            return bool(self.change(lambda state: state.put_key(key, body, flags, cas)))
        if method == "DELETE":
            recurse = "recurse" in query
            return bool(self.change(lambda state: state.drop_keys(key, recurse=recurse, cas=cas)))
        raise NotFound(f"{method} of a key")

    def _handle_other(self, method: str, path: str, query: dict[str, str], fields: Any) -> Any:
        if (method, path) == ("GET", "/v1/status/leader"):
            return f"{HOST}:8300" if self.has_leader else ""
        if (method, path) == ("GET", "/v1/agent/self"):
            return {"Config": {"Datacenter": "dc1", "NodeName": NODE, "Version": "standin"}, "Member": {}}
        if (method, path) == ("GET", "/v1/agent/services"):
            return self.state.node_services(NODE)
        if (method, path) == ("GET", "/v1/agent/checks"):
            return {row["CheckID"]: row for row in self.state.node_checks(NODE)}
        if method != "PUT":
            raise NotFound(path)
        if path == "/_standin/fault":
            self.faults.append(Fault(**{name.lower(): value for name, value in fields.items()}))
            return True
        if not self.has_leader:
            raise ValueError("No cluster leader")
        change: Callable[[State], object]
        head, _, ident = path.rpartition("/")
        if path == "/v1/catalog/register":
            change = lambda state: _register(state, fields)  # noqa: E731
        elif path == "/v1/catalog/deregister":
            change = lambda state: _deregister(state, fields)  # noqa: E731
        elif path == "/v1/agent/service/register":
            change = lambda state: _register_at_agent(state, fields)  # noqa: E731
        elif head == "/v1/agent/service/deregister":
            if (NODE, ident) not in self.state.services:
                raise NotFound(f"Unknown service ID {ident!r}")
            change = lambda state: state.drop_service(NODE, ident)  # noqa: E731
        elif head == "/v1/agent/service/maintenance" or path == "/v1/agent/maintenance":
            service_id = ident if path != "/v1/agent/maintenance" else ""
            name = f"_service_maintenance:{service_id}" if service_id else "_node_maintenance"
            if _is_true(query["enable"]):
                change = lambda state: state.put_check(NODE, name, "critical", service_id)  # noqa: E731
            else:
                change = lambda state: state.drop_check(NODE, name)  # noqa: E731
        elif head in _CHECK_STATUSES:
            check = self.state.checks.get((NODE, ident))
            if check is None:
                raise NotFound(f"Unknown check ID {ident!r}")
            status, service_id = _CHECK_STATUSES[head], check["ServiceID"]
            change = lambda state: state.put_check(NODE, ident, status, service_id)  # noqa: E731
        else:
            raise NotFound(path)
        self.change(change)
        return True if path.startswith("/v1/catalog/") else None


_CHECK_STATUSES = {
    "/v1/agent/check/pass": "passing",
    "/v1/agent/check/warn": "warning",
    "/v1/agent/check/fail": "critical",
}


_FIELD_NAMES = {
    name.lower(): name
    for name in (
        "Address Check Checks CheckID Datacenter ID Meta Name Node NodeMeta Output Passing Port Service "
        "ServiceID Status TaggedAddresses Tags TTL Warning Weights"
    ).split()
}


def _canonical(fields: Any) -> Any:
    """Restore documented field names: Consul ignores their case, as Go's JSON decoder does."""
    if isinstance(fields, list):
        return [_canonical(item) for item in fields]
    if not isinstance(fields, dict):
        return fields
    named = {_FIELD_NAMES.get(key.lower(), key): value for key, value in fields.items()}
    return {key: value if key in ("Meta", "NodeMeta") else _canonical(value) for key, value in named.items()}


def _register(state: State, fields: dict[str, Any]) -> None:
    node = fields["Node"]
    state.put_node(node, fields["Address"], fields.get("ID") or "", fields.get("NodeMeta"))
    if fields.get("Service"):
        state.put_service(node, fields["Service"])
    checks = [fields["Check"]] if fields.get("Check") else fields.get("Checks") or []
    for check in checks:
        ident = check.get("CheckID") or check["Name"]
        state.put_check(node, ident, check["Status"], check.get("ServiceID") or "")


def _deregister(state: State, fields: dict[str, Any]) -> None:
    if fields.get("ServiceID"):
        state.drop_service(fields["Node"], fields["ServiceID"])
    elif fields.get("CheckID"):
        state.drop_check(fields["Node"], fields["CheckID"])
    else:
        state.drop_node(fields["Node"])


def _register_at_agent(state: State, fields: dict[str, Any]) -> None:
    state.put_service(NODE, fields)
    ident = fields.get("ID") or fields["Name"]
    checks = [fields["Check"]] if fields.get("Check") else fields.get("Checks") or []
    for number, check in enumerate(checks):
        # A new check is critical until it passes, unless the registration sets a status.
        name = f"service:{ident}" if len(checks) == 1 else f"service:{ident}:{number + 1}"
        state.put_check(NODE, check.get("CheckID") or name, check.get("Status") or "critical", ident)


def _seconds(text: str) -> float:
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    return 0.0


def _encode_response(status: int, raw: bytes, extra: dict[str, str] | None = None) -> bytes:
    headers = {"Content-Type": "application/json", **(extra or {}), "Content-Length": str(len(raw))}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + raw


def _write_response(
    writer: asyncio.StreamWriter, status: int, raw: bytes, extra: dict[str, str] | None = None
) -> None:
    writer.write(_encode_response(status, raw, extra))
