"""The stand-in's HTTP: what is asked, what is answered, and what goes wrong on command."""

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

_WAIT_S, _WAIT_MOST_S = 300.0, 600.0


@dataclass
class Fault:
    """What goes wrong with the next reads.

    `hang`: no answer.  `reset`: the connection is reset in the middle of the body.  `truncated`: half the
    JSON, under a right length.  `trickle`: a byte each 50 ms.  `status`: that status, with `text`.  `index`:
    this X-Consul-Index. `huge`: a body of 5 MiB.  `redirect`: a 307 to `to`.
    """

    kind: str
    times: int = 1
    status: int = 500
    text: str = "No cluster leader"
    index: int = 0
    to: str = ""


class NotFound(Exception):
    """There is no such thing: 404."""


def _look(state: State, path: str, query: dict[str, str], tags: list[str]) -> Any:
    """What a read answers; raise NotFound."""
    kind, _, name = path.removeprefix("/v1/").rpartition("/")
    match kind, name:
        case "health/service", _:
            return state.health(name, passing="passing" in query, tags=tags)
        case "catalog/service", _:
            return state.catalog(name, tags)
        case "catalog", "nodes":
            return list(state.nodes.values())
        case "catalog", "services":
            return state.names()
        case "catalog", "datacenters":
            return ["dc1"]
        case "catalog/node", _:
            node = state.nodes.get(name)
            return {"Node": node, "Services": state.on_node(name)} if node else None
        case "health/node", _:
            return state.checks_on(name)
        case "health/checks", _:
            return state.checks_of_service(name)
        case "health/state", "any" | "passing" | "warning" | "critical":
            return [row for row in state.checks.values() if name in ("any", row["Status"])]
        case _ if path.startswith("/v1/kv/"):
            return _look_for_keys(state, path.removeprefix("/v1/kv/"), query)
        case _:
            raise NotFound(path)


def _look_for_keys(state: State, key: str, query: dict[str, str]) -> Any:
    is_prefix = "recurse" in query or "keys" in query
    rows = [
        row for each, row in sorted(state.keys.items()) if each == key or (is_prefix and each.startswith(key))
    ]
    if not rows:
        raise NotFound("")
    if "raw" in query:
        return base64.b64decode(rows[0]["Value"] or "")
    return [row["Key"] for row in rows] if "keys" in query else rows


def _is_true(text: str) -> bool:
    """The forms in which Go reads a truth; raise ValueError on any other."""
    if text in ("1", "t", "T", "TRUE", "true", "True"):
        return True
    if text in ("0", "f", "F", "FALSE", "false", "False"):
        return False
    raise ValueError(f"enable: {text!r:.40} is neither true nor false")


class StandInConsul:
    """One server that is also its agent."""

    def __init__(self, *, tokens: set[str] | None = None) -> None:
        self.state = State()  # the leader's
        self._follower = State()
        for each in (self.state, self._follower):
            each.put_node(NODE, HOST)
        self.tokens = tokens  # None: no access control
        self.has_leader = True
        self.stale_by_s = 0.0  # how far a read in stale mode lies behind
        self.faults: list[Fault] = []
        self.reads = 0  # of catalogue and health
        self.chance = random.Random()  # of when blocking reads give up waiting
        self._news = asyncio.Event()
        self._log: deque[tuple[float, Callable[[State], object]]] = deque()  # what the follower has to do yet
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

    def change(self, make: Callable[[State], object]) -> Any:
        """Change the catalogue, and wake whoever waits for that; give what the change gave.

        A follower does the same later, as with a log that is replicated: `make` must do the same each time.
        """
        self._log.append((asyncio.get_running_loop().time(), make))
        self._follow()
        result = make(self.state)
        self._news.set()
        self._news = asyncio.Event()
        return result

    def restart_empty(self) -> None:
        """What an agent is that lost its data: no services, and an index that begins anew."""

        def forget(state: State) -> None:
            state.__init__()  # type: ignore[misc]
            state.put_node(NODE, HOST)

        self.change(forget)

    def _follow(self) -> None:
        before = asyncio.get_running_loop().time() - self.stale_by_s
        while self._log and self._log[0][0] <= before:
            self._log.popleft()[1](self._follower)

    def _seen(self, is_stale: bool) -> State:
        """The catalogue as the leader has it, or a follower that lags."""
        if not is_stale or not self.stale_by_s:
            return self.state
        self._follow()
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
        """Write one answer; whether the connection goes on."""
        parts = urlsplit(target)
        path = unquote(parts.path)
        several = parse_qs(parts.query, keep_blank_values=True)
        query = {name: values[-1] for name, values in several.items()}
        is_read = path.startswith(("/v1/catalog/", "/v1/health/", "/v1/kv/")) and method == "GET"
        self.reads += is_read
        fault = self._next_fault() if is_read else None
        if fault is not None and fault.kind not in ("truncated", "index", "reset", "trickle", "huge"):
            return await self._go_wrong(fault, target, writer)
        token = headers.get("x-consul-token", query.get("token", ""))
        if self.tokens is not None and path.startswith("/v1/") and token not in self.tokens:
            _write(writer, 403, b"Permission denied")
            return True
        if is_read and not self.has_leader and "stale" not in query:
            _write(writer, 500, b"No cluster leader")
            return True
        try:
            if is_read:
                index, result = await self._read(path, query, several.get("tag", []))
            elif path.startswith("/v1/kv/"):
                index, result = 0, self._write_key(method, path.removeprefix("/v1/kv/"), query, body)
            else:
                given = _canonical(json.loads(body or b"null"))
                index, result = 0, self._write_or_tell(method, path, query, given)
        except NotFound as missing:
            told = {"X-Consul-Index": str(self._index(self._seen("stale" in query), path))} if is_read else {}
            _write(writer, 404, str(missing).encode(), told)
            return True
        except (KeyError, TypeError, ValueError) as nonsense:
            _write(writer, 400, f"Request decode failed: {nonsense!r}".encode())
            return True
        told = {}
        if is_read:
            told = {
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
            return await self._go_wrong(fault, target, writer, raw, told)
        if "gzip" in headers.get("accept-encoding", "") and len(raw) > 1_024:
            raw, told["Content-Encoding"] = gzip.compress(raw, 1), "gzip"
        _write(writer, 200, raw, told)
        return True

    def _next_fault(self) -> Fault | None:
        if not self.faults:
            return None
        fault = self.faults[0]
        fault.times -= 1
        if fault.times <= 0:
            self.faults.pop(0)
        return fault

    async def _go_wrong(
        self,
        fault: Fault,
        target: str,
        writer: asyncio.StreamWriter,
        raw: bytes = b"",
        told: dict[str, str] | None = None,
    ) -> bool:
        match fault.kind:
            case "hang":
                await asyncio.sleep(3_600)
            case "status":
                _write(writer, fault.status, fault.text.encode())
            case "redirect":
                _write(writer, 307, b"", {"Location": f"http://{fault.to}{target}"})
            case "truncated":
                _write(writer, 200, raw[: len(raw) // 2], told)
            case "huge":
                _write(writer, 200, b'["' + b"x" * (5 << 20) + b'"]', told)
            case "reset":
                whole = _worded(200, raw, told)
                writer.write(whole[: len(whole) - len(raw) // 2 - 1])
                await writer.drain()
                writer.transport.abort()
                return False
            case "trickle":
                for byte in _worded(200, raw, told):
                    writer.write(bytes((byte,)))
                    await asyncio.sleep(0.05)
            case _:
                raise ValueError(f"no such fault: {fault.kind}")
        return True

    # What is asked

    async def _read(self, path: str, query: dict[str, str], tags: list[str]) -> tuple[int, Any]:
        if "filter" in query:
            raise ValueError("the stand-in knows no filters")
        asked = int(query.get("index", "0"))
        is_stale = "stale" in query
        loop = asyncio.get_running_loop()
        wait_s = min(_seconds(query.get("wait", "")) or _WAIT_S, _WAIT_MOST_S)
        until = loop.time() + wait_s + self.chance.random() * wait_s / 16
        index = self._index(self._seen(is_stale), path)
        while asked and index == asked and loop.time() < until:
            # A follower that lags changes by the passing of time alone.
            step_s = 0.05 if is_stale and self.stale_by_s else until - loop.time()
            news = self._news
            try:
                async with asyncio.timeout(min(step_s, until - loop.time())):
                    await news.wait()
            except TimeoutError:
                pass
            index = self._index(self._seen(is_stale), path)
        return index, _look(self._seen(is_stale), path, query, tags)

    @staticmethod
    def _index(state: State, path: str) -> int:
        kind, _, name = path.removeprefix("/v1/").rpartition("/")
        if kind in ("health/service", "health/checks", "catalog/service"):
            return state.service_index(name)
        return state.keys_changed if path.startswith("/v1/kv/") else state.index

    def _write_key(self, method: str, key: str, query: dict[str, str], body: bytes) -> bool:
        cas = int(query["cas"]) if "cas" in query else None
        if method == "PUT":
            flags = int(query.get("flags", "0"))
            return bool(self.change(lambda state: state.put_key(key, body, flags, cas)))
        if method == "DELETE":
            recurse = "recurse" in query
            return bool(self.change(lambda state: state.drop_keys(key, recurse=recurse, cas=cas)))
        raise NotFound(f"{method} of a key")

    def _write_or_tell(self, method: str, path: str, query: dict[str, str], given: Any) -> Any:
        if (method, path) == ("GET", "/v1/status/leader"):
            return f"{HOST}:8300" if self.has_leader else ""
        if (method, path) == ("GET", "/v1/agent/self"):
            return {"Config": {"Datacenter": "dc1", "NodeName": NODE, "Version": "standin"}, "Member": {}}
        if (method, path) == ("GET", "/v1/agent/services"):
            return self.state.on_node(NODE)
        if (method, path) == ("GET", "/v1/agent/checks"):
            return {row["CheckID"]: row for row in self.state.checks_on(NODE)}
        if method != "PUT":
            raise NotFound(path)
        if path == "/_standin/fault":
            self.faults.append(Fault(**{name.lower(): value for name, value in given.items()}))
            return True
        if not self.has_leader:
            raise ValueError("No cluster leader")
        change: Callable[[State], object]
        head, _, ident = path.rpartition("/")
        if path == "/v1/catalog/register":
            change = lambda state: _register(state, given)  # noqa: E731
        elif path == "/v1/catalog/deregister":
            change = lambda state: _deregister(state, given)  # noqa: E731
        elif path == "/v1/agent/service/register":
            change = lambda state: _register_here(state, given)  # noqa: E731
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
        elif head in _CHECK_ENDS:
            known = self.state.checks.get((NODE, ident))
            if known is None:
                raise NotFound(f"Unknown check ID {ident!r}")
            status, service_id = _CHECK_ENDS[head], known["ServiceID"]
            change = lambda state: state.put_check(NODE, ident, status, service_id)  # noqa: E731
        else:
            raise NotFound(path)
        self.change(change)
        return True if path.startswith("/v1/catalog/") else None


_CHECK_ENDS = {
    "/v1/agent/check/pass": "passing",
    "/v1/agent/check/warn": "warning",
    "/v1/agent/check/fail": "critical",
}


_FIELDS = {
    each.lower(): each
    for each in (
        "Address Check Checks CheckID Datacenter ID Meta Name Node NodeMeta Output Passing Port Service "
        "ServiceID Status TaggedAddresses Tags TTL Warning Weights"
    ).split()
}


def _canonical(given: Any) -> Any:
    """Field names as they are documented: Consul takes them in any case, as Go's JSON does."""
    if isinstance(given, list):
        return [_canonical(each) for each in given]
    if not isinstance(given, dict):
        return given
    named = {_FIELDS.get(key.lower(), key): value for key, value in given.items()}
    return {key: value if key in ("Meta", "NodeMeta") else _canonical(value) for key, value in named.items()}


def _register(state: State, given: dict[str, Any]) -> None:
    node = given["Node"]
    state.put_node(node, given["Address"], given.get("ID") or "", given.get("NodeMeta"))
    if given.get("Service"):
        state.put_service(node, given["Service"])
    checks = [given["Check"]] if given.get("Check") else given.get("Checks") or []
    for each in checks:
        ident = each.get("CheckID") or each["Name"]
        state.put_check(node, ident, each["Status"], each.get("ServiceID") or "")


def _deregister(state: State, given: dict[str, Any]) -> None:
    if given.get("ServiceID"):
        state.drop_service(given["Node"], given["ServiceID"])
    elif given.get("CheckID"):
        state.drop_check(given["Node"], given["CheckID"])
    else:
        state.drop_node(given["Node"])


def _register_here(state: State, given: dict[str, Any]) -> None:
    state.put_service(NODE, given)
    ident = given.get("ID") or given["Name"]
    checks = [given["Check"]] if given.get("Check") else given.get("Checks") or []
    for number, each in enumerate(checks):
        # A check that is new is critical until it has passed, unless the registration says otherwise.
        name = f"service:{ident}" if len(checks) == 1 else f"service:{ident}:{number + 1}"
        state.put_check(NODE, each.get("CheckID") or name, each.get("Status") or "critical", ident)


def _seconds(text: str) -> float:
    for end, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(end):
            return float(text.removesuffix(end)) * factor
    return 0.0


def _worded(status: int, raw: bytes, told: dict[str, str] | None = None) -> bytes:
    headers = {"Content-Type": "application/json", **(told or {}), "Content-Length": str(len(raw))}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + raw


def _write(writer: asyncio.StreamWriter, status: int, raw: bytes, told: dict[str, str] | None = None) -> None:
    writer.write(_worded(status, raw, told))
