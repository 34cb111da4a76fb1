"""Attempts and the pool, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from loopback import (
    ERROR,
    FULL,
    HOST,
    OK,
    FullBacklogServer,
    Harness,
    ReceivedRequest,
    list_entry,
    reply,
    request,
    reuse_delay_passed,
    run_async,
    run_harness,
    soon,
    until,
)

from micadeck.http.client import ClientConnection
from micadeck.http.h1 import Request
from micadeck.network import LoopNetwork


def at_the_sidecar(harness: Harness) -> int:
    return int(harness.sidecar.open_requests)


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (ERROR, 502),
        (FULL, 503),  # it never ran, and nobody else is there
        (b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 404 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 504 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (b"garbage\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70_000, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 200),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200),
    ],
)
def test_what_an_unsafe_request_comes_to(answer: bytes, status: int) -> None:
    async def work() -> None:
        async with run_harness(answer) as harness:
            assert (await harness.exchange("lodge")).status == status
            assert len(harness.received) == 1
            await until(lambda: at_the_sidecar(harness) == 0)  # a library's waiter hears a moment sooner

    run_async(work)


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"])
def test_an_unsafe_request_whose_connection_breaks_is_never_sent_again(part: bytes) -> None:
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
    "spoilt",
    [
        HEAD + b"\r\nserved",  # no end but the connection's: it may have broken off
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
def test_a_spoilt_answer_fails_soon_and_a_repeatable_request_is_sent_elsewhere(spoilt: bytes) -> None:
    # Guards against waiting for the deadline on a connection that stays open, and against serving a guess.
    async def work() -> None:
        async def once(received: ReceivedRequest) -> bytes:
            return spoilt if len(harness.received) == 1 else OK

        async with run_harness(once, once) as harness:
            answer = await harness.exchange("check", timeout="3.0")
            assert (answer.status, answer.body) == (200, b"served")
            first, second = harness.received
            assert float(second.headers["request-timeout"]) > 1.5
            assert (await harness.exchange("lodge")).status == 200
            await until(lambda: sum(len(each.closed) for each in harness.servers) == 1)  # of no further use
            assert first.target == second.target

    run_async(work)


@pytest.mark.parametrize("late", [False, True])
def test_a_connection_that_brought_more_than_its_answer_is_not_used_again(late: bool) -> None:
    # Guards against a second copy of an answer that the next request would be served with.
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


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_request_s() -> None:
    # The connection was handed on before the second answer came: nothing in it says whose it is.
    async def work() -> None:
        async def answer(received: ReceivedRequest) -> bytes:
            copy, at = answers.get(received.connection, (b"", 0.0))
            if asyncio.get_running_loop().time() - at > 0.015:
                copy = b""  # it came at rest, and closed the connection; else it comes first
            own = reply(received.target.rpartition("/")[2].encode())
            answers[received.connection] = (own, asyncio.get_running_loop().time())
            return copy + own

        answers: dict[int, tuple[bytes, float]] = {}
        async with run_harness(answer) as harness:
            client = await harness.client()
            assert (await client.exchange("lodge", target="/api/first")).body == b"first"
            harness.servers[0].received[0].writer.write(answers[0][0])  # now it is known that such come
            await until(lambda: harness.servers[0].closed == [0])
            for number in range(10, 30):
                assert (await client.exchange("lodge", target=f"/api/{number}")).body == b"%d" % number

    run_async(work)


def test_a_refused_dial_never_ran_and_is_drawn_again() -> None:
    async def work() -> None:
        async with run_harness(OK, OK, OK) as harness:
            harness.servers[0].stop()
            harness.servers[1].stop()
            answers = [await harness.exchange("lodge") for _ in range(4)]
            assert [each.status for each in answers] == [200] * 4

    run_async(work)


def test_silence_ends_at_the_deadline_and_closes_the_connection() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            assert (await harness.exchange("lodge", timeout="0.3")).status == 504
            await until(lambda: harness.servers[0].closed == [0])
            assert at_the_sidecar(harness) == 0

    run_async(work)


def test_a_connection_is_used_again_and_one_that_ended_is_not() -> None:
    # Guards against writing to a connection whose end lies unread in the socket: that may have run.
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


def test_a_connection_near_its_idle_limit_is_not_used() -> None:
    async def work() -> None:
        async with run_harness(OK, bounds={"idleCloseUs": 50_000}) as harness:
            client = await harness.client()
            assert (await client.exchange("lodge")).status == 200
            await until(lambda: harness.servers[0].closed == [0])
            assert (await client.exchange("lodge")).status == 200
            assert harness.servers[0].connections == 2

    run_async(work)


@pytest.mark.parametrize("change", ["addr", "started_ms"])
def test_connections_to_what_was_there_before_go(change: str) -> None:
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


def test_idle_connections_to_a_server_that_drains_are_closed() -> None:
    # Guards against holding places, of which a server has few, where nothing new may go.
    async def work() -> None:
        async with run_harness(OK, bounds={"idleCloseUs": 600_000_000}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            assert (await harness.exchange()).status == 200
            harness.discovery.publish(list_entry("s-0", harness.servers[0].address, state="leaving"))
            await until(lambda: harness.servers[0].closed == [0])

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("why", ["drains", "leaves", "moves to another cell", "client gone"])
def test_nothing_is_written_when_a_dial_comes_up_too_late(why: str, may_cancel: bool) -> None:
    # Guards rule 3 (a drain that is told while the dial is under way) and an attempt that was called off;
    # what is not written yet needs no leave to be called off.
    async def work() -> None:
        slow = FullBacklogServer()
        await slow.fill_backlog()
        async with run_harness(bounds={"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            harness.discovery.publish(list_entry("s", slow.address))
            await until(lambda: len(harness.discovery.received) >= 3)
            client = await harness.client()
            client.send(request("lodge", timeout="15"))
            await until(lambda: at_the_sidecar(harness) == 1)
            if why == "client gone":
                client.close()
                async with asyncio.timeout(2.0):  # long before the request's own time would end it
                    await until(lambda: at_the_sidecar(harness) == 0)
            else:
                change: dict[str, Any] = {"drains": {"state": "leaving"}, "leaves": {"state": "left"}}.get(
                    why, {"cell": 2}
                )
                harness.discovery.publish(list_entry("s", slow.address, **change))
                await until(lambda: len(harness.discovery.received) >= 4)
            accepted = await slow.accept_sidecar()
            if why == "client gone":
                harness.sidecar.close()  # the connection itself is good and was kept
            else:
                assert (await client.answer()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


def test_a_repeat_whose_dial_outlasts_its_servers_memory_is_never_written() -> None:
    # Guards rule 2: the repeat was decided on in time, and would run after its group forgot the first.
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
            await asyncio.wait([answer], timeout=2.0)  # by then nobody remembers the first attempt
            accepted = await slow.accept_sidecar()
            assert (await answer).status == 503  # refused: its client may come again as a new request
            harness.sidecar.close()
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


def test_no_more_connections_than_there_is_room_for() -> None:
    # Guards against running out of descriptors; what finds no room was not sent, so it is refused.
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
            await until(lambda: at_the_sidecar(harness) == 16)
            # Those that find no room are answered at once; only a library's hand-over may be later than this.
            refused = [(await client.answer()).status for client in clients[16:]]
            release.set()
            statuses = [(await client.answer()).status for client in clients[:16]] + refused
            assert statuses == [200] * 16 + [503] * 4

    run_async(work)


def test_load_reports_reach_the_decisions_and_nonsense_does_not() -> None:
    from micadeck.http.h1 import Response
    from micadeck.http.upstream import load_report

    def read(text: bytes) -> dict[str, float] | None:
        return load_report(Response(200, [(b"server-load", text)], b""), ("qps", "util"))

    assert read(b"TEXT qps=7, util=0.61, queue=2") == {"qps": 7.0, "util": 0.61}
    assert read(b"TEXT util=nan, qps=inf") is None
    assert read(b"TEXT util=-0.5, qps=1e300") is None
    assert read(b"\xff=,,=;util") is None
    assert load_report(Response(200, [], b""), ("qps",)) is None


@pytest.mark.parametrize(("gives_up", "comes_whole"), [(True, False), (False, True)])
def test_what_was_held_up_when_an_attempt_is_given_up_never_comes_whole(
    gives_up: bool, comes_whole: bool
) -> None:
    """Guards rule 2: a server begins with the last byte, however late that comes."""
    request = Request(b"POST", b"/slow", [(b"host", b"x"), (b"content-length", b"60000")], b"x" * 60_000)

    async def run() -> bytes:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)  # it takes in a part of it
            listener.bind((HOST, 0))
            listener.listen()
            network, written = LoopNetwork(), asyncio.Event()
            connection = await network.dial(
                lambda: ClientConnection(network, 1_000, lambda _: None, lambda _: None),
                listener.getsockname(),
            )
            server, _ = listener.accept()
            connection.exchange(request, lambda _: None, written.set)
            await soon(written.wait())  # to the last byte, as far as can be told here
            if gives_up:
                connection.close()
                await asyncio.sleep(0)
                await asyncio.sleep(0)  # the event loop closes the socket in a later round
            server.settimeout(0.2)
            came = b""
            with server, contextlib.suppress(ConnectionResetError, TimeoutError):
                while data := server.recv(65_536):
                    came += data
            connection.close()
            return came

    assert (len(run_async(run)) >= 60_000) is comes_whole
