"""A client's session: its settings, its prepared statements and its pins.  No I/O.

A session's state is kept here and applied to whichever server connection runs its next statement, by
`state_commands`.  State that can't be applied pins the session to its connection; `pins` has the reasons.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from micadeck.mysql.protocol.constants import Capability, Command, Status
from micadeck.mysql.protocol.messages import Ok
from micadeck.mysql.protocol.wire import ProtocolError
from micadeck.mysql.statement import Kind, Pin, Statement

_MULTI_ON, _MULTI_OFF = b"\x00\x00", b"\x01\x00"
_ONE_STATEMENT_PINS = frozenset((Pin.DIAGNOSTICS,))


@dataclass(slots=True)
class ConnectionState:
    """The session state that a server connection has."""

    schema: bytes | None = None
    names: str | None = None
    variables: dict[str, str] = field(default_factory=dict)
    multi_statements: bool = False
    insert_id: int | None = 0  # None: unknown
    in_transaction: bool = False
    is_dirty: bool = False  # it may have state that this class does not describe
    has_run_write: bool = False  # its triggers may have left state, seen only by reads of server state

    def reset(self) -> None:
        """Record a COM_RESET_CONNECTION, which keeps schema and multi-statements."""
        self.names = None
        self.variables = {}
        self.insert_id = 0
        self.in_transaction = self.is_dirty = self.has_run_write = False

    def record(self, statement: Statement, status: Status | None, ok: Ok | None, failed: bool) -> None:
        """Record an answered statement."""
        if status is not None:
            self.in_transaction = bool(status & Status.IN_TRANS)
        is_known = statement.kind in (Kind.READ, Kind.WRITE, Kind.USE, Kind.SET)
        if statement.kind is Kind.WRITE:
            self.has_run_write = True
        if statement.pins or (failed and (statement.kind is not Kind.READ or self.variables)):
            self.is_dirty = True
        elif not is_known and statement.kind not in (Kind.BEGIN, Kind.COMMIT, Kind.ROLLBACK, Kind.SAVEPOINT):
            self.is_dirty = True
        elif statement.kind in (Kind.READ, Kind.WRITE) and not statement.pure_calls:
            self.is_dirty = True
        if ok is not None and ok.last_insert_id:
            self.insert_id = ok.last_insert_id
        elif statement.kind is not Kind.READ:
            self.insert_id = None if self.is_dirty or self.has_run_write else self.insert_id
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
    """A client's prepared statement; each connection that runs it prepares it."""

    text: bytes
    statement: Statement
    parameters: int
    schema: bytes | None
    definitions: tuple[bytes, ...] = ()
    types: bytes = b""  # as the client last bound them
    long_data: dict[int, bytearray] = field(default_factory=dict)

    def clear(self) -> None:
        self.long_data.clear()


class LimitError(Exception):
    """A client exceeds a limit, which the text names."""


class Session:
    """A client's session state."""

    def __init__(
        self,
        user: str,
        capabilities: Capability,
        names: str,
        schema: bytes | None,
        max_handles: int,
        max_long_data: int,
    ) -> None:
        self._max_handles = max_handles
        self._max_long_data = max_long_data
        self.user = user
        self.capabilities = capabilities
        self._initial_names = names
        self.names = names
        self.schema = schema
        self.variables: dict[str, str] = {}
        self.multi_statements = bool(capabilities & Capability.MULTI_STATEMENTS)
        self.pins: set[Pin] = set()
        self.transaction_may_be_over = False  # an error may have ended it at the server
        self.status = Status.AUTOCOMMIT
        self.insert_id = 0
        self.row_count = -1
        self.handles: dict[int, Handle] = {}
        self._next_handle = 1
        self.long_data_bytes = 0  # kept for prepared statements
        self.cursors: set[int] = set()  # handles that have one open

    def reset(self) -> None:
        """Apply COM_RESET_CONNECTION."""
        self.names = self._initial_names
        self.variables = {}
        self.pins.clear()
        self.transaction_may_be_over = False
        self.status = Status.AUTOCOMMIT
        self.insert_id, self.row_count = 0, -1
        self.handles.clear()
        self.cursors.clear()
        self.long_data_bytes = 0

    @property
    def found_rows(self) -> bool:
        """Whether an UPDATE counts the rows it matched, not those it changed."""
        return bool(self.capabilities & Capability.FOUND_ROWS)

    @property
    def in_transaction(self) -> bool:
        return Pin.TRANSACTION in self.pins

    @property
    def has_server_state(self) -> bool:
        """Whether its connection has more than a transaction, which can be rolled back."""
        return bool(self.pins - {Pin.TRANSACTION, Pin.DIAGNOSTICS, Pin.NEXT_TRANSACTION})

    # Prepared statements

    def add_handle(self, handle: Handle) -> int:
        if len(self.handles) >= self._max_handles:
            raise LimitError(f"over {self._max_handles} prepared statements in one session")
        number = self._next_handle
        self._next_handle += 1
        self.handles[number] = handle
        return number

    def remove_handle(self, number: int) -> None:
        handle = self.handles.pop(number, None)
        if handle is not None:
            self.long_data_bytes -= sum(map(len, handle.long_data.values()))
        self.close_cursor(number)

    def close_cursor(self, number: int) -> None:
        self.cursors.discard(number)
        if not self.cursors:
            self.pins.discard(Pin.CURSOR)

    def close_cursor_of(self, handle: Handle | None) -> None:
        """Close a cursor at its last row, or if it did not open."""
        for number in list(self.cursors):
            if self.handles.get(number) is handle:
                self.close_cursor(number)
        if not self.cursors:
            self.pins.discard(Pin.CURSOR)

    def add_long_data(self, number: int, parameter: int, data: bytes) -> None:
        handle = self.handles[number]
        if parameter >= handle.parameters:
            raise ProtocolError(f"COM_STMT_SEND_LONG_DATA: parameter: there is no {parameter}")
        if self.long_data_bytes + len(data) > self._max_long_data:
            raise LimitError(f"over {self._max_long_data} bytes of long data in one session")
        self.long_data_bytes += len(data)
        handle.long_data.setdefault(parameter, bytearray()).extend(data)

    def clear_long_data(self, handle: Handle) -> None:
        self.long_data_bytes -= sum(map(len, handle.long_data.values()))
        handle.clear()

    # Statements

    def start_statement(self, statement: Statement) -> None:
        """Drop pins that last for one statement."""
        if not statement.needs_diagnostics:
            self.pins -= _ONE_STATEMENT_PINS

    def record_success(
        self, statement: Statement, status: Status | None, ok: Ok | None, warnings: int
    ) -> None:
        """Record a success; `status` is of the last OK or EOF."""
        if statement.kind is Kind.USE:
            self.schema = statement.schema
        elif statement.kind is Kind.SET:
            for name, value in statement.assignments:
                if name == "names":
                    self.names = value
                else:
                    self.variables.pop(name, None)  # applied in the order in which they were set
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
            self._record_status(status)

    def record_error(self) -> None:
        """Record an error, which has no status: the transaction may be over, as after a deadlock."""
        self.transaction_may_be_over = self.in_transaction

    def _record_status(self, status: Status) -> None:
        """Take over the server's status, transaction included."""
        was_open = self.in_transaction
        self.transaction_may_be_over = False
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
        """Handle the loss; return whether the client must get an error."""
        if self.pins <= {Pin.DIAGNOSTICS}:
            self.pins.clear()
            return False
        return True

    def transaction_lost(self) -> None:
        """Record that the transaction is over."""
        self.transaction_may_be_over = False
        self.status &= ~(Status.IN_TRANS | Status.IN_TRANS_READONLY)
        self.pins -= {Pin.TRANSACTION, Pin.NEXT_TRANSACTION, Pin.DIAGNOSTICS}


def state_commands(have: ConnectionState, session: Session, statement: Statement | None) -> list[bytes]:
    """Commands that apply the session to a connection; records them in `have` as if answered.

    Names and values were parsed as names and literals, so none can inject SQL.
    """
    commands: list[bytes] = []
    wants_multi_statements = session.multi_statements and statement is not None and statement.count > 1
    if have.multi_statements != wants_multi_statements:
        commands.append(bytes((Command.SET_OPTION,)) + (_MULTI_ON if wants_multi_statements else _MULTI_OFF))
        have.multi_statements = wants_multi_statements
    sets: list[str] = []
    if have.names != session.names:
        sets.append(f"NAMES {session.names}")
        have.names = session.names
    sets += _variable_assignments(have.variables, session.variables)
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


def _variable_assignments(have: Mapping[str, str], want: Mapping[str, str]) -> list[str]:
    """In the order in which they were set: some affect what others accept."""
    if dict(have) == dict(want) and list(have) == list(want):
        return []
    sets = [f"{name} = DEFAULT" for name in have if name not in want]
    return sets + [f"{name} = {value}" for name, value in want.items() if have.get(name) != value or sets]


def must_reset(have: ConnectionState, session: Session, statement: Statement | None) -> bool:
    """Whether a connection must be reset before this session's statement runs on it.

    A statement that reads or creates server state must not see what another session's triggers or
    functions left.
    """
    if have.is_dirty or have.in_transaction:
        return True
    if statement is None:
        return False
    begins_state = bool(statement.pins) or (not statement.pure_calls and statement.kind is not Kind.BEGIN)
    is_plain = statement.kind in (Kind.SET, Kind.USE, Kind.COMMIT, Kind.ROLLBACK)
    return statement.needs_diagnostics or (have.has_run_write and begins_state and not is_plain)
