"""The admin protocol: one command line per connection, one reply.  No I/O.

Commands are `READY`, `STATS`, `DRAIN` and `UNDRAIN`, each ended by LF or CRLF.  Replies begin with `200` or
`400`; the one to `STATS` is lines in statsd's format, then `EOF`.
"""

from __future__ import annotations

from enum import Enum, unique
from typing import Protocol

from micadeck.errors import OperatorError

MAX_COMMAND_BYTES = 64  # without the line ending
_STOPPING_REPLY = b"400 stopping\n"


@unique
class Command(Enum):
    """The commands; each value is the line on the wire."""

    READY = b"READY"
    STATS = b"STATS"
    DRAIN = b"DRAIN"
    UNDRAIN = b"UNDRAIN"


class AdminTarget(Protocol):
    """The operations of the sidecar that admin commands use."""

    def unready_reason(self) -> str | None:
        """Return why the sidecar can't serve yet, or None if it can."""

    def statistics_report(self) -> bytes:
        """Return the statistics in statsd's format, each line with its ending."""

    def drain(self) -> bool:
        """Start draining clients; return False if the process is stopping."""

    def undrain(self) -> bool:
        """Accept clients again; return False if the process is stopping."""


class BadCommandError(OperatorError):
    """The bytes received are not a command."""

    advice = "Send one of READY, STATS, DRAIN and UNDRAIN on a line of its own."


class CommandTooLongError(BadCommandError):
    """The line is longer than any command."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the line is too long")


class ExtraCommandError(BadCommandError):
    """Bytes follow the first line."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("one line to a connection")


class CommandReader:
    """Reassembles the one line of a connection, and buffers no more than that."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the line without its ending once it is complete.

        Raises:
            BadCommandError: The bytes are not a command.
        """
        line, ending, rest = (self._buffer + data).partition(b"\n")
        if ending:
            line = line.removesuffix(b"\r")
        if len(line) > MAX_COMMAND_BYTES:
            raise CommandTooLongError
        if rest:
            raise ExtraCommandError
        if ending:
            return line
        self._buffer = line
        return None

    def finish(self) -> bytes:
        """Return what was received when the client closed its side: the last line may lack its ending."""
        return self._buffer


def execute(line: bytes, target: AdminTarget) -> bytes:
    """Carry out the command of a complete line and return the reply."""
    try:
        command = Command(line)
    except ValueError:
        return error_reply("READY, STATS, DRAIN or UNDRAIN is needed")
    if command is Command.READY:
        reason = target.unready_reason()
        return b"200 ready\n" if reason is None else error_reply(f"not ready: {reason}")
    if command is Command.STATS:
        return target.statistics_report() + b"EOF\n"
    if command is Command.DRAIN:
        return b"200 draining\n" if target.drain() else _STOPPING_REPLY
    return b"200 taking clients\n" if target.undrain() else _STOPPING_REPLY


def error_reply(text: str) -> bytes:
    """Return the reply to a command that was not carried out."""
    return f"400 {text}\n".encode()
