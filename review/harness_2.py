"""Stand-ins of the platform, the servers and the clients for the cases of this review, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[1]
_LIMIT_S = 115.0  # of a whole case
_START_LIMIT_S = 30.0  # of the sidecar
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_STARTED = time.monotonic()


def now() -> float:
    """Return the seconds since the case began."""
    return time.monotonic() - _STARTED


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{now():8.3f} {text}\n")
        self._file.flush()


def service_class(name: str, repeat: str, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Return a class of the settings; more keys replace the defaults."""
    return {
        "name": name,
        "repeat": repeat,
        "giveUpUs": int(deadline_s * 1e6),
        "promiseUs": int(deadline_s * 3e5),
        "lateValue": 0.25,
        "worth": 1.0,
        "streaming": False,
        "group": "all",
        "memorySpanUs": 2_000_000,
        **more,
    }


def settings(classes: list[dict[str, Any]], **bounds: Any) -> dict[str, Any]:
    """Return settings as a deployment with five sites has them; `bounds` replace single limits."""
    return {
        "bounds": {
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 40_000,
            "dialTimeoutUs": 250_000,
            "idleCloseUs": 60_000_000,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 2_000_000,
            "mayCancel": True,
            "mayTell": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": False,
            "sendCap": 3,
            "streamsPerConn": 1,
            **bounds,
        },
        "clientHabits": {"marksRetry": True},
        "discovery": "on_request",
        "domain": {"warmKeys": False},
        "family": "mesh",
        "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "groupSize": 3,
        "guarantees": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldFrom": 0.14,
            "coldUs": 22_000_000,
            "drainGraceUs": 500_000,
            "fallMultiple": 3.0,
            "fallUs": 2_000_000,
        },
        "kinds": ["plain-single"],
        "lanes": classes,
        "layers": ["lodge-fleet"],
        "me": 0,
        "overShareWorth": 0.1,
        "prices": {"crossZone": 0.03, "lateFail": 0.05, "peer": 0.01, "probe": 0.05, "waste": 0.02},
        "quantumUs": 5_000,
        "realms": [],
        "report": {"columns": ["qps", "util"], "source": "silent"},
        "tier": 0,
        "weights": "silent",
        "worthBy": "request",
        "zone": "couva",
        "zones": ["couva"],
    }


@dataclass
class Message:
    """A request that a server has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one request with a length or in chunks; raise IncompleteReadError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    method, target, _ = first.split(" ", 2)
    return Message(method, target, headers, body)


Answer = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of the deployment; `answer` writes the answer to each request."""

    def __init__(self, name: str, answer: Answer) -> None:
        self.name = name
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def start(self) -> Server:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    @property
    def address(self) -> str:
        """Where it listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while not writer.is_closing():
                message = await read_message(reader)
                if message.target in ("/ping", "/_load"):
                    writer.write(response(b""))
                else:
                    await self._answer(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def response(body: bytes, status: str = "200 OK", more: str = "") -> bytes:
    """Return a whole answer."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class Roster:
    """Discovery: a versioned list that can be read whole or watched."""

    def __init__(self) -> None:
        self.version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> Roster:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    @property
    def address(self) -> str:
        """Where it listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, name: str, address: str, state: str = "active", **more: Any) -> None:
        """Add or change a server."""
        self.version += 1
        base = {"id": name, "addr": address, "zone": "couva", "kind": "plain-single", "cell": 1}
        self._entries[name] = {**base, "state": state, "weight": 1.0, "started_ms": 0, **more}
        self._changed_at[name] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for entry in self._entries.values() if entry["state"] != "left"]
        return {"version": self.version, "full": True, "servers": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                answer = await self._answer(parse_qs(urlsplit(message.target).query))
                writer.write(response(json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        after = int(query.get("after", ["-1"])[0])
        if after < 0 or after > self.version:
            return self.snapshot()
        if after == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1e3):
                    await self._changed.wait()
            except TimeoutError:
                pass
        changed = [entry for name, entry in self._entries.items() if self._changed_at[name] > after]
        return {"version": self.version, "full": False, "servers": changed}


def free_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


@dataclass
class Sidecar:
    """The program, started with the line `run` of the deploy file."""

    folder: Path
    config: dict[str, Any]
    port: int = field(default_factory=free_port)
    temporary: Path | None = None  # its TMPDIR; None: the same folder
    process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Write the configuration's file, in place of the last one."""
        path = self.folder / "config.json"
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            **self.config,
        }
        (self.folder / "config.new").write_text(json.dumps(document))
        (self.folder / "config.new").rename(path)

    @property
    def exit_code(self) -> int | None:
        """Its exit code, or the negative number of the signal that ended it; None while it runs."""
        return self.process.returncode if self.process is not None else None

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def launch(self) -> None:
        """Start it, without waiting until it serves."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.temporary or self.folder),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stderr=log
            )

    async def start(self) -> Sidecar:
        """Start it, and wait until it serves; if it does not, or the case is ended meanwhile, kill it."""
        await self.launch()
        try:
            await self._wait_until_ready()
        except BaseException:
            await self.stop()
            raise
        return self

    async def _wait_until_ready(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
            except OSError:
                line = b""
            if b" 200 " in line:
                return
            if not self.is_running or now() > _START_LIMIT_S:
                raise RuntimeError(self.log())
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """Return what it has logged."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill it."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def request_head(ident: str, name: str, method: str, timeout_s: float, more: str = "") -> bytes:
    """Return the head of a client's request."""
    return (
        f"{method} /api/{ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {ident}\r\n"
        f"Request-Class: {name}\r\nRequest-Timeout: {timeout_s:.3f}\r\n{more}\r\n"
    ).encode()


@dataclass
class Reply:
    """What a client got: status 0 for no head; `is_whole`: the answer came to its end."""

    status: int = 0
    body: bytes = b""
    is_whole: bool = False

    def __str__(self) -> str:
        end = "whole" if self.is_whole else "not whole"
        return f"{self.status or 'no head'}, {len(self.body)} bytes, {end}"


async def ask(port: int, request: bytes, limit_s: float) -> Reply:
    """Send a request on a connection of its own, and read the answer as fast as it comes."""
    reply = Reply()
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(request)
                await _read_reply(reader, reply)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    return reply


async def _read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    lengths = [line.partition(":")[2] for line in head.split("\r\n") if line.startswith("content-length:")]
    reply.status, left = int(head.split(" ")[1]), int(lengths[0])
    while left and (data := await reader.read(min(left, 1 << 16))):
        reply.body += data
        left -= len(data)
    reply.is_whole = not left


def run_case(case: Callable[[Record, Path], Coroutine[Any, Any, bool]], folder: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    record(f"TROUBLE={int(HAS_TROUBLE)}")
    try:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
            holds = asyncio.run(_run_in_time(case(record, Path(temporary))))
    except (Exception, asyncio.CancelledError) as error:  # the case has no result, whatever the reason
        return _report(record, f"the case could not run: {error!r}", 2)
    return _report(record, "the rule held", 0) if holds else _report(record, "the rule was broken", 1)


async def _run_in_time(case: Coroutine[Any, Any, bool]) -> bool:
    """Run a case; cancel it at the limit or on SIGTERM, so that it ends what it has started."""
    task = asyncio.create_task(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, _LIMIT_S)


def _report(record: Record, text: str, code: int) -> int:
    record(text)
    print(text)
    return code
