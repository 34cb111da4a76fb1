"""The seam towards time and sockets: the one package that reads a clock or touches a socket.

`Network` says what the rest of the program may ask; `LoopNetwork` does it on a running asyncio event loop, by
the system's clocks and sockets.  A virtual clock and an in-memory network can take its place in a simulation.
"""

from micadeck.network.interfaces import (
    Address,
    Listener,
    Network,
    Stream,
    ThreadNetwork,
    Timer,
    parse_address,
    place,
)
from micadeck.network.loop import LoopNetwork, OnLoop

__all__ = [
    "Address",
    "Listener",
    "LoopNetwork",
    "Network",
    "OnLoop",
    "Stream",
    "ThreadNetwork",
    "Timer",
    "parse_address",
    "place",
]
