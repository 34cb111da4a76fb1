"""A sidecar in this process with scripted servers, discovery and clients on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import os
import socket
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, ParamSpec, TypeVar

import uvloop

from micadeck.config import parse
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.reuse_delay import MIN_REUSE_DELAY_US
from micadeck.stand_ins.consul import NODE, StandInConsul, State

way = "daemon"  # how clients reach the balancer: one of `embedding_parity.WAYS`
discovery_source = "roster"  # roster, consul or both

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0  # bounds the wait for an expected event; no test measures it
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

CLASSES = [
    {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 2_000_000,
        "promiseUs": 600_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": 2_000_000,
    },
    {"name": "lodge", "giveUpUs": 4_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
]

T = TypeVar("T")
P = ParamSpec("P")


def run_async(work: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a test's coroutine; fail if it hangs."""

    async def bounded() -> T:
        async with asyncio.timeout(2 * WAIT_TIMEOUT_S):
            return await work()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def async_test(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Turn a coroutine function into a test."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        run_async(lambda: test(*args, **kwargs))

    return run


async def soon(awaitable: Awaitable[T]) -> T:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        return await awaitable


async def reuse_delay_passed() -> None:
    """Wait until an idle connection to a server may be reused."""
    await asyncio.sleep(1.2 * MIN_REUSE_DELAY_US / 1e6)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


@dataclass
class ReceivedRequest:
    """A request as the server received it, and its connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int
    writer: asyncio.StreamWriter


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, _, value in pairs}


Script = Callable[[ReceivedRequest], Awaitable[bytes | None]]


class ScriptedServer:
    """Answers each request by a script, or not at all if that is None."""

    def __init__(self, script: Script | bytes | None) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.closed: list[int] = []  # numbers of the connections that have ended
        self.connections = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> ScriptedServer:
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        self._writers.append(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = line.split(" ")
                received = ReceivedRequest(method, target, headers, body, number, writer)
                self.received.append(received)
                script = self.script
                answer = await script(received) if callable(script) else script
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.append(number)
            writer.close()

    def hang_up(self) -> None:
        """Close all open connections at once."""
        writers, self._writers = self._writers, []
        for writer in writers:
            if not writer.transport.is_closing():
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as own:
                    with contextlib.suppress(OSError):  # the other side closed it first
                        own.shutdown(socket.SHUT_RDWR)
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.hang_up()


class FullBacklogServer:
    """A server whose listen backlog is full until `accept_sidecar`."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{HOST}:{self.listener.getsockname()[1]}"

    async def fill_backlog(self) -> None:
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        await asyncio.sleep(0.05)

    async def accept_sidecar(self) -> socket.socket:
        """Accept connections until the sidecar's; return that one."""
        filler_addresses = {each.getsockname() for each in self.fillers}
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        while True:
            accepted, address = await loop.sock_accept(self.listener)
            if address not in filler_addresses:
                return accepted
            self.fillers.append(accepted)

    def close(self) -> None:
        for each in (self.listener, *self.fillers):
            each.close()


class ScriptedDiscovery(ScriptedServer):
    """Answers a long poll at the next `publish`, and other calls with the whole list."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.version = 1
        self.servers: list[dict[str, Any]] = []
        self.updates: asyncio.Queue[bytes] = asyncio.Queue()

    async def _answer(self, received: ReceivedRequest) -> bytes:
        if "wait_ms" in received.target and not received.target.endswith("wait_ms=0"):
            return await self.updates.get()
        return reply(json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode())

    def publish(self, *changed: dict[str, Any]) -> None:
        self.version += 1
        self.updates.put_nowait(
            reply(json.dumps({"version": self.version, "full": False, "servers": changed}).encode())
        )


class ConsulDiscovery:
    """Publishes servers and changes through a stand-in Consul."""

    def __init__(self) -> None:
        self.servers: list[dict[str, Any]] = []
        self.consul = StandInConsul()

    async def start(self, port: int = 0) -> ConsulDiscovery:
        await self.consul.start(port)
        for each in self.servers:
            self.publish(each)
        return self

    @property
    def address(self) -> str:
        return self.consul.address

    @property
    def received(self) -> list[str]:
        return ["read"] * self.consul.reads

    def publish(self, *changed: dict[str, Any]) -> None:
        for each in changed:
            self.consul.change(lambda state, each=each: self._put(state, each))  # type: ignore[misc]

    @staticmethod
    def _put(state: State, entry: dict[str, Any]) -> None:
        name, maintenance = entry["id"], f"_service_maintenance:{entry['id']}"
        if entry["state"] == "left":
            state.drop_service(NODE, name)
            return
        host, _, port = entry["addr"].rpartition(":")
        started = entry.get("started_ms", 0) + 1  # long ago: without a start time a new server is cold
        meta = {"zone": entry["zone"], "cell": str(entry["cell"]), "started_ms": str(started)}
        service = {"Name": "tariff", "ID": name, "Address": host, "Port": int(port), "Meta": meta}
        state.put_service(NODE, service)
        if entry["state"] == "leaving":
            state.put_check(NODE, maintenance, "critical", name)
        else:
            state.drop_check(NODE, maintenance)

    def stop(self) -> None:
        self.consul.stop()


class BothDiscovery(ScriptedDiscovery):
    """A roster and a Consul with the same servers."""

    def __init__(self) -> None:
        super().__init__()
        self.consul = ConsulDiscovery()

    async def start(self, port: int = 0) -> ScriptedServer:
        self.consul.servers = self.servers
        await self.consul.start()
        return await super().start(port)

    def publish(self, *changed: dict[str, Any]) -> None:
        super().publish(*changed)
        self.consul.publish(*changed)

    def stop(self) -> None:
        super().stop()
        self.consul.stop()


def consul_config(*agents: str, **service: Any) -> str:
    """Write a Consul configuration; return its path."""
    settings = {"agents": agents, "services": [{"name": "tariff", **service}], "wait_s": 10, "spread_s": 0}
    with tempfile.NamedTemporaryFile("w", suffix=".json", prefix="consul-", delete=False) as file:
        json.dump(settings, file)
    return file.name


def reply(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def list_entry(name: str, address: str, **changes: Any) -> dict[str, Any]:
    """Return a server's entry in discovery's list."""
    return {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "state": "active", **changes}


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """A connection of the application to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    async def answer(self) -> Answer:
        first, headers = await soon(read_head(self.reader))
        body = await soon(self.reader.readexactly(int(headers["content-length"])))
        return Answer(int(first.split(" ")[1]), headers, body)

    async def exchange(self, kind: str = "check", **how: Any) -> Answer:
        self.send(request(kind, **how))
        return await self.answer()

    def close(self) -> None:
        self.writer.close()


_METHODS = {"check": "GET", "amend": "POST", "lodge": "POST"}
_ids = iter(range(1, 1_000_000))


def request(
    kind: str = "check",
    timeout: str = "2.0",
    body: bytes = b"",
    target: str = "/api/7f3a?x=1",
    **headers: str,
) -> bytes:
    """Encode a client's request; a header whose value is empty is left out."""
    values = {
        "Host": "origin.svc",
        "Request-Id": f"{next(_ids):016x}",
        "Request-Class": kind,
        "Tenant": "acme",
        "Request-Timeout": timeout,
        "Idempotency-Key": "5c0f" if kind == "amend" else "",
        "Content-Length": str(len(body)) if _METHODS.get(kind) == "POST" else "",
    }
    values.update({name.replace("_", "-"): value for name, value in headers.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in values.items() if value)
    return f"{_METHODS.get(kind, 'GET')} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


@dataclass
class Harness:
    """A sidecar with scripted servers and discovery."""

    way: Any
    discovery: Any  # a ScriptedDiscovery, or one with the same methods
    servers: list[ScriptedServer]
    log: list[str]
    clients: list[Any] = field(default_factory=list)

    @property
    def sidecar(self) -> Any:
        return self.way.sidecar

    async def client(self) -> Client:
        client: Client = await self.way.client()  # or a LibraryClient
        self.clients.append(client)
        return client

    async def exchange(self, kind: str = "check", **how: Any) -> Answer:
        return await (await self.client()).exchange(kind, **how)

    @property
    def received(self) -> list[ReceivedRequest]:
        return [each for server in self.servers for each in server.received]


@asynccontextmanager
async def run_harness(
    *scripts: Script | bytes | None,
    bounds: dict[str, Any] | None = None,
    overrides: dict[str, Any] | None = None,
    listed: bool = True,
    extra_entries: Sequence[dict[str, Any]] = (),
    client_limits: DownstreamLimits | None = None,
    **settings: Any,
) -> AsyncIterator[Harness]:
    """Run a sidecar, its discovery and one server for each script, all known to it from the start.

    `overrides` replace keys of the configuration; `extra_entries` list servers that the test runs itself.
    """
    servers = [await ScriptedServer(script).start() for script in scripts]
    discovery: Any = {"roster": ScriptedDiscovery, "consul": ConsulDiscovery, "both": BothDiscovery}[
        discovery_source
    ]()
    if listed:
        discovery.servers = [list_entry(f"s-{index}", each.address) for index, each in enumerate(servers)]
    discovery.servers += extra_entries
    await discovery.start()
    limits = {"sendCap": 3, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 1_000_000}
    config: dict[str, Any] = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery.address,
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": list(discovery.servers)},
        "settings": {
            "lanes": CLASSES,
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "report": {"columns": ["qps", "util"], "source": "piggyback"},
            "bounds": {**limits, **(bounds or {})},
            **settings,
        },
        **(overrides or {}),
    }
    consul = {"consul": discovery, "both": getattr(discovery, "consul", None)}.get(discovery_source)
    if consul is not None:
        config["consul"] = consul_config(consul.address, doubt_s=0)
        config["known"]["servers"] = [{**each, "started_ms": 1} for each in discovery.servers]
        if discovery_source == "consul":
            del config["discovery"]
    log: list[str] = []
    from embedding_parity import STARTERS  # it imports this module

    parsed = parse(config)
    if "consul" in config:
        os.unlink(config["consul"])  # parse() has read it

    def log_line(text: str) -> None:
        if not text.startswith("consul: agent "):  # logged at start, not part of what is tested
            log.append(text)

    started = await STARTERS[way](parsed, log_line, client_limits)
    harness = Harness(started, discovery, servers, log)
    try:
        yield harness
    finally:
        await started.close(harness.clients)
        for server in (*servers, discovery):
            server.stop()


@contextlib.contextmanager
def raw_client(harness: Harness) -> Iterator[socket.socket]:
    with socket.create_connection((HOST, harness.sidecar.listener.port)) as client:
        yield client


async def read_rest(client: socket.socket) -> bytes:
    """Read to the end of the stream; raise ConnectionResetError if the connection is reset."""
    client.setblocking(False)
    data = b""
    while piece := await soon(asyncio.get_running_loop().sock_recv(client, 65_536)):
        data += piece
    return data
