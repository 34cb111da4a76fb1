"""Where there is no room for one more client, nobody is cut off whose answer is owed or just written."""

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
async def test_a_last_answer_that_was_just_written_is_not_cut_off_to_make_room(ends: str) -> None:
    real = DownstreamConnection.answer

    def answer_and_make_room(self: DownstreamConnection, *given: Any) -> None:
        real(self, *given)
        self._table._evict_one()  # type: ignore[attr-defined]  # one more client connects in this round of the event loop

    async with run_harness(OK) as harness:
        harness.sidecar.listener.is_draining = ends == "draining"
        close: dict[str, Any] = {"Connection": "close"} if ends == "client says close" else {}
        with (
            mock.patch.object(DownstreamConnection, "answer", answer_and_make_room),
            raw_client(harness) as client,
        ):
            client.sendall(request("lodge", **close))
            assert (await read_rest(client)).startswith(b"HTTP/1.1 200")


@async_test
async def test_a_request_that_was_read_behind_another_is_not_cut_off_to_make_room() -> None:
    async def answer(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.01)
        return OK

    async with run_harness(answer) as harness:
        frontend = harness.sidecar.listener
        moved = frontend.connections.move

        def make_room_as_it_moves(connection: DownstreamConnection, state: ConnectionState) -> None:
            moved(connection, state)
            if state is ConnectionState.READING and connection._reader.requests:
                frontend.connections._evict_one()

        with (
            mock.patch.object(frontend.connections, "move", make_room_as_it_moves),
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
async def test_a_client_that_has_just_connected_goes_before_requests_that_never_end() -> None:
    async with run_harness(OK, overrides={"limits": {"sockets": 64}}) as harness:
        frontend = harness.sidecar.listener
        dripping = [await harness.client() for _ in range(frontend.connections.max_connections)]
        for each in dripping:
            each.send(request("lodge")[:-2])
        await until(lambda: frontend.connections.partial_requests == frontend.connections.max_connections)
        asking = await harness.client()
        await until(lambda: frontend.connections.partial_requests == frontend.connections.max_connections - 1)
        others = [
            await harness.client() for _ in range(frontend.connections.max_connections - 1)
        ]  # and more of them come
        await until(lambda: frontend.connections.partial_requests == 0)
        asking.send(request("lodge"))
        assert (await asking.answer()).status == 200
        for each in others:
            each.close()
