"""A MySQL client's connection: log-in, then one command at a time, each with exactly one final answer.

The session's state is in `session`, the errors for failed statements in `error_mapping`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from micadeck.mysql.auth import (
    AccessDenied,
    Authenticated,
    AuthStep,
    PasswordCheck,
    SendPacket,
    ServerAuthentication,
    User,
    new_salt,
    schema_error,
    schema_name,
)
from micadeck.mysql.charsets import names_of
from micadeck.mysql.command_reader import CommandReader
from micadeck.mysql.error_mapping import TABLE, ClientError, StatementFailure, Transaction, statement_context
from micadeck.mysql.protocol.answers import (
    Definition,
    DefinitionsEnd,
    Part,
    ResponseKind,
    ResultsetEnd,
    ResultsetHeader,
    Row,
    TextPacket,
)
from micadeck.mysql.protocol.constants import Command, CursorType, ErrorCode, Status
from micadeck.mysql.protocol.handshake import OFFERED, ChangeUser, Handshake, HandshakeResponse
from micadeck.mysql.protocol.messages import Column, Err, Ok, PrepareOk
from micadeck.mysql.protocol.packets import PacketTooLargeError
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc
from micadeck.mysql.response_writer import ResponseWriter
from micadeck.mysql.running_statement import RunningStatement
from micadeck.mysql.server_connection import ServerConnection
from micadeck.mysql.session import Handle, LimitError, Session
from micadeck.mysql.statement import Kind, Pin, Refusal, Statement
from micadeck.mysql.transport import Response, StatementRequest
from micadeck.network import Timer

if TYPE_CHECKING:
    from micadeck.mysql.listener import MysqlListener

VERSION = b"8.0.36-micadeck"
_READ = Statement(Kind.READ, pure_calls=True)
_DEADLINE_SLACK_US = 5_000  # the decision module gives up a few ticks before the deadline
_DIAGNOSTICS_RETENTION_S = 0.5  # how long a connection is kept for SHOW WARNINGS and the like

_SHUTDOWN = Err(ErrorCode.SERVER_SHUTDOWN, "08S01", "the balancer is going down; the statement was not run")


class ClientSession(asyncio.Protocol):
    """Reads commands and writes answers."""

    def __init__(self, listener: MysqlListener, number: int) -> None:
        self.listener = listener
        self._number = number
        self._commands = 0
        self._reader = CommandReader(self, listener.network, listener.statement_memory)
        self._writer = ResponseWriter()
        self._transport: asyncio.Transport | None = None
        self._salt = new_salt()
        self._auth: ServerAuthentication | None = None
        self._login: HandshakeResponse | ChangeUser | None = None
        self.session: Session | None = None
        self._user: User | None = None
        self._running: RunningStatement | None = None
        self._bound: ServerConnection | None = None  # the connection that the session is bound to
        self._is_bound_lost = False  # it ended, and the client does not know yet
        self._is_write_paused = False  # the client leaves answers unread
        self._is_closing = False
        self._timer: Timer | None = None
        self._stall_timer: Timer | None = None

    @property
    def is_busy(self) -> bool:
        return self._running is not None or self._bound is not None or self._reader.has_deferred

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = self._writer.transport = self._reader.transport = cast(asyncio.Transport, transport)
        listener = self.listener
        if len(listener.clients) >= listener.limits.max_clients or listener.is_draining:
            self._writer.write(Err(ErrorCode.CON_COUNT, "08004", "Too many connections").encode())
            self._close_after_write()
            return
        listener.clients.add(self)
        handshake = Handshake(VERSION, self._number & 0xFFFFFFFF, self._salt, OFFERED)
        self._writer.write(handshake.encode())
        self._reader.packets.sequence = 1
        self._set_timer(listener.limits.login_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish_close()

    def data_received(self, data: bytes) -> None:
        if not self._is_closing:
            self._reader.feed(data)

    def pause_writing(self) -> None:
        self._is_write_paused = True
        if (connection := self._responding_connection()) is not None:
            connection.pause_reading()
        self._stall_timer = self.listener.network.call_later(self.listener.limits.stall_s, self.close)

    def resume_writing(self) -> None:
        self._is_write_paused = False
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        if (connection := self._responding_connection()) is not None:
            connection.resume_reading()
        self._reader.read()

    def _responding_connection(self) -> ServerConnection | None:
        """The server connection whose response is passed on."""
        stream = self._running.stream if self._running is not None else None
        return stream.connection if stream is not None else None

    # Called by the reader

    @property
    def is_ready(self) -> bool:
        return not self._is_closing and self._running is None and not self._is_write_paused

    @property
    def is_logged_in(self) -> bool:
        return self.session is not None and self._auth is None

    @property
    def statement_bytes(self) -> int:
        request = self._running.request if self._running is not None else None
        return len(request.command) if request is not None else 0

    @property
    def long_data_bytes(self) -> int:
        return self.session.long_data_bytes if self.session is not None else 0

    def handle_payload(self, payload: bytes) -> None:
        self._writer.sequence = self._reader.packets.sequence
        if self.is_logged_in:
            self._handle_command(payload)
        else:
            self._handle_login(payload)

    def refuse_for_memory(self, payload: bytes) -> None:
        """Reject it; close if an answer is not expected or would not help."""
        self._writer.sequence = self._reader.packets.sequence
        error = Err(ErrorCode.PACKET_TOO_LARGE, "08S01", "too many bytes of statements in memory; not run")
        if self.is_logged_in and not (payload and payload[0] in _WITHOUT_RESPONSE):
            self._answer(error)
        else:
            self._close_with(error)

    def reading_failed(self, error: ProtocolError) -> None:
        code = ErrorCode.HANDSHAKE
        if isinstance(error, PacketTooLargeError):
            code = ErrorCode.PACKET_TOO_LARGE
            self._writer.sequence = (self._reader.packets.sequence + 1) & 0xFF  # it was not consumed
        self._close_with(Err(code, "08S01", str(error)))

    # Logging in

    def _handle_login(self, payload: bytes) -> None:
        if self._auth is not None:
            self._auth_step(self._auth.read(payload))
            return
        response = HandshakeResponse.decode(payload)
        self._writer.capabilities = response.capabilities & OFFERED
        self._login = response
        self._auth = ServerAuthentication(self.listener.users, self._salt, "client")
        self._auth_step(self._auth.begin(response.user, response.plugin, response.auth_response))

    def _auth_step(self, step: AuthStep) -> None:
        match step:
            case SendPacket(payload):
                self._writer.write(payload)
                self._reader.packets.sequence = self._writer.sequence
            case PasswordCheck():
                self.listener.check_password(step, self)
            case AccessDenied(error):
                user = self._login.user.decode("utf-8", "replace") if self._login else ""
                self.listener.log(f"mysql: log-in of {user!r:.60} denied")
                self._close_with(error)
            case Authenticated(user, first):
                if first is not None:
                    self._writer.write(first)
                self._finish_login(user)

    def password_checked(self, matches: bool) -> None:
        if self._auth is not None and not self._is_closing:
            self._auth_step(self._auth.password_checked(matches))
            self._reader.read()

    def _finish_login(self, user: User) -> None:
        login, self._login, self._auth = self._login, None, None
        assert login is not None
        names = names_of(login.charset)
        schema = login.schema or None
        if names is None:
            self._close_with(Err(1115, "42000", f"Unknown character set: {login.charset}"))
            return
        if (error := schema_error(user, schema)) is not None:
            self._close_with(error)
            return
        limits = self.listener.limits
        self._user = user
        self.session = Session(
            user.name, self._writer.capabilities, names, schema, limits.max_handles, limits.max_long_data
        )
        self._reader.packets.max_payload_bytes = limits.max_packet_bytes
        self._answer(Ok())

    # Commands

    def _handle_command(self, payload: bytes) -> None:
        session = self.session
        assert session is not None
        self._cancel_timer()
        if not payload:
            self._refuse(ErrorCode.MALFORMED_PACKET, "HY000", "command: an empty packet")
            return
        try:
            command = Command(payload[0])
        except ValueError:
            self._refuse(ErrorCode.UNKNOWN_COM, "08S01", f"Unknown command 0x{payload[0]:02x}")
            return
        if self.listener.is_draining and self._bound is None and command not in _WITHOUT_SERVER:
            self._close_with(_SHUTDOWN)
            return
        try:
            self._dispatch(command, payload, session)
        except ProtocolError as error:
            if command in _WITHOUT_RESPONSE:
                self._start_idle_timer()
            else:
                self._refuse(ErrorCode.MALFORMED_PACKET, "HY000", str(error))
        except LimitError as error:
            if command in _WITHOUT_RESPONSE:
                self._close_with(Err(ErrorCode.PACKET_TOO_LARGE, "08S01", str(error)))
            else:
                self._refuse(1461, "42000", str(error))

    def _dispatch(self, command: Command, payload: bytes, session: Session) -> None:
        match command:
            case Command.QUERY:
                self._query(payload[1:], session)
            case Command.STMT_EXECUTE:
                self._execute(payload, session)
            case Command.STMT_PREPARE:
                self._prepare(payload[1:], session)
            case Command.STMT_CLOSE:
                self._close_statement(payload, session)
            case Command.STMT_SEND_LONG_DATA:
                read = Cursor(payload, "COM_STMT_SEND_LONG_DATA", 1)
                number, parameter = read.integer(4, "statement id"), read.integer(2, "parameter")
                if number in session.handles:
                    session.add_long_data(number, parameter, read.rest())
                self._start_idle_timer()
            case Command.STMT_RESET:
                self._reset_statement(payload, session)
            case Command.STMT_FETCH:
                self._fetch(payload, session)
            case Command.PING:
                self._answer(Ok(status=session.status))
            case Command.QUIT:
                self.close()
            case Command.INIT_DB:
                if (error := schema_error(self._user, payload[1:])) is not None:
                    self._answer(error)
                else:
                    use = Statement(Kind.USE, schema=payload[1:], pure_calls=True)
                    self._run(use, payload, ResponseKind.RESULT)
            case Command.STATISTICS:
                self._answer(TextPacket(self.listener.statistics().encode()))
            case Command.SET_OPTION:
                self._set_option(payload, session)
            case Command.RESET_CONNECTION:
                self._release_connection()
                session.reset()
                self._answer(Ok())
            case Command.CHANGE_USER:
                self._change_user(payload, session)
            case Command.PROCESS_KILL:
                self._refuse(ErrorCode.NOT_SUPPORTED, "42000", Refusal.KILL.value)
            case Command.BINLOG_DUMP | Command.BINLOG_DUMP_GTID | Command.TABLE_DUMP | Command.REGISTER_SLAVE:
                self._refuse(ErrorCode.NOT_SUPPORTED, "42000", Refusal.REPLICATION.value)
            case _:
                self._refuse(ErrorCode.UNKNOWN_COM, "08S01", f"Unknown command {command.name}")

    def _query(self, text: bytes, session: Session) -> None:
        statement = self.listener.statement_reader.read(text)
        if statement.refusal is not None:
            self._refuse(ErrorCode.NOT_SUPPORTED, "42000", statement.refusal.value)
        elif statement.count > 1 and not session.multi_statements:
            self._refuse(ErrorCode.PARSE, "42000", "several statements, and CLIENT_MULTI_STATEMENTS is off")
        elif statement.kind is Kind.USE and (error := schema_error(self._user, statement.schema)) is not None:
            self._answer(error)
        elif statement.session_value is not None and not session.pins and not self._is_bound_lost:
            value = session.insert_id if statement.session_value == "last_insert_id" else session.row_count
            self._answer_value(_column_name(text), value)
        elif self._ends_no_transaction(statement, session):
            self._answer(Ok(status=session.status))
        else:
            self._run(statement, bytes((Command.QUERY,)) + text, ResponseKind.RESULT)

    def _ends_no_transaction(self, statement: Statement, session: Session) -> bool:
        """Whether it is a COMMIT or ROLLBACK without an open transaction, which needs no server."""
        is_end = statement.kind in (Kind.COMMIT, Kind.ROLLBACK)
        return is_end and not session.pins and not self._is_bound_lost and self._bound is None

    def _set_option(self, payload: bytes, session: Session) -> None:
        option = Cursor(payload, "COM_SET_OPTION", 1).integer(2, "option")
        if option > 1:
            self._refuse(ErrorCode.UNKNOWN_COM, "08S01", f"COM_SET_OPTION: option: there is no {option}")
            return
        session.multi_statements = option == 0
        self._answer(ResultsetEnd(session.status, 0))

    def _change_user(self, payload: bytes, session: Session) -> None:
        change = ChangeUser.decode(payload)
        self._release_connection()
        self._login = change
        self._salt = new_salt()
        self._auth = ServerAuthentication(self.listener.users, self._salt, "client")
        self._set_timer(self.listener.limits.login_s, self.close)
        self._auth_step(self._auth.begin(change.user, change.plugin, change.auth_response, switch=True))

    # Prepared statements

    def _prepare(self, text: bytes, session: Session) -> None:
        statement = self.listener.statement_reader.read(text)
        if statement.refusal is not None:
            self._refuse(ErrorCode.NOT_SUPPORTED, "42000", statement.refusal.value)
            return
        if statement.count > 1:
            self._refuse(ErrorCode.PARSE, "42000", "several statements can't be prepared as one")
            return
        if len(session.handles) >= self.listener.limits.max_handles:
            raise LimitError(f"over {self.listener.limits.max_handles} prepared statements in one session")
        running = self._run(_READ, bytes((Command.STMT_PREPARE,)) + text, ResponseKind.PREPARED)
        if running is not None:
            running.handle = Handle(text, statement, 0, session.schema)

    def _execute(self, payload: bytes, session: Session) -> None:
        read = Cursor(payload, "COM_STMT_EXECUTE", 1)
        number = read.integer(4, "statement id")
        handle = session.handles.get(number)
        if handle is None:
            self._no_such_statement(number, "EXECUTE")
            return
        cursor = CursorType(read.integer(1, "flags") & 7)
        read.take(4, "iteration count")
        command = payload[:10]
        if handle.parameters:
            nulls = read.take((handle.parameters + 7) // 8, "null bitmap")
            if read.integer(1, "new-params-bound flag"):
                handle.types = read.take(2 * handle.parameters, "types")
            elif not handle.types:
                raise read.error("new-params-bound flag", "types were never bound")
            command += nulls + b"\x01" + handle.types + read.rest()
        statement = handle.statement
        if cursor:
            statement = statement.with_cursor()
            session.cursors.add(number)
        self._run(statement, command, ResponseKind.RESULT, handle=handle)

    def _fetch(self, payload: bytes, session: Session) -> None:
        read = Cursor(payload, "COM_STMT_FETCH", 1)
        number = read.integer(4, "statement id")
        read.take(4, "number of rows")
        handle = session.handles.get(number)
        if handle is None or number not in session.cursors:
            self._no_such_statement(number, "FETCH")
            return
        self._run(_FETCH, payload, ResponseKind.FETCHED, handle=handle)

    def _reset_statement(self, payload: bytes, session: Session) -> None:
        number = Cursor(payload, "COM_STMT_RESET", 1).integer(4, "statement id")
        handle = session.handles.get(number)
        if handle is None:
            self._no_such_statement(number, "RESET")
            return
        session.clear_long_data(handle)
        if number in session.cursors and self._bound is not None:
            session.close_cursor(number)
            self._run(_FETCH, payload, ResponseKind.RESULT, handle=handle)
        else:
            self._answer(Ok(status=session.status))

    def _close_statement(self, payload: bytes, session: Session) -> None:
        number = Cursor(payload, "COM_STMT_CLOSE", 1).integer(4, "statement id")
        handle = session.handles.get(number)
        if handle is not None and self._bound is not None and number in session.cursors:
            key = (self._bound.state.schema, handle.text)
            known = self._bound.prepared.pop(key, None)
            if known is not None:
                self._bound.send(bytes((Command.STMT_CLOSE,)) + known.statement_id.to_bytes(4, "little"))
        session.remove_handle(number)
        if self._bound is not None and not session.pins:
            self._release_connection()
        self._start_idle_timer()

    def _no_such_statement(self, number: int, command: str) -> None:
        text = f"Unknown prepared statement handler ({number}) given to mysqld_stmt_{command.lower()}"
        self._refuse(ErrorCode.UNKNOWN_STMT_HANDLER, "HY000", text)

    # Running

    def _run(
        self, statement: Statement, command: bytes, kind: ResponseKind, *, handle: Handle | None = None
    ) -> RunningStatement | None:
        session, listener = self.session, self.listener
        assert session is not None
        had_diagnostics = Pin.DIAGNOSTICS in session.pins
        session.start_statement(statement)
        if had_diagnostics and self._bound is not None and not session.pins:
            self._release_connection(clean=True)
        if statement.needs_diagnostics and self._bound is None and not self._is_bound_lost:
            if statement.kind is Kind.WRITE and kind is ResponseKind.RESULT and not statement.pins:
                self._answer_without_diagnostics(statement)
                return None
        is_bound = self._bound is not None or self._is_bound_lost
        route = listener.routes.route(statement, session.user, schema_name(session.schema), is_bound=is_bound)
        context = statement_context(
            statement,
            in_transaction=session.in_transaction,
            has_state=session.has_server_state,
            is_safe=route.is_safe,
            transaction_may_be_over=session.transaction_may_be_over,
        )
        running = RunningStatement(
            self, statement, context, listener.network.now() + route.deadline_us - _DEADLINE_SLACK_US
        )
        if self._is_bound_lost:
            self._running = running
            self.failed(running, StatementFailure.REFUSED)
            return None
        self._commands += 1
        running.request = request = StatementRequest(
            service_class=route.service_class,
            tenant=route.tenant,
            key=route.key,
            remaining_us=route.deadline_us,
            cost_us=None,
            client_retry=False,
            request_id=b"mysql %d %d" % (self._number, self._commands),
            write=not route.is_safe,
            sticky_server=self._bound.server if self._bound is not None else None,
            session=session,
            statement=statement,
            command=command,
            kind=kind,
            sink=running,
            connection=self._bound,
            handle=handle,
        )
        self._running = running
        # The engine may answer before `submit` returns the number, but never starts to stream before.
        number = listener.engine.submit(request, running)
        running.number = number
        return running if self._running is running else None

    def _answer_without_diagnostics(self, statement: Statement) -> None:
        """Answer SHOW WARNINGS and the like: without a bound connection there are no diagnostics."""
        if "show" in statement.shape.lower()[:8]:
            columns = [Column(name) for name in (b"Level", b"Code", b"Message")]
            parts: list[Part] = [ResultsetHeader(3), *(Definition(column.encode()) for column in columns)]
            self._writer.write_parts([*parts, DefinitionsEnd(), ResultsetEnd(Status.AUTOCOMMIT, 0)])
            self._start_idle_timer()
        else:
            self._refuse(
                ErrorCode.NOT_SUPPORTED,
                "42000",
                "what the last statement left is not kept; ask within a transaction",
            )

    def served(self, running: RunningStatement, answer: Response) -> None:
        """Write a server's response, the final answer."""
        session, connection = self.session, answer.connection
        assert session is not None
        request = self._end_running(running)
        error = answer.reader.error
        if running.handle is not None and error is None:
            self._write_prepared(running.handle, answer.parts, session)
        else:
            # Parts that were streamed are already written.
            self._writer.write_parts(answer.parts)
        assert request is not None
        if request.handle is not None:
            session.clear_long_data(request.handle)
        if error is not None:
            session.record_error()
        elif running.handle is None:
            oks = [part for part in answer.parts if isinstance(part, Ok)]
            ends = [part for part in answer.parts if isinstance(part, (Ok, ResultsetEnd))]
            warnings = ends[-1].warnings if ends else 0
            status = answer.reader.status
            session.record_success(running.statement, status, oks[-1] if oks else None, warnings)
        if Pin.CURSOR in running.statement.pins:
            at = answer.reader.status or Status(0)
            if error is not None or not at & Status.CURSOR_EXISTS or at & Status.LAST_ROW_SENT:
                session.close_cursor_of(request.handle)
        answer.is_kept = self._bind_if_needed(session, connection)
        self._start_idle_timer()
        self._reader.read_soon()

    def _end_running(self, running: RunningStatement) -> StatementRequest | None:
        """End the running statement; return its request.

        Request and statement refer to each other, which would keep megabytes until a garbage collection.
        """
        assert self._running is running
        self._running = None
        request, running.request, running.stream = running.request, None, None
        return request

    def _bind_if_needed(self, session: Session, connection: ServerConnection) -> bool:
        if not session.pins:
            self._bound = None
            return False
        if self.listener.transport.bind(connection, self._server_connection_lost):
            self._bound = connection
            return True
        self._bound = None  # its server drains, and the deadline for sessions has passed
        self._is_bound_lost = session.connection_lost()
        return False

    def failed(self, running: RunningStatement, failure: StatementFailure) -> None:
        """Write an error, the final answer."""
        session = self.session
        assert session is not None
        request = self._end_running(running)
        answer = TABLE[running.context, failure]
        if (
            failure is StatementFailure.REFUSED
            and request is not None
            and request.error is not None
            and not session.pins
        ):
            # The error with which a server rejected the session's state.
            answer = ClientError(request.error, Transaction.NONE)
        if request is not None and request.handle is not None:
            session.clear_long_data(request.handle)
        if answer.transaction is not Transaction.NONE:
            session.transaction_lost()
        self._is_bound_lost = False
        connection, self._bound = self._bound, None
        if connection is not None:
            self.listener.transport.unbind(connection, is_good=False)
        if answer.closes:
            assert answer.error is not None
            self._close_with(answer.error)
            return
        self._answer(answer.error if answer.error is not None else Ok(status=session.status))
        self._reader.read_soon()

    def _server_connection_lost(self) -> None:
        """The bound connection ended.  A running statement fails by itself and is answered then."""
        if self._running is None and self._bound is not None and self.session is not None:
            self._bound = None
            self._is_bound_lost = self.session.connection_lost()

    def _release_connection(self, *, clean: bool = False) -> None:
        """Unbind the connection and discard its state."""
        connection, self._bound = self._bound, None
        self._is_bound_lost = False
        if self.session is not None:
            self.session.transaction_lost()
        if connection is not None:
            connection.state.is_dirty = connection.state.is_dirty or not clean
            self.listener.transport.unbind(connection)

    # Writing

    def write_part(self, part: Part, running: RunningStatement) -> None:
        """Write a part of a response too long to buffer."""
        self._writer.write_part(part)

    def _write_prepared(self, handle: Handle, parts: list[Part], session: Session) -> None:
        prepared = parts[0]
        assert isinstance(prepared, PrepareOk)
        handle.parameters = prepared.parameter_count
        number = session.add_handle(handle)
        ok = PrepareOk(number, prepared.column_count, prepared.parameter_count, prepared.warnings)
        self._writer.write_parts([ok, *parts[1:]])

    def _answer(self, part: Part) -> None:
        self._writer.write_parts([part])
        self._start_idle_timer()

    def _answer_value(self, title: bytes, value: int) -> None:
        column = Column(title, column_type=8, length=21, charset=63, flags=0x81)
        parts: list[Part] = [ResultsetHeader(1), Definition(column.encode()), DefinitionsEnd()]
        parts += [Row(lenenc(b"%d" % value)), ResultsetEnd(Status.AUTOCOMMIT, 0)]
        self._writer.write_parts(parts)
        self._start_idle_timer()

    def _refuse(self, code: int, state: str, text: str) -> None:
        """Reject a command; the connection stays open."""
        self._answer(Err(code, state, text))

    def _close_with(self, error: Err) -> None:
        """Send an error and close."""
        self._writer.write(error.encode())
        self._close_after_write()

    # Time and end

    def _start_idle_timer(self) -> None:
        limits = self.listener.limits
        after_s = limits.idle_s
        if self._bound is not None:
            is_left = self.session is not None and self.session.pins <= {Pin.DIAGNOSTICS}
            after_s = _DIAGNOSTICS_RETENTION_S if is_left else limits.idle_bound_s
        self._set_timer(after_s, self._idle_timed_out)

    def _idle_timed_out(self) -> None:
        if self._running is not None:
            return
        if self._bound is not None and self.session is not None and self.session.pins <= {Pin.DIAGNOSTICS}:
            self._release_connection(clean=True)
            self._start_idle_timer()
        elif self._bound is not None:
            # Frees the connection and its locks for others; the client's next statement gets the error.
            self.listener.log("mysql: closed a server connection that a session held idle for too long")
            self._bound.close()
            self._start_idle_timer()
        else:
            self.close()

    def _set_timer(self, after_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        if not self._is_closing:
            self._timer = self.listener.network.call_later(after_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_after_write(self) -> None:
        """Close when all is written; read nothing more."""
        self._is_closing = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()
        self._finish_close()

    def close(self) -> None:
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()
        self._finish_close()

    def _finish_close(self) -> None:
        """Release everything."""
        self._is_closing = True
        self._cancel_timer()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self.listener.clients.discard(self)
        self._reader.close()
        running, self._running = self._running, None
        connection, self._bound = self._bound, None
        if running is not None:
            if running.number is not None:
                self.listener.engine.client_disconnected(running.number)
            if running.stream is not None:
                running.stream.abort()
            running.request = running.stream = None
            if connection is not None:
                connection.close()
        elif connection is not None:
            connection.state.is_dirty = True
            self.listener.transport.unbind(connection)


_WITHOUT_RESPONSE = frozenset((Command.STMT_CLOSE, Command.STMT_SEND_LONG_DATA, Command.QUIT))
_WITHOUT_SERVER = _WITHOUT_RESPONSE | {Command.PING, Command.STMT_RESET, Command.RESET_CONNECTION}
_FETCH = Statement(Kind.OPAQUE, frozenset((Pin.CURSOR,)))


def _column_name(text: bytes) -> bytes:
    """The name that a server gives the column."""
    return text.strip().rstrip(b";").split(None, 1)[1].strip()[:64]
