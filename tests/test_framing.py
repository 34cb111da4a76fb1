"""All of a message that is no body is bounded while it comes: heads, trailers, chunk extensions."""

from __future__ import annotations

import pytest

from micadeck.http.h1 import RequestReader, ResponseReader

MAX_BODY_BYTES = 1 << 20
GET = b"GET / HTTP/1.1\r\nhost: a\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n"
ENDLESS = {
    "headers": (b"", b"a:\r\n"),
    "a name": (b"", b"n"),
    "a value": (b"x: ", b"v"),
    "trailers": (b"0\r\n", b"a:\r\n"),
    "a trailer": (b"0\r\nx: ", b"v"),
    "a chunk extension": (b"2;x=", b"e"),
    "leading zeros": (b"", b"0"),
}
IN_A_BODY = ("trailers", "a trailer", "a chunk extension", "leading zeros")
MOST_READ = 64 << 10
STATUSES = (400, 431)


def begun(reader: RequestReader | ResponseReader, what: str) -> None:
    is_request = isinstance(reader, RequestReader)
    if what in IN_A_BODY:
        reader.feed(POST if is_request else CHUNKED)
    else:
        reader.feed(GET if is_request else OK)
    reader.feed(ENDLESS[what][0])


@pytest.mark.parametrize("at_once", [1, 100, 8_192])
@pytest.mark.parametrize("what", ENDLESS)
def test_a_request_is_turned_away_within_64_kib(what: str, at_once: int) -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    begun(reader, what)
    read = 0
    while reader.error_status is None and read < MOST_READ:
        reader.feed(ENDLESS[what][1] * at_once)
        read += at_once * len(ENDLESS[what][1])
    assert reader.error_status in STATUSES and not reader.requests


@pytest.mark.parametrize("at_once", [1, 100, 8_192])
@pytest.mark.parametrize("what", [*ENDLESS, "1xx"])
def test_an_answer_is_spoilt_within_64_kib(what: str, at_once: int) -> None:
    reader = ResponseReader(MAX_BODY_BYTES)
    piece = b"HTTP/1.1 100 Continue\r\n\r\n"
    if what != "1xx":
        begun(reader, what)
        piece = ENDLESS[what][1]
    read = 0
    while not reader.is_malformed and read < MOST_READ:
        reader.feed(piece * at_once)
        read += at_once * len(piece)
    assert reader.is_malformed and reader.response is None


@pytest.mark.parametrize(("count", "fault"), [(99, None), (100, 431), (3_800, 431)])
@pytest.mark.parametrize("at_once", [1, 1 << 20])
def test_a_request_has_a_hundred_headers_at_most(count: int, fault: int | None, at_once: int) -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    raw = GET + b"a:\r\n" * count + b"\r\n"
    for begin in range(0, len(raw), at_once):
        reader.feed(raw[begin : begin + at_once])
    assert reader.error_status == fault
    assert len(reader.requests) == (fault is None)


@pytest.mark.parametrize(("count", "is_malformed"), [(99, False), (100, True), (3_800, True)])
def test_an_answer_has_a_hundred_headers_at_most(count: int, is_malformed: bool) -> None:
    reader = ResponseReader(MAX_BODY_BYTES)
    reader.feed(OK + b"content-length: 2\r\n" + b"a:\r\n" * count + b"\r\nok")
    assert reader.is_malformed is is_malformed
    assert (reader.response is None) is is_malformed


def test_what_is_no_end_of_a_message_is_counted_in_a_row_alone() -> None:
    requests = RequestReader(MAX_BODY_BYTES)
    requests.feed(POST)
    answers = ResponseReader(MAX_BODY_BYTES)
    answers.feed(CHUNKED)
    for reader in (requests, answers):
        for _ in range(20_000):  # each byte of the body has six of framing
            reader.feed(b"1\r\nx\r\n")
        reader.feed(b"0\r\n" + b"t: 1\r\n" * 100 + b"\r\n")
    assert len(requests.requests) == 1 and requests.error_status is None
    assert answers.response is not None and len(answers.response.body) == 20_002


def test_requests_sent_ahead_are_no_head_of_the_next() -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    whole = GET + b"x: " + b"v" * 300 + b"\r\n\r\n"
    for _ in range(200):
        reader.feed(whole * 20 + whole[:-4])
        reader.feed(whole[-4:])
    assert reader.error_status is None and len(reader.requests) == 200 * 21


@pytest.mark.parametrize(
    "raw", [OK + b"content-length: 34000000\r\n\r\n", CHUNKED + b"20000\r\n" + b"x" * 131_072]
)
def test_an_answer_that_may_only_be_small_is_spoilt_before_it_is_kept(raw: bytes) -> None:
    reader = ResponseReader(64 << 20)
    reader.expect(max_body=64 << 10)
    reader.feed(raw)
    assert reader.is_malformed
    reader = ResponseReader(64 << 20)
    reader.feed(raw)
    assert not reader.is_malformed
