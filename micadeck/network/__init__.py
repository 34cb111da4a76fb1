"""Clocks, timers and sockets: the one package that reads a clock or touches a socket.

`Network` is what the rest of the program uses; `LoopNetwork` implements it on a running asyncio event loop.
A simulation replaces it by a virtual clock and an in-memory network.
"""

from micadeck.network.interfaces import (
    Address,
    Listener,
    Network,
    Stream,
    ThreadNetwork,
    Timer,
    format_address,
    parse_address,
)
from micadeck.network.loop import LoopNetwork, LoopScheduler

__all__ = [
    "Address",
    "Listener",
    "LoopNetwork",
    "LoopScheduler",
    "Network",
    "Stream",
    "ThreadNetwork",
    "Timer",
    "format_address",
    "parse_address",
]
