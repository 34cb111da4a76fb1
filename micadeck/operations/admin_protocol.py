"""The lines that callers of the operators' door send, and what is answered.  No input or output."""

from __future__ import annotations

from typing import Protocol

MOST_LINE = 64  # bytes, its end not counted


class AdminTarget(Protocol):
    """What the door asks of the sidecar."""

    def is_ready(self) -> str | None:
        """None once it can serve, else why it can't."""

    def figures(self) -> bytes:
        """The report, each line with its end."""

    def drain(self) -> bool:
        """Send clients away; false if the process is stopping."""

    def undrain(self) -> bool:
        """Take clients again; false if the process is stopping."""


class BadCommandError(Exception):
    """What came is no call; the text says why."""


class CommandReader:
    """Reads the one line of a connection."""

    def __init__(self) -> None:
        self._part = b""

    def feed(self, data: bytes) -> bytes | None:
        """The line once it is whole; raise BadCall on what can't become one.

        Guards against a caller that sends on and on: no more than a line is ever held.
        """
        line, end, behind = (self._part + data).partition(b"\n")
        line = line.removesuffix(b"\r") if end else line
        if len(line) > MOST_LINE:
            raise BadCommandError("the line is too long")
        if behind:
            raise BadCommandError("one line to a connection")
        if end:
            return line
        self._part = line
        return None

    def end(self) -> bytes:
        """What came when the caller ended its sending: a last line may lack its end."""
        return self._part


def answer(line: bytes, staffed: AdminTarget) -> bytes:
    """What is answered to a whole line; the call is carried out."""
    if line == b"READY":
        why = staffed.is_ready()
        return b"200 ready\n" if why is None else f"400 not ready: {why}\n".encode()
    if line == b"STATS":
        return staffed.figures() + b"EOF\n"
    if line == b"DRAIN":
        return b"200 draining\n" if staffed.drain() else b"400 stopping\n"
    if line == b"UNDRAIN":
        return b"200 taking clients\n" if staffed.undrain() else b"400 stopping\n"
    return refusal("READY, STATS, DRAIN or UNDRAIN is needed")


def refusal(text: str) -> bytes:
    return f"400 {text}\n".encode()
