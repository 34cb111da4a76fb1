"""The platform's roster: a versioned list of servers, asked for whole or watched for changes."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


class StandInRoster:
    """Keeps the list; every change is a version, and wakes whoever watches."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.asked = 0
        self._changed_at: dict[str, int] = {}
        self._left: dict[str, dict[str, Any]] = {}
        self._news = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._mute: set[asyncio.StreamWriter] = set()
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
        """List a server, or change what is said of it; `is_new`: its process has just started."""
        before = self.entries.get(name, {})
        started_ms = self.now_ms() if is_new else before.get("started_ms", 0)
        self._change(
            name, {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "weight": 1.0,
                   "state": state, "started_ms": started_ms}
        )  # fmt: skip

    def now_ms(self) -> int:
        return int(time.time() * 1_000)

    def remove(self, name: str) -> None:
        self._left[name] = {**self.entries.pop(name), "state": "left"}
        self._touch(name)

    def whole(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def fall_silent(self, towards: str | None = None) -> int:
        """Say nothing more on what is open now, from one address or from all; give how many that are."""
        mute = [each for each in self._open if towards in (None, each.get_extra_info("peername")[0])]
        self._mute.update(mute)
        return len(mute)

    def _change(self, name: str, entry: dict[str, Any]) -> None:
        self.entries[name] = entry
        self._left.pop(name, None)
        self._touch(name)

    def _touch(self, name: str) -> None:
        self.version += 1
        self._changed_at[name] = self.version
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _since(self, after: int) -> dict[str, Any]:
        changed = [name for name, version in self._changed_at.items() if version > after]
        servers = [self.entries.get(name) or self._left[name] for name in changed]
        return {"version": self.version, "full": False, "servers": servers}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.asked += 1
                body = json.dumps(await self._answer(head.split(b" ")[1].decode())).encode()
                if writer in self._mute:
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # its end, or the event loop's
        finally:
            self._open.discard(writer)
            self._mute.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            return self.whole()
        after = int(query["after"][0])
        if after > self.version:
            return self.whole()  # it knows another roster's versions
        if after == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait_ms", ["0"])[0]) / 1_000):
                    await self._news.wait()
            except TimeoutError:
                pass
        return self._since(after)
