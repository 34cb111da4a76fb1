"""Clocks, timers and sockets: the only package that reads clocks or uses sockets directly.

The rest of the program uses `Network`; `LoopNetwork` implements it on a running asyncio event loop.
The simulation replaces it by a virtual clock and an in-memory network.
"""

from micadeck.network.deferred_call import DeferredCall
from micadeck.network.interfaces import (
    Address,
    Listener,
    Network,
    Reservation,
    Stream,
    ThreadNetwork,
    Timer,
    format_address,
    parse_address,
)
from micadeck.network.loop import LoopNetwork, LoopScheduler
from micadeck.network.read_turn import MAX_TURN_BYTES, ReadTurn

__all__ = [
    "MAX_TURN_BYTES",
    "Address",
    "DeferredCall",
    "Listener",
    "LoopNetwork",
    "LoopScheduler",
    "Network",
    "ReadTurn",
    "Reservation",
    "Stream",
    "ThreadNetwork",
    "Timer",
    "format_address",
    "parse_address",
]
