"""Limits on heads, trailers and chunk framing while a message is read."""

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
BODY_PARTS = ("trailers", "a trailer", "a chunk extension", "leading zeros")
MAX_READ_BYTES = 64 << 10
STATUSES = (400, 431)


def feed_beginning(reader: RequestReader | ResponseReader, what: str) -> None:
    is_request = isinstance(reader, RequestReader)
    if what in BODY_PARTS:
        reader.feed(POST if is_request else CHUNKED)
    else:
        reader.feed(GET if is_request else OK)
    reader.feed(ENDLESS[what][0])


@pytest.mark.parametrize("at_once", [1, 100, 8_192])
@pytest.mark.parametrize("what", ENDLESS)
def test_a_request_is_rejected_within_64_kib(what: str, at_once: int) -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    feed_beginning(reader, what)
    read = 0
    while reader.error_status is None and read < MAX_READ_BYTES:
        reader.feed(ENDLESS[what][1] * at_once)
        read += at_once * len(ENDLESS[what][1])
    assert reader.error_status in STATUSES and not reader.requests


@pytest.mark.parametrize("at_once", [1, 100, 8_192])
@pytest.mark.parametrize("what", [*ENDLESS, "1xx"])
def test_a_response_is_malformed_within_64_kib(what: str, at_once: int) -> None:
    reader = ResponseReader(MAX_BODY_BYTES)
    piece = b"HTTP/1.1 100 Continue\r\n\r\n"
    if what != "1xx":
        feed_beginning(reader, what)
        piece = ENDLESS[what][1]
    read = 0
    while not reader.is_malformed and read < MAX_READ_BYTES:
        reader.feed(piece * at_once)
        read += at_once * len(piece)
    assert reader.is_malformed and reader.response is None


@pytest.mark.parametrize(("count", "expected"), [(99, None), (100, 431), (3_800, 431)])
@pytest.mark.parametrize("at_once", [1, 1 << 20])
def test_a_request_has_at_most_a_hundred_headers(count: int, expected: int | None, at_once: int) -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    raw = GET + b"a:\r\n" * count + b"\r\n"
    for begin in range(0, len(raw), at_once):
        reader.feed(raw[begin : begin + at_once])
    assert reader.error_status == expected
    assert len(reader.requests) == (expected is None)


@pytest.mark.parametrize(("count", "is_malformed"), [(99, False), (100, True), (3_800, True)])
def test_a_response_has_at_most_a_hundred_headers(count: int, is_malformed: bool) -> None:
    reader = ResponseReader(MAX_BODY_BYTES)
    reader.feed(OK + b"content-length: 2\r\n" + b"a:\r\n" * count + b"\r\nok")
    assert reader.is_malformed is is_malformed
    assert (reader.response is None) is is_malformed


def test_framing_bytes_are_limited_per_run_and_not_in_total() -> None:
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


def test_pipelined_requests_do_not_count_against_the_head_limit() -> None:
    reader = RequestReader(MAX_BODY_BYTES)
    complete = GET + b"x: " + b"v" * 300 + b"\r\n\r\n"
    for _ in range(200):
        reader.feed(complete * 20 + complete[:-4])
        reader.feed(complete[-4:])
    assert reader.error_status is None and len(reader.requests) == 200 * 21


@pytest.mark.parametrize(
    "raw", [OK + b"content-length: 34000000\r\n\r\n", CHUNKED + b"20000\r\n" + b"x" * 131_072]
)
def test_a_response_over_a_small_limit_is_rejected_before_it_is_buffered(raw: bytes) -> None:
    reader = ResponseReader(64 << 20)
    reader.expect(max_body=64 << 10)
    reader.feed(raw)
    assert reader.is_malformed
    reader = ResponseReader(64 << 20)
    reader.feed(raw)
    assert not reader.is_malformed


def test_pipelined_requests_are_parsed_as_they_are_taken() -> None:
    """Guards against requests that take many times their bytes while they wait for their turn."""
    sent = [b"GET /%d HTTP/1.1\r\nHost: a\r\nA: b\r\nC: d\r\n\r\n" % number for number in range(200)]
    raw = b"".join(sent)
    reader = RequestReader(MAX_BODY_BYTES, parses_ahead=False)
    for at, begin in enumerate(range(0, len(raw), 3_000)):
        reader.feed(raw[begin : begin + 3_000], float(at))
    assert len(raw) < reader.cost < 4 * len(raw)
    taken = []
    while reader.requests:
        taken.append(reader.pop_request())
    assert [each.target for each in taken] == [b"/%d" % number for number in range(200)]
    assert [each.arrived_at for each in taken] == [
        float((len(b"".join(sent[: number + 1])) - 1) // 3_000) for number in range(200)
    ]
    assert reader.cost == 0 and not reader.has_unprocessed
