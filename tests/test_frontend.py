"""Client connections over loopback sockets."""

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
def test_a_request_is_forwarded_unchanged_and_its_answer_returned(kind: str, body: bytes) -> None:
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
            assert (await harness.exchange()).status == 200  # the sidecar still serves

    run_async(work)


def test_a_body_over_the_limit_gets_413() -> None:
    # Guards against a reset that discards the answer while the client is still sending.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            body = b"x" * (MAX_BODY_BYTES + 1)
            client.send(request("lodge", body=body))
            assert (await client.answer()).status == 413
            assert harness.received == []

    run_async(work)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def work() -> None:
        async def echo(received: ReceivedRequest) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + received.target[-2:].encode()

        async with run_harness(echo) as harness:
            client = await harness.client()
            client.send(b"".join(request(target=f"/api/{number}") for number in range(10, 30)))
            assert [(await client.answer()).body for _ in range(20)] == [b"%d" % n for n in range(10, 30)]

    run_async(work)


def test_a_client_disconnect_ends_the_attempt_and_removes_the_request() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            client = await harness.client()
            client.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            client.close()
            await until(lambda: harness.servers[0].closed == [0])
            await until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


def test_requests_over_max_open_are_refused_at_once() -> None:
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


def test_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    # Guards against running out of descriptors: a limit of 64 sockets allows 8 client connections.
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


def test_a_connection_header_cannot_remove_host_or_ids() -> None:
    # Guards against a request that can't be encoded for a server: its client would wait for the deadline.
    async def work() -> None:
        async with run_harness(OK) as harness:
            answer = await harness.exchange("amend", Connection="host, request-id, idempotency-key, tenant")
            assert answer.status == 200
            headers = harness.received[0].headers
            assert headers["host"] == "origin.svc" and headers["idempotency-key"] == "5c0f"
            assert "request-id" in headers and "tenant" not in headers

    run_async(work)


def test_connections_with_stalled_requests_are_closed_for_new_ones() -> None:
    # Guards against clients that never finish a body: each would hold its descriptor forever.
    async def work() -> None:
        async with run_harness(OK, overrides={"limits": {"sockets": 64}}) as harness:
            for _ in range(12):
                stalled = await harness.client()
                stalled.send(request("lodge", body=b"x" * 10)[:-1])
            assert (await harness.exchange()).status == 200
            await until(lambda: len(harness.sidecar.listener.connections) <= 8)

    run_async(work)


def test_close_idle_keeps_a_connection_with_an_unread_request() -> None:
    # Guards against a reset that loses a request at the end of a drain, when no listener accepts a retry.
    async def work() -> None:
        async with run_harness(OK) as harness:
            client = await harness.client()
            assert (await client.exchange()).status == 200
            client.send(request("lodge"))  # unread in the sidecar's socket: the event loop has not run
            harness.sidecar.listener.connections.close_idle()
            assert (await client.answer()).status == 200

    run_async(work)


def test_the_health_path_is_answered_by_the_sidecar() -> None:
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
def test_ambiguous_requests_are_rejected_and_the_connection_closed(raw: bytes) -> None:
    # Guards against request smuggling in another request's body, and against requests after malformed bytes.
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
def test_a_client_that_sends_no_complete_request_in_time_is_disconnected(
    raw: bytes, status: int | None
) -> None:
    async def work() -> None:
        async with run_harness(OK, client_limits=SHORT) as harness:
            client = await harness.client()
            client.send(raw)
            if status is not None:
                assert (await client.answer()).status == status
            assert await soon(client.reader.read()) == b""
            client.writer.write(b"more of it")  # one that keeps sending is cut off too
            await until(lambda: len(harness.sidecar.listener.connections) == 0)
            assert harness.received == []

    run_async(work)


def test_an_idle_connection_times_out_and_one_that_waits_does_not() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            if len(harness.received) == 2:
                await release.wait()
            return OK

        async with run_harness(hold, client_limits=SHORT) as harness:
            idle, waiting = await harness.client(), await harness.client()
            assert (await idle.exchange("lodge")).status == 200
            waiting.send(request("lodge"))
            assert await soon(idle.reader.read()) == b""
            await asyncio.sleep(2 * SHORT.request_timeout_s)
            release.set()
            assert (await waiting.answer()).status == 200

    run_async(work)


def test_silent_connections_do_not_shut_out_clients_with_requests() -> None:
    # Guards the limit on descriptors while many connect at once, and connections with an open request.
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold, overrides={"limits": {"sockets": 64}}) as harness:
            waiting = await harness.client()
            waiting.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            peak = 0
            for _ in range(200):
                await harness.client()
                peak = max(peak, len(harness.sidecar.listener.connections))
            release.set()
            assert (await harness.exchange("lodge")).status == 200
            assert (await waiting.answer()).status == 200
            assert peak <= 8

    run_async(work)


def test_a_new_connection_is_closed_when_all_have_open_requests() -> None:
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


def test_memory_of_partial_requests_is_bounded() -> None:
    # Guards against many clients that each send part of a body and together exhaust memory.
    async def work() -> None:
        async with run_harness(OK, client_limits=DownstreamLimits(max_bytes=300_000)) as harness:
            clients = [await harness.client() for _ in range(6)]
            for client in clients:
                client.send(request("lodge", body=b"x" * 65_000)[:-1])
            assert (await clients[0].answer()).status == 503
            assert (await harness.exchange("lodge")).status == 200

    run_async(work)


def test_pipelined_requests_stay_in_the_socket_while_one_is_open() -> None:
    # Guards against a flood of pipelined requests: only the first is handled, the others must not be read.
    async def work() -> None:
        async with run_harness(None) as harness:
            client = await harness.client()
            client.send(request("lodge") * 1_000)
            await until(lambda: len(harness.received) == 1)
            await asyncio.sleep(0.05)
            (held,) = harness.sidecar.listener.connections
            assert held.held_bytes < 70_000

    run_async(work)


def test_the_id_of_an_open_request_is_not_accepted_again() -> None:
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


def test_the_buffer_of_a_closed_connection_is_freed_at_once() -> None:
    # Guards against reference cycles that keep the buffers of hundreds of bad clients until a collection.
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


def test_a_request_timeout_is_capped_by_the_deadline_of_the_class() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            assert (await harness.exchange("amend", timeout="99999")).status == 200
            assert float(harness.received[0].headers["request-timeout"]) <= 2.0

    run_async(work)
