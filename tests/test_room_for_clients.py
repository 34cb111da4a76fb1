"""Eviction at the connection limit spares clients with an open request or an answer just written."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import pytest
from loopback import OK, ReceivedRequest, async_test, raw_client, read_rest, request, run_harness, until

from micadeck.http.connection_limits import ConnectionState
from micadeck.http.downstream_connection import DownstreamConnection


@pytest.mark.parametrize("ends", ["client says close", "draining"])
@async_test
async def test_a_connection_with_its_last_answer_just_written_is_not_evicted(ends: str) -> None:
    real = DownstreamConnection.answer

    def answer_and_evict(self: DownstreamConnection, *given: Any) -> None:
        real(self, *given)
        self._table._evict_one()  # type: ignore[attr-defined]  # as if another client connected now

    async with run_harness(OK) as harness:
        harness.sidecar.listener.is_draining = ends == "draining"
        close: dict[str, Any] = {"Connection": "close"} if ends == "client says close" else {}
        with (
            mock.patch.object(DownstreamConnection, "answer", answer_and_evict),
            raw_client(harness) as client,
        ):
            client.sendall(request("lodge", **close))
            assert (await read_rest(client)).startswith(b"HTTP/1.1 200")


@async_test
async def test_a_connection_with_a_pipelined_request_is_not_evicted() -> None:
    async def answer(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.01)
        return OK

    async with run_harness(answer) as harness:
        frontend = harness.sidecar.listener
        real_move = frontend.connections.move

        def move_and_evict(connection: DownstreamConnection, state: ConnectionState) -> None:
            real_move(connection, state)
            if state is ConnectionState.READING and connection._reader.requests:
                frontend.connections._evict_one()

        with (
            mock.patch.object(frontend.connections, "move", move_and_evict),
            raw_client(harness) as client,
        ):
            client.sendall(request("lodge") + request("lodge"))
            client.setblocking(False)
            came = b""
            loop = asyncio.get_running_loop()
            while came.count(b"HTTP/1.1 200") < 2:
                data = await loop.sock_recv(client, 4_096)
                assert data, came
                came += data
            await until(lambda: harness.sidecar.open_requests == 0)


@async_test
async def test_unfinished_requests_are_evicted_before_new_connections() -> None:
    async with run_harness(OK, overrides={"limits": {"sockets": 64}}) as harness:
        frontend = harness.sidecar.listener
        unfinished = [await harness.client() for _ in range(frontend.connections.max_connections)]
        for each in unfinished:
            each.send(request("lodge")[:-2])
        await until(lambda: frontend.connections.partial_requests == frontend.connections.max_connections)
        new_client = await harness.client()
        await until(lambda: frontend.connections.partial_requests == frontend.connections.max_connections - 1)
        others = [await harness.client() for _ in range(frontend.connections.max_connections - 1)]
        await until(lambda: frontend.connections.partial_requests == 0)
        new_client.send(request("lodge"))
        assert (await new_client.answer()).status == 200
        for each in others:
            each.close()
