"""Stand-ins for the cases of this review: servers, a roster, clients, and the platform that starts a sidecar.

Only the standard library is used.  Every address is on loopback, and each process that is started is ended.
Times are seconds since the stage was set up.
"""

from __future__ import annotations

import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
READY_WITHIN_S = 10.0
_HEAD_END = b"\r\n\r\n"
_READ_BYTES = 1 << 16
_MAX_WATCH_S = 60.0
_START_ATTEMPTS = 3


class CouldNotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order; written to `record.txt` at the end."""

    def __init__(self, path: Path) -> None:
        """Start the clock."""
        self._path = path
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add a line with its time."""
        with self._lock:
            self._lines.append(f"{self.now():8.3f} {text}")

    def save(self) -> None:
        """Write the file."""
        with self._lock:
            self._path.write_text("\n".join(self._lines) + "\n")


def body_for(ident: str, size: int) -> bytes:
    """Return the one body that a server makes for this request."""
    unit = hashlib.sha256(ident.encode()).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


def listen_on_loopback() -> socket.socket:
    """Return a listening socket at a free port."""
    listener = socket.create_server((HOST, 0), backlog=256)
    listener.settimeout(None)
    return listener


def free_port() -> int:
    """Return a port that nobody listens on."""
    with listen_on_loopback() as listener:
        return int(listener.getsockname()[1])


class _Service:
    """A listening socket with a thread for each connection."""

    def __init__(self) -> None:
        self._listener = listen_on_loopback()
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve_until_closed, args=(connection,), daemon=True).start()

    def _serve_until_closed(self, connection: socket.socket) -> None:
        with connection:
            try:
                for target, headers in _requests(connection):
                    self.serve(connection, target, headers)
            except OSError:
                pass  # the peer closed the connection

    def serve(self, connection: socket.socket, target: str, headers: dict[str, str]) -> None:
        """Answer one request."""
        raise NotImplementedError

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()


def _requests(connection: socket.socket) -> Iterator[tuple[str, dict[str, str]]]:
    """Read requests one by one, with a length or without a body."""
    pending = b""
    while True:
        while _HEAD_END not in pending:
            data = connection.recv(_READ_BYTES)
            if not data:
                return
            pending += data
        head, _, pending = pending.partition(_HEAD_END)
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        while len(pending) < length:
            data = connection.recv(_READ_BYTES)
            if not data:
                return
            pending += data
        pending = pending[length:]
        yield lines[0].split(" ")[1], headers


class Server(_Service):
    """A sound server: it runs each request for `takes_s` and answers it with a body made for it."""

    zone = "a"  # that of the sidecar

    def __init__(self, name: str, record: Record, takes_s: float, size: int) -> None:
        """Start it; every answer has `size` bytes, unless the last part of the path names a size."""
        self.name = name
        self._record = record
        self._takes_s = takes_s
        self._size = size
        super().__init__()

    def serve(self, connection: socket.socket, target: str, headers: dict[str, str]) -> None:
        """Run a request and answer it; a target without an id is answered 404."""
        ident = headers.get("request-id")
        if ident is None:
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self._record.add(f"server {self.name} runs {ident}, told {headers.get('request-timeout')} s")
        time.sleep(self._takes_s)
        size = self.size_of(target)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        connection.sendall(body_for(ident, size))
        self._record.add(f"server {self.name} has written the answer to {ident}, {size} bytes")

    def size_of(self, target: str) -> int:
        """Return the size of the answer to a request for this target."""
        last = target.rpartition("/")[2]
        return int(last[1:]) if last[:1] == "b" and last[1:].isdigit() else self._size


class Listed(Protocol):
    """What a roster lists of a server."""

    name: str
    address: str
    zone: str


class Closable(Listed, Protocol):
    """A server of a stage."""

    def close(self) -> None:
        """Accept no more connections."""


class Roster(_Service):
    """Discovery that is asked: the whole list, or a watch that ends after its wait, since nothing changes."""

    def __init__(self, servers: Sequence[Listed]) -> None:
        """Start it with these servers, all active and started long ago."""
        self._servers = servers
        super().__init__()

    def document(self, *, is_full: bool = True) -> dict[str, Any]:
        """Return a list in discovery's form."""
        entries = [
            {"id": server.name, "addr": server.address, "zone": server.zone, "kind": "m", "cell": 1}
            | {"state": "active", "weight": 1.0, "started_ms": 0}
            for server in self._servers
        ]
        return {"version": 1, "full": is_full, "servers": entries if is_full else []}

    def serve(self, connection: socket.socket, target: str, headers: dict[str, str]) -> None:  # noqa: ARG002
        """Answer a call for the list."""
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        is_current = query.get("after") == "1"
        if is_current:
            time.sleep(min(int(query.get("wait_ms", "0")) / 1e3, _MAX_WATCH_S))
        body = json.dumps(self.document(is_full=not is_current)).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


SETTINGS: dict[str, Any] = {
    "lanes": [
        {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like", "worth": 1.0},
        {
            "name": "amend",
            "giveUpUs": 3_000_000,
            "promiseUs": 750_000,
            "repeat": "idempotency_key",
            "group": "cell",
            "memorySpanUs": 2_000_000,
            "worth": 3.0,
        },
        {"name": "lodge", "giveUpUs": 3_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
    ],
    "zone": "a",
    "zones": ["a", "b"],
    "me": 0,
    "groupSize": 1,
    "discovery": "on_request",
    "bounds": {
        "sendCap": 3,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "dialTimeoutUs": 250_000,
        "idleCloseUs": 15_000_000,
        "secondCopies": False,
    },
    "guarantees": {
        "answerSlackUs": 20_000,
        "askWithinUs": 10_000_000,
        "drainGraceUs": 500_000,
        "coldFrom": 0.14,
        "coldUs": 22_000_000,
        "fallMultiple": 3.0,
        "fallUs": 2_000_000,
    },
}


class Sidecar:
    """One sidecar, started as the platform starts it: by the line `run` of the deploy file."""

    def __init__(self, roster: Roster, record: Record, mysql_roster: Roster | None = None) -> None:
        """Start it and wait until its health says yes; with `mysql_roster` it serves MySQL as well."""
        self._record = record
        self.port, self.mysql_port = free_port(), free_port()
        self._folder = Path(tempfile.mkdtemp(prefix="micadeck-review-"))
        (self._folder / "tmp").mkdir()
        document = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": roster.address,
            "seed": "5ea1c0de5ea1c0de",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": roster.document(),
            "settings": SETTINGS,
        }
        if mysql_roster is not None:
            document["mysql"] = str(self._write_mysql_file(mysql_roster))
        config = self._folder / "config.json"
        config.write_text(json.dumps(document))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment |= {"BALANCER_CONFIG": str(config), "TMPDIR": str(self._folder / "tmp")}
        with (self._folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        try:
            self._wait_until_ready()
        except CouldNotRunError:
            self.end()
            raise

    def _write_mysql_file(self, roster: Roster) -> Path:
        import mysql_stage

        password = self._folder / "password"
        password.write_text(mysql_stage.SERVER_PASSWORD + "\n")
        path = self._folder / "mysql.toml"
        path.write_text(mysql_stage.config_text(self.mysql_port, roster.address, str(password)))
        return path

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_WITHIN_S
        while not self.is_healthy():
            if time.monotonic() > deadline or self._process.poll() is not None:
                raise CouldNotRunError("the sidecar did not get ready: " + self._log()[-500:])
            time.sleep(0.05)
        time.sleep(0.5)
        self._record.add("the sidecar is ready")

    def is_healthy(self) -> bool:
        """Ask for its health at the clients' address."""
        try:
            with socket.create_connection((HOST, self.port), timeout=1.0) as connection:
                connection.sendall(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                return connection.recv(_READ_BYTES).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def terminate(self) -> None:
        """Send SIGTERM, as at a planned restart."""
        self._record.add("the platform sends SIGTERM")
        self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL if it still runs."""
        if self._process.poll() is None:
            self._record.add("the platform sends SIGKILL")
            self._process.kill()

    def _log(self) -> str:
        return (self._folder / "log").read_text(errors="replace")

    def end(self) -> None:
        """End it, whatever it is doing, and remove its folder."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()
        for line in self._log().splitlines():
            self._record.add(f"log of the sidecar: {line}")
        shutil.rmtree(self._folder, ignore_errors=True)


def start_sidecar(roster: Roster, record: Record, mysql_roster: Roster | None = None) -> Sidecar:
    """Start a sidecar; try again if it does not get ready, as another process may have taken a free port."""
    for _ in range(_START_ATTEMPTS - 1):
        try:
            return Sidecar(roster, record, mysql_roster)
        except CouldNotRunError as error:
            record.add(f"start: {error}")
    return Sidecar(roster, record, mysql_roster)


def encode_request(ident: str, kind: str, timeout_s: float, last: str = "") -> bytes:
    """Return a client's request in the protocol's form; `last` is the last part of its path."""
    method, extra = ("GET", "") if kind == "check" else ("POST", "Content-Length: 0\r\n")
    if kind == "amend":
        extra += f"Idempotency-Key: key-{ident}\r\n"
    return (
        f"{method} /api/{last or ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {ident}\r\n"
        f"Request-Class: {kind}\r\nRequest-Timeout: {timeout_s:.3f}\r\n{extra}\r\n"
    ).encode()


@contextmanager
def stage(record: Record, servers: Sequence[Closable], mysql: Sequence[Closable] = ()) -> Iterator[Sidecar]:
    """Run a sidecar before these servers, and before those of MySQL if there are any; end them afterwards."""
    roster = Roster(servers)
    mysql_roster = Roster(mysql) if mysql else None
    try:
        sidecar = start_sidecar(roster, record, mysql_roster)
        try:
            yield sidecar
        finally:
            sidecar.end()
    finally:
        for service in (roster, *servers, *mysql):
            service.close()
        if mysql_roster is not None:
            mysql_roster.close()


def play(folder: Path, case: Callable[[Record, bool], list[str]]) -> int:
    """Play a case with its disruption, or without it if TROUBLE is 0; return the exit code."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"begin, {'with' if has_trouble else 'without'} the disruption")
    try:
        violations = case(record, has_trouble)
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        code = COULD_NOT_RUN
    else:
        for violation in violations:
            record.add(f"BROKEN {violation}")
        code = BROKEN if violations else HELD
        record.add(f"result: {'the rule was broken' if violations else 'the rule held'}")
    record.save()
    print(f"{folder.name}: exit {code}; see {folder.name}/record.txt")
    return code
