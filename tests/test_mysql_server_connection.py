"""Connections to MySQL servers whose dial is cancelled."""

from __future__ import annotations

from unittest import mock

from loopback import async_test

from micadeck.mysql.protocol.packets import frame
from micadeck.mysql.server_connection import Credentials, ServerConnection


@async_test
async def test_a_response_after_the_log_in_was_cancelled_closes_the_connection() -> None:
    """An exception in the event loop's callback would keep `on_closed` from being called."""
    closed: list[ServerConnection] = []
    connection = ServerConnection(
        mock.Mock(),
        "m-0",
        Credentials("sidecar", b"secret"),
        found_rows=False,
        max_packet_bytes=1 << 20,
        on_closed=closed.append,
    )
    connection.connection_made(mock.Mock())
    connection._logged_in.cancel()  # as by a dial that timed out
    connection.data_received(frame(b"\0\0\0", 0)[0])
    assert closed == [connection] and not connection.is_open
