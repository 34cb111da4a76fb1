"""The ways in which the same balancer is reached: the daemon, the library, the middleware under uvicorn.

The daemon's own tests run unchanged against all three; `HTTP_ONLY` lists those that can't, and why.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Protocol

import uvicorn
from loopback import HOST, Answer, Client, soon

from micadeck.asgi import MicadeckMiddleware
from micadeck.config import Config
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.h1 import Request, RequestReader
from micadeck.library import Micadeck
from micadeck.network import LoopNetwork
from micadeck.sidecar import Sidecar

WAYS = ("daemon", "library", "middleware")
SUITE = ("test_frontend", "test_program", "test_idle_connections", "test_sidecar", "test_upstream")
# The daemon's tests that meet the list of servers run again with Consul in the roster's place, and beside it.
CONSUL_WAYS = ("daemon by consul", "daemon by both")
WITH_CONSUL = ("test_sidecar", "test_upstream")
ROSTER_ONLY = {
    "test_idle_connections_are_closed_the_list_is_fetched_and_lines_are_logged": "how the roster is asked",
}

_ROOM = "connections of clients, their number and rest: the host's server holds them"
_BYTES = "bytes of HTTP that no parsed request can stand for: the host's server reads them"
_TIME = "time limits of clients' connections: the host's server keeps them"
_PROCESS = "the daemon's process: its signals, exit codes and lines"

HTTP_ONLY = {
    "test_the_connection_longest_at_rest_makes_room_for_a_new_one": _ROOM,
    "test_requests_that_stall_half_sent_make_room_for_new_ones": _ROOM,
    "test_letting_go_of_idle_connections_spares_one_with_a_request_unread": _ROOM,
    "test_hundreds_that_connect_and_say_nothing_leave_room_for_those_that_ask": _ROOM,
    "test_when_every_connection_is_owed_an_answer_a_further_one_is_closed": _ROOM,
    "test_clients_that_ask_once_and_keep_leave_room_for_others": _ROOM,
    "test_clients_that_reuse_keep_their_connections_beside_those_that_ask_once": _ROOM,
    "test_a_connection_with_a_request_unread_is_not_closed_for_room": _ROOM,
    "test_health_is_answered_here": "a path of the daemon's own; the host has its own",
    "test_what_can_be_read_in_two_ways_is_turned_away_with_all_that_follows": _BYTES,
    "test_what_half_sent_requests_hold_in_memory_is_bounded": _BYTES,
    "test_what_comes_behind_an_open_request_is_left_in_the_socket": _BYTES,
    "test_what_a_client_that_was_turned_away_sent_is_freed_at_once": _BYTES,
    "test_any_bytes_from_clients_and_servers_leave_the_sidecar_alive": _BYTES,
    "test_a_client_that_sends_no_whole_request_in_time_is_let_go": _TIME,
    "test_a_connection_at_rest_is_closed_in_the_end_and_one_that_waits_is_not": _TIME,
    "test_a_bad_configuration_is_one_line_that_names_the_key": _PROCESS,
    "test_sigterm_answers_what_was_taken_and_what_still_comes_then_exits_0": _PROCESS,
    "test_sigterm_with_a_silent_server_still_answers_in_time": _PROCESS,
    "test_sighup_follows_a_new_discovery_and_an_unusable_file_changes_nothing": _PROCESS,
    "test_an_address_in_use_is_exit_code_1_and_its_key_is_named": _PROCESS,
    "test_a_second_process_takes_over_and_no_request_is_lost": _PROCESS,
    "test_either_process_may_be_killed_while_both_run_and_the_other_serves_on": _PROCESS,
}
# Tests whose `raw` is sometimes no HTTP request at all: those of them stay with the daemon.
RAW = ("test_bad_input_gets_400_and_reaches_no_server",)


def parsed(raw: bytes) -> list[Request]:
    """The requests in these bytes; none if they are not HTTP."""
    reader = RequestReader(max_body=1 << 26)
    reader.feed(raw)
    return [] if reader.error_status is not None else list(reader.requests)


def takes(way: str, raw: bytes) -> bool:
    """Whether these bytes come to the balancer at all, reached in this way."""
    if way == "daemon":
        return True
    requests = parsed(raw)
    if way == "library":
        return bool(requests)
    # The host's server takes HTTP/1.0 and absolute targets itself, and the middleware leaves to the
    # application what names none of its headers.
    if b" HTTP/1.1" not in raw or any(not each.target.startswith(b"/") for each in requests):
        return False
    return any(name.startswith(b"request-") for each in requests for name, _ in each.headers)


class Way(Protocol):
    """A started balancer, and how its clients reach it."""

    sidecar: Any  # open_requests, close(); the daemon's has more

    async def client(self) -> Any: ...

    async def close(self, clients: list[Any]) -> None: ...


class DaemonWay:
    """The daemon's sidecar, in this process."""

    @staticmethod
    async def start(config: Config, log: Callable[[str], None], limits: DownstreamLimits | None) -> DaemonWay:
        way = DaemonWay()
        way.sidecar = Sidecar(config, LoopNetwork(), log, limits)
        await way.sidecar.start()
        return way

    sidecar: Sidecar

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.sidecar.listener.port))

    async def close(self, clients: list[Any]) -> None:
        self.sidecar.close()
        for client in clients:
            client.close()


class _NoConnections:
    """What the daemon has of its clients' connections; here to set their number does nothing."""

    max_connections = 0


class _NoFrontend:
    connections = _NoConnections()


class _Facade:
    """What tests ask of a sidecar, asked of a library's balancer."""

    def __init__(self, balancer: Micadeck) -> None:
        self._balancer = balancer
        self.listener = _NoFrontend()

    @property
    def open_requests(self) -> int:
        return self._balancer.open_requests

    def close(self) -> None:
        self._balancer.close()


class _NoWriter:
    async def drain(self) -> None:
        """All is handed over already."""


class LibraryClient:
    """Words requests as a client of the daemon does, and hands them to the library one after the other."""

    def __init__(self, balancer: Micadeck) -> None:
        self._balancer = balancer
        self._requests: asyncio.Queue[Request] = asyncio.Queue()
        self._answers: asyncio.Queue[Answer] = asyncio.Queue()
        self._work = asyncio.get_running_loop().create_task(self._hand_over())
        self.writer = _NoWriter()

    def send(self, raw: bytes) -> None:
        requests = parsed(raw)
        assert requests, f"no HTTP request: {raw!r:.200}"
        for each in requests:
            self._requests.put_nowait(each)

    async def _hand_over(self) -> None:
        while True:
            request = await self._requests.get()
            got = await self._balancer.exchange(request.method, request.target, request.headers, request.body)
            headers = {name.decode(): value.decode("latin-1") for name, value in got.headers}
            self._answers.put_nowait(Answer(got.status, headers, got.body))

    async def answer(self) -> Answer:
        waiting = asyncio.ensure_future(self._answers.get())
        await soon(asyncio.wait((waiting, self._work), return_when=asyncio.FIRST_COMPLETED))
        if not waiting.done():
            waiting.cancel()
            self._work.result()  # raises what went wrong
        return waiting.result()

    ask = Client.ask

    def close(self) -> None:
        self._work.cancel()


class LibraryWay:
    """The library, used from the test's event loop."""

    @staticmethod
    async def start(
        config: Config, log: Callable[[str], None], limits: DownstreamLimits | None
    ) -> LibraryWay:
        way = LibraryWay()
        way.balancer = Micadeck(config, log=log)
        way.balancer.start()
        way.sidecar = _Facade(way.balancer)
        return way

    balancer: Micadeck
    sidecar: _Facade

    async def client(self) -> LibraryClient:
        return LibraryClient(self.balancer)

    async def close(self, clients: list[Any]) -> None:
        for client in clients:
            client.close()
        await asyncio.sleep(0)
        await self.balancer.aclose()


class _Uvicorn(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield  # the test's process keeps its own


async def no_such_page(scope: Any, receive: Callable[[], Awaitable[Any]], send: Callable[[Any], Any]) -> None:
    """An application that knows nothing; whatever is not balanced ends here."""
    assert scope["type"] == "http"
    await send({"type": "http.response.start", "status": 404, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body", "body": b""})


class Host:
    """An ASGI application under uvicorn, on a port of its own."""

    def __init__(self, app: Any) -> None:
        self._socket = socket.socket()
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        config = uvicorn.Config(app, http="httptools", ws="none", log_config=None, lifespan="on")
        self.server = _Uvicorn(config)
        self._serving = asyncio.get_running_loop().create_task(self.server.serve(sockets=[self._socket]))

    async def started(self) -> Host:
        while not self.server.started and not self._serving.done():
            await asyncio.sleep(0.001)
        return self

    async def stop(self) -> None:
        self.server.should_exit = True
        await self._serving

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


class MiddlewareWay:
    """The middleware before an application that knows nothing, under uvicorn in this process."""

    @staticmethod
    async def start(
        config: Config, log: Callable[[str], None], limits: DownstreamLimits | None
    ) -> MiddlewareWay:
        way = MiddlewareWay()
        balancer = Micadeck(config, log=log)
        way.sidecar = _Facade(balancer)
        way.host = await Host(MicadeckMiddleware(no_such_page, balancer, prefix="/")).started()
        return way

    host: Host
    sidecar: _Facade

    async def client(self) -> Client:
        return await self.host.client()

    async def close(self, clients: list[Any]) -> None:
        for client in clients:
            client.close()
        await self.host.stop()


STARTED: dict[str, Callable[..., Awaitable[Way]]] = {
    "daemon": DaemonWay.start,
    "library": LibraryWay.start,
    "middleware": MiddlewareWay.start,
}
