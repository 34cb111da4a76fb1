"""The platform's roster: a versioned list of servers, read in full or watched for changes."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


class StandInRoster:
    """Holds the list; every change makes a new version and notifies watches."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.requests = 0
        self._change_versions: dict[str, int] = {}
        self._removed: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self._connections: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> StandInRoster:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    def close(self) -> None:
        assert self._server is not None
        self._server.close()

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, name: str, address: str, state: str = "active", *, is_new: bool = False) -> None:
        """Add or update a server; `is_new`: its process has just started."""
        old_entry = self.entries.get(name, {})
        started_ms = self.now_ms() if is_new else old_entry.get("started_ms", 0)
        self._put_entry(
            name, {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "weight": 1.0,
                   "state": state, "started_ms": started_ms}
        )  # fmt: skip

    def now_ms(self) -> int:
        return int(time.time() * 1_000)

    def remove(self, name: str) -> None:
        self._removed[name] = {**self.entries.pop(name), "state": "left"}
        self._record_change(name)

    def snapshot(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def mute_watches(self, client_host: str | None = None) -> int:
        """Send nothing more on connections open now, from one host or all; return their number."""
        muted = [
            writer
            for writer in self._connections
            if client_host in (None, writer.get_extra_info("peername")[0])
        ]
        self._muted.update(muted)
        return len(muted)

    def _put_entry(self, name: str, entry: dict[str, Any]) -> None:
        self.entries[name] = entry
        self._removed.pop(name, None)
        self._record_change(name)

    def _record_change(self, name: str) -> None:
        self.version += 1
        self._change_versions[name] = self.version
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _changes_since(self, after: int) -> dict[str, Any]:
        changed = [name for name, version in self._change_versions.items() if version > after]
        servers = [self.entries.get(name) or self._removed[name] for name in changed]
        return {"version": self.version, "full": False, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                body = json.dumps(await self._answer(head.split(b" ")[1].decode())).encode()
                if writer in self._muted:
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the client closed, or the event loop ends
        finally:
            self._connections.discard(writer)
            self._muted.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            return self.snapshot()
        after = int(query["after"][0])
        if after > self.version:
            return self.snapshot()  # the version is from another roster
        if after == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self._changes_since(after)
