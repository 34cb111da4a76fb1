"""The table of hostile and unlucky loads: who sends what."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum, unique

from micadeck.stand_ins.hostile.peers import ANSWERS, HANGS, ID, Crowd, Flood, whole

_MANY = 560  # clients: over what a daemon with 640 descriptors has room for
_FEW = 60
_BIG = 32 << 20  # bytes
_PAGE = b"x" * 8_192
_CHUNK = b"2000\r\n" + _PAGE + b"\r\n"
_OK_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_GET = b"GET /api/7 HTTP/1.1\r\nHost: a\r\nRequest-Class: check\r\nRequest-Timeout: 2.0\r\nRequest-Id: %b\r\n"
_POST = _GET.replace(b"GET", b"POST").replace(b"check", b"lodge")


@unique
class Side(StrEnum):
    """Whose load it is."""

    CLIENTS = "clients"
    SERVERS = "servers"
    DISCOVERY = "discovery"


@dataclass(frozen=True, slots=True)
class Load:
    """One load.  What is None behaves well."""

    name: str
    side: Side
    crowd: Crowd | None = None
    server: Flood = ANSWERS
    discovery: Flood | None = None


def _ask(*, more: bytes = b"", ends: bool = True, post: bool = False) -> bytes:
    """A request, without its end where that is still to come."""
    return (_POST if post else _GET) % ID + more + (b"\r\n" if ends else b"")


def _asked(times: int = 1, **how: bool | bytes) -> Flood:
    return Flood(_ask(**how) * times)  # type: ignore[arg-type]


def _by_clients(name: str, flood: Flood, count: int = _MANY, **how: object) -> Load:
    crowd = Crowd(count, flood, **{key: how[key] for key in ("reads", "leaves_after_s") if key in how})  # type: ignore[arg-type]
    server = how.get("server", ANSWERS)
    assert isinstance(server, Flood)
    return Load(name, Side.SERVERS if server is HANGS else Side.CLIENTS, crowd, server)


def _by_servers(name: str, flood: Flood, count: int = _FEW, leaves_after_s: float | None = 0.3) -> Load:
    return Load(name, Side.SERVERS, Crowd(count, _asked(), leaves_after_s=leaves_after_s), flood)


def _by_discovery(name: str, flood: Flood) -> Load:
    return Load(name, Side.DISCOVERY, None, ANSWERS, flood)


def _renamed(count: int) -> Flood:
    """A list of so many servers that nobody has heard of."""
    servers = [
        {"id": f"r-{number:08}", "addr": f"127.0.0.1:{9 + number % 9}", "zone": "a", "state": "active"}
        for number in range(count)
    ]
    return whole(json.dumps({"version": 2, "full": True, "servers": servers}).encode())


_TINY = b"a:\r\n"
_SHORT = b"h: 12345\r\n"

_TABLE = (
    # Heads of answers.
    _by_servers("answer: headers without end", Flood(_OK_HEAD, b"x-fill: 0123456789\r\n", None)),
    _by_servers("answer: tiny headers without end", Flood(_OK_HEAD, _TINY, None)),
    _by_servers("answer: one value without end", Flood(_OK_HEAD + b"x-fill: ", _PAGE, None)),
    _by_servers("answer: one name without end", Flood(_OK_HEAD, b"n" * 1_024, None)),
    _by_servers("answer: a reason without end", Flood(b"HTTP/1.1 200 ", b"OK " * 1_024, None)),
    _by_servers("answer: a head that drips", Flood(_OK_HEAD, b"x", None, 0.01)),
    _by_servers("answer: 1xx without end", Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n", None)),
    _by_servers(
        "answer: 1xx with long heads", Flood(b"", b"HTTP/1.1 103 E\r\n" + _SHORT * 400 + b"\r\n", None)
    ),
    # Bodies of answers.
    _by_servers("answer: trailers without end", Flood(_CHUNKED + b"2\r\nok\r\n0\r\n", _TINY, None)),
    _by_servers("answer: one trailer without end", Flood(_CHUNKED + b"2\r\nok\r\n0\r\nx: ", _PAGE, None)),
    _by_servers("answer: a chunk extension without end", Flood(_CHUNKED + b"2;x=", _PAGE, None)),
    _by_servers("answer: a body without end", Flood(_CHUNKED, _CHUNK, None)),
    _by_servers("answer: one-byte chunks", Flood(_CHUNKED, b"1\r\nx\r\n", None)),
    _by_servers(
        "answer: said to have 3 GB", Flood(_OK_HEAD + b"Content-Length: 3000000000\r\n\r\n", _PAGE, None)
    ),
    _by_servers(
        "answer: 34 MB, also to probes", Flood(_OK_HEAD + b"Content-Length: 34000000\r\n\r\n", _PAGE, None)
    ),
    _by_servers("answer: a flood of second answers", Flood(b"", ANSWERS.first, None)),
    # Heads of requests.
    _by_clients(
        "request: 3800 headers of four bytes, servers hang", _asked(more=_TINY * 3_800), server=HANGS
    ),
    _by_clients("request: the same, the head half sent", _asked(more=_TINY * 3_800, ends=False)),
    _by_clients(
        "request: the same, four piped, unread", _asked(4, more=_TINY * 3_800), reads=False, server=ANSWERS
    ),
    _by_clients(
        "request: 1200 headers of ten bytes, servers hang", _asked(more=_SHORT * 1_200), server=HANGS
    ),
    _by_clients("request: headers without end", Flood(_ask(ends=False), _SHORT, None)),
    _by_clients("request: one value without end", Flood(_ask(ends=False) + b"x: ", _PAGE, None)),
    _by_clients("request: a target without end", Flood(b"GET /", _PAGE, None)),
    _by_clients("request: a head that drips", Flood(_ask(ends=False), b"x", None, 0.01)),
    _by_clients(
        "request: 95 headers, servers hang",
        _asked(more=b"h: " + b"v" * 150 + b"\r\n" + _SHORT * 90),
        server=HANGS,
    ),
    # Bodies of requests, and many requests.
    _by_clients(
        "request: trailers without end",
        Flood(_ask(more=b"Transfer-Encoding: chunked\r\n", post=True) + b"2\r\nok\r\n0\r\n", _TINY, None),
    ),
    _by_clients(
        "request: a chunk extension without end",
        Flood(_ask(more=b"Transfer-Encoding: chunked\r\n", post=True) + b"2;x=", _PAGE, None),
    ),
    _by_clients(
        "request: bodies of 60 kB half sent",
        Flood(_ask(more=b"Content-Length: 60000\r\n", post=True) + b"x" * 50_000),
    ),
    _by_clients(
        "request: bodies of 60 kB, servers hang",
        Flood(_ask(more=b"Content-Length: 60000\r\n", post=True) + b"x" * 60_000),
        server=HANGS,
    ),
    _by_clients(
        "request: bodies of 32 MB",
        Flood(_ask(more=b"Content-Length: %d\r\n" % _BIG, post=True), _PAGE, _BIG // len(_PAGE)),
    ),
    _by_clients(
        "request: shortest ones piped, unread", Flood(b"", b"GET / HTTP/1.1\r\n\r\n", 3_000), reads=False
    ),
    _by_clients(
        "request: 40 piped, answers of 60 kB unread", _asked(40), reads=False, server=whole(b"y" * 60_000)
    ),
    _by_clients(
        "request: answers of 32 MB unread",
        _asked(),
        300,
        reads=False,
        server=Flood(_OK_HEAD + b"Content-Length: %d\r\n\r\n" % _BIG, _PAGE, _BIG // len(_PAGE)),
    ),
    _by_clients("request: clients that leave at once", _asked(), leaves_after_s=0.005),
    # Discovery.
    _by_discovery("list: headers without end", Flood(_OK_HEAD, b"x-fill: 0123456789\r\n", None)),
    _by_discovery("list: tiny headers without end", Flood(_OK_HEAD, _TINY, None)),
    _by_discovery("list: one value without end", Flood(_OK_HEAD + b"x: ", _PAGE, None)),
    _by_discovery("list: a body without end", Flood(_CHUNKED, _CHUNK, None)),
    _by_discovery("list: nested 100,000 deep", whole(b"[" * 100_000)),
    _by_discovery(
        "list: 4 MB of empty entries", whole(b'{"version":2,"full":true,"servers":[' + b"{}," * 1_000_000)
    ),
    _by_discovery("list: 3,200 servers under new names", _renamed(3_200)),
)

LOADS = {each.name: each for each in _TABLE}
