"""The faults that a test injects into the stand-in: what happens, and when."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Point(Enum):
    """When a fault occurs during a statement."""

    START = "start"  # received, not run
    RAN = "ran"  # run, nothing of the response written
    HEAD = "head"  # after the column count
    COLUMNS = "columns"  # after the column definitions
    ROWS = "rows"  # after that number of rows
    LAST = "last"  # after all rows, before the final EOF or OK
    END = "end"  # after the complete response


@unique
class FaultAction(Enum):
    """What a fault does."""

    KILL_SERVER = "die"
    RESET = "reset"  # the connection
    HANG = "hang"
    SHUT_DOWN = "go down"  # ERR 1053, then close the connection
    CORRUPT = "spoil"  # invalid bytes
    REJECT = "reject"  # ERR with `code`, and the connection stays
    REPEAT = "repeat"  # the response once more, after `delay_s`; at `Point.END` only


@dataclass
class Fault:
    """Applies to the next `times` statements that contain `match`."""

    match: str
    point: Point
    action: FaultAction
    rows: int = 0
    times: int = 1
    delay_s: float = 0.0
    code: int = 0
