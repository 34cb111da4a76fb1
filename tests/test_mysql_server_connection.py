"""A connection to a MySQL server whose dial is given up while the server answers."""

from __future__ import annotations

from unittest import mock

from loopback import async_test

from micadeck.mysql.protocol.packets import frame
from micadeck.mysql.server_connection import Credentials, ServerConnection


@async_test
async def test_an_answer_that_meets_a_log_in_just_given_up_ends_the_connection_quietly() -> None:
    """Against an exception out of the event loop's callback, after which the owner is not told of the end."""
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
    connection._logged_in.cancel()  # as by a dial whose time is up
    connection.data_received(frame(b"\0\0\0", 0)[0])
    assert closed == [connection] and not connection.is_open
