"""Where it applies, the library's fast path gives the same request as the full validation."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import CLASSES

from micadeck.http.request_validation import BadRequestError
from micadeck.library.request_validation import (
    RequestOptions,
    RequestValidator,
    _build_directly,
    _is_on_fast_path,
    to_http,
)
from micadeck.policy.settings import ServiceClass
from micadeck.simulator_adapter import settings_from_wire

SETTINGS = settings_from_wire({"lanes": CLASSES, "realms": [{"name": "acme"}], "discovery": "on_request"})
VALIDATOR = RequestValidator(SETTINGS)

texts = st.one_of(st.sampled_from(["acme", "a b", "", "x\r\ny: z", "caf\xe9", "\u4e2d"]), st.text(max_size=6))
options = st.builds(
    RequestOptions,
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


@given(options, st.sampled_from(SETTINGS.classes))
def test_the_fast_path_equals_the_full_validation(
    request: RequestOptions, service_class: ServiceClass
) -> None:
    method, target, headers = to_http(service_class, request)
    if not _is_on_fast_path(service_class, request):
        return
    fast = _build_directly(service_class, request, VALIDATOR.tenants)
    assert fast == VALIDATOR.validate(method, target, headers, request.body)


@pytest.mark.parametrize("service_class", SETTINGS.classes, ids=lambda service_class: str(service_class.name))
def test_an_ordinary_request_is_on_the_fast_path(service_class: ServiceClass) -> None:
    key = "5c0f" if service_class.name == "amend" else None
    request = RequestOptions("/api/7", b"", 1.5, "acme", key)
    assert _is_on_fast_path(service_class, request)


@given(options, st.sampled_from(SETTINGS.classes))
def test_any_request_is_validated_or_rejected_with_a_status(
    request: RequestOptions, service_class: ServiceClass
) -> None:
    try:
        validated = VALIDATOR.validate_options(service_class, request)
    except BadRequestError as error:
        assert 400 <= error.status < 500
    else:
        assert all(b"\r" not in value and b"\n" not in value for _, value in validated.headers)
        assert b"\n" not in validated.target and 0 < validated.remaining_us
