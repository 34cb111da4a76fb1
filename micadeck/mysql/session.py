"""A client's session: what it has set, what it may ask, and what ties it to a server connection.  No I/O.

The session is kept here, not at a server.  Whichever connection a statement runs on, `put` says what must be
run there before it.  What can't be put elsewhere pins the session, and `pins` says why.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from micadeck.mysql.protocol.constants import Capability, Command, Status
from micadeck.mysql.protocol.messages import Ok
from micadeck.mysql.protocol.wire import ProtocolError
from micadeck.mysql.statements import Kind, Pin, Statement

_MULTI_ON, _MULTI_OFF = b"\x00\x00", b"\x01\x00"
_FOR_ONE_STATEMENT = frozenset((Pin.DIAGNOSTICS,))


@dataclass(slots=True)
class Connected:
    """What a server connection has of a session.  After a reset: nothing."""

    schema: bytes | None = None
    names: str | None = None
    variables: dict[str, str] = field(default_factory=dict)
    multi: bool = False
    insert_id: int | None = 0  # None: not known
    in_transaction: bool = False
    is_dirty: bool = False  # something may be there that this class does not describe
    is_touched: bool = (
        False  # a change ran, whose triggers may have set what nobody but the curious would read
    )

    def reset(self) -> None:
        """COM_RESET_CONNECTION was answered.  The schema stays, and so does the option."""
        self.names = None
        self.variables = {}
        self.insert_id = 0
        self.in_transaction = self.is_dirty = self.is_touched = False

    def ran(self, statement: Statement, status: Status | None, ok: Ok | None, failed: bool) -> None:
        """A statement was answered here, with an error or without."""
        if status is not None:
            self.in_transaction = bool(status & Status.IN_TRANS)
        is_known = statement.kind in (Kind.READ, Kind.WRITE, Kind.USE, Kind.SET)
        if statement.kind is Kind.WRITE:
            self.is_touched = True
        if statement.pins or (failed and (statement.kind is not Kind.READ or self.variables)):
            self.is_dirty = True
        elif not is_known and statement.kind not in (Kind.BEGIN, Kind.COMMIT, Kind.ROLLBACK, Kind.SAVEPOINT):
            self.is_dirty = True
        elif statement.kind in (Kind.READ, Kind.WRITE) and not statement.pure_calls:
            self.is_dirty = True
        if ok is not None and ok.last_insert_id:
            self.insert_id = ok.last_insert_id
        elif statement.kind is not Kind.READ:
            self.insert_id = None if self.is_dirty or self.is_touched else self.insert_id
        if statement.kind is Kind.USE and not failed:
            self.schema = statement.schema
        for name, value in statement.assignments:
            if name == "names":
                self.names = value
            else:
                self.variables.pop(name, None)
                self.variables[name] = value


@dataclass(slots=True)
class Handle:
    """A prepared statement of the session's own; it is prepared anew wherever it runs."""

    text: bytes
    statement: Statement
    parameters: int
    schema: bytes | None
    definitions: tuple[bytes, ...] = ()
    types: bytes = b""  # as the client bound them last
    long_data: dict[int, bytearray] = field(default_factory=dict)

    def clear(self) -> None:
        self.long_data.clear()


class TooMuch(Exception):
    """A client asks to keep more than it may; the text says of what."""


class Session:
    """One client's, from its log-in to its end."""

    def __init__(
        self,
        user: str,
        capabilities: Capability,
        names: str,
        schema: bytes | None,
        most_handles: int,
        most_long_data: int,
    ) -> None:
        self._most_handles = most_handles
        self._most_long_data = most_long_data
        self.user = user
        self.capabilities = capabilities
        self._first_names = names
        self.names = names
        self.schema = schema
        self.variables: dict[str, str] = {}
        self.multi = bool(capabilities & Capability.MULTI_STATEMENTS)
        self.pins: set[Pin] = set()
        self.is_doubtful = False  # a statement of a transaction failed: the server may have ended that
        self.status = Status.AUTOCOMMIT
        self.insert_id = 0
        self.row_count = -1
        self.handles: dict[int, Handle] = {}
        self._next_handle = 1
        self._held_long = 0
        self.cursors: set[int] = set()  # handles that have one open

    def reset(self) -> None:
        """As COM_RESET_CONNECTION leaves it."""
        self.names = self._first_names
        self.variables = {}
        self.pins.clear()
        self.is_doubtful = False
        self.status = Status.AUTOCOMMIT
        self.insert_id, self.row_count = 0, -1
        self.handles.clear()
        self.cursors.clear()
        self._held_long = 0

    @property
    def found_rows(self) -> bool:
        """Whether its server connections count the rows that an UPDATE met, not those it changed."""
        return bool(self.capabilities & Capability.FOUND_ROWS)

    @property
    def in_transaction(self) -> bool:
        return Pin.TRANSACTION in self.pins

    @property
    def has_state_there(self) -> bool:
        """Whether its connection holds more of it than a transaction, which can be rolled back."""
        return bool(self.pins - {Pin.TRANSACTION, Pin.DIAGNOSTICS, Pin.NEXT_TRANSACTION})

    # Prepared statements

    def prepare(self, handle: Handle) -> int:
        if len(self.handles) >= self._most_handles:
            raise TooMuch(f"over {self._most_handles} prepared statements in one session")
        number = self._next_handle
        self._next_handle += 1
        self.handles[number] = handle
        return number

    def close(self, number: int) -> None:
        handle = self.handles.pop(number, None)
        if handle is not None:
            self._held_long -= sum(map(len, handle.long_data.values()))
        self.end_cursor(number)

    def end_cursor(self, number: int) -> None:
        self.cursors.discard(number)
        if not self.cursors:
            self.pins.discard(Pin.CURSOR)

    def cursor_over(self, handle: Handle | None) -> None:
        """A statement's cursor gave its last row, or was never opened."""
        for number in list(self.cursors):
            if self.handles.get(number) is handle:
                self.end_cursor(number)
        if not self.cursors:
            self.pins.discard(Pin.CURSOR)

    def add_long_data(self, number: int, parameter: int, data: bytes) -> None:
        handle = self.handles[number]
        if parameter >= handle.parameters:
            raise ProtocolError(f"COM_STMT_SEND_LONG_DATA: parameter: there is no {parameter}")
        if self._held_long + len(data) > self._most_long_data:
            raise TooMuch(f"over {self._most_long_data} bytes of long data in one session")
        self._held_long += len(data)
        handle.long_data.setdefault(parameter, bytearray()).extend(data)

    def clear_long_data(self, handle: Handle) -> None:
        self._held_long -= sum(map(len, handle.long_data.values()))
        handle.clear()

    # What an answer changes

    def before(self, statement: Statement) -> None:
        """A statement is about to run: what was left for exactly one has had its time."""
        if not statement.needs_diagnostics:
            self.pins -= _FOR_ONE_STATEMENT

    def answered(self, statement: Statement, status: Status | None, ok: Ok | None, warnings: int) -> None:
        """It was answered without an error.  `status` is that of the last OK or EOF."""
        if statement.kind is Kind.USE:
            self.schema = statement.schema
        elif statement.kind is Kind.SET:
            for name, value in statement.assignments:
                if name == "names":
                    self.names = value
                else:
                    self.variables.pop(name, None)  # what was set last must be put last
                    self.variables[name] = value
        self.pins |= statement.pins
        if statement.unlocks_tables:
            self.pins.discard(Pin.LOCK)
        if ok is not None:
            self.row_count = ok.affected
            if ok.last_insert_id:
                self.insert_id = ok.last_insert_id
        elif statement.session_value is None:
            self.row_count = -1
        if statement.makes_diagnostics or (warnings and not statement.needs_diagnostics):
            self.pins.add(Pin.DIAGNOSTICS)
        if status is not None:
            self.heard(status)

    def failed(self) -> None:
        """A server answered with an error, which tells nothing of the transaction: a deadlock ends it."""
        self.is_doubtful = self.in_transaction

    def heard(self, status: Status) -> None:
        """The server's own word on the transaction is the one that counts."""
        was_open = self.in_transaction
        self.is_doubtful = False
        self.status = status
        if status & Status.DB_DROPPED:
            self.schema = None
        if status & Status.IN_TRANS:
            self.pins.add(Pin.TRANSACTION)
        else:
            self.pins.discard(Pin.TRANSACTION)
            if was_open:
                self.pins.discard(Pin.NEXT_TRANSACTION)

    def connection_lost(self) -> bool:
        """The connection it was bound to is gone; whether the client must hear of it."""
        if self.pins <= {Pin.DIAGNOSTICS}:
            self.pins.clear()
            return False
        return True

    def transaction_lost(self) -> None:
        """The connection that held it is gone, and it with that."""
        self.is_doubtful = False
        self.status &= ~(Status.IN_TRANS | Status.IN_TRANS_READONLY)
        self.pins -= {Pin.TRANSACTION, Pin.NEXT_TRANSACTION, Pin.DIAGNOSTICS}


def put(have: Connected, session: Session, statement: Statement | None) -> list[bytes]:
    """The commands that make a connection the session's; `have` is as if they had been answered.

    Names and values were read as names and literals before they were kept, so that none carries SQL.
    """
    commands: list[bytes] = []
    wants_multi = session.multi and statement is not None and statement.count > 1
    if have.multi != wants_multi:
        commands.append(bytes((Command.SET_OPTION,)) + (_MULTI_ON if wants_multi else _MULTI_OFF))
        have.multi = wants_multi
    sets: list[str] = []
    if have.names != session.names:
        sets.append(f"NAMES {session.names}")
        have.names = session.names
    sets += _variables(have.variables, session.variables)
    have.variables = dict(session.variables)
    if statement is not None and statement.needs_insert_id and have.insert_id != session.insert_id:
        sets.append(f"last_insert_id = {session.insert_id}")
        have.insert_id = session.insert_id
    if sets:
        commands.append(bytes((Command.QUERY,)) + ("SET " + ", ".join(sets)).encode("latin-1"))
    is_use = statement is not None and statement.kind is Kind.USE
    if session.schema is not None and have.schema != session.schema and not is_use:
        commands.append(bytes((Command.INIT_DB,)) + session.schema)
        have.schema = session.schema
    return commands


def _variables(have: Mapping[str, str], want: Mapping[str, str]) -> list[str]:
    """In the order in which the session set them: some change what others may be."""
    if dict(have) == dict(want) and list(have) == list(want):
        return []
    sets = [f"{name} = DEFAULT" for name in have if name not in want]
    return sets + [f"{name} = {value}" for name, value in want.items() if have.get(name) != value or sets]


def must_reset(have: Connected, session: Session, statement: Statement | None) -> bool:
    """Whether a connection must be reset before this session may run its statement there.

    What reads or begins state that lives at the server starts from nothing: whatever another session's
    triggers and functions may have left is not seen.
    """
    if have.is_dirty or have.in_transaction:
        return True
    if statement is None:
        return False
    begins_state = bool(statement.pins) or (not statement.pure_calls and statement.kind is not Kind.BEGIN)
    is_plain = statement.kind in (Kind.SET, Kind.USE, Kind.COMMIT, Kind.ROLLBACK)
    return statement.needs_diagnostics or (have.is_touched and begins_state and not is_plain)
