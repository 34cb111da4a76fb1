"""Attempts and the pool of connections to servers, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest
from helpers import S, get_request, settings
from loopback import (
    ERROR,
    FULL,
    HOST,
    OK,
    FullBacklogServer,
    Harness,
    ReceivedRequest,
    async_test,
    list_entry,
    reply,
    request,
    reuse_delay_passed,
    run_async,
    run_harness,
    soon,
    until,
)

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.http.client import ClientConnection
from micadeck.http.exchange import Exchange
from micadeck.http.messages import Request, Response
from micadeck.http.reuse_delay import MIN_REUSE_DELAY_US
from micadeck.http.upstream import ConnectionPool, load_report
from micadeck.network import LoopNetwork, parse_address
from micadeck.policy.events import ListedServer, ServerState
from micadeck.policy.outcomes import Outcome


def open_requests_of(harness: Harness) -> int:
    return int(harness.sidecar.open_requests)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (ERROR, 502),
        (FULL, 503),  # it never ran, and there is no other server
        (b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 404 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 504 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (b"garbage\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 200),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200),
    ],
)
def test_the_status_of_a_non_idempotent_request(answer: bytes, status: int) -> None:
    async def work() -> None:
        async with run_harness(answer) as harness:
            assert (await harness.exchange("lodge")).status == status
            assert len(harness.received) == 1
            # The library resolves the answer before it removes the request.
            await until(lambda: open_requests_of(harness) == 0)

    run_async(work)


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"])
def test_a_non_idempotent_request_is_not_retried_after_a_lost_connection(part: bytes) -> None:
    async def work() -> None:
        async def hang_up(received: ReceivedRequest) -> None:
            received.writer.write(part)
            received.writer.close()

        async with run_harness(hang_up, hang_up) as harness:
            assert (await harness.exchange("lodge")).status == 502
            assert len(harness.received) == 1

    run_async(work)


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "malformed",
    [
        HEAD + b"\r\nserved",  # delimited by the connection's end: it may be truncated
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 1_000,
        HEAD + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nserved",
        HEAD + b"Content-Length: 6\r\nContent-Length: 6\r\n\r\nserved",
        HEAD + b"Content-Length: 6, 6\r\n\r\nserved",
        HEAD + b"Content-Length: -6\r\n\r\nserved",
        HEAD + b"Content-Length: 9\r\n\r\nserved",
        HEAD + b"X-Pad: never ends\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n",
        b"HTTP/1.1 103 Early\r\n\r\n" * 50,
        b"HTTP/1.1 OK 200\r\nContent-Length: 6\r\n\r\nserved",
        b"HTT",
    ],
)
def test_a_malformed_response_fails_at_once_and_an_idempotent_request_is_retried(malformed: bytes) -> None:
    # Guards against waiting for the deadline on an open connection, and against serving a malformed response.
    async def work() -> None:
        async def once(received: ReceivedRequest) -> bytes:
            return malformed if len(harness.received) == 1 else OK

        async with run_harness(once, once) as harness:
            answer = await harness.exchange("check", timeout="3.0")
            assert (answer.status, answer.body) == (200, b"served")
            first, second = harness.received
            assert float(second.headers["request-timeout"]) > 1.5
            assert (await harness.exchange("lodge")).status == 200
            # The connection with the malformed response is closed.
            await until(lambda: sum(len(each.closed) for each in harness.servers) == 1)
            assert first.target == second.target

    run_async(work)


@pytest.mark.parametrize("late", [False, True])
def test_a_connection_with_surplus_bytes_is_not_reused(late: bool) -> None:
    # Guards against serving the next request with a duplicate of the previous response.
    async def work() -> None:
        async def twice(received: ReceivedRequest) -> bytes:
            body = received.target.rpartition("/")[2].encode()
            answer = HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if late:
                received.writer.write(answer)
                await received.writer.drain()
                await asyncio.sleep(0.02)
                return answer
            return answer + answer

        async with run_harness(twice) as harness:
            client = await harness.client()
            for number in range(10, 15):
                assert (await client.exchange("lodge", target=f"/api/{number}")).body == b"%d" % number
                await until(lambda count=number - 9: len(harness.servers[0].closed) == count)  # type: ignore[misc]
            assert harness.servers[0].connections == 5

    run_async(work)


def test_a_late_duplicate_response_is_not_taken_for_the_next_request_s() -> None:
    # The connection is reused before the duplicate arrives, and nothing in it names its request.
    async def work() -> None:
        async def answer(received: ReceivedRequest) -> bytes:
            copy, at = answers.get(received.connection, (b"", 0.0))
            if asyncio.get_running_loop().time() - at > 0.015:
                copy = b""  # it came while idle and closed the connection; else it comes first
            own = reply(received.target.rpartition("/")[2].encode())
            answers[received.connection] = (own, asyncio.get_running_loop().time())
            return copy + own

        answers: dict[int, tuple[bytes, float]] = {}
        async with run_harness(answer) as harness:
            client = await harness.client()
            assert (await client.exchange("lodge", target="/api/first")).body == b"first"
            harness.servers[0].received[0].writer.write(answers[0][0])  # the pool has now seen a duplicate
            await until(lambda: harness.servers[0].closed == [0])
            for number in range(10, 30):
                assert (await client.exchange("lodge", target=f"/api/{number}")).body == b"%d" % number

    run_async(work)


class ThreadedServer:
    """Answers every request with its target, on threads of its own: also while the event loop is held up."""

    def __init__(self) -> None:
        self.connections: list[socket.socket] = []
        self._listener = socket.create_server((HOST, 0))
        self.address = parse_address(f"{HOST}:{self._listener.getsockname()[1]}")
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):  # closed
            while True:
                self.connections.append(self._listener.accept()[0])
                threading.Thread(target=self._serve, args=self.connections[-1:], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while data := connection.recv(65_536):
                time.sleep(0.02)
                connection.sendall(reply(data.split(b" ")[1]))

    def close(self) -> None:
        self._listener.close()


@contextlib.contextmanager
def run_pool() -> Iterator[tuple[ThreadedServer, Callable[[bytes], Awaitable[bytes]]]]:
    """A server, and a function that sends a request to it over a pool at once and returns the body."""
    server, pool = ThreadedServer(), ConnectionPool(LoopNetwork(), settings())
    pool.max_connections = 8
    entry = EndpointEntry(ListedServer("s-1", state=ServerState.READY), server.address)
    pool.update_endpoints(EndpointUpdate(1, True, (entry,)))

    def send(target: bytes) -> Awaitable[bytes]:
        answer: asyncio.Future[bytes] = asyncio.Future()

        def done(outcome: Outcome, response: Any, report: object) -> None:
            assert outcome is Outcome.DELIVERED
            answer.set_result(response.body)

        pool.start("s-1", LoopNetwork().now() + S, get_request(target), done)
        return soon(answer)

    try:
        yield server, send
    finally:
        pool.close()
        server.close()


@async_test
async def test_a_duplicate_that_is_unread_when_a_connection_is_chosen_lengthens_the_reuse_delay() -> None:
    # Guards against learning nothing from a duplicate that only the check before a write notices.
    with run_pool() as (server, send):
        assert await send(b"/first") == b"/first"
        await reuse_delay_passed()
        server.connections[0].sendall(reply(b"/first"))  # the event loop does not run until the check
        assert await send(b"/second") == b"/second"
        await reuse_delay_passed()  # shorter than the delay after late data
        assert await send(b"/third") == b"/third"
        assert len(server.connections) == 3


@async_test
async def test_a_late_process_counts_the_time_that_an_answer_lay_in_the_socket() -> None:
    # Guards against a process that is short of CPU and dials where it could reuse a connection.
    with run_pool() as (server, send):
        assert await send(b"/first") == b"/first"
        await reuse_delay_passed()
        second = send(b"/second")
        await asyncio.sleep(0.001)  # it is written
        time.sleep(4 * MIN_REUSE_DELAY_US / 1e6)  # the answer comes while the event loop is held up
        assert await second == b"/second"
        assert await send(b"/third") == b"/third"
        assert len(server.connections) == 1
        assert await send(b"/fourth") == b"/fourth"
        assert len(server.connections) == 2


@async_test
async def test_the_kernel_reports_round_trips_and_the_age_of_data() -> None:
    # Guards against a reuse delay that misses the link's part, as the kernel's statistics are read wrongly.
    server, network = ThreadedServer(), LoopNetwork()
    connection = await network.dial(
        lambda: ClientConnection(network, 1 << 16, lambda _: None, lambda _: None), server.address
    )
    assert 0 < connection.min_round_trip_us() < 100_000  # over loopback
    answered: asyncio.Future[object] = asyncio.Future()
    connection.exchange(Request(b"GET", b"/", []), answered.set_result)
    await soon(answered)
    await asyncio.sleep(0.1)
    assert 60_000 < connection.us_since_received() <= 110_000
    connection.close()
    assert connection.min_round_trip_us() == connection.us_since_received() == 0
    server.close()


def test_a_refused_connection_never_ran_and_is_retried() -> None:
    async def work() -> None:
        async with run_harness(OK, OK, OK) as harness:
            harness.servers[0].stop()
            harness.servers[1].stop()
            answers = [await harness.exchange("lodge") for _ in range(4)]
            assert [each.status for each in answers] == [200] * 4

    run_async(work)


def test_a_silent_server_times_out_and_its_connection_is_closed() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            assert (await harness.exchange("lodge", timeout="0.3")).status == 504
            await until(lambda: harness.servers[0].closed == [0])
            assert open_requests_of(harness) == 0

    run_async(work)


def test_an_open_connection_is_reused_and_a_closed_one_is_not() -> None:
    # Guards against writing to a connection whose end is still unread in the socket: that request may run.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            for _ in range(3):
                assert (await client.exchange("lodge")).status == 200
                await reuse_delay_passed()
            assert harness.servers[0].connections == 1
            for _ in range(20):
                harness.servers[0].hang_up()
                assert (await client.exchange("lodge")).status == 200

    run_async(work)


def test_a_connection_near_its_idle_timeout_is_not_reused() -> None:
    async def work() -> None:
        async with run_harness(OK, bounds={"idleCloseUs": 50_000}) as harness:
            client = await harness.client()
            assert (await client.exchange("lodge")).status == 200
            await until(lambda: harness.servers[0].closed == [0])
            assert (await client.exchange("lodge")).status == 200
            assert harness.servers[0].connections == 2

    run_async(work)


@pytest.mark.parametrize("change", ["addr", "started_ms"])
def test_connections_to_a_replaced_server_are_closed(change: str) -> None:
    async def work() -> None:
        async with run_harness(OK, OK, listed=False) as harness:
            first, second = (each.address for each in harness.servers)
            await until(lambda: len(harness.discovery.received) >= 2)
            harness.discovery.publish(list_entry("s", first))
            await until(lambda: len(harness.discovery.received) >= 3)
            assert (await harness.exchange()).status == 200
            if change == "addr":
                harness.discovery.publish(list_entry("s", second))
            else:
                harness.discovery.publish(list_entry("s", first, started_ms=1))
            await until(lambda: harness.servers[0].closed == [0])
            assert (await harness.exchange()).status == 200
            assert len(harness.servers[1].received) == (1 if change == "addr" else 0)

    run_async(work)


def test_idle_connections_to_a_draining_server_are_closed() -> None:
    # Guards against holding connections, of which a server has few, that nothing new may use.
    async def work() -> None:
        async with run_harness(OK, bounds={"idleCloseUs": 600_000_000}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            assert (await harness.exchange()).status == 200
            harness.discovery.publish(list_entry("s-0", harness.servers[0].address, state="leaving"))
            await until(lambda: harness.servers[0].closed == [0])

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("why", ["drains", "leaves", "moves to another cell", "client gone"])
def test_nothing_is_written_when_a_connection_opens_too_late(why: str, may_cancel: bool) -> None:
    # Guards rule 3 (a server starts draining while the connection is being opened) and a cancelled attempt:
    # one that is not written yet may be cancelled without `may_cancel`.
    async def work() -> None:
        slow = FullBacklogServer()
        await slow.fill_backlog()
        async with run_harness(bounds={"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            harness.discovery.publish(list_entry("s", slow.address))
            await until(lambda: len(harness.discovery.received) >= 3)
            client = await harness.client()
            client.send(request("lodge", timeout="15"))
            await until(lambda: open_requests_of(harness) == 1)
            if why == "client gone":
                client.close()
                async with asyncio.timeout(2.0):  # long before the request's deadline
                    await until(lambda: open_requests_of(harness) == 0)
            else:
                change: dict[str, Any] = {"drains": {"state": "leaving"}, "leaves": {"state": "left"}}.get(
                    why, {"cell": 2}
                )
                harness.discovery.publish(list_entry("s", slow.address, **change))
                await until(lambda: len(harness.discovery.received) >= 4)
            accepted = await slow.accept_sidecar()
            if why == "client gone":
                harness.sidecar.close()  # closes the connection, which was kept
            else:
                assert (await client.answer()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


def test_a_retry_that_connects_after_the_deduplication_window_is_never_written() -> None:
    # Guards rule 2: the retry was decided in time, but would run after its group forgot the first attempt.
    async def work() -> None:
        slow = FullBacklogServer()
        await slow.fill_backlog()

        async def drop(received: ReceivedRequest) -> None:
            harness.discovery.publish(list_entry("s", slow.address))
            await until(lambda: len(harness.discovery.received) >= 3)
            received.writer.close()

        kind = {"name": "amend", "giveUpUs": 8_000_000, "promiseUs": 600_000, "repeat": "idempotency_key"}
        lanes = [{**kind, "group": "all", "memorySpanUs": 900_000}]
        async with run_harness(drop, lanes=lanes, bounds={"dialTimeoutUs": 15_000_000}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            client = await harness.client()
            client.send(request("amend", timeout="8"))
            answer = asyncio.ensure_future(client.answer())
            await until(lambda: len(harness.received) == 1)
            await asyncio.wait([answer], timeout=2.0)  # the deduplication window is over by then
            accepted = await slow.accept_sidecar()
            assert (await answer).status == 503  # refused: its client may retry it as a new request
            harness.sidecar.close()
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


def test_connections_to_servers_stay_within_the_descriptor_limit() -> None:
    # Guards against running out of descriptors; a request without a connection was not sent: it is refused.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold, overrides={"limits": {"sockets": 80}}) as harness:
            harness.sidecar.listener.connections.max_connections = 32
            clients = []
            for number in range(20):
                clients.append(await harness.client())
                clients[-1].send(request("lodge", timeout="10"))
                await soon(clients[-1].writer.drain())
                if number < 16:
                    await until(lambda sent=number + 1: len(harness.received) == sent)  # type: ignore[misc]
            await until(lambda: open_requests_of(harness) == 16)
            # Those without a connection are refused at once; the library may deliver that a moment later.
            refused = [(await client.answer()).status for client in clients[16:]]
            release.set()
            statuses = [(await client.answer()).status for client in clients[:16]] + refused
            assert statuses == [200] * 16 + [503] * 4

    run_async(work)


def test_load_reports_are_parsed_and_malformed_ones_ignored() -> None:
    def read(text: bytes) -> dict[str, float] | None:
        return load_report(Response(200, [(b"server-load", text)], b""), ("qps", "util"))

    assert read(b"TEXT qps=7, util=0.61, queue=2") == {"qps": 7.0, "util": 0.61}
    assert read(b"TEXT util=nan, qps=inf") is None
    assert read(b"TEXT util=-0.5, qps=1e300") is None
    assert read(b"\xff=,,=;util") is None
    assert load_report(Response(200, [], b""), ("qps",)) is None


@pytest.mark.parametrize(("cancels", "arrives_complete"), [(True, False), (False, True)])
def test_a_request_cancelled_while_partly_buffered_never_arrives_complete(
    cancels: bool, arrives_complete: bool
) -> None:
    # Guards rule 2: a server starts work at the last byte, however late it arrives.
    request = Request(b"POST", b"/slow", [(b"host", b"x"), (b"content-length", b"60000")], b"x" * 60_000)

    async def run() -> bytes:
        with socket.socket() as listener:
            # Buffers only a part of the request.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind((HOST, 0))
            listener.listen()
            network, written = LoopNetwork(), asyncio.Event()
            connection = await network.dial(
                lambda: ClientConnection(network, 1_000, lambda _: None, lambda _: None),
                listener.getsockname(),
            )
            server, _ = listener.accept()
            connection.exchange(request, lambda _: None, written.set)
            await soon(written.wait())  # to the last byte, as far as this side can see
            if cancels:
                connection.close()
                await asyncio.sleep(0)
                await asyncio.sleep(0)  # the event loop closes the socket in a later round
            server.settimeout(0.2)
            received_bytes = b""
            with server, contextlib.suppress(ConnectionResetError, TimeoutError):
                while data := server.recv(65_536):
                    received_bytes += data
            connection.close()
            return received_bytes

    assert (len(run_async(run)) >= 60_000) is arrives_complete


FORGET_WITHIN_S = 1.0  # the library's thread may be about to forget the request as its answer arrives


@async_test
async def test_an_idle_connection_holds_neither_its_last_request_nor_the_answer() -> None:
    def live() -> list[Exchange | Response]:
        gc.collect()
        return [each for each in gc.get_objects() if isinstance(each, (Exchange, Response))]

    async with run_harness(reply(b"a" * 50_000)) as harness:
        of_other_tests = live()
        assert (await harness.exchange("lodge", body=b"b" * 50_000)).status == 200
        assert harness.servers[0].connections == 1 and not harness.servers[0].closed
        async with asyncio.timeout(FORGET_WITHIN_S):
            await until(lambda: all(any(each is other for other in of_other_tests) for each in live()))
        assert not harness.servers[0].closed
