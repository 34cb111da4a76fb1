"""The balancer inside a host's own process.

`Micadeck` runs the daemon's engine, carrier and roster on a thread and an event loop of their own; the
host's threads and loops only hand requests over and take answers back.  `answer` says what comes back.
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
