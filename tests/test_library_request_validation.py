"""The library's short way to word a request gives what the long way gives, or leaves the request to it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import CLASSES

from micadeck.http.request_validation import BadRequestError
from micadeck.library.request_validation import Reader, Wanted, _plain, read_wanted, worded
from micadeck.policy.settings import ServiceClass
from micadeck.simulator_adapter import settings_from_wire

SETTINGS = settings_from_wire({"lanes": CLASSES, "realms": [{"name": "acme"}], "discovery": "on_request"})
READER = Reader(SETTINGS)

texts = st.one_of(st.sampled_from(["acme", "a b", "", "x\r\ny: z", "caf\xe9", "\u4e2d"]), st.text(max_size=6))
wanted = st.builds(
    Wanted,
    target=st.one_of(st.sampled_from(["/api/7?x=1", "/", "api", "/a b", "//x", "/\xe9"]), texts),
    body=st.sampled_from([b"", b"x", b"x" * 65_536, b"x" * 65_537]),
    timeout_s=st.one_of(st.none(), st.floats(), st.sampled_from([0.0, 0.001, 1.5, 99_999.0])),
    tenant=st.one_of(st.none(), texts),
    idempotency_key=st.one_of(st.none(), texts),
    request_id=st.one_of(st.just("9b1f"), texts),
    client_retry=st.booleans(),
    work_hint_us=st.one_of(st.none(), st.integers(-5, 10**16)),
    headers=st.lists(st.tuples(texts, texts), max_size=1),
    host=st.one_of(st.just("localhost"), texts),
)


@given(wanted, st.sampled_from(SETTINGS.classes))
def test_the_short_way_gives_what_the_long_way_gives(asked: Wanted, kind: ServiceClass) -> None:
    short = _plain(READER, kind, asked)
    method, target, headers = worded(kind, asked)
    if short is None:
        return
    assert short == READER.read(method, target, headers, asked.body)


@pytest.mark.parametrize("kind", SETTINGS.classes, ids=lambda kind: str(kind.name))
def test_an_ordinary_request_goes_the_short_way(kind: ServiceClass) -> None:
    key = "5c0f" if kind.name == "amend" else None
    asked = Wanted("/api/7", b"", 1.5, "acme", key)
    assert _plain(READER, kind, asked) is not None


@given(wanted, st.sampled_from(SETTINGS.classes))
def test_whatever_is_asked_is_read_or_refused_with_a_status(asked: Wanted, kind: ServiceClass) -> None:
    try:
        incoming = read_wanted(READER, kind, asked)
    except BadRequestError as fault:
        assert 400 <= fault.status < 500
    else:
        assert all(b"\r" not in value and b"\n" not in value for _, value in incoming.headers)
        assert b"\n" not in incoming.target and 0 < incoming.remaining_us
