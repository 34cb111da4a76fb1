"""The Consul client's logic without sockets: requests, poll schedule, response parsing and health states."""

from __future__ import annotations

import gzip
import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micadeck.http.messages import Headers, Response
from micadeck.membership.consul import (
    BlockingQuery,
    ConsulError,
    IndexChange,
    Instance,
    InstanceMapping,
    InstanceStatus,
    RequestOptions,
    ResponseMeta,
    RestartTracker,
    ServiceView,
    parse_catalog,
    parse_health,
)
from micadeck.membership.consul.protocol import read_body, read_meta, redirect_target
from micadeck.membership.consul.states import instance_status, merge_registrations
from micadeck.membership.endpoint_observation import Precedence
from micadeck.network import Address

# ---------------------------------------------------------------------------------------------------
# Requests and responses


def test_a_request_has_all_configured_options_and_its_token_only_in_a_header() -> None:
    options = RequestOptions(
        "s3cret", "dc2", "team", "part", "stale", ("blue", "v 2"), 'Service.Meta.zone == "a"'
    )
    request = options.request("/v1/health/service/tariff s", "10.0.0.1:8500", index=7, wait_s=2.5)
    assert request.target == (
        b"/v1/health/service/tariff%20s?dc=dc2&ns=team&partition=part&filter="
        b"Service.Meta.zone%20%3D%3D%20%22a%22&tag=blue&tag=v%202&index=7&wait=2500ms&stale"
    )
    assert (b"x-consul-token", b"s3cret") in request.headers
    assert "s3cret" not in repr(options) and b"s3cret" not in request.target
    assert (
        RequestOptions(mode="consistent").request("/v1/status/leader", "x").target
        == b"/v1/status/leader?consistent"
    )


def _response(body: bytes = b"[]", status: int = 200, **headers: str) -> Response:
    header_fields: Headers = [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    return Response(status, header_fields, body)


@pytest.mark.parametrize(
    ("response", "text"),
    [
        (_response(b"[", 200), "not JSON"),
        (_response(b"No cluster leader", 500), "500: No cluster leader"),
        (_response(b"", 403), "token"),
        (_response(b"", 429), "429"),
        (_response(b"x", 200, content_encoding="br"), "'br'"),
        (_response(b"x" * 40, 200, content_encoding="gzip"), "cannot be decompressed"),
        (_response(gzip.compress(b"[1, 2, 3]")[:-6], 200, content_encoding="gzip"), "truncated"),
        (_response(gzip.compress(b" " * (5 << 20)), 200, content_encoding="gzip"), "4 MiB"),
    ],
)
def test_a_malformed_response_raises_a_specific_error(response: Response, text: str) -> None:
    with pytest.raises(ConsulError, match=text):
        read_body(response)


def test_a_valid_response_is_read_compressed_or_not() -> None:
    compressed = _response(gzip.compress(b'[{"a": 1}]'), content_encoding="gzip")
    assert read_body(compressed) == read_body(_response(b'[{"a": 1}]')) == [{"a": 1}]
    meta = read_meta(
        _response(x_consul_index="42", x_consul_lastcontact="1500", x_consul_knownleader="false")
    )
    assert meta == ResponseMeta(42, 1.5, False)
    with pytest.raises(ConsulError, match="x-consul-index"):
        read_meta(_response(x_consul_index="-1"))


def test_a_redirect_location_must_be_an_address_that_can_be_called() -> None:
    target = redirect_target(_response(status=307, location="http://10.0.0.2:8500/v1/x?index=3"))
    assert target == (("10.0.0.2", 8500), b"/v1/x?index=3")
    assert redirect_target(_response()) is None
    for location in ("https://10.0.0.2:8501/", "http://consul.local:8500/", "", "http://10.0.0.2/"):
        with pytest.raises(ConsulError, match="redirect to a location that cannot be called"):
            redirect_target(_response(status=307, location=location))


# ---------------------------------------------------------------------------------------------------
# Poll schedule


def _query() -> BlockingQuery:
    return BlockingQuery(random.Random(1), wait_s=10.0)


def test_the_first_call_reads_everything_and_the_next_waits_on_its_index() -> None:
    query = _query()
    assert (query.next_poll(0.0).index, query.next_poll(0.0).wait_s) == (0, 0.0)
    assert query.record_answer(0.1, ResponseMeta(42)) is IndexChange.CHANGED
    plan = query.next_poll(0.1)
    assert plan.index == 42 and plan.delay_s == 0.0
    assert 10.0 * 15 / 16 <= plan.wait_s <= 10.0 and plan.timeout_s > plan.wait_s * 17 / 16
    assert query.record_answer(10.0, ResponseMeta(42)) is IndexChange.UNCHANGED
    assert query.next_poll(10.0).delay_s == 0.0


@pytest.mark.parametrize("index", [41, 1, 0])
def test_an_index_that_goes_back_is_reset(index: int) -> None:
    query = _query()
    query.next_poll(0.0)
    query.record_answer(0.1, ResponseMeta(42))
    query.next_poll(0.1)
    assert query.record_answer(0.2, ResponseMeta(index)) is IndexChange.INDEX_RESET
    assert query.next_poll(0.2).index == 0


def _calls_in_a_minute(answer: Any) -> int:
    """Count the polls in a minute when every answer arrives immediately."""
    query, now, calls = _query(), 0.0, 0
    while now < 60.0:
        plan = query.next_poll(now)
        now += plan.delay_s + 0.001
        calls += 1
        query.record_answer(now, answer(calls))
    return calls


def test_no_sequence_of_answers_causes_a_busy_loop() -> None:
    assert _calls_in_a_minute(lambda n: ResponseMeta(42)) <= 75  # a constant index, answered without waiting
    assert _calls_in_a_minute(lambda n: ResponseMeta(0)) <= 75
    assert _calls_in_a_minute(lambda n: ResponseMeta(n)) <= 700  # a change in every answer
    assert _calls_in_a_minute(lambda n: ResponseMeta(100 - n % 2)) <= 700


def test_a_burst_of_changes_is_read_without_delay() -> None:
    query = _query()
    for number in range(8):
        assert query.next_poll(0.01 * number).delay_s == 0.0
        query.record_answer(0.01 * number, ResponseMeta(number + 1))


def test_failures_back_off_with_jitter_keep_the_index_and_honour_retry_after() -> None:
    query = _query()
    query.next_poll(0.0)
    query.record_answer(0.1, ResponseMeta(42))
    delays = []
    for _ in range(10):
        query.record_failure()
        delays.append(query.next_poll(1.0).delay_s)
        assert query.next_poll(1.0).index == 42
    assert delays[0] <= 0.1 and 2.5 <= delays[-1] <= 5.0
    query.record_failure(retry_after_s=20.0)
    assert query.next_poll(1.0).delay_s == 20.0
    query.record_answer(2.0, ResponseMeta(43))
    assert query.next_poll(2.0).delay_s == 0.0


def test_a_hundred_sidecars_that_start_together_spread_their_first_polls() -> None:
    delays = [BlockingQuery(random.Random(seed)).first_delay(2.0) for seed in range(100)]
    buckets = [sum(int(delay * 10) == bucket for delay in delays) for bucket in range(20)]
    assert max(buckets) <= 15


# ---------------------------------------------------------------------------------------------------
# Entries


def entry(
    ident: str = "t-1",
    *,
    node: str = "n-1",
    address: str = "10.0.0.1",
    port: int = 80,
    checks: tuple[tuple[str, str], ...] = (),
    node_checks: tuple[tuple[str, str], ...] = (),
    **service: Any,
) -> dict[str, Any]:
    return {
        "Node": {"Node": node, "ID": f"id-{node}", "Address": "10.9.9.9", "Meta": {}},
        "Service": {"ID": ident, "Service": "tariff", "Address": address, "Port": port, **service},
        "Checks": [
            *({"CheckID": name, "Status": status, "ServiceID": ident} for name, status in checks),
            *({"CheckID": name, "Status": status, "ServiceID": ""} for name, status in node_checks),
        ],
    }


def read(*entries: dict[str, Any]) -> list[Instance]:
    instances, errors = parse_health(list(entries))
    assert errors == []
    return instances


def statuses(instances: list[Instance], mapping: InstanceMapping | None = None) -> list[InstanceStatus]:
    """Return the merged status of each address."""
    by_address: dict[Address, list[InstanceStatus]] = {}
    for instance in instances:
        status = instance_status(instance, mapping or InstanceMapping())
        by_address.setdefault(status.address, []).append(status)
    return [merge_registrations(registrations) for registrations in by_address.values()]


def status(*entries: dict[str, Any], mapping: InstanceMapping | None = None) -> InstanceStatus:
    (only,) = statuses(read(*entries), mapping)
    return only


def warnings(*entries: dict[str, Any]) -> tuple[str, ...]:
    view = ServiceView()
    list(view.read(json.dumps(entries).encode()))
    return view.take_change(1).warnings


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Node": None}, "[0].Node"),
        ({"Node": {"Node": ""}}, "[0].Node.Node"),
        ({"Service": []}, "[0].Service"),
        ({"Service": {"ID": 5}}, "[0].Service.ID"),
        ({"Service": {"ID": "a", "Port": 0, "Address": "10.0.0.1"}}, "[0].Service.Port"),
        ({"Service": {"ID": "a", "Port": 80, "Address": "tariff.local"}}, "[0].Service.Address"),
        ({"Service": {**entry()["Service"], "Weights": {"Passing": -1}}}, "[0].Service.Weights.Passing"),
        ({"Service": {**entry()["Service"], "TaggedAddresses": {"lan": 1}}}, "TaggedAddresses.lan"),
        ({"Checks": None}, "[0].Checks"),
        ({"Checks": [{"CheckID": "c", "Status": "well"}]}, "[0].Checks[0].Status"),
    ],
)
def test_an_invalid_entry_is_reported_by_field_and_does_not_affect_others(
    change: dict[str, Any], field: str
) -> None:
    instances, (error,) = parse_health([{**entry("bad"), **change}, entry("good")])
    assert [instance.service_id for instance in instances] == ["good"]
    assert field in error


json_like = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=5)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.sampled_from(
                ["Node", "Service", "Checks", "ID", "Port", "Address", "Meta", "Weights", "Status"]
            ),
            inner,
            max_size=5,
        ),
    ),
    max_leaves=20,
)


@given(json_like)
def test_any_json_is_parsed_or_raises_consul_error(given_: Any) -> None:
    for parse in (parse_health, parse_catalog):
        try:
            instances, _ = parse(json.loads(json.dumps(given_)))
            statuses(instances)
        except ConsulError:
            pass


@pytest.mark.parametrize(
    ("given_", "precedence", "reason", "weight"),
    [
        (entry(), Precedence.READY, "passing", 1),
        (
            entry(checks=(("c", "passing"),), Weights={"Passing": 7, "Warning": 2}),
            Precedence.READY,
            "passing",
            7,
        ),
        (
            entry(checks=(("c", "warning"),), Weights={"Passing": 7, "Warning": 2}),
            Precedence.READY,
            "warning",
            2,
        ),
        (
            entry(checks=(("c", "warning"),), Weights={"Passing": 7, "Warning": 0}),
            Precedence.DRAINING,
            "weight",
            0,
        ),
        (entry(Weights={"Passing": 0, "Warning": 1}), Precedence.DRAINING, "weight", 0),
        (entry(checks=(("a", "passing"), ("b", "critical"))), Precedence.UNHEALTHY, "critical: b", 1),
        (entry(node_checks=(("serfHealth", "critical"),)), Precedence.UNHEALTHY, "serfHealth", 1),
        (entry(checks=(("a", "warning"), ("b", "critical"))), Precedence.UNHEALTHY, "critical: b", 1),
        (
            entry(node_checks=(("_node_maintenance", "critical"),)),
            Precedence.DRAINING,
            "_node_maintenance",
            1,
        ),
        (entry(checks=(("_service_maintenance:t-1", "critical"),)), Precedence.DRAINING, "maintenance", 1),
        (
            entry(checks=(("b", "critical"), ("_service_maintenance:t-1", "critical"))),
            Precedence.DRAINING,
            "maintenance",
            1,
        ),
        # Maintenance of another service on the node is not a drain of this one.
        (entry(node_checks=(("_service_maintenance:t-2", "critical"),)), Precedence.UNHEALTHY, "critical", 1),
    ],
)
def test_checks_determine_precedence_and_weight(
    given_: dict[str, Any], precedence: Precedence, reason: str, weight: int
) -> None:
    actual = status(given_)
    assert (actual.precedence, actual.weight) == (precedence, weight)
    assert reason in actual.reason


def test_an_instance_takes_the_service_tagged_or_node_address() -> None:
    tagged = {"wan": {"Address": "198.51.100.7", "Port": 8080}}
    assert status(entry(TaggedAddresses=tagged)).address == ("10.0.0.1", 80)
    assert status(entry(TaggedAddresses=tagged), mapping=InstanceMapping(tagged_address="wan")).address == (
        "198.51.100.7",
        8080,
    )
    assert status(entry(TaggedAddresses=tagged), mapping=InstanceMapping(tagged_address="lan")).address == (
        "10.0.0.1",
        80,
    )
    assert status(entry(address="")).address == ("10.9.9.9", 80)  # the node's
    ipv6 = status(entry(address="2001:DB8::0:1"))
    assert (ipv6.server, ipv6.address) == ("[2001:db8::1]:80", ("2001:db8::1", 80))


def test_zone_kind_cell_and_start_are_read_from_configured_meta_keys() -> None:
    meta = {"zone": "a", "kind": "m2", "cell": "3", "started_ms": "1700000000123"}
    actual = status(entry(Meta=meta))
    assert (actual.zone, actual.kind, actual.cell, actual.started_at) == ("a", "m2", 3, 1_700_000_000_123_000)
    other = status(
        entry(Meta={"az": "b", "cell": "x", "started_ms": "-1"}), mapping=InstanceMapping(zone_key="az")
    )
    assert (other.zone, other.cell, other.started_at) == ("b", 0, None)


def test_the_same_id_on_two_nodes_is_two_servers_and_a_shared_address_is_one() -> None:
    two = (entry(node="n-1"), entry(node="n-2", address="10.0.0.2"))
    assert len(statuses(read(*two))) == 2 and warnings(*two) == ()
    twice = (entry("t-1"), entry("t-2", node="n-2", checks=(("c", "critical"),)))
    for order in (twice, twice[::-1]):
        (only,) = statuses(read(*order))
        assert only.precedence is Precedence.UNHEALTHY
        assert warnings(*order) == ("10.0.0.1:80 is registered 2 times",)


def test_catalogue_entries_are_ready_without_checks() -> None:
    given_ = {"Node": "n-1", "ID": "x", "Address": "10.9.9.9", "ServiceID": "t-1", "ServicePort": 80}
    instances, errors = parse_catalog([given_, {**given_, "ServicePort": "80"}])
    assert len(errors) == 1 and "ServicePort" in errors[0]
    (only,) = statuses(instances)
    assert (only.server, only.precedence, only.reason) == (
        "10.9.9.9:80",
        Precedence.READY,
        "in the catalogue",
    )


# ---------------------------------------------------------------------------------------------------
# RestartTracker


def _observe(restarts: RestartTracker, now: int, *entries: dict[str, Any]) -> dict[str, int]:
    listed = statuses(read(*entries))
    restarts.forget({("10.0.0.1", 80)} - {listed_status.address for listed_status in listed})
    starts = {listed_status.server: restarts.observe(now, listed_status) for listed_status in listed}
    restarts.complete_list()
    return {name: start for name, start in starts.items() if start is not None}


CRITICAL = (("c", "critical"),)
NAME = "10.0.0.1:80"


def test_instances_in_the_first_list_have_not_restarted() -> None:
    assert _observe(RestartTracker(), 5, entry()) == {}


@pytest.mark.parametrize(
    ("before", "after", "restarted"),
    [
        ([], [entry()], True),
        ([entry()], [entry()], False),
        ([entry()], [entry(node="n-2")], True),
        ([entry()], [entry("t-9")], True),
        ([entry(checks=CRITICAL)], [entry()], True),
        ([entry(node_checks=(("_node_maintenance", "critical"),))], [entry()], False),
        ([entry()], [entry(checks=CRITICAL)], False),
    ],
)
def test_what_counts_as_a_restart(
    before: list[dict[str, Any]], after: list[dict[str, Any]], restarted: bool
) -> None:
    restarts = RestartTracker()
    _observe(restarts, 5, *before)
    assert _observe(restarts, 9, *after) == ({NAME: 9} if restarted else {})
    assert _observe(restarts, 12, *after) == ({NAME: 9} if restarted else {})


def test_a_reported_start_overrides_a_detected_one_and_absence_forgets_both() -> None:
    restarts = RestartTracker()
    _observe(restarts, 5)
    assert _observe(restarts, 9, entry(Meta={"started_ms": "1"})) == {NAME: 1_000}
    assert _observe(restarts, 10, entry()) == {NAME: 9}
    assert _observe(restarts, 11) == {}
    assert _observe(restarts, 12, entry()) == {NAME: 12}
