"""The application's side, over loopback sockets."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest
from loopback import OK, ReceivedRequest, request, run_async, run_harness, soon, until

from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.h1 import MAX_BODY_BYTES


@pytest.mark.parametrize(
    ("kind", "body"), [("check", b""), ("amend", b'{"a":1}'), ("lodge", b"x" * 65_536)], ids=str
)
def test_a_request_goes_on_unchanged_and_its_answer_comes_back(kind: str, body: bytes) -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            answer = await harness.exchange(kind, body=body, timeout="1.5", Request_Id="9b1f03aa5c7e2d41")
            assert (answer.status, answer.body) == (200, b"served")
            (received,) = harness.received
            assert received.method == ("GET" if kind == "check" else "POST")
            assert received.target == "/api/7f3a?x=1"
            assert received.body == body
            assert received.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert received.headers.get("idempotency-key") == ("5c0f" if kind == "amend" else None)
            assert 0.0 < float(received.headers["request-timeout"]) <= 1.5

    run_async(work)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nbroken line\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        request(Request_Class=""),
        request(Request_Class="unheard-of"),
        request(Request_Id=""),
        request(Request_Id="two words"),
        request(Request_Id="a\r\nRequest-Id: b"),
        request(Request_Timeout=""),
        request(timeout="soon"),
        request(timeout="-1"),
        request(timeout="0"),
        request(timeout="nan"),
        request(timeout="1e999"),
        request(Work_Hint="much"),
        request("amend", Idempotency_Key=""),
        request("lodge", Idempotency_Key="5c0f"),
        request("lodge").replace(b"POST", b"PUT", 1),
        request("check").replace(b"GET", b"HEAD", 1),
        request("lodge").replace(b"POST", b"GET", 1),
        request(target="http://elsewhere/api"),
        request(Host="").replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_bad_input_gets_400_and_reaches_no_server(raw: bytes) -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            client.send(raw)
            assert (await client.answer()).status == 400
            assert harness.received == []
            assert (await harness.exchange()).status == 200  # it lives on

    run_async(work)


def test_a_body_over_the_bound_gets_413() -> None:
    # Guards against a reset that takes the answer with it, when the client is still sending.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            body = b"x" * (MAX_BODY_BYTES + 1)
            client.send(request("lodge", body=body))
            assert (await client.answer()).status == 413
            assert harness.received == []

    run_async(work)


def test_requests_on_one_connection_are_answered_in_order_also_when_sent_ahead() -> None:
    async def work() -> None:
        async def echo(received: ReceivedRequest) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + received.target[-2:].encode()

        async with run_harness(echo) as harness:
            client = await harness.client()
            client.send(b"".join(request(target=f"/api/{number}") for number in range(10, 30)))
            assert [(await client.answer()).body for _ in range(20)] == [b"%d" % n for n in range(10, 30)]

    run_async(work)


def test_a_client_that_leaves_ends_the_attempt_and_the_sidecar_forgets_the_request() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            client = await harness.client()
            client.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            client.close()
            await until(lambda: harness.servers[0].closed == [0])
            await until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


def test_more_than_max_open_is_refused_at_once() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold, bounds={"maxOpen": 2}) as harness:
            first, second = await harness.client(), await harness.client()
            first.send(request("lodge"))
            second.send(request("lodge"))
            await until(lambda: harness.sidecar.open_requests == 2)
            assert (await harness.exchange("lodge")).status == 503
            release.set()
            assert [(await first.answer()).status, (await second.answer()).status] == [200, 200]
            assert len(harness.received) == 2

    run_async(work)


def test_the_connection_longest_at_rest_makes_room_for_a_new_one() -> None:
    # Guards against running out of descriptors: 64 leave room for a handful of clients.
    async def work() -> None:
        async with run_harness(OK, overrides={"limits": {"sockets": 64}}) as harness:
            clients = []
            for _ in range(20):
                client = await harness.client()
                assert (await client.exchange()).status == 200
                clients.append(client)
            assert await clients[0].reader.read() == b""
            assert (await clients[-1].exchange()).status == 200
            await until(lambda: len(harness.sidecar.listener.connections) <= 8)

    run_async(work)


def test_a_client_cannot_have_the_host_or_the_ids_taken_off() -> None:
    # Guards against a request that can't be written to a server: its client would wait for the deadline.
    async def work() -> None:
        async with run_harness(OK) as harness:
            answer = await harness.exchange("amend", Connection="host, request-id, idempotency-key, tenant")
            assert answer.status == 200
            headers = harness.received[0].headers
            assert headers["host"] == "origin.svc" and headers["idempotency-key"] == "5c0f"
            assert "request-id" in headers and "tenant" not in headers

    run_async(work)


def test_requests_that_stall_half_sent_make_room_for_new_ones() -> None:
    # Guards against clients that begin a body and never end it: each would hold its descriptor for good.
    async def work() -> None:
        async with run_harness(OK, overrides={"limits": {"sockets": 64}}) as harness:
            for _ in range(12):
                stalled = await harness.client()
                stalled.send(request("lodge", body=b"x" * 10)[:-1])
            assert (await harness.exchange()).status == 200
            await until(lambda: len(harness.sidecar.listener.connections) <= 8)

    run_async(work)


def test_letting_go_of_idle_connections_spares_one_with_a_request_unread() -> None:
    # Guards against a reset that loses a request at the end of a drain, when nobody listens for a second try.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            assert (await client.exchange()).status == 200
            client.send(request("lodge"))  # it is in the sidecar's socket now, and the event loop has not run
            harness.sidecar.listener.connections.close_idle()
            assert (await client.answer()).status == 200

    run_async(work)


def test_health_is_answered_here() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200
            assert (await client.exchange()).status == 200
            assert len(harness.received) == 1

    run_async(work)


SMUGGLED = request("lodge", target="/api/hidden")


@pytest.mark.parametrize(
    "raw",
    [
        request("lodge", Content_Length="5", Transfer_Encoding="chunked") + b"0\r\n\r\n" + SMUGGLED,
        request("lodge", Content_Length="5, 5") + b"12345",
        request("lodge", Content_Length="5\r\nContent-Length: 5") + b"12345",
        request("lodge", Content_Length="5\r\nContent-Length: 6") + b"12345",
        request("lodge", Content_Length="+5") + b"12345",
        request("lodge", Content_Length="-5") + b"12345",
        request("lodge", Content_Length="9" * 30) + b"12345",
        request("lodge", Host="x\r\n folded"),
        request().replace(b"\r\n", b"\n"),
        request(Request_Class="odd") + SMUGGLED,
        b"nonsense\r\n\r\n" + SMUGGLED,
    ],
)
def test_what_can_be_read_in_two_ways_is_turned_away_with_all_that_follows(raw: bytes) -> None:
    # Guards against a request that hides in another's body, and against serving a client that sends nonsense.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            client.send(raw)
            assert (await client.answer()).status in (400, 413)
            assert await soon(client.reader.read()) == b""
            assert harness.received == []

    run_async(work)


SHORT = DownstreamLimits(
    header_timeout_s=0.15, request_timeout_s=0.3, idle_timeout_s=0.15, linger_s=0.05, sweep_s=0.01
)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"", None),
        (request()[:-2], 408),
        (request("lodge", body=b"half")[:-1], 408),
        (request("lodge", Content_Length="", Transfer_Encoding="chunked") + b"4\r\nhalf\r\n", 408),
        (request("lodge", body=b"x" * 70_000)[:-1], 408),
    ],
)
def test_a_client_that_sends_no_whole_request_in_time_is_let_go(raw: bytes, status: int | None) -> None:
    async def work() -> None:
        async with run_harness(OK, client_limits=SHORT) as harness:
            client = await harness.client()
            client.send(raw)
            if status is not None:
                assert (await client.answer()).status == status
            assert await soon(client.reader.read()) == b""
            client.writer.write(b"more of it")  # a client that sends on and on is cut off all the same
            await until(lambda: len(harness.sidecar.listener.connections) == 0)
            assert harness.received == []

    run_async(work)


def test_a_connection_at_rest_is_closed_in_the_end_and_one_that_waits_is_not() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            if len(harness.received) == 2:
                await release.wait()
            return OK

        async with run_harness(hold, client_limits=SHORT) as harness:
            resting, waiting = await harness.client(), await harness.client()
            assert (await resting.exchange("lodge")).status == 200
            waiting.send(request("lodge"))
            assert await soon(resting.reader.read()) == b""
            await asyncio.sleep(2 * SHORT.request_timeout_s)
            release.set()
            assert (await waiting.answer()).status == 200

    run_async(work)


def test_hundreds_that_connect_and_say_nothing_leave_room_for_those_that_ask() -> None:
    # Guards the limit on descriptors, also while many connect at once, and clients that have a request open.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold, overrides={"limits": {"sockets": 64}}) as harness:
            waiting = await harness.client()
            waiting.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            most = 0
            for _ in range(200):
                await harness.client()
                most = max(most, len(harness.sidecar.listener.connections))
            release.set()
            assert (await harness.exchange("lodge")).status == 200
            assert (await waiting.answer()).status == 200
            assert most <= 8

    run_async(work)


def test_when_every_connection_is_owed_an_answer_a_further_one_is_closed() -> None:
    async def work() -> None:
        async with run_harness(None, overrides={"limits": {"sockets": 64}}) as harness:
            clients = [await harness.client() for _ in range(8)]
            for client in clients:
                client.send(request("lodge", timeout="10"))
            await until(lambda: harness.sidecar.open_requests == 8)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await harness.exchange("lodge")
            assert harness.sidecar.open_requests == 8

    run_async(work)


def test_what_half_sent_requests_hold_in_memory_is_bounded() -> None:
    # Guards against many clients that each send most of a body: together they would take all memory.
    async def work() -> None:
        async with run_harness(OK, client_limits=DownstreamLimits(max_bytes=300_000)) as harness:
            clients = [await harness.client() for _ in range(6)]
            for client in clients:
                client.send(request("lodge", body=b"x" * 65_000)[:-1])
            assert (await clients[0].answer()).status == 503
            assert (await harness.exchange("lodge")).status == 200

    run_async(work)


def test_what_comes_behind_an_open_request_is_left_in_the_socket() -> None:
    # Guards against a flood of pipelined requests: none but the first is due, so none is read into memory.
    async def work() -> None:
        async with run_harness(None) as harness:
            client = await harness.client()
            client.send(request("lodge") * 1_000)
            await until(lambda: len(harness.received) == 1)
            await asyncio.sleep(0.05)
            (held,) = harness.sidecar.listener.connections
            assert held.held_bytes < 70_000

    run_async(work)


def test_the_id_of_an_open_request_is_not_taken_twice() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold) as harness:
            first = await harness.client()
            first.send(request("lodge", Request_Id="same"))
            await until(lambda: len(harness.received) == 1)
            assert (await harness.exchange("lodge", Request_Id="same")).status == 409
            release.set()
            assert (await first.answer()).status == 200
            assert len(harness.received) == 1
            assert (await harness.exchange("lodge", Request_Id="same")).status == 200

    run_async(work)


def test_what_a_client_that_was_turned_away_sent_is_freed_at_once() -> None:
    # Guards against memory that waits for a collection of cycles, while bad clients come by hundreds.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            client.send(request("lodge", body=b"x" * 60_000)[:-1])
            await until(lambda: any(each.has_head for each in harness.sidecar.listener.connections))
            (connection,) = harness.sidecar.listener.connections
            reader = weakref.ref(connection._reader)
            gc.disable()
            try:
                client.close()
                await until(lambda: len(harness.sidecar.listener.connections) == 0)
                del connection
                await until(lambda: reader() is None)
            finally:
                gc.enable()

    run_async(work)


def test_no_client_gets_more_time_than_its_class_has() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            assert (await harness.exchange("amend", timeout="99999")).status == 200
            assert float(harness.received[0].headers["request-timeout"]) <= 2.0

    run_async(work)
