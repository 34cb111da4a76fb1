"""Races between two events, forced by holding one side until the other has happened.

Clients are plain blocking sockets: what they send is in the sidecar's socket buffer when the call returns,
and the event loop, which runs in this thread, has not read it yet.  `docs/design/crossings.md` has the list.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import time

import pytest
from loopback import (
    ERROR,
    HOST,
    OK,
    FullBacklogServer,
    Harness,
    ReceivedRequest,
    list_entry,
    raw_client,
    read_rest,
    request,
    run_async,
    run_harness,
    soon,
    until,
)

from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.signals import ProcessSignals


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def idle_connection(harness: Harness, client: socket.socket) -> DownstreamConnection:
    """The sidecar's connection to a client that has had one answer."""
    client.sendall(request())
    client.setblocking(False)
    assert (await soon(asyncio.get_running_loop().sock_recv(client, 65_536))).startswith(b"HTTP/1.1 200")
    client.setblocking(True)
    (connection,) = harness.sidecar.listener.connections
    assert isinstance(connection, DownstreamConnection) and connection.is_idle
    return connection


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", ["ends", "resets"])
@pytest.mark.parametrize("behind", [0, 1, 400])
def test_the_disconnect_of_a_pipelining_client_is_noticed_before_anything_is_forwarded(
    behind: int, how: str, may_cancel: bool
) -> None:
    # The end of its stream is queued behind pipelined requests that are not read yet.
    async def work() -> None:
        slow = FullBacklogServer()
        await slow.fill_backlog()
        async with run_harness(bounds={"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}) as harness:
            await until(lambda: len(harness.discovery.received) >= 2)
            harness.discovery.publish(list_entry("s", slow.address))
            await until(lambda: len(harness.discovery.received) >= 3)
            with raw_client(harness) as client:
                client.sendall(b"".join(request("lodge", timeout="4") for _ in range(1 + behind)))
                await until(lambda: harness.sidecar.open_requests == 1)
                reset(client) if how == "resets" else client.close()
                async with asyncio.timeout(1.5):  # its deadline would end it only after 4 s
                    await until(lambda: harness.sidecar.open_requests == 0)
            assert len(harness.sidecar.listener.connections) == 0
            accepted = await slow.accept_sidecar()
            harness.sidecar.close()
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    run_async(work)


@pytest.mark.parametrize("how", ["ends", "resets"])
@pytest.mark.parametrize("waits_for", ["a dial", "a retry"])
def test_no_attempt_starts_for_a_disconnected_client_however_rarely_the_listener_checks(
    waits_for: str, how: str
) -> None:
    # The end of its stream is queued behind pipelined requests, and the timeout sweep runs once a minute.
    async def work() -> None:
        client_left = asyncio.Event()

        async def fail_once_client_left(received: ReceivedRequest) -> bytes | None:
            await client_left.wait()
            return ERROR

        slow = FullBacklogServer()
        await slow.fill_backlog()
        limits = DownstreamLimits(sweep_s=60.0)
        bounds = {"dialTimeoutUs": 15_000_000}
        async with run_harness(
            fail_once_client_left, fail_once_client_left, bounds=bounds, client_limits=limits
        ) as harness:
            if waits_for == "a dial":
                await until(lambda: len(harness.discovery.received) >= 2)
                removed = [{**each, "state": "left"} for each in harness.discovery.servers]
                harness.discovery.publish(list_entry("s", slow.address), *removed)
                await until(lambda: len(harness.discovery.received) >= 3)
            with raw_client(harness) as client:
                client.sendall(b"".join(request("check", timeout="4") for _ in range(400)))
                await until(lambda: harness.sidecar.open_requests == 1)
                if waits_for == "a retry":
                    await until(lambda: len(harness.received) == 1)
                reset(client) if how == "resets" else client.close()
            await asyncio.sleep(0.05)  # so that the end of its stream has arrived and is queued
            assert harness.sidecar.open_requests == 1
            client_left.set()
            if waits_for == "a dial":
                accepted = await slow.accept_sidecar()
            async with asyncio.timeout(1.5):
                await until(lambda: harness.sidecar.open_requests == 0)
            assert len(harness.received) == (waits_for == "a retry")
            harness.sidecar.close()
            if waits_for == "a dial":
                assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
                accepted.close()
        slow.close()

    run_async(work)


def test_a_pipelining_client_that_stays_gets_all_its_answers() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            with raw_client(harness) as client:
                client.sendall(b"".join(request("lodge") for _ in range(400)))
                client.setblocking(False)
                received = b""
                while received.count(b"HTTP/1.1 200") < 400 or not received.endswith(b"served"):
                    received += await soon(asyncio.get_running_loop().sock_recv(client, 65_536))
            assert len(harness.received) == 400

    run_async(work)


def test_a_request_received_during_the_close_is_not_forwarded_and_nothing_is_reset() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            with raw_client(harness) as client:
                connection = await idle_connection(harness, client)
                client.sendall(request("lodge"))  # after the check that it is idle, before the close
                connection.close()
                assert await read_rest(client) == b""
            await until(lambda: len(harness.sidecar.listener.connections) == 0)
            assert len(harness.received) == 1

    run_async(work)


@pytest.mark.parametrize("behind", [b"", b"GET /api/7f", request("lodge")], ids=["", "half", "whole"])
def test_the_last_answer_is_complete_whatever_the_client_sends_at_that_moment(behind: bytes) -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            with raw_client(harness) as client:
                client.sendall(request("lodge"))
                await until(lambda: len(harness.received) == 1)
                harness.sidecar.listener.is_draining = True
                client.sendall(behind)
                harness.sidecar._engine.fail_open_requests()  # writes its answer and closes its connection
                answer = await read_rest(client)
            assert answer.startswith(b"HTTP/1.1 504") and b"connection: close" in answer
            await until(lambda: len(harness.sidecar.listener.connections) == 0)
            assert len(harness.received) == 1

    run_async(work)


def test_a_long_last_answer_to_a_slow_reader_is_not_cut_off_by_the_close() -> None:
    async def work() -> None:
        body = b"x" * (64 << 10)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with run_harness(answer) as harness:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                client.connect((HOST, harness.sidecar.listener.port))
                harness.sidecar.listener.is_draining = True
                client.sendall(request("lodge"))
                await until(lambda: any(not each.is_idle for each in harness.sidecar.listener.connections))
                await until(lambda: harness.sidecar.open_requests == 0)
                await asyncio.sleep(0.8)  # it reads nothing for longer than the usual timeout for a client
                assert (await read_rest(client)).endswith(body)

    run_async(work)


def test_an_answer_forwarded_past_the_deadline_is_visibly_truncated() -> None:
    async def work() -> None:
        errors: list[dict[str, object]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        body = b"x" * (8 << 20)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with run_harness(answer) as harness:
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                client.connect((HOST, harness.sidecar.listener.port))
                client.sendall(request("lodge"))
                await until(lambda: harness.sidecar.open_requests == 1)
                (connection,) = harness.sidecar.listener.connections
                await until(lambda: connection.has_unsent)
                await soon(harness.sidecar.stop(loop.time() - 100.0))
                received = 0
                with contextlib.suppress(ConnectionResetError):
                    received = len(await read_rest(client))
            assert received < len(body)
            await asyncio.sleep(0.05)
            # The scripted servers' tasks end with their connections; no other error may be reported.
            assert [each for each in errors if "StreamReaderProtocol" not in str(each)] == []

    run_async(work)


def test_a_client_that_never_closes_its_side_is_disconnected_soon_after_the_close() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            with raw_client(harness) as client:
                (await idle_connection(harness, client)).close()
                assert await read_rest(client) == b""
                async with asyncio.timeout(3.0):
                    await until(lambda: len(harness.sidecar.listener.connections) == 0)

    run_async(work)


def test_a_client_that_connects_as_the_listener_closes_is_answered() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            frontend, clients = harness.sidecar.listener, []
            stop_listening = frontend.stop_listening

            def connect_then_stop() -> None:
                frontend.stop_listening = stop_listening
                for _ in range(40):  # more than are accepted at once
                    clients.append(socket.create_connection((HOST, frontend.port)))
                    clients[-1].sendall(request("lodge"))
                stop_listening()

            frontend.stop_listening = connect_then_stop
            await soon(harness.sidecar.stop())
            for client in clients:
                assert (await read_rest(client)).startswith(b"HTTP/1.1 200")
                client.close()

    run_async(work)


@pytest.mark.parametrize("held_up_s", [0.0, 1.0])
def test_open_requests_are_answered_in_time_measured_from_the_signal(held_up_s: float) -> None:
    # Guards against a kill before the last answers, where a busy event loop handles the signal late.
    async def work() -> None:
        kind = {"name": "lodge", "giveUpUs": 1_500_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"}
        async with run_harness(None, lanes=[kind]) as harness:
            with raw_client(harness) as client:
                client.sendall(request("lodge", timeout="1.5"))
                await until(lambda: len(harness.received) == 1)
                loop = asyncio.get_running_loop()
                signal_at = loop.time() - held_up_s
                stopping = asyncio.ensure_future(harness.sidecar.stop(signal_at))
                answer = await read_rest(client)
                took = loop.time() - signal_at
                client.close()
                await stopping
            assert answer.startswith(b"HTTP/1.1 504")
            assert took < 1.5 + 0.7

    run_async(work)


def test_a_signal_is_timestamped_on_arrival_while_the_event_loop_is_blocked() -> None:
    async def work() -> None:
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        before = {number: signal.getsignal(number) for number in numbers}
        end = asyncio.Event()
        try:
            signals = ProcessSignals()
            signals.listen()
            signals.attach(asyncio.get_running_loop().call_soon_threadsafe, end.set, end.clear)
            until_s = time.monotonic() + 0.4
            sent_at = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            while time.monotonic() < until_s:
                pass  # the event loop is blocked until then
            os.kill(os.getpid(), signal.SIGTERM)
            await soon(end.wait())
            assert signals.ended_at is not None and signals.ended_at - sent_at < 0.2
        finally:
            for number, handler in before.items():
                signal.signal(number, handler)

    run_async(work)


def test_requests_on_new_connections_are_answered_until_listening_stops() -> None:
    async def work() -> None:
        async def answer(received: ReceivedRequest) -> bytes:
            return OK

        async with run_harness(answer) as harness:
            stopping = asyncio.ensure_future(harness.sidecar.stop())
            lost: list[object] = []
            sent = 0

            async def send_until_closed() -> None:
                """Send one request per connection until the sidecar stops listening."""
                nonlocal sent
                while not stopping.done():
                    try:
                        client = await harness.client()
                    except OSError:
                        return
                    client.send(request("lodge"))
                    sent += 1
                    try:
                        if (await client.answer()).status != 200:
                            lost.append("not served")
                    except (OSError, EOFError) as error:
                        lost.append(error)
                    client.close()

            await asyncio.gather(*(send_until_closed() for _ in range(8)))
            await soon(stopping)
            assert sent > 20 and lost == []

    run_async(work)
