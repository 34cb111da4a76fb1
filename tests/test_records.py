"""Records: they are read back as written, also after a crash or disk damage."""

from __future__ import annotations

import json
import random
import shutil
from collections import Counter
from pathlib import Path
from typing import Any
from unittest import mock
from zlib import crc32

import pytest
from helpers import MS, PolicyHarness, S, settings
from hypothesis import given
from hypothesis import strategies as st
from loopback import ERROR, OK, ReceivedRequest, async_test, run_harness, until

from micadeck.incidents import frames
from micadeck.incidents.archive import FileStatus, Start, load
from micadeck.incidents.frames import MAGIC, Encoder, SegmentError, read
from micadeck.incidents.kinds import Attempt, End, Head, Listed, Phase, Record, Span, State, unpack_times
from micadeck.incidents.observer import MAX_ATTEMPT_RECORDS, Observer
from micadeck.incidents.segments import Limits, Rotation, SegmentName, parse
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome


class EngineStub:
    """Stands in for the engine: request ids and statistics."""

    def __init__(self, harness: PolicyHarness) -> None:
        self.statistics = harness.balancer.statistics

    def request_id(self, request: int) -> bytes:
        return b"id-%d" % request


def observed_harness(**changes: Any) -> tuple[PolicyHarness, Observer]:
    harness = PolicyHarness(settings(**changes))
    observer = Observer(harness.balancer, harness.balancer._context.settings, EngineStub(harness), "n0", "00")
    harness.balancer = observer  # type: ignore[assignment]
    return harness, observer


def test_first_try_successes_are_counted_and_other_requests_have_records() -> None:
    harness, observer = observed_harness()
    harness.list_servers(["a", "b", "c"])
    for _ in range(20):
        request = harness.request("look")
        harness.advance(10 * MS)
        harness.end_attempt(request)
    request = harness.request("pay")
    harness.advance(10 * MS)
    harness.end_attempt(request, Outcome.CONNECT_FAILED)
    harness.end_attempt(request, Outcome.CONNECTION_LOST)
    records = observer.take(harness.now, 0, 0)
    span = records[-1]
    assert isinstance(span, Span)
    counts = {each.name: each for each in span.classes}
    assert (counts["look"].arrived, counts["look"].served, len(unpack_times(counts["look"]))) == (20, 20, 20)
    assert (counts["pay"].arrived, counts["pay"].failed) == (1, 1)
    assert sum(each.sent for each in span.servers) == 22
    attempts = [each for each in records if isinstance(each, Attempt)]
    assert [(each.number, each.outcome, each.may_have_run) for each in attempts] == [
        (0, "dial_failed", False),
        (1, "dropped", True),
    ]
    (end,) = [each for each in records if isinstance(each, End)]
    assert (end.how, end.may_have_run, end.attempts, end.ident) == ("failed", True, 2, attempts[0].ident)
    assert observer.take(harness.now, 0, 0)[:-1] == []  # no record is returned twice


@async_test
async def test_an_error_in_recording_ends_it_and_fails_no_request(tmp_path: Path) -> None:
    """An exception in the observer could keep the balancer's actions from the engine."""
    async with run_harness(OK, ERROR, overrides={"records": str(tmp_path)}) as harness:
        engine = harness.sidecar._runtime.engine
        with mock.patch.object(engine, "request_id", side_effect=ZeroDivisionError):
            for _ in range(20):
                assert (await harness.exchange("check")).status == 200
        await until(lambda: harness.log[-1] == "records: recording ends: ZeroDivisionError()")
        assert not [line for line in harness.log if "internal error" in line]


def test_server_states_are_recorded_on_change_and_at_the_head_of_each_segment() -> None:
    harness, observer = observed_harness()
    harness.list_servers(["a", "b", "c"])
    for _ in range(10):
        requests = [harness.request() for _ in range(9)]
        harness.advance(10 * MS)
        for request in requests:
            if harness.target(request) == "a":
                harness.end_attempt(request, Outcome.ERROR)  # retried on another server
            harness.end_attempt(request)
    harness.drain("b")
    harness.drain("c", ServerState.REMOVED)
    records = [each for each in observer.take(harness.now, 0, 0) if isinstance(each, State)]
    assert [each.server for each in records[:3] if each.state == "ready"] == ["a", "b", "c"]
    assert ("a", "ejected", "error") in [(each.server, each.state, each.why) for each in records]
    assert [(each.server, each.state) for each in records[-2:]] == [("b", "draining"), ("c", "gone")]
    head, *again = observer.head(harness.now, 7, 3)
    assert isinstance(head, Head) and head.segment == 3 and head.wall == 7
    assert {each.server: each.state for each in again if isinstance(each, State)} == {
        "a": "ejected",
        "b": "draining",
    }


def test_attempt_records_are_capped_in_an_outage_and_omissions_counted() -> None:
    harness, observer = observed_harness()
    harness.list_servers(["a", "b", "c"])
    for _ in range(MAX_ATTEMPT_RECORDS + 50):
        request = harness.request("pay")
        if harness.sends(request):
            harness.end_attempt(request, Outcome.CONNECTION_LOST)
    records = observer.take(harness.now, 0, 0)
    attempts = sum(isinstance(each, Attempt) for each in records)
    assert attempts <= MAX_ATTEMPT_RECORDS and isinstance(records[-1], Span)
    sent = sum(each.sent for each in records[-1].servers)
    assert attempts + records[-1].omitted == sent > MAX_ATTEMPT_RECORDS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_attempt_and_every_end_of_random_days_is_accounted_for(seed: int) -> None:
    rng = random.Random(seed)
    harness, observer = observed_harness()
    harness.list_servers([f"s-{number}" for number in range(6)])
    open_requests: list[int] = []
    records: list[Record] = []
    for number in range(600):
        harness.advance(rng.randrange(1, 20) * MS)
        open_requests.append(harness.request(rng.choice(["look", "pay", "amend"])))
        while open_requests and rng.random() < 0.6:
            request = open_requests.pop(0)
            if harness.sends(request):
                bad = rng.choice([Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.FULL])
                harness.end_attempt(request, bad if rng.random() < 0.3 else Outcome.DELIVERED)
        if number % 100 == 99:
            records += observer.take(harness.now, 0, 0)
    harness.advance(20 * S)
    records += observer.take(harness.now, 0, 0)
    spans = [each for each in records if isinstance(each, Span)]
    classes = [each for span in spans for each in span.classes]
    ended = sum(each.served + each.refused + each.failed for each in classes)
    assert sum(each.arrived for each in classes) == 600 == ended
    assert sum(each.sent for span in spans for each in span.servers) == len(harness.sends())
    by_request = Counter(each.ident for each in records if isinstance(each, Attempt))
    for end in (each for each in records if isinstance(each, End)):
        if int(end.ident[3:]) not in observer._open:  # open requests have an attempt that never ends here
            assert by_request[end.ident] >= end.attempts
            assert end.how != "served" or end.attempts > 1


# The file format


def segment(count: int = 40) -> bytes:
    encoder = Encoder()
    head = Head(1, "n0", "00000000000000aa", 0, 10, 20, [], 500_000, 1)
    more: list[Record] = [Listed(100 + each, each, "changes", each % 7) for each in range(count)]
    return MAGIC + b"".join(encoder.frame(each) for each in [head, *more])


def test_a_segment_truncated_at_any_byte_is_read_to_its_last_complete_record() -> None:
    data = segment()
    complete = read(data)
    assert not complete.damages and complete.length == len(data)
    last = 0
    for length in range(len(data)):
        try:
            part = read(data[:length])
        except SegmentError as error:
            assert "offset" in str(error) and length < 120
            continue
        assert part.records == complete.records[: len(part.records)] and len(part.records) >= last
        assert part.length <= length and (part.length == length) == (not part.damages)
        last = len(part.records)
    assert last == len(complete.records) - 1


def test_a_flipped_bit_is_detected_and_no_altered_record_is_read() -> None:
    data = segment()
    undamaged = read(data).records
    for at in range(len(data)):
        damaged = data[:at] + bytes((data[at] ^ 0x10,)) + data[at + 1 :]
        try:
            part = read(damaged)
        except SegmentError:
            assert at < 120
            continue
        assert part.damages and set(map(repr, part.records)) < set(map(repr, undamaged))


@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_rejected_with_an_offset(data: bytes) -> None:
    for tried in (data, MAGIC + data, segment(3) + data):
        try:
            read(tried)
        except SegmentError as error:
            assert str(error).startswith("offset ")


def test_a_newer_format_is_reported_and_unknown_trailing_fields_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    import msgspec

    raw = msgspec.msgpack.encode([0, 1, "n0", "aa", 0, 10, 20, [], 5, 6, "a field of tomorrow"])
    number = frames._FRAME.pack(0, len(raw), crc32(raw, crc32(frames._CRC_OF.pack(0, len(raw)))))
    assert read(MAGIC + number + raw).head.slow_start_us == 6
    monkeypatch.setattr("micadeck.incidents.frames.VERSION", 0)
    with pytest.raises(SegmentError, match="format 1, where this program reads 0"):
        read(segment())


# Segments on disk


def test_rotation_deletes_old_segments_and_keeps_the_current_one() -> None:
    rotation = Rotation(Limits(max_bytes=1000, segment_bytes=200), "n 0", "0" * 15 + "b")
    assert rotation.is_due(0)
    names = []
    for _ in range(4):
        name = rotation.begin(0)
        assert not rotation.is_due(0)
        rotation.add_written(250)
        assert rotation.is_due(0)  # the segment is full
        names.append(str(name))
        assert parse(str(name)) == name
    older = str(SegmentName("0" * 15 + "a", 7, "n_0"))
    other = str(SegmentName("0" * 15 + "a", 7, "n1"))
    there = [(older, 250), (other, 9_999), *((each, 250) for each in names), ("notes.txt", 1)]
    assert rotation.files_to_delete(there) == [older, names[0]]
    assert rotation.files_to_delete([(names[-1], 9_999)]) == []
    rotation.begin(0)
    assert not rotation.is_due(599_999_999) and rotation.is_due(600_000_000)


def records_of(start: Start, kind: type[Any]) -> list[Any]:
    return [each for each in start.records if isinstance(each, kind)]


@async_test
async def test_a_sidecar_s_records_match_its_requests(tmp_path: Path) -> None:
    async def fail_lodge(request: ReceivedRequest) -> bytes:
        return ERROR if request.headers["request-class"] == "lodge" else OK

    async with run_harness(fail_lodge, overrides={"records": str(tmp_path / "in" / "here")}) as harness:
        for _ in range(30):
            assert (await harness.exchange("check")).status == 200
        assert (await harness.exchange("lodge", Request_Id="00000000000000aa")).status == 502
    archive = load([tmp_path])
    (start,) = archive.starts
    assert [each.found for each in archive.files] == [FileStatus.INTACT]
    counts = [each for span in records_of(start, Span) for each in span.classes]
    assert sum(each.served for each in counts) == 30 and sum(each.failed for each in counts) == 1
    (end,) = records_of(start, End)
    assert end.ident == b"00000000000000aa" and end.how == "failed" and end.may_have_run
    assert [each.phase for each in records_of(start, Phase)][-1] == "ended"
    assert records_of(start, State)[0].server == "s-0"


@async_test
async def test_a_records_folder_that_vanishes_or_is_a_file_fails_no_request(
    tmp_path: Path,
) -> None:
    (tmp_path / "file").write_text("")
    async with run_harness(OK, overrides={"records": str(tmp_path / "file" / "in")}) as harness:
        assert (await harness.exchange()).status == 200
        assert any(each.startswith("records: no recording: ") for each in harness.log)
    path = tmp_path / "gone"
    async with run_harness(OK, overrides={"records": str(path)}) as harness:
        shutil.rmtree(path)
        assert (await harness.exchange()).status == 200
        writer = harness.sidecar._runtime.recording._writer
        await until(lambda: writer.has_failed)
        assert (await harness.exchange()).status == 200
        assert len([each for each in harness.log if each.startswith("records: recording ends: ")]) == 1


def test_missing_duplicate_truncated_and_foreign_segments_are_distinguished(tmp_path: Path) -> None:
    encoder = Encoder()

    def write(number: int, count: int, name: str = "n0") -> Path:
        head = Head(1, name, "00000000000000aa", number, 1_000 * number, 0, [], 0, 0)
        more: list[Record] = [Listed(1_000 * number + each, each, "changes", 0) for each in range(count)]
        path = tmp_path / str(SegmentName("00000000000000aa", number, name))
        path.write_bytes(MAGIC + b"".join(encoder.frame(each) for each in [head, *more]))
        return path

    paths = [write(number, 10) for number in range(4)]
    paths[1].unlink()
    shutil.copy(paths[0], tmp_path / "copy.records")
    cut = paths[3].read_bytes()
    paths[3].write_bytes(cut[:-5])
    (tmp_path / "notes.txt").write_text("no records")
    archive = load([tmp_path])
    found = Counter(each.found for each in archive.files)
    assert found == {
        FileStatus.INTACT: 2,
        FileStatus.DUPLICATE: 1,
        FileStatus.TRUNCATED: 1,
        FileStatus.FOREIGN: 1,
    }
    (start,) = archive.starts
    assert start.missing == [(9, 2_000)]  # the second segment's time range
    with pytest.raises(OSError):
        load([tmp_path / "nowhere"])


@pytest.mark.parametrize(("keys", "named"), [({"records": 5}, "records"), ({"records_mb": 1}, "records_mb")])
def test_an_invalid_key_is_named_in_the_error(keys: dict[str, Any], named: str, tmp_path: Path) -> None:
    from test_program import GOOD

    from micadeck.config import ConfigError
    from micadeck.config import load as load_config

    path = tmp_path / "config.json"
    path.write_text(json.dumps({**GOOD, **keys}))
    with pytest.raises(ConfigError, match=f"^{named}: "):
        load_config({"BALANCER_CONFIG": str(path)})


def test_the_writer_drops_records_when_a_slow_disk_falls_behind(tmp_path: Path) -> None:
    from micadeck.incidents.writer import Writer

    log: list[str] = []
    writer = Writer(tmp_path, Rotation(Limits(), "n0", "0" * 16), log.append)
    writer._pending_bytes = 5 << 20  # as if this much were waiting to be written
    assert not writer.put(b"x") and writer.put(b"begin", SegmentName("0" * 16, 0, "n0"))
    writer.close()
    assert log == [] and len(list(tmp_path.iterdir())) == 1
