"""The codec and the log-in: what they encode and reject; no input makes them hang."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micadeck.mysql.auth import (
    AccessDenied,
    Authenticated,
    Login,
    LoginFailed,
    PasswordCheck,
    SendPacket,
    ServerAuthentication,
    User,
    Users,
    Verifier,
    native_stored,
    new_salt,
)
from micadeck.mysql.protocol.answers import Part, ResponseKind, ResponseReader, ResultsetEnd, Row, encode
from micadeck.mysql.protocol.constants import CACHING_SHA2, MAX_PAYLOAD_BYTES, NATIVE, Capability, Status
from micadeck.mysql.protocol.handshake import AuthSwitch, ChangeUser, Handshake, HandshakeResponse
from micadeck.mysql.protocol.messages import Column, Eof, Err, Ok, PrepareOk
from micadeck.mysql.protocol.packets import PacketReader, PacketTooLargeError, frame
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc, lenenc_int

CLASSIC = Capability.PROTOCOL_41
MODERN = CLASSIC | Capability.DEPRECATE_EOF | Capability.SESSION_TRACK

# ---------------------------------------------------------------------------------------------------
# Packets


@pytest.mark.parametrize(
    "length", [0, 1, MAX_PAYLOAD_BYTES - 1, MAX_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES + 1, 2 * MAX_PAYLOAD_BYTES]
)
def test_payloads_are_split_into_packets_of_16_mib_and_joined(length: int) -> None:
    payload = bytes(length)
    data, after = frame(payload, 254)
    pieces = length // MAX_PAYLOAD_BYTES + 1
    assert len(data) == length + 4 * pieces
    assert after == (254 + pieces) & 0xFF
    reader = PacketReader(1 << 26)
    reader.sequence = 254
    for at in range(0, len(data), 1 << 22):
        assert reader.next() is None
        reader.feed(data[at : at + (1 << 22)])
    assert reader.next() == payload
    assert reader.is_empty and reader.sequence == after


def test_a_wrong_sequence_or_too_long_a_payload_is_an_error_before_it_is_complete() -> None:
    reader = PacketReader(10)
    reader.feed(b"\x0b\0\0\0")
    with pytest.raises(PacketTooLargeError, match="over 10 bytes"):
        reader.next()
    reader = PacketReader(10)
    reader.feed(b"\x01\0\0\x07x")
    with pytest.raises(ProtocolError, match="0 is needed, not 7"):
        reader.next()


@given(st.lists(st.binary(max_size=300), max_size=8), st.data())
def test_any_chunking_gives_the_same_payloads(payloads: list[bytes], data: st.DataObject) -> None:
    stream, sequence = b"", 0
    for each in payloads:
        framed, sequence = frame(each, sequence)
        stream += framed
    reader, seen = PacketReader(1 << 16), []
    while stream:
        cut = data.draw(st.integers(1, len(stream)))
        reader.feed(stream[:cut])
        stream = stream[cut:]
        seen += list(reader)
    assert seen == payloads


@given(st.integers(0, 2**64 - 1), st.binary(max_size=70_000))
def test_length_encoded_values_round_trip(number: int, text: bytes) -> None:
    read = Cursor(lenenc_int(number) + lenenc(text) + b"rest", "test")
    assert (read.lenenc_int("a"), read.lenenc("b"), read.rest()) == (number, text, b"rest")


# ---------------------------------------------------------------------------------------------------
# Messages


_SALT = bytes(range(1, 21))
_MESSAGES: list[tuple[Any, Any]] = [
    (Handshake(b"8.0.36", 7, _SALT, CLASSIC | Capability.PLUGIN_AUTH), Handshake.decode),
    (
        HandshakeResponse(
            CLASSIC
            | Capability.SECURE_CONNECTION
            | Capability.CONNECT_WITH_DB
            | Capability.PLUGIN_AUTH
            | Capability.CONNECT_ATTRS,
            b"desk",
            b"a" * 20,
            schema=b"tariff",
            plugin=NATIVE,
            attributes=((b"_client_name", b"x"), (b"", b"y" * 300)),
        ),
        HandshakeResponse.decode,
    ),
    (AuthSwitch(CACHING_SHA2, _SALT), AuthSwitch.decode),
    (Ok(3, 1 << 40, Status.IN_TRANS, 2, b"Rows matched: 3"), lambda raw: Ok.decode(raw, CLASSIC)),
    (
        Ok(0, 0, Status.SESSION_STATE_CHANGED, 0, b"", b"\x01\x05\x04abcd"),
        lambda raw: Ok.decode(raw, MODERN),
    ),
    (Err(1064, "42000", "no \u00e9"), Err.decode),
    (Eof(Status.MORE_RESULTS, 5), Eof.decode),
    (Column(b"code", 253, 40, 45, 1, 2, b"tariff", b"t"), Column.decode),
    (PrepareOk(9, 2, 3, 1), PrepareOk.decode),
]


def _encoded(message: Any) -> bytes:
    if isinstance(message, Ok):
        written: bytes = message.encode(MODERN if message.state else CLASSIC)
        return written
    written = message.encode()
    return written


@pytest.mark.parametrize(("message", "decode"), _MESSAGES, ids=lambda each: type(each).__name__)
def test_messages_round_trip_and_truncated_ones_are_an_error_or_another_message(
    message: Any, decode: Any
) -> None:
    raw = _encoded(message)
    assert decode(raw) == message
    for cut in range(1, len(raw)):
        try:
            decode(raw[:cut])
        except ProtocolError as error:
            assert ": " in str(error)  # the error names the packet and the field


@given(st.binary(min_size=1, max_size=200))
def test_any_bytes_give_a_message_or_a_protocol_error(raw: bytes) -> None:
    for _, decode in [*_MESSAGES, (None, ChangeUser.decode)]:
        try:
            decode(raw)
        except ProtocolError:
            pass


# ---------------------------------------------------------------------------------------------------
# Responses


def _result(capabilities: Capability, rows: int, status: Status = Status.AUTOCOMMIT) -> list[bytes]:
    parts = [lenenc_int(2), Column(b"a").encode(), Column(b"b").encode()]
    is_modern = bool(capabilities & Capability.DEPRECATE_EOF)
    if not is_modern:
        parts.append(Eof(status).encode())
    parts += [lenenc(b"%d" % number) + b"\xfb" for number in range(rows)]
    parts.append(Ok(status=status).encode(capabilities, 0xFE) if is_modern else Eof(status).encode())
    return parts


def _read(
    kind: ResponseKind, capabilities: Capability, payloads: list[bytes]
) -> tuple[ResponseReader, list[Part]]:
    reader = ResponseReader(kind, capabilities)
    parts = []
    for number, each in enumerate(payloads):
        assert not reader.is_complete, f"complete before packet {number}"
        parts.append(reader.read(each))
    return reader, parts


@pytest.mark.parametrize("client_capabilities", [CLASSIC, MODERN])
def test_a_result_is_encoded_for_the_capabilities_of_the_client(client_capabilities: Capability) -> None:
    more = Status.AUTOCOMMIT | Status.MORE_RESULTS
    payloads = [*_result(CLASSIC, 2, more), Ok(4, status=more).encode(CLASSIC), *_result(CLASSIC, 0)]
    reader, parts = _read(ResponseKind.RESULT, CLASSIC, payloads)
    assert reader.is_complete and reader.rows == 2 and reader.status == Status.AUTOCOMMIT
    written = [raw for each in parts if (raw := encode(each, client_capabilities)) is not None]
    expected = [
        *_result(client_capabilities, 2, more),
        Ok(4, status=more).encode(client_capabilities),
        *_result(client_capabilities, 0),
    ]
    assert written == expected
    again, _ = _read(ResponseKind.RESULT, client_capabilities, written)
    assert again.is_complete


def test_a_response_is_complete_at_its_end_or_at_an_error() -> None:
    payloads = _result(CLASSIC, 3)
    for cut in range(len(payloads)):
        reader, _ = _read(ResponseKind.RESULT, CLASSIC, payloads[:cut])
        assert not reader.is_complete
    for cut in (0, 4, 5):
        reader, _ = _read(
            ResponseKind.RESULT, CLASSIC, [*payloads[:cut], Err(1053, "08S01", "down").encode()]
        )
        assert reader.is_complete and reader.error is not None and reader.error.code == 1053
    with pytest.raises(ProtocolError, match="after its end"):
        _read(ResponseKind.RESULT, CLASSIC, payloads)[0].read(b"\0")


def test_long_rows_that_start_like_an_end_packet_are_rows() -> None:
    row = b"\xfe" + (1 << 24).to_bytes(8, "little") + bytes(1 << 24)
    for capabilities in (CLASSIC, MODERN):
        head = _result(capabilities, 0)[:-1]
        _, parts = _read(ResponseKind.RESULT, capabilities, [*head, row, _result(capabilities, 0)[-1]])
        assert isinstance(parts[-2], Row) and isinstance(parts[-1], ResultsetEnd)


_PREPARED_PACKETS = [
    (CLASSIC, 0, 0, 1),
    (CLASSIC, 2, 0, 4),
    (CLASSIC, 1, 2, 6),
    (MODERN, 1, 2, 4),
]


@pytest.mark.parametrize(("capabilities", "columns", "parameters", "packets"), _PREPARED_PACKETS)
def test_a_prepare_response_is_complete_after_its_definitions(
    capabilities: Capability, columns: int, parameters: int, packets: int
) -> None:
    payloads = [PrepareOk(1, columns, parameters).encode()]
    for count in (parameters, columns):
        payloads += [Column(b"?").encode()] * count
        if count and capabilities is CLASSIC:
            payloads.append(Eof().encode())
    reader, _ = _read(ResponseKind.PREPARED, capabilities, payloads)
    assert reader.is_complete and len(payloads) == packets


@given(
    st.lists(st.binary(max_size=40), max_size=12),
    st.sampled_from(ResponseKind),
    st.sampled_from([CLASSIC, MODERN]),
)
def test_any_packets_are_a_response_or_an_error(
    packets: list[bytes], kind: ResponseKind, capabilities: Capability
) -> None:
    reader = ResponseReader(kind, capabilities)
    for each in packets:
        if reader.is_complete:
            break
        try:
            encode(reader.read(each), capabilities)
        except ProtocolError:
            return


# ---------------------------------------------------------------------------------------------------
# Logging in

SECRET = b"p\xc3\xa4ss"
_USERS = {
    "both": User("both", Verifier.of(SECRET), native_stored(SECRET)),
    "sha2": User("sha2", Verifier.of(SECRET)),
}


def _log_in(users: Users, name: bytes, password: bytes, plugin: bytes) -> tuple[bool, list[bytes]]:
    """Run a log-in; return whether it succeeded, and the server's payloads."""
    salt = new_salt()
    login = Login(password, plugin, salt)
    authentication = ServerAuthentication(users, salt, "here")
    step = authentication.begin(name, plugin, login.auth_response())
    payloads = []
    for _ in range(6):
        match step:
            case SendPacket(payload):
                payloads.append(payload)
                answer = login.read(payload)
                assert answer is not None
                assert password not in answer or not password
                step = authentication.read(answer)
            case PasswordCheck(run):
                step = authentication.password_checked(run())
            case Authenticated():
                return True, payloads
            case AccessDenied(error):
                assert error.code == 1045
                assert not password or password.decode("utf-8", "replace") not in error.text
                return False, payloads
    raise AssertionError("the log-in does not end")


@pytest.mark.parametrize("name", ["both", "sha2", "nobody"])
@pytest.mark.parametrize("plugin", [NATIVE, CACHING_SHA2])
def test_only_the_right_password_logs_in(name: str, plugin: bytes) -> None:
    users = Users(_USERS)
    is_known = name != "nobody"
    first, payloads_first = _log_in(users, name.encode(), SECRET, plugin)
    assert first is is_known
    wrong, payloads_wrong = _log_in(users, name.encode(), b"wrong", plugin)
    assert not wrong
    empty, _ = _log_in(users, name.encode(), b"", plugin)
    assert not empty
    again, payloads_again = _log_in(users, name.encode(), SECRET, plugin)
    assert again is is_known
    if is_known and (name, plugin) != ("both", NATIVE):
        assert len(payloads_again) < len(payloads_first)  # from the cached digest, without the password
    elif not is_known:
        # An unknown user gets the same packets as a known one with a wrong password.
        known = [_log_in(users, each, b"wrong", plugin)[1] for each in (b"sha2", b"both")]
        assert [each[:2] for each in payloads_wrong] in [
            [payloads[:2] for payloads in each] for each in known
        ]


def test_no_key_is_generated_during_a_log_in(monkeypatch: pytest.MonkeyPatch) -> None:
    users = Users(_USERS)

    def make_key(*given: object) -> None:
        raise AssertionError("making a key takes tenths of a second, which blocks the event loop")

    monkeypatch.setattr("micadeck.mysql.auth.rsa.generate_private_key", make_key)
    assert _log_in(users, b"sha2", SECRET, CACHING_SHA2)[0]


def test_after_a_password_change_only_the_new_one_logs_in() -> None:
    users = Users(_USERS)
    assert _log_in(users, b"sha2", SECRET, CACHING_SHA2)[0]
    users.replace({"sha2": User("sha2", Verifier.of(b"new"))})
    assert not _log_in(users, b"sha2", SECRET, CACHING_SHA2)[0]
    assert _log_in(users, b"sha2", b"new", CACHING_SHA2)[0]


def test_no_repr_or_error_shows_a_secret() -> None:
    salt = new_salt()
    shown = [
        repr(_USERS["both"]),
        repr(HandshakeResponse(CLASSIC, b"u", SECRET)),
        repr(ChangeUser(b"u", SECRET, b"", 45, NATIVE)),
        repr(PasswordCheck(lambda: True)),
    ]
    authentication = ServerAuthentication(Users(_USERS), salt, "here")
    with pytest.raises(ProtocolError) as error:
        authentication.begin(b"sha2", CACHING_SHA2, b"x" * 32)
        authentication.read(SECRET * 64)
    shown.append(str(error.value))
    for each in shown:
        assert SECRET.decode() not in each and repr(SECRET)[2:-1] not in each
        assert native_stored(SECRET).hex() not in each


@given(st.binary(max_size=64))
def test_any_server_payload_at_log_in_is_answered_or_an_error(payload: bytes) -> None:
    try:
        Login(SECRET, CACHING_SHA2, new_salt()).read(payload)
    except (ProtocolError, LoginFailed):
        pass


@pytest.mark.parametrize("size", [0, 1, 5, 1_000, MAX_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES + 3])
@pytest.mark.parametrize("chunk", [1, 3, 7, 1 << 16])
@pytest.mark.parametrize("skipped_after", [0, 5, 9])  # bytes that are received before
def test_a_skipped_payload_is_not_kept_and_the_next_one_is_read(
    size: int, chunk: int, skipped_after: int
) -> None:
    payload = b"\x03" + b"x" * (size - 1) if size else b""
    raw = frame(payload, 0)[0]
    chunk = max(chunk, len(raw) // 1_000)  # a thousand feeds at most
    reader = PacketReader(2 * MAX_PAYLOAD_BYTES)
    reader.feed(raw[:skipped_after])
    assert reader.next(from_zero=True) == (payload if len(raw) <= skipped_after else None)
    if len(raw) <= skipped_after:
        return
    reader.skip()
    got = None
    for at in range(skipped_after, len(raw), chunk):
        assert got is None
        reader.feed(raw[at : at + chunk])
        got = reader.next(from_zero=True)
        assert reader.size <= chunk + 16
    assert got == payload[:1] and reader.was_skipped and reader.is_empty
    reader.feed(frame(b"\x0e", 0)[0])
    assert reader.next(from_zero=True) == b"\x0e" and not reader.was_skipped
