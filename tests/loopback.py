"""Scripted ends on loopback sockets: servers, discovery and clients round one sidecar in this process."""

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

way = "daemon"  # how the stage's balancer is reached; `ways` says which there are
members = "roster"  # who tells it of servers: the roster, Consul, or both

HOST = "127.0.0.1"
PATIENCE_S = 20.0  # how long a test waits for what must come; never what it measures
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


def play(work: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run one test's coroutine; a test that hangs fails."""

    async def bounded() -> T:
        async with asyncio.timeout(2 * PATIENCE_S):
            return await work()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def played(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """A test that is a coroutine, run by `play`."""

    @functools.wraps(test)
    def run(*given: P.args, **named: P.kwargs) -> None:
        play(lambda: test(*given, **named))

    return run


async def soon(what: Awaitable[T]) -> T:
    async with asyncio.timeout(PATIENCE_S):
        return await what


async def rested() -> None:
    """Wait until a connection to a server may be used again."""
    await asyncio.sleep(1.2 * MIN_REUSE_DELAY_US / 1e6)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.005)


@dataclass
class Heard:
    """A request as it came, and the connection it came on."""

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


Script = Callable[[Heard], Awaitable[bytes | None]]


class ScriptedServer:
    """Hears requests and answers by a script; None answers nothing."""

    def __init__(self, script: Script | bytes | None) -> None:
        self.script = script
        self.heard: list[Heard] = []
        self.closed: list[int] = []  # connections that the other side ended
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
                heard = Heard(method, target, headers, body, number, writer)
                self.heard.append(heard)
                script = self.script
                answer = await script(heard) if callable(script) else script
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.append(number)
            writer.close()

    def hang_up(self) -> None:
        """End all connections that are open, before anything else happens."""
        writers, self._writers = self._writers, []
        for writer in writers:
            if not writer.transport.is_closing():
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as own:
                    with contextlib.suppress(OSError):  # the other side was quicker
                        own.shutdown(socket.SHUT_RDWR)
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        self.hang_up()


class SlowToAccept:
    """A server whose connections come up late: its line for new ones is full until it is let go."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{HOST}:{self.listener.getsockname()[1]}"

    async def fill(self) -> None:
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        await asyncio.sleep(0.05)

    async def let_go(self) -> socket.socket:
        """Accept until the sidecar's own connection comes up; give it."""
        ours = {each.getsockname() for each in self.fillers}
        self.listener.setblocking(False)
        loop = asyncio.get_running_loop()
        while True:
            accepted, address = await loop.sock_accept(self.listener)
            if address not in ours:
                return accepted
            self.fillers.append(accepted)

    def close(self) -> None:
        for each in (self.listener, *self.fillers):
            each.close()


class ScriptedDiscovery(ScriptedServer):
    """Answers every call that may wait with silence until `tell`, and others with the list."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.version = 1
        self.servers: list[dict[str, Any]] = []
        self.news: asyncio.Queue[bytes] = asyncio.Queue()

    async def _answer(self, heard: Heard) -> bytes:
        if "wait_ms" in heard.target and not heard.target.endswith("wait_ms=0"):
            return await self.news.get()
        return reply(json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode())

    def tell(self, *changed: dict[str, Any]) -> None:
        self.version += 1
        self.news.put_nowait(
            reply(json.dumps({"version": self.version, "full": False, "servers": changed}).encode())
        )


class ConsulDiscovery:
    """The same servers and changes, told by a stand-in Consul."""

    def __init__(self) -> None:
        self.servers: list[dict[str, Any]] = []
        self.consul = StandInConsul()

    async def start(self, port: int = 0) -> ConsulDiscovery:
        await self.consul.start(port)
        for each in self.servers:
            self.tell(each)
        return self

    @property
    def address(self) -> str:
        return self.consul.address

    @property
    def heard(self) -> list[str]:
        return ["read"] * self.consul.reads

    def tell(self, *changed: dict[str, Any]) -> None:
        for each in changed:
            self.consul.change(lambda state, each=each: self._put(state, each))  # type: ignore[misc]

    @staticmethod
    def _put(state: State, told: dict[str, Any]) -> None:
        name, maintenance = told["id"], f"_service_maintenance:{told['id']}"
        if told["state"] == "left":
            state.drop_service(NODE, name)
            return
        host, _, port = told["addr"].rpartition(":")
        started = told.get("started_ms", 0) + 1  # long ago: without a word on it, a new one is cold
        meta = {"zone": told["zone"], "cell": str(told["cell"]), "started_ms": str(started)}
        service = {"Name": "tariff", "ID": name, "Address": host, "Port": int(port), "Meta": meta}
        state.put_service(NODE, service)
        if told["state"] == "leaving":
            state.put_check(NODE, maintenance, "critical", name)
        else:
            state.drop_check(NODE, maintenance)

    def stop(self) -> None:
        self.consul.stop()


class BothDiscovery(ScriptedDiscovery):
    """A roster and a Consul that say the same."""

    def __init__(self) -> None:
        super().__init__()
        self.beside = ConsulDiscovery()

    async def start(self, port: int = 0) -> ScriptedServer:
        self.beside.servers = self.servers
        await self.beside.start()
        return await super().start(port)

    def tell(self, *changed: dict[str, Any]) -> None:
        super().tell(*changed)
        self.beside.tell(*changed)

    def stop(self) -> None:
        super().stop()
        self.beside.stop()


def consul_config(*agents: str, **service: Any) -> str:
    """The path of a file that names these agents and one service."""
    given = {"agents": agents, "services": [{"name": "tariff", **service}], "wait_s": 10, "spread_s": 0}
    with tempfile.NamedTemporaryFile("w", suffix=".json", prefix="consul-", delete=False) as file:
        json.dump(given, file)
    return file.name


def reply(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def line(name: str, address: str, **changes: Any) -> dict[str, Any]:
    """A line of discovery's list."""
    return {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "state": "active", **changes}


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One connection of the application."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, raw: bytes) -> None:
        self.writer.write(raw)

    async def answer(self) -> Answer:
        first, headers = await soon(read_head(self.reader))
        body = await soon(self.reader.readexactly(int(headers["content-length"])))
        return Answer(int(first.split(" ")[1]), headers, body)

    async def ask(self, kind: str = "check", **how: Any) -> Answer:
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
    """A request as clients word it; a header given as an empty text is left out."""
    given = {
        "Host": "origin.svc",
        "Request-Id": f"{next(_ids):016x}",
        "Request-Class": kind,
        "Tenant": "acme",
        "Request-Timeout": timeout,
        "Idempotency-Key": "5c0f" if kind == "amend" else "",
        "Content-Length": str(len(body)) if _METHODS.get(kind) == "POST" else "",
    }
    given.update({name.replace("_", "-"): value for name, value in headers.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in given.items() if value)
    return f"{_METHODS.get(kind, 'GET')} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


@dataclass
class Stage:
    """A sidecar with scripted ends."""

    way: Any
    discovery: Any  # a ScriptedDiscovery, or one that tells the same by other means
    servers: list[ScriptedServer]
    log: list[str]
    clients: list[Any] = field(default_factory=list)

    @property
    def sidecar(self) -> Any:
        return self.way.sidecar

    async def client(self) -> Client:
        client: Client = await self.way.client()  # or one that does the same
        self.clients.append(client)
        return client

    async def ask(self, kind: str = "check", **how: Any) -> Answer:
        return await (await self.client()).ask(kind, **how)

    @property
    def heard(self) -> list[Heard]:
        return [each for server in self.servers for each in server.heard]


@asynccontextmanager
async def stage(
    *scripts: Script | bytes | None,
    bounds: dict[str, Any] | None = None,
    given: dict[str, Any] | None = None,
    listed: bool = True,
    others: Sequence[dict[str, Any]] = (),
    client_limits: DownstreamLimits | None = None,
    **settings: Any,
) -> AsyncIterator[Stage]:
    """A sidecar, its discovery and one server for each script, all known to it from the start.

    `others` are lines of the list for servers that a test runs by itself.
    """
    servers = [await ScriptedServer(script).start() for script in scripts]
    discovery: Any = {"roster": ScriptedDiscovery, "consul": ConsulDiscovery, "both": BothDiscovery}[
        members
    ]()
    if listed:
        discovery.servers = [line(f"s-{index}", each.address) for index, each in enumerate(servers)]
    discovery.servers += others
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
        **(given or {}),
    }
    consul = {"consul": discovery, "both": getattr(discovery, "beside", None)}.get(members)
    if consul is not None:
        config["consul"] = consul_config(consul.address, doubt_s=0)
        config["known"]["servers"] = [{**each, "started_ms": 1} for each in discovery.servers]
        if members == "consul":
            del config["discovery"]
    log: list[str] = []
    from embedding_parity import STARTERS  # it is made of what stands here

    made = parse(config)
    if "consul" in config:
        os.unlink(config["consul"])  # it is read

    def noted(text: str) -> None:
        if not text.startswith("consul: agent "):  # of the daemon's start, not of what is tested
            log.append(text)

    started = await STARTERS[way](made, noted, client_limits)
    scene = Stage(started, discovery, servers, log)
    try:
        yield scene
    finally:
        await started.close(scene.clients)
        for server in (*servers, discovery):
            server.stop()


@contextlib.contextmanager
def raw_client(scene: Stage) -> Iterator[socket.socket]:
    with socket.create_connection((HOST, scene.sidecar.listener.port)) as client:
        yield client


async def rest_of(client: socket.socket) -> bytes:
    """What the client still gets up to an orderly end; raise ConnectionResetError if that does not come."""
    client.setblocking(False)
    came = b""
    while data := await soon(asyncio.get_running_loop().sock_recv(client, 65_536)):
        came += data
    return came
