"""The balancer embedded in a host process.

`Micadeck` runs the daemon's engine, transport and discovery client on a thread with an event loop of its own;
the host's threads and loops only submit requests and receive an `Answer`.
"""

from micadeck.library.answer import Answer, FailedError, Kind, RefusedError, UnservedError
from micadeck.library.background_loop import ForkedError, NotStartedError
from micadeck.library.balancer import Micadeck

__all__ = [
    "Answer",
    "FailedError",
    "ForkedError",
    "Kind",
    "Micadeck",
    "NotStartedError",
    "RefusedError",
    "UnservedError",
]
