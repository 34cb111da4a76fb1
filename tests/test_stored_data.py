"""Data stored or sent by release 3c12c64 is decoded as before and encoded again byte for byte.

The data is in tests/fixtures (see its README.md).  Values are compared by position and through command lines,
so that renaming classes or attributes does not affect these tests.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from stored_values import by_position, peer_exchange

from micadeck.cli import main
from micadeck.fleet.authentication import DatagramAuthenticator, Keys
from micadeck.fleet.member_records import MemberRecord
from micadeck.fleet.member_table import MemberTable
from micadeck.fleet.messages import Message
from micadeck.incidents.frames import MAGIC, Encoder, read
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy.events import Event, RequestCompleted
from micadeck.traces.format import KINDS, decode, encode

FIXTURES = Path(__file__).parent / "fixtures"
RECORDS = sorted((FIXTURES / "records").glob("*.records"))
FLEET: dict[str, Any] = json.loads((FIXTURES / "fleet_messages.json").read_text())
MESSAGES: list[dict[str, Any]] = FLEET["messages"]
_KINDS_IN_STORED_TRACE = 9
_LATER_KINDS = [(RequestCompleted(7, 2), "9405090702")]  # MessagePack, recorded at 5 us


def _output(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> str:
    monkeypatch.chdir(FIXTURES)
    return CliRunner().invoke(main, list(arguments)).stdout


# Records


@pytest.mark.parametrize("part", ["show", "list", "check"])
def test_commands_print_the_same_of_stored_records(monkeypatch: pytest.MonkeyPatch, part: str) -> None:
    expected = (FIXTURES / f"incident_{part}.txt").read_text()
    assert expected and _output(monkeypatch, "incident", part, "records") == expected


def test_incidents_as_json_are_the_same_of_stored_records(monkeypatch: pytest.MonkeyPatch) -> None:
    expected = (FIXTURES / "incident_show.json").read_text()
    assert len(json.loads(expected)) == 1
    assert _output(monkeypatch, "incident", "show", "--json", "records") == expected


@pytest.mark.parametrize("path", RECORDS, ids=lambda path: path.name)
def test_stored_records_are_written_again_byte_for_byte(path: Path) -> None:
    data = path.read_bytes()
    segment, encoder = read(data), Encoder()
    written = MAGIC + b"".join(encoder.frame(record) for _, record in segment.records)
    assert written == data[: segment.length]
    assert len(data) - segment.length < 50  # the last record of a killed process is cut off


def test_stored_records_are_of_every_kind_and_of_a_restart() -> None:
    assert len(RECORDS) == 4
    assert len({path.name.partition(".")[0] for path in RECORDS}) == 3
    tags = {
        msgspec.msgpack.decode(msgspec.msgpack.encode(record))[0]
        for path in RECORDS
        for _, record in read(path.read_bytes()).records
    }
    assert tags == set(range(8))


# Traces of the policy


def test_trace_show_prints_the_same_of_a_stored_trace(monkeypatch: pytest.MonkeyPatch) -> None:
    expected = (FIXTURES / "trace_show.txt").read_text()
    assert expected and _output(monkeypatch, "trace", "show", "decisions.trace") == expected


def test_a_stored_trace_is_decoded_to_the_same_values() -> None:
    expected = json.loads((FIXTURES / "trace_decoded.json").read_text())
    trace = decode((FIXTURES / "decisions.trace").read_bytes())
    assert trace.is_complete
    assert by_position(trace.settings) == expected["settings"]
    assert trace.seed == expected["seed"]
    decoded = [[now, KINDS.index(type(event)), by_position(event)] for now, event in trace.events]
    assert len(decoded) == expected["count"]
    assert {kind for _, kind, _ in decoded} == {kind for _, kind, _ in expected["events"]}
    assert {kind for _, kind, _ in expected["events"]} == set(range(_KINDS_IN_STORED_TRACE))
    for each in expected["events"]:
        assert each in decoded


@pytest.mark.parametrize(("event", "record"), _LATER_KINDS)
def test_an_event_kind_added_after_the_stored_trace_keeps_its_form(event: Event, record: str) -> None:
    stored = decode((FIXTURES / "decisions.trace").read_bytes())
    data = encode(stored.settings, stored.seed, [(5, event)])
    assert gzip.decompress(data).endswith(bytes.fromhex(record))
    assert decode(data).events == [(5, event)]


def test_each_kind_of_event_has_a_stored_form() -> None:
    assert KINDS[_KINDS_IN_STORED_TRACE:] == tuple(type(event) for event, _ in _LATER_KINDS)


def test_a_stored_trace_is_written_again_byte_for_byte() -> None:
    data = (FIXTURES / "decisions.trace").read_bytes()
    trace = decode(data)
    written = encode(trace.settings, trace.seed, trace.events)
    assert gzip.decompress(written) == gzip.decompress(data)


# Messages between sidecars


@pytest.mark.parametrize("stored", MESSAGES, ids=lambda stored: stored["kind"])
def test_a_stored_message_is_decoded_and_encoded_as_it_was(stored: dict[str, Any]) -> None:
    data = bytes.fromhex(stored["message"])
    message: Any = msgspec.convert(msgspec.msgpack.decode(data), Message)
    assert by_position(message) == stored["decoded"]
    assert msgspec.msgpack.encode(message) == data


def test_stored_messages_are_of_every_kind() -> None:
    tags = {msgspec.msgpack.decode(bytes.fromhex(stored["message"]))[0] for stored in MESSAGES}
    assert tags == set(range(6))


def test_stored_datagrams_are_accepted_and_made_as_they_were() -> None:
    keys = Keys(tuple((number, bytes.fromhex(key)) for number, key in FLEET["keys"]))
    reader = DatagramAuthenticator("reader", FLEET["start"], keys)
    writer = DatagramAuthenticator(FLEET["sender"], FLEET["start"], keys)
    for stored in MESSAGES:
        data = bytes.fromhex(stored["datagram"])
        accepted = reader.decode(FLEET["wall_us"], data)
        assert accepted is not None
        sender, raw = accepted
        message: Any = msgspec.convert(raw, Message)
        assert (sender, by_position(message)) == (FLEET["sender"], stored["decoded"])
        assert writer.encode(FLEET["wall_us"], message) == data


def test_a_view_of_the_stored_claims_has_the_same_digests() -> None:
    table = MemberTable()
    for stored in FLEET["view"]["claims"]:
        table.apply(0, msgspec.convert([0, *stored], MemberRecord))
    assert table.digest == FLEET["view"]["digest"]
    assert table.branch_digests(()) == FLEET["view"]["branches"]


def test_datagrams_of_a_tier_known_by_address_are_the_same() -> None:
    assert peer_exchange(PeerDatagrams) == json.loads((FIXTURES / "peer_datagrams.json").read_text())
