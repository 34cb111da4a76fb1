"""Runs the daemon's tests unchanged against the daemon, the library and the middleware under uvicorn.

`HTTP_ONLY` lists the tests that only the daemon can run, and why.
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
from micadeck.http.h1 import RequestReader
from micadeck.http.messages import Request
from micadeck.library import Micadeck
from micadeck.network import LoopNetwork
from micadeck.sidecar import Sidecar

WAYS = ("daemon", "library", "middleware")
SUITE = ("test_frontend", "test_program", "test_idle_connections", "test_sidecar", "test_upstream")
# The daemon's tests that use the endpoint list also run with Consul instead of the roster, and with both.
CONSUL_WAYS = ("daemon by consul", "daemon by both")
WITH_CONSUL = ("test_sidecar", "test_upstream")
ROSTER_ONLY = {
    "test_idle_connections_are_closed_the_list_is_fetched_and_lines_are_logged": "requests to the roster",
}

_CONNECTIONS = "number and idle time of client connections: the host's server owns them"
_RAW_BYTES = "bytes that are no complete valid request: the host's server parses HTTP"
_TIMEOUTS = "timeouts of client connections: the host's server enforces them"
_PROCESS = "the daemon's process: its signals, exit codes and log lines"

HTTP_ONLY = {
    "test_the_longest_idle_connection_is_closed_for_a_new_one": _CONNECTIONS,
    "test_connections_with_stalled_requests_are_closed_for_new_ones": _CONNECTIONS,
    "test_close_idle_keeps_a_connection_with_an_unread_request": _CONNECTIONS,
    "test_silent_connections_do_not_shut_out_clients_with_requests": _CONNECTIONS,
    "test_a_new_connection_is_closed_when_all_have_open_requests": _CONNECTIONS,
    "test_single_use_connections_do_not_shut_out_other_clients": _CONNECTIONS,
    "test_reused_connections_are_kept_among_single_use_ones": _CONNECTIONS,
    "test_an_excess_connection_with_an_unread_request_is_kept": _CONNECTIONS,
    "test_the_health_path_is_answered_by_the_sidecar": "a path that only the daemon serves",
    "test_ambiguous_requests_are_rejected_and_the_connection_closed": _RAW_BYTES,
    "test_memory_of_partial_requests_is_bounded": _RAW_BYTES,
    "test_pipelined_requests_stay_in_the_socket_while_one_is_open": _RAW_BYTES,
    "test_the_buffer_of_a_closed_connection_is_freed_at_once": _RAW_BYTES,
    "test_the_sidecar_survives_any_bytes_from_clients_and_servers": _RAW_BYTES,
    "test_a_client_that_sends_no_complete_request_in_time_is_disconnected": _TIMEOUTS,
    "test_an_idle_connection_times_out_and_one_that_waits_does_not": _TIMEOUTS,
    "test_a_bad_configuration_is_one_line_that_names_the_key": _PROCESS,
    "test_sigterm_answers_open_and_late_requests_then_exits_0": _PROCESS,
    "test_sigterm_with_a_silent_server_answers_in_time": _PROCESS,
    "test_sighup_applies_a_new_discovery_and_ignores_an_invalid_file": _PROCESS,
    "test_an_address_in_use_is_exit_code_1_and_names_its_key": _PROCESS,
    "test_a_second_process_takes_over_without_losing_requests": _PROCESS,
    "test_killing_either_process_of_two_leaves_the_other_serving": _PROCESS,
}
# Tests whose parameter `raw` is in some cases not an HTTP request: only the daemon runs those cases.
RAW_INPUT_TESTS = ("test_bad_input_gets_400_and_reaches_no_server",)


def parse_requests(raw: bytes) -> list[Request]:
    """Return the requests; none if they are not HTTP."""
    reader = RequestReader(max_body=1 << 26)
    reader.feed(raw)
    return [] if reader.error_status is not None else list(reader.requests)


def reaches_balancer(way: str, raw: bytes) -> bool:
    """Whether the balancer gets these bytes as requests."""
    if way == "daemon":
        return True
    requests = parse_requests(raw)
    if way == "library":
        return bool(requests)
    # The host's server handles HTTP/1.0 and absolute targets itself, and the middleware passes requests
    # without any of its headers to the application.
    if b" HTTP/1.1" not in raw or any(not request.target.startswith(b"/") for request in requests):
        return False
    return any(name.startswith(b"request-") for request in requests for name, _ in request.headers)


class Way(Protocol):
    """A started balancer, and how its clients reach it."""

    sidecar: Any  # open_requests and close(); more for the daemon

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
    """Stands for the daemon's client connections; setting their maximum has no effect."""

    max_connections = 0


class _NoFrontend:
    connections = _NoConnections()


class _SidecarFacade:
    """A library's balancer with the interface of a sidecar."""

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
        """Return: nothing is buffered."""


class LibraryClient:
    """Parses requests as sent to the daemon and passes them to the library one at a time."""

    def __init__(self, balancer: Micadeck) -> None:
        self._balancer = balancer
        self._requests: asyncio.Queue[Request] = asyncio.Queue()
        self._answers: asyncio.Queue[Answer] = asyncio.Queue()
        self._worker = asyncio.get_running_loop().create_task(self._exchange_requests())
        self.writer = _NoWriter()

    def send(self, raw: bytes) -> None:
        requests = parse_requests(raw)
        assert requests, f"no HTTP request: {raw!r:.200}"
        for request in requests:
            self._requests.put_nowait(request)

    async def _exchange_requests(self) -> None:
        while True:
            request = await self._requests.get()
            answer = await self._balancer.exchange(
                request.method, request.target, request.headers, request.body
            )
            headers = {name.decode(): value.decode("latin-1") for name, value in answer.headers}
            self._answers.put_nowait(Answer(answer.status, headers, answer.body))

    async def answer(self) -> Answer:
        next_answer = asyncio.ensure_future(self._answers.get())
        await soon(asyncio.wait((next_answer, self._worker), return_when=asyncio.FIRST_COMPLETED))
        if not next_answer.done():
            next_answer.cancel()
            self._worker.result()  # raises the error that ended it
        return next_answer.result()

    exchange = Client.exchange

    def close(self) -> None:
        self._worker.cancel()


class LibraryWay:
    """The library, used from the test's event loop."""

    @staticmethod
    async def start(
        config: Config, log: Callable[[str], None], limits: DownstreamLimits | None
    ) -> LibraryWay:
        way = LibraryWay()
        way.balancer = Micadeck(config, log=log)
        way.balancer.start()
        way.sidecar = _SidecarFacade(way.balancer)
        return way

    balancer: Micadeck
    sidecar: _SidecarFacade

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
        yield  # leaves the test process's signal handlers in place


async def not_found_app(
    scope: Any, receive: Callable[[], Awaitable[Any]], send: Callable[[Any], Any]
) -> None:
    """An application that answers 404 to all that is not balanced."""
    assert scope["type"] == "http"
    await send({"type": "http.response.start", "status": 404, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body", "body": b""})


class Host:
    """An ASGI application under uvicorn, on a free port."""

    def __init__(self, app: Any) -> None:
        self._socket = socket.socket()
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        config = uvicorn.Config(app, http="httptools", ws="none", log_config=None, lifespan="on")
        self.server = _Uvicorn(config)
        self._server_task = asyncio.get_running_loop().create_task(self.server.serve(sockets=[self._socket]))

    async def started(self) -> Host:
        while not self.server.started and not self._server_task.done():
            await asyncio.sleep(0.001)
        return self

    async def stop(self) -> None:
        self.server.should_exit = True
        await self._server_task

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


class MiddlewareWay:
    """The middleware before `not_found_app`, under uvicorn in this process."""

    @staticmethod
    async def start(
        config: Config, log: Callable[[str], None], limits: DownstreamLimits | None
    ) -> MiddlewareWay:
        way = MiddlewareWay()
        balancer = Micadeck(config, log=log)
        way.sidecar = _SidecarFacade(balancer)
        way.host = await Host(MicadeckMiddleware(not_found_app, balancer, prefix="/")).started()
        return way

    host: Host
    sidecar: _SidecarFacade

    async def client(self) -> Client:
        return await self.host.client()

    async def close(self, clients: list[Any]) -> None:
        for client in clients:
            client.close()
        await self.host.stop()


STARTERS: dict[str, Callable[..., Awaitable[Way]]] = {
    "daemon": DaemonWay.start,
    "library": LibraryWay.start,
    "middleware": MiddlewareWay.start,
}
