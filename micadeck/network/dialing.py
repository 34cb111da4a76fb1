"""Dials that outlast a moment in which this machine lacks a resource."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from micadeck.network.interfaces import Address, Network

_LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
_RETRY_DELAYS_S = (0.001, 0.002, 0.004, 0.008)

P = TypeVar("P", bound=asyncio.BaseProtocol)


def is_local_error(error: Exception) -> bool:
    """Whether a dial failed because this machine, not the server, lacks a resource."""
    return isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS


async def dial_with_retries(
    network: Network,
    make: Callable[[], P],
    address: Address,
    is_wanted: Callable[[], bool] = lambda: True,
) -> P:
    """Open a stream; dial again, a few times, after a failure that is not the server's.

    Args:
        network: The sockets and the clock.
        make: Creates the protocol of the stream; called for each dial.
        address: The server's address.
        is_wanted: Whether to dial again; asked after each pause.

    Raises:
        OSError: The last dial failed.
    """
    for delay_s in _RETRY_DELAYS_S:
        try:
            return await network.dial(make, address)
        except OSError as error:
            if not is_local_error(error):
                raise
            failure = error
        await network.sleep(delay_s)
        if not is_wanted():
            raise failure
    return await network.dial(make, address)
