"""The table of hostile and extreme loads."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum, unique

from micadeck.stand_ins.hostile.peers import (
    ID_PLACEHOLDER,
    NO_RESPONSE,
    OK_RESPONSE,
    Crowd,
    Flood,
    ok_response,
)

_MANY_CLIENTS = 560  # more than a daemon with 640 descriptors can accept
_FEW_CLIENTS = 60
_LARGE_BODY_BYTES = 32 << 20
_BLOCK = b"x" * 8_192
_CHUNK = b"2000\r\n" + _BLOCK + b"\r\n"
_OK_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_GET = b"GET /api/7 HTTP/1.1\r\nHost: a\r\nRequest-Class: check\r\nRequest-Timeout: 2.0\r\nRequest-Id: %b\r\n"
_POST = _GET.replace(b"GET", b"POST").replace(b"check", b"lodge")


@unique
class Side(StrEnum):
    """Who sends the load."""

    CLIENTS = "clients"
    SERVERS = "servers"
    DISCOVERY = "discovery"


@dataclass(frozen=True, slots=True)
class Load:
    """A load.  A peer that is None behaves normally."""

    name: str
    side: Side
    crowd: Crowd | None = None
    server: Flood = OK_RESPONSE
    discovery: Flood | None = None


def _request(*, more: bytes = b"", ends: bool = True, post: bool = False) -> bytes:
    """A request; without the end of its head if not `ends`."""
    return (_POST if post else _GET) % ID_PLACEHOLDER + more + (b"\r\n" if ends else b"")


def _requests(times: int = 1, **options: bool | bytes) -> Flood:
    return Flood(_request(**options) * times)  # type: ignore[arg-type]


def _by_clients(name: str, flood: Flood, count: int = _MANY_CLIENTS, **options: object) -> Load:
    crowd_options = {key: options[key] for key in ("reads", "read_rate", "closes_after_s") if key in options}
    crowd = Crowd(count, flood, **crowd_options)  # type: ignore[arg-type]
    server = options.get("server", OK_RESPONSE)
    assert isinstance(server, Flood)
    return Load(name, Side.SERVERS if server is NO_RESPONSE else Side.CLIENTS, crowd, server)


def _by_servers(
    name: str, flood: Flood, count: int = _FEW_CLIENTS, closes_after_s: float | None = 0.3
) -> Load:
    return Load(name, Side.SERVERS, Crowd(count, _requests(), closes_after_s=closes_after_s), flood)


def _by_discovery(name: str, flood: Flood) -> Load:
    return Load(name, Side.DISCOVERY, None, OK_RESPONSE, flood)


def _unknown_servers(count: int) -> Flood:
    """A list of this many unknown servers."""
    servers = [
        {"id": f"r-{number:08}", "addr": f"127.0.0.1:{9 + number % 9}", "zone": "a", "state": "active"}
        for number in range(count)
    ]
    return ok_response(json.dumps({"version": 2, "full": True, "servers": servers}).encode())


_TINY_HEADER = b"a:\r\n"
_SHORT_HEADER = b"h: 12345\r\n"
_LARGE_POST = _request(more=b"Content-Length: %d\r\n" % _LARGE_BODY_BYTES, post=True)
_LARGE_ANSWER = Flood(
    _OK_HEAD + b"Content-Length: %d\r\n\r\n" % _LARGE_BODY_BYTES,
    _BLOCK,
    _LARGE_BODY_BYTES // len(_BLOCK),
)

_TABLE = (
    # Heads of answers.
    _by_servers("answer: headers without end", Flood(_OK_HEAD, b"x-fill: 0123456789\r\n", None)),
    _by_servers("answer: tiny headers without end", Flood(_OK_HEAD, _TINY_HEADER, None)),
    _by_servers("answer: one value without end", Flood(_OK_HEAD + b"x-fill: ", _BLOCK, None)),
    _by_servers("answer: one name without end", Flood(_OK_HEAD, b"n" * 1_024, None)),
    _by_servers("answer: a reason without end", Flood(b"HTTP/1.1 200 ", b"OK " * 1_024, None)),
    _by_servers("answer: a head that drips", Flood(_OK_HEAD, b"x", None, 0.01)),
    _by_servers("answer: 1xx without end", Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n", None)),
    _by_servers(
        "answer: 1xx with long heads", Flood(b"", b"HTTP/1.1 103 E\r\n" + _SHORT_HEADER * 400 + b"\r\n", None)
    ),
    # Bodies of answers.
    _by_servers("answer: trailers without end", Flood(_CHUNKED + b"2\r\nok\r\n0\r\n", _TINY_HEADER, None)),
    _by_servers("answer: one trailer without end", Flood(_CHUNKED + b"2\r\nok\r\n0\r\nx: ", _BLOCK, None)),
    _by_servers("answer: a chunk extension without end", Flood(_CHUNKED + b"2;x=", _BLOCK, None)),
    _by_servers("answer: a body without end", Flood(_CHUNKED, _CHUNK, None)),
    _by_servers("answer: one-byte chunks", Flood(_CHUNKED, b"1\r\nx\r\n", None)),
    _by_servers(
        "answer: said to have 3 GB", Flood(_OK_HEAD + b"Content-Length: 3000000000\r\n\r\n", _BLOCK, None)
    ),
    _by_servers(
        "answer: 34 MB, also to probes", Flood(_OK_HEAD + b"Content-Length: 34000000\r\n\r\n", _BLOCK, None)
    ),
    _by_servers("answer: a flood of second answers", Flood(b"", OK_RESPONSE.first, None)),
    # Heads of requests.
    _by_clients(
        "request: 3800 headers of four bytes, servers hang",
        _requests(more=_TINY_HEADER * 3_800),
        server=NO_RESPONSE,
    ),
    _by_clients("request: the same, the head half sent", _requests(more=_TINY_HEADER * 3_800, ends=False)),
    _by_clients(
        "request: the same, four piped, unread",
        _requests(4, more=_TINY_HEADER * 3_800),
        reads=False,
        server=OK_RESPONSE,
    ),
    _by_clients(
        "request: 1200 headers of ten bytes, servers hang",
        _requests(more=_SHORT_HEADER * 1_200),
        server=NO_RESPONSE,
    ),
    _by_clients("request: headers without end", Flood(_request(ends=False), _SHORT_HEADER, None)),
    _by_clients("request: one value without end", Flood(_request(ends=False) + b"x: ", _BLOCK, None)),
    _by_clients("request: a target without end", Flood(b"GET /", _BLOCK, None)),
    _by_clients("request: a head that drips", Flood(_request(ends=False), b"x", None, 0.01)),
    _by_clients(
        "request: 95 headers, servers hang",
        _requests(more=b"h: " + b"v" * 150 + b"\r\n" + _SHORT_HEADER * 90),
        server=NO_RESPONSE,
    ),
    # Bodies of requests, and many requests.
    _by_clients(
        "request: trailers without end",
        Flood(
            _request(more=b"Transfer-Encoding: chunked\r\n", post=True) + b"2\r\nok\r\n0\r\n",
            _TINY_HEADER,
            None,
        ),
    ),
    _by_clients(
        "request: a chunk extension without end",
        Flood(_request(more=b"Transfer-Encoding: chunked\r\n", post=True) + b"2;x=", _BLOCK, None),
    ),
    _by_clients(
        "request: bodies of 60 kB half sent",
        Flood(_request(more=b"Content-Length: 60000\r\n", post=True) + b"x" * 50_000),
    ),
    _by_clients(
        "request: bodies of 60 kB, servers hang",
        Flood(_request(more=b"Content-Length: 60000\r\n", post=True) + b"x" * 60_000),
        server=NO_RESPONSE,
    ),
    _by_clients(
        "request: bodies of 32 MB, servers hang",
        Flood(_LARGE_POST, _BLOCK, _LARGE_BODY_BYTES // len(_BLOCK)),
        server=NO_RESPONSE,
    ),
    _by_clients("request: bodies of 32 MB half sent", Flood(_LARGE_POST, _BLOCK, 40)),
    _by_clients(
        "request: bodies of 32 MB sent slowly",
        Flood(_LARGE_POST, _BLOCK, _LARGE_BODY_BYTES // len(_BLOCK), 0.1),
    ),
    _by_clients(
        "request: 95 headers of four bytes, the head half sent",
        _requests(more=_TINY_HEADER * 90, ends=False),
    ),
    _by_clients(
        "request: bodies of 32 MB",
        Flood(_LARGE_POST, _BLOCK, _LARGE_BODY_BYTES // len(_BLOCK)),
    ),
    _by_clients(
        "request: shortest ones piped, unread", Flood(b"", b"GET / HTTP/1.1\r\n\r\n", 3_000), reads=False
    ),
    _by_clients(
        "request: 40 piped, answers of 60 kB unread",
        _requests(40),
        reads=False,
        server=ok_response(b"y" * 60_000),
    ),
    _by_clients(
        "request: answers of 60 kB unread", _requests(), reads=False, server=ok_response(b"y" * 60_000)
    ),
    _by_clients("request: answers of 32 MB unread", _requests(), 300, reads=False, server=_LARGE_ANSWER),
    _by_clients("request: answers of 32 MB read slowly", _requests(), read_rate=40e3, server=_LARGE_ANSWER),
    _by_clients("request: clients that leave at once", _requests(), closes_after_s=0.005),
    # Discovery.
    _by_discovery("list: headers without end", Flood(_OK_HEAD, b"x-fill: 0123456789\r\n", None)),
    _by_discovery("list: tiny headers without end", Flood(_OK_HEAD, _TINY_HEADER, None)),
    _by_discovery("list: one value without end", Flood(_OK_HEAD + b"x: ", _BLOCK, None)),
    _by_discovery("list: a body without end", Flood(_CHUNKED, _CHUNK, None)),
    _by_discovery("list: nested 100,000 deep", ok_response(b"[" * 100_000)),
    _by_discovery(
        "list: 4 MB of empty entries",
        ok_response(b'{"version":2,"full":true,"servers":[' + b"{}," * 1_000_000),
    ),
    _by_discovery("list: 3,200 servers under new names", _unknown_servers(3_200)),
)

LOADS = {load.name: load for load in _TABLE}
