"""One MySQL client: log-in, one command at a time, and for each exactly one final answer.

What a session may do and what a lost statement's answer is are settled in `session` and `error_mapping`;
here it is read and written.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
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
)
from micadeck.mysql.charsets import names_of
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
from micadeck.mysql.protocol.constants import Capability, Command, CursorType, ErrorCode, Status
from micadeck.mysql.protocol.handshake import ChangeUser, Handshake, HandshakeResponse
from micadeck.mysql.protocol.messages import Column, Err, Ok, PrepareOk
from micadeck.mysql.protocol.packets import PacketReader, PacketTooLargeError
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc
from micadeck.mysql.response_writer import ResponseWriter
from micadeck.mysql.running_statement import RunningStatement
from micadeck.mysql.server_connection import ServerConnection
from micadeck.mysql.session import Handle, Session, TooMuch
from micadeck.mysql.statements import Kind, Pin, Refusal, Statement
from micadeck.mysql.transport import Response, StatementRequest
from micadeck.network import Timer

if TYPE_CHECKING:
    from micadeck.mysql.listener import MysqlListener

OFFERED = (
    Capability.LONG_PASSWORD
    | Capability.FOUND_ROWS
    | Capability.LONG_FLAG
    | Capability.CONNECT_WITH_DB
    | Capability.PROTOCOL_41
    | Capability.INTERACTIVE
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_STATEMENTS
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
)
VERSION = b"8.0.36-micadeck"
_MOST_AT_LOGIN = 1 << 16
_MOST_AHEAD = 1 << 16  # bytes that a client may send behind a statement that is not answered
_READ = Statement(Kind.READ, pure_calls=True)
_TIME_SPARE_US = 5_000  # the decisions give up a few ticks before the time is over
_DIAGNOSTICS_S = 0.5  # how long what a statement left is kept for a client to ask for

_SHUTDOWN = Err(ErrorCode.SERVER_SHUTDOWN, "08S01", "the balancer is going down; the statement was not run")


class ClientSession(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: MysqlListener, number: int) -> None:
        self.front = front
        self._number = number
        self._commands = 0
        self._packets = PacketReader(_MOST_AT_LOGIN)
        self._counted = 0  # of the front's `read`
        self._writer = ResponseWriter()
        self._transport: asyncio.Transport | None = None
        self._salt = new_salt()
        self._gate: ServerAuthentication | None = None
        self._pending: HandshakeResponse | ChangeUser | None = None
        self.session: Session | None = None
        self._user: User | None = None
        self._running: RunningStatement | None = None
        self._link: ServerConnection | None = None  # while the session is bound to one
        self._is_lost = False  # the connection it was bound to ended, and the client has not been told
        self._is_choked = False  # what was written to it lies unread
        self._is_held = False  # it is read no further until its statement is answered
        self._is_closing = False
        self._timer: Timer | None = None
        self._stall: Timer | None = None

    @property
    def is_busy(self) -> bool:
        return self._running is not None or self._link is not None

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = self._writer.transport = cast(asyncio.Transport, transport)
        front = self.front
        if len(front.clients) >= front.limits.most_clients or front.is_draining:
            self._writer.write(Err(ErrorCode.CON_COUNT, "08004", "Too many connections").encode())
            self._close_soon()
            return
        front.clients.add(self)
        handshake = Handshake(VERSION, self._number & 0xFFFFFFFF, self._salt, OFFERED)
        self._writer.write(handshake.encode())
        self._packets.sequence = 1
        self._set_timer(front.limits.login_s, self.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            return
        self._packets.feed(data)
        self._count()
        if self.front.read > self.front.limits.most_read:
            self._fatal(Err(ErrorCode.PACKET_TOO_LARGE, "08S01", "too many bytes of unfinished packets"))
            return
        self._next()
        if self._running is not None and self._packets.size > _MOST_AHEAD and self._transport is not None:
            # Guards others: one client that sends on and on must not take the room of all.
            self._is_held = True
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._is_choked = True
        if (
            self._running is not None
            and self._running.stream is not None
            and self._running.stream.connection is not None
        ):
            self._running.stream.connection.pause_reading()
        self._stall = self.front.network.call_later(self.front.limits.stall_s, self.close)

    def resume_writing(self) -> None:
        self._is_choked = False
        if self._stall is not None:
            self._stall.cancel()
        if (
            self._running is not None
            and self._running.stream is not None
            and self._running.stream.connection is not None
        ):
            self._running.stream.connection.resume_reading()
        self._next()

    # Reading

    def _count(self) -> None:
        now = self._packets.size
        self.front.read += now - self._counted
        self._counted = now

    def _next(self) -> None:
        """Take commands while none is out."""
        try:
            while not self._is_closing and self._running is None and not self._is_choked:
                is_command = self.session is not None and self._gate is None
                payload = self._packets.next(from_zero=is_command)
                self._count()
                if payload is None:
                    self._read_on()
                    return
                self._writer.sequence = self._packets.sequence
                if is_command:
                    self._command(payload)
                else:
                    self._logging_in(payload)
        except PacketTooLargeError as fault:
            self._writer.sequence = (self._packets.sequence + 1) & 0xFF  # the packet was not read to its end
            self._fatal(Err(ErrorCode.PACKET_TOO_LARGE, "08S01", str(fault)))
        except ProtocolError as fault:
            # Only the connection phase, and packets themselves, end in this: commands are answered.
            self._fatal(Err(ErrorCode.HANDSHAKE, "08S01", str(fault)))

    def _read_on(self) -> None:
        if self._is_held and self._transport is not None and not self._transport.is_closing():
            self._is_held = False
            self._transport.resume_reading()

    # Logging in

    def _logging_in(self, payload: bytes) -> None:
        if self._gate is not None:
            self._step(self._gate.read(payload))
            return
        response = HandshakeResponse.decode(payload)
        self._writer.capabilities = response.capabilities & OFFERED
        self._pending = response
        self._gate = ServerAuthentication(self.front.users, self._salt, "client")
        self._step(self._gate.begin(response.user, response.plugin, response.auth_response))

    def _step(self, step: AuthStep) -> None:
        match step:
            case SendPacket(payload):
                self._writer.write(payload)
                self._packets.sequence = self._writer.sequence
            case PasswordCheck():
                self.front.spawn(step, self)
            case AccessDenied(error):
                user = self._pending.user.decode("utf-8", "replace") if self._pending else ""
                self.front.log(f"mysql: log-in of {user!r:.60} denied")
                self._fatal(error)
            case Authenticated(user, first):
                if first is not None:
                    self._writer.write(first)
                self._admitted(user)

    def checked(self, fits: bool) -> None:
        if self._gate is not None and not self._is_closing:
            self._step(self._gate.password_checked(fits))
            self._next()

    def _admitted(self, user: User) -> None:
        pending, self._pending, self._gate = self._pending, None, None
        assert pending is not None
        names = names_of(pending.charset)
        schema = pending.schema or None
        if names is None:
            self._fatal(Err(1115, "42000", f"Unknown character set: {pending.charset}"))
            return
        if (error := _may_use(user, schema)) is not None:
            self._fatal(error)
            return
        limits = self.front.limits
        self._user = user
        self.session = Session(
            user.name, self._writer.capabilities, names, schema, limits.most_handles, limits.most_long_data
        )
        self._packets.max_payload_bytes = limits.most_in_packet
        self._answer(Ok())

    # Commands

    def _command(self, payload: bytes) -> None:
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
        if self.front.is_draining and self._link is None and command not in _WITHOUT_SERVER:
            self._fatal(_SHUTDOWN)
            return
        try:
            self._dispatch(command, payload, session)
        except ProtocolError as fault:
            if command in _WITHOUT_ANSWER:
                self._idle()
            else:
                self._refuse(ErrorCode.MALFORMED_PACKET, "HY000", str(fault))
        except TooMuch as fault:
            if command in _WITHOUT_ANSWER:
                self._fatal(Err(ErrorCode.PACKET_TOO_LARGE, "08S01", str(fault)))
            else:
                self._refuse(1461, "42000", str(fault))

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
                self._idle()
            case Command.STMT_RESET:
                self._reset_statement(payload, session)
            case Command.STMT_FETCH:
                self._fetch(payload, session)
            case Command.PING:
                self._answer(Ok(status=session.status))
            case Command.QUIT:
                self.close()
            case Command.INIT_DB:
                if (error := _may_use(self._user, payload[1:])) is not None:
                    self._answer(error)
                else:
                    use = Statement(Kind.USE, schema=payload[1:], pure_calls=True)
                    self._run(use, payload, ResponseKind.RESULT)
            case Command.STATISTICS:
                self._answer(TextPacket(self.front.statistics().encode()))
            case Command.SET_OPTION:
                self._set_option(payload, session)
            case Command.RESET_CONNECTION:
                self._let_go()
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
        statement = self.front.reader.read(text)
        if statement.refusal is not None:
            self._refuse(ErrorCode.NOT_SUPPORTED, "42000", statement.refusal.value)
        elif statement.count > 1 and not session.multi:
            self._refuse(ErrorCode.PARSE, "42000", "several statements, and CLIENT_MULTI_STATEMENTS is off")
        elif statement.kind is Kind.USE and (error := _may_use(self._user, statement.schema)) is not None:
            self._answer(error)
        elif statement.session_value is not None and not session.pins and not self._is_lost:
            value = session.insert_id if statement.session_value == "last_insert_id" else session.row_count
            self._answer_value(_title(text), value)
        elif self._ends_nothing(statement, session):
            self._answer(Ok(status=session.status))
        else:
            self._run(statement, bytes((Command.QUERY,)) + text, ResponseKind.RESULT)

    def _ends_nothing(self, statement: Statement, session: Session) -> bool:
        """COMMIT and ROLLBACK where no transaction is open: there is nothing that a server could do."""
        is_end = statement.kind in (Kind.COMMIT, Kind.ROLLBACK)
        return is_end and not session.pins and not self._is_lost and self._link is None

    def _set_option(self, payload: bytes, session: Session) -> None:
        option = Cursor(payload, "COM_SET_OPTION", 1).integer(2, "option")
        if option > 1:
            self._refuse(ErrorCode.UNKNOWN_COM, "08S01", f"COM_SET_OPTION: option: there is no {option}")
            return
        session.multi = option == 0
        self._answer(ResultsetEnd(session.status, 0))

    def _change_user(self, payload: bytes, session: Session) -> None:
        change = ChangeUser.decode(payload)
        self._let_go()
        self._pending = change
        self._salt = new_salt()
        self._gate = ServerAuthentication(self.front.users, self._salt, "client")
        self._set_timer(self.front.limits.login_s, self.close)
        self._step(self._gate.begin(change.user, change.plugin, change.auth_response, switch=True))

    # Prepared statements

    def _prepare(self, text: bytes, session: Session) -> None:
        statement = self.front.reader.read(text)
        if statement.refusal is not None:
            self._refuse(ErrorCode.NOT_SUPPORTED, "42000", statement.refusal.value)
            return
        if statement.count > 1:
            self._refuse(ErrorCode.PARSE, "42000", "several statements can't be prepared as one")
            return
        if len(session.handles) >= self.front.limits.most_handles:
            raise TooMuch(f"over {self.front.limits.most_handles} prepared statements in one session")
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
            statement = _with_cursor(statement)
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
        if number in session.cursors and self._link is not None:
            session.end_cursor(number)
            self._run(_FETCH, payload, ResponseKind.RESULT, handle=handle)
        else:
            self._answer(Ok(status=session.status))

    def _close_statement(self, payload: bytes, session: Session) -> None:
        number = Cursor(payload, "COM_STMT_CLOSE", 1).integer(4, "statement id")
        handle = session.handles.get(number)
        if handle is not None and self._link is not None and number in session.cursors:
            key = (self._link.state.schema, handle.text)
            known = self._link.prepared.pop(key, None)
            if known is not None:
                self._link.send(bytes((Command.STMT_CLOSE,)) + known.statement_id.to_bytes(4, "little"))
        session.close(number)
        if self._link is not None and not session.pins:
            self._let_go()
        self._idle()

    def _no_such_statement(self, number: int, command: str) -> None:
        text = f"Unknown prepared statement handler ({number}) given to mysqld_stmt_{command.lower()}"
        self._refuse(ErrorCode.UNKNOWN_STMT_HANDLER, "HY000", text)

    # Running

    def _run(
        self, statement: Statement, command: bytes, kind: ResponseKind, *, handle: Handle | None = None
    ) -> RunningStatement | None:
        session, front = self.session, self.front
        assert session is not None
        had_diagnostics = Pin.DIAGNOSTICS in session.pins
        session.before(statement)
        if had_diagnostics and self._link is not None and not session.pins:
            self._let_go(clean=True)
        if statement.needs_diagnostics and self._link is None and not self._is_lost:
            if statement.kind is Kind.WRITE and kind is ResponseKind.RESULT and not statement.pins:
                self._nothing_left(statement)
                return None
        is_bound = self._link is not None or self._is_lost
        route = front.routes.route(statement, session.user, _text(session.schema), is_bound=is_bound)
        row = statement_context(
            statement,
            in_transaction=session.in_transaction,
            has_state=session.has_state_there,
            is_safe=route.is_safe,
            transaction_may_be_over=session.is_doubtful,
        )
        running = RunningStatement(
            self, statement, row, front.network.now() + route.deadline_us - _TIME_SPARE_US
        )
        if self._is_lost:
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
            sticky_server=self._link.server if self._link is not None else None,
            session=session,
            statement=statement,
            command=command,
            kind=kind,
            sink=running,
            connection=self._link,
            handle=handle,
        )
        self._running = running
        # The engine may answer before it gives the number, but never begins to stream before.
        number = front.engine.submit(request, running)
        running.number = number
        return running if self._running is running else None

    def _nothing_left(self, statement: Statement) -> None:
        """SHOW WARNINGS and its like, with nothing to show: else the connection would have been kept."""
        if "show" in statement.shape.lower()[:8]:
            columns = [Column(name) for name in (b"Level", b"Code", b"Message")]
            parts: list[Part] = [ResultsetHeader(3), *(Definition(each.encode()) for each in columns)]
            self._writer.write_parts([*parts, DefinitionsEnd(), ResultsetEnd(Status.AUTOCOMMIT, 0)])
            self._idle()
        else:
            self._refuse(
                ErrorCode.NOT_SUPPORTED,
                "42000",
                "what the last statement left is not kept; ask within a transaction",
            )

    def served(self, running: RunningStatement, answer: Response) -> None:
        """The one final answer, from a server."""
        session, link = self.session, answer.connection
        assert session is not None and self._running is running
        self._running = None
        error = answer.reader.error
        if running.handle is not None and error is None:
            self._write_prepared(running.handle, answer.parts, session)
        else:
            # What streams was written as it came.
            self._writer.write_parts(answer.parts)
        request = running.request
        assert request is not None
        if request.handle is not None:
            session.clear_long_data(request.handle)
        if error is not None:
            session.failed()
        elif running.handle is None:
            oks = [each for each in answer.parts if isinstance(each, Ok)]
            ends = [each for each in answer.parts if isinstance(each, (Ok, ResultsetEnd))]
            warnings = ends[-1].warnings if ends else 0
            status = answer.reader.status
            session.answered(running.statement, status, oks[-1] if oks else None, warnings)
        if Pin.CURSOR in running.statement.pins:
            at = answer.reader.status or Status(0)
            if error is not None or not at & Status.CURSOR_EXISTS or at & Status.LAST_ROW_SENT:
                session.cursor_over(request.handle)
        answer.is_kept = self._bind_if_needed(session, link)
        self._idle()
        self._next_soon()

    def _bind_if_needed(self, session: Session, link: ServerConnection) -> bool:
        if not session.pins:
            self._link = None
            return False
        if self.front.carrier.bind(link, self._link_lost):
            self._link = link
            return True
        self._link = None  # its server drains, and the time to end there is over
        self._is_lost = session.connection_lost()
        return False

    def failed(self, running: RunningStatement, befell: StatementFailure) -> None:
        """The one final answer, from here."""
        session = self.session
        assert session is not None and self._running is running
        self._running = None
        fate = TABLE[running.row, befell]
        request = running.request
        if (
            befell is StatementFailure.REFUSED
            and request is not None
            and request.error is not None
            and not session.pins
        ):
            fate = ClientError(
                request.error, Transaction.NONE
            )  # no server would have the session: this is why
        if request is not None and request.handle is not None:
            session.clear_long_data(request.handle)
        if fate.transaction is not Transaction.NONE:
            session.transaction_lost()
        self._is_lost = False
        link, self._link = self._link, None
        if link is not None:
            self.front.carrier.unbind(link, is_good=False)
        if fate.closes:
            assert fate.error is not None
            self._fatal(fate.error)
            return
        self._answer(fate.error if fate.error is not None else Ok(status=session.status))
        self._next_soon()

    def _link_lost(self) -> None:
        """The connection that holds this session ended.  If a statement is out there, its end will tell."""
        if self._running is None and self._link is not None and self.session is not None:
            self._link = None
            self._is_lost = self.session.connection_lost()

    def _let_go(self, *, clean: bool = False) -> None:
        """What the server connection holds is not wanted any more."""
        link, self._link = self._link, None
        self._is_lost = False
        if self.session is not None:
            self.session.transaction_lost()
        if link is not None:
            link.state.is_dirty = link.state.is_dirty or not clean
            self.front.carrier.unbind(link)

    # Writing

    def write_part(self, part: Part, running: RunningStatement) -> None:
        """A part of an answer that is too long to hold."""
        self._writer.write_part(part)

    def _write_prepared(self, handle: Handle, parts: list[Part], session: Session) -> None:
        prepared = parts[0]
        assert isinstance(prepared, PrepareOk)
        handle.parameters = prepared.parameter_count
        number = session.prepare(handle)
        ok = PrepareOk(number, prepared.column_count, prepared.parameter_count, prepared.warnings)
        self._writer.write_parts([ok, *parts[1:]])

    def _answer(self, part: Part) -> None:
        self._writer.write_parts([part])
        self._idle()

    def _answer_value(self, title: bytes, value: int) -> None:
        column = Column(title, column_type=8, length=21, charset=63, flags=0x81)
        parts: list[Part] = [ResultsetHeader(1), Definition(column.encode()), DefinitionsEnd()]
        parts += [Row(lenenc(b"%d" % value)), ResultsetEnd(Status.AUTOCOMMIT, 0)]
        self._writer.write_parts(parts)
        self._idle()

    def _refuse(self, code: int, state: str, text: str) -> None:
        """This command is not carried; the connection is good."""
        self._answer(Err(code, state, text))

    def _fatal(self, error: Err) -> None:
        """The last thing this client hears."""
        self._writer.write(error.encode())
        self._close_soon()

    # Time and end

    def _idle(self) -> None:
        limits = self.front.limits
        after_s = limits.idle_s
        if self._link is not None:
            is_left = self.session is not None and self.session.pins <= {Pin.DIAGNOSTICS}
            after_s = _DIAGNOSTICS_S if is_left else limits.idle_bound_s
        self._set_timer(after_s, self._idle_for_long)

    def _idle_for_long(self) -> None:
        if self._running is not None:
            return
        if self._link is not None and self.session is not None and self.session.pins <= {Pin.DIAGNOSTICS}:
            self._let_go(clean=True)
            self._idle()
        elif self._link is not None:
            # Others need the connection, and the locks: the client hears so with its next statement.
            self.front.log("mysql: a session that held its server connection idle for too long has lost it")
            self._link.close()
            self._idle()
        else:
            self.close()

    def _next_soon(self) -> None:
        self.front.network.call_soon(self._next)

    def _set_timer(self, after_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        if not self._is_closing:
            self._timer = self.front.network.call_later(after_s, call)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_soon(self) -> None:
        """Close once all is written; what comes until then is not read."""
        self._is_closing = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()
        self._gone()

    def close(self) -> None:
        self._is_closing = True
        if self._transport is not None:
            self._transport.abort()
        self._gone()

    def _gone(self) -> None:
        """Nobody waits any more."""
        self._is_closing = True
        self._cancel_timer()
        if self._stall is not None:
            self._stall.cancel()
        self.front.clients.discard(self)
        self.front.read -= self._counted
        self._counted = 0
        running, self._running = self._running, None
        link, self._link = self._link, None
        if running is not None:
            if running.number is not None:
                self.front.engine.client_disconnected(running.number)
            if running.stream is not None:
                running.stream.abort()
            if link is not None:
                link.close()
        elif link is not None:
            link.state.is_dirty = True
            self.front.carrier.unbind(link)


_WITHOUT_ANSWER = frozenset((Command.STMT_CLOSE, Command.STMT_SEND_LONG_DATA, Command.QUIT))
_WITHOUT_SERVER = _WITHOUT_ANSWER | {Command.PING, Command.STMT_RESET, Command.RESET_CONNECTION}
_FETCH = Statement(Kind.OPAQUE, frozenset((Pin.CURSOR,)))


def _with_cursor(statement: Statement) -> Statement:
    return replace(statement, kind=Kind.OPAQUE, pins=statement.pins | {Pin.CURSOR})


def _may_use(user: User | None, schema: bytes | None) -> Err | None:
    if user is None or schema is None or user.schemas is None or _text(schema) in user.schemas:
        return None
    text = f"Access denied for user '{user.name}'@'client' to database '{_text(schema)}'"
    return Err(ErrorCode.DBACCESS_DENIED, "42000", text)


def _text(schema: bytes | None) -> str:
    return schema.decode("utf-8", "replace") if schema is not None else ""


def _title(text: bytes) -> bytes:
    """The column's name, as a server takes it from the statement."""
    return text.strip().rstrip(b";").split(None, 1)[1].strip()[:64]
