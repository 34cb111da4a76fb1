"""Incident analysis: what is claimed and what isn't, rule checks, commands, damaged records."""

from __future__ import annotations

import json
import random
import re
import shutil
from functools import cache
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner
from test_records import observed_harness

from micadeck.cli import main
from micadeck.incidents.archive import Archive, Start, load
from micadeck.incidents.changes import find_episodes
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.console_model import ConsoleModel
from micadeck.incidents.endpoint_states import UNKNOWN
from micadeck.incidents.frames import MAGIC, Encoder, read
from micadeck.incidents.kinds import (
    Attempt,
    ClassCount,
    End,
    Head,
    Kind,
    Listed,
    Phase,
    Record,
    ServerCount,
    Span,
    State,
)
from micadeck.incidents.report import html
from micadeck.incidents.rule_check import check_rules
from micadeck.incidents.segments import SegmentName
from micadeck.incidents.timeline import Timeline, build_timeline
from micadeck.policy.events import ListedServer, ListKind
from micadeck.stand_ins.incident_days import START_US, US_PER_S, SimulatedRun, simulate

# Detection of episodes


@pytest.mark.parametrize("per_s", [5, 50, 2_000])
def test_chance_alone_makes_no_claim(per_s: int) -> None:
    for seed in range(40):
        rng = np.random.default_rng(seed)
        ended = rng.poisson(per_s, 300).astype(float)
        assert find_episodes(rng.binomial(ended.astype(int), 0.01).astype(float), ended) == []


@pytest.mark.parametrize(("first", "last", "share"), [(100, 130, 0.3), (60, 190, 0.08), (150, 153, 0.9)])
def test_onset_and_end_are_found_within_two_seconds(first: int, last: int, share: float) -> None:
    for seed in range(20):
        rng = np.random.default_rng(seed)
        ended = rng.poisson(100, 300).astype(float)
        shares = np.full(300, 0.005)
        shares[first:last] = share
        (one,) = find_episodes(rng.binomial(ended.astype(int), shares).astype(float), ended)
        assert abs(one.first - first) <= 2 and abs(one.last - last) <= 2
        assert abs(one.share - share) < 0.3 * share + 0.02


def test_an_incident_within_an_incident_is_found() -> None:
    rng = np.random.default_rng(1)
    ended = rng.poisson(100, 300).astype(float)
    shares = np.full(300, 0.004)
    shares[100:200], shares[140:150] = 0.1, 0.8
    (one,) = find_episodes(rng.binomial(ended.astype(int), shares).astype(float), ended)
    (inner,) = one.inner
    assert abs(one.first - 100) <= 2 and abs(one.last - 200) <= 2
    assert abs(inner.first - 140) <= 2 and abs(inner.last - 150) <= 2


def test_few_events_make_no_claim() -> None:
    ended = np.zeros(300)
    ended[::20] = 1.0
    bad = np.zeros(300)
    bad[100:160:20] = 1.0
    assert find_episodes(bad, ended) == [] == find_episodes(np.zeros(2), np.ones(2))


# Scripted days


@cache
def day(seed: int, kind: str) -> SimulatedRun:
    return simulate(seed, kind)


def onset(recorded: SimulatedRun, timeline: Timeline) -> int:
    head = timeline.start(timeline.clocks.reference).head
    for number, data in enumerate(recorded.sidecars):
        own = read(data).head
        if (own.sidecar, own.start) == (head.sidecar, head.start):
            return recorded.to_local_time[number](START_US + int(recorded.script.onset_s * US_PER_S))
    raise AssertionError


@pytest.mark.parametrize(
    ("kind", "cause"),
    [
        ("crash", "server crashed"),
        ("fails", "server fails"),
        ("zone", "zone"),
        ("list", "list of servers"),
        ("release", "release"),
        ("overload", "load"),
        ("lag", "sidecar lags"),
    ],
)
def test_a_scripted_day_s_incident_has_the_scripted_onset_and_cause(kind: str, cause: str) -> None:
    recorded = day(2, kind)
    timeline = build_timeline(recorded.archive())
    (one,) = [each for each in timeline.incidents if each.within is None]
    assert abs(one.onset - onset(recorded, timeline)) <= one.uncertainty
    assert one.causes[0].kind == cause and one.causes[0].where.split("@")[0] == recorded.script.where
    assert one.causes[0].evidence_for and one.has_cause


@pytest.mark.parametrize("kind", ["calm", "drain", "restart"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_on_a_day_without_faults_no_incident_is_claimed(kind: str, seed: int) -> None:
    timeline = build_timeline(day(seed, kind).archive())
    assert timeline.incidents == [] and not timeline.unlinked_incidents and timeline.rules.violations == []
    assert "No incident is claimed" in html(timeline)


def test_missing_records_are_not_taken_for_idle_time() -> None:
    recorded = day(2, "zone")
    complete = build_timeline(recorded.archive())
    timeline = build_timeline(recorded.archive(missing=0.3, seed=4))
    assert complete.series.not_reporting.sum() == 0 < timeline.series.not_reporting.sum()
    truncated = next(start for start in timeline.archive.starts if start.missing)
    number = timeline.archive.starts.index(truncated)
    since, until = truncated.missing[0]
    middle = timeline.clocks.to_common(number, (since + until) // 2)
    assert middle is not None
    assert until - since < 2 * US_PER_S or timeline.states.at(number, "s-0", middle.at) == UNKNOWN
    (one,) = [each for each in timeline.incidents if each.within is None]
    assert one.causes[0].kind == "zone" and one.missing > 0.0
    assert any("records lack" in each for each in timeline.rules.undetermined)


# Hand-written records


def start(name: str, records: list[Record], at: int = 0, repeat: str = "unsafe") -> Start:
    head = Head(1, name, f"{at:016x}", 0, at, at, [Kind("pay", repeat, US_PER_S, 2 * US_PER_S)], 500_000, 0)
    return Start(head, [head, *records])


def span(at: int, served: int = 10, failed: int = 0, servers: tuple[ServerCount, ...] = ()) -> Span:
    counts = ClassCount("pay", served + failed, served, 0, 0, failed, 0, b"")
    return Span(at, at + US_PER_S, at + US_PER_S, 0, 1, None, 0.0, None, [counts], list(servers), 0)


def state(at: int, server: str, name: str) -> State:
    return State(at, server, name, "list", "east", 1, True)


def count(server: str, last_sent_at: int, sent: int = 1) -> ServerCount:
    return ServerCount(server, sent, last_sent_at, [sent])


ENDED = Phase(9 * US_PER_S, "ended")


def test_a_send_after_the_drain_grace_is_reported_with_both_records() -> None:
    draining, late_send = (
        state(2 * US_PER_S, "a", "draining"),
        span(4 * US_PER_S, servers=(count("a", 4 * US_PER_S + 100),)),
    )
    good: list[Record] = [state(0, "a", "ready"), span(0, servers=(count("a", 500_000),)), draining]
    in_grace = span(2 * US_PER_S, servers=(count("a", 2 * US_PER_S + 400_000),))
    assert check_rules([start("n0", [*good, in_grace, ENDED])], Clocks(0)).violations == []
    (violation,) = check_rules([start("n0", [*good, in_grace, late_send, ENDED])], Clocks(0)).violations
    assert violation.rule == 3 and violation.first == (0, draining) and violation.second == (0, late_send)
    readmitted: list[Record] = [*good, state(3 * US_PER_S, "a", "ready"), late_send, ENDED]
    assert check_rules([start("n0", readmitted)], Clocks(0)).violations == []


def test_a_non_idempotent_request_run_at_two_servers_is_reported_across_sidecars() -> None:
    one = Attempt(US_PER_S, b"id", "pay", 0, "a", 2 * US_PER_S, "dropped", True)
    two = Attempt(3 * US_PER_S, b"id", "pay", 0, "b", 4 * US_PER_S, "dropped", True)
    never = Attempt(3 * US_PER_S, b"id", "pay", 0, "b", 4 * US_PER_S, "dial_failed", False)
    (violation,) = check_rules([start("n0", [one, ENDED]), start("n1", [two, ENDED])], Clocks(0)).violations
    assert violation.rule == 2 and violation.first == (0, one) and violation.second == (1, two)
    assert check_rules([start("n0", [one, ENDED]), start("n1", [never, ENDED])], Clocks(0)).violations == []
    safe = [start("n0", [one, ENDED], repeat="safe"), start("n1", [two, ENDED], repeat="safe")]
    assert check_rules(safe, Clocks(0)).violations == []


def test_two_final_answers_are_reported_and_truncated_records_are_undetermined() -> None:
    ends: list[Record] = [
        End(2 * US_PER_S, b"id", "pay", US_PER_S, "failed", False, 1),
        End(3 * US_PER_S, b"id", "pay", US_PER_S, "served", True, 1),
    ]
    verdict = check_rules([start("n0", list(ends))], Clocks(0))
    (violation,) = verdict.violations
    assert violation.rule == 1 and any("break off" in each for each in verdict.undetermined)
    later: list[Record] = [
        ends[0],
        End(6 * US_PER_S, b"id", "pay", 5 * US_PER_S, "served", True, 1),
        ENDED,
    ]  # the client sent the request again
    assert check_rules([start("n0", list(later))], Clocks(0)).violations == []


def test_an_incident_without_a_sufficient_cause_has_none() -> None:
    rng = random.Random(3)
    starts = []
    for number in range(4):
        records: list[Record] = [state(0, f"s-{each}", "ready") for each in range(6)]
        for second in range(120):
            failed = rng.randrange(2, 5) if 60 <= second < 90 else 0
            servers = tuple(count(f"s-{each}", second * US_PER_S, 3) for each in range(6))
            records.append(span(second * US_PER_S, 12, failed, servers))
        starts.append(start(f"n{number}", records))
    timeline = build_timeline(Archive(starts, []))
    assert timeline.clocks.unlinked  # they share no events: each is analysed on its own
    unlinked = [each for found in timeline.unlinked_incidents.values() for each in found] + timeline.incidents
    assert unlinked and all(not each.causes for each in unlinked)
    assert "cause not known" in html(timeline)


# The commands


def write_records(recorded: SimulatedRun, path: Path) -> Path:
    path.mkdir()
    for data in recorded.sidecars:
        head = read(data).head
        (path / str(SegmentName(head.start, head.segment, head.sidecar))).write_bytes(data)
    return path


def run(*given: Any) -> Any:
    return CliRunner().invoke(main, ["incident", *map(str, given)])


def test_the_check_list_show_and_report_commands(tmp_path: Path) -> None:
    records = write_records(day(2, "zone"), tmp_path / "day")
    assert run("check", records).exit_code == 0
    listed = run("list", records)
    assert listed.exit_code == 0 and "zone" in listed.output
    (plain,) = [each for each in json.loads(run("show", "--json", records).output) if each["within"] is None]
    assert plain["causes"][0]["kind"] == "zone" and plain["causes"][0]["for"]
    assert run("list", records, "--to", "2001-01-01T00:00:00").output.startswith("no incident")
    assert run("list", records, "--from", "yesterday").exit_code == 2
    page = tmp_path / "report.html"
    assert run("report", records, "-o", page).exit_code == 0
    text = page.read_text()
    assert "zone" in text and not re.search(r"<(script|link|img)[^>]*(src|href)=.http", text)
    assert run("report", records, "-o", tmp_path / "no" / "where.html").exit_code == 2


def test_damaged_files_are_reported_with_their_offset_and_the_rest_is_read(tmp_path: Path) -> None:
    records = write_records(day(2, "zone"), tmp_path / "day")
    files = sorted(records.iterdir())
    files[0].write_bytes(files[0].read_bytes()[:-7])
    files[1].write_bytes(b"no records at all")
    shutil.copy(files[2], records / "copy")
    checked = run("check", records)
    assert checked.exit_code == 1
    for word in ("cut", "foreign", "twice", "offset 0", "it breaks off"):
        assert word in checked.output
    assert "zone" in run("list", records).output
    assert run("check", tmp_path / "nowhere").exit_code == 2
    empty = tmp_path / "empty"
    empty.mkdir()
    assert run("list", empty).exit_code == 2 and "no records were found" in run("list", empty).output


def test_untrusted_text_is_escaped_in_html_and_terminal_output(tmp_path: Path) -> None:
    untrusted = "<script>alert(1)</script>[red]\x1b[2J"
    records: list[Record] = [state(0, untrusted, "ready")]
    for second in range(60):
        failed = 9 if 30 <= second < 45 else 0
        bad = ServerCount(untrusted, 10, second * US_PER_S, [10 - failed, failed])
        records.append(span(second * US_PER_S, 10 - failed, failed, (bad, count("b", second * US_PER_S, 10))))
    records.append(End(31 * US_PER_S, untrusted.encode(), "pay", 30 * US_PER_S, "failed", True, 1))
    recorded = start("n0", records)
    page = html(build_timeline(Archive([recorded], [])))
    assert "<script>alert" not in page and "&lt;script&gt;alert" in page
    path = tmp_path / str(SegmentName("0" * 16, 0, "n0"))
    encoder = Encoder()
    path.write_bytes(MAGIC + b"".join(encoder.frame(each) for each in recorded.records))
    assert load([path]).starts[0].records == recorded.records
    shown = run("show", path).output + run("list", path).output
    assert "[red]" in shown and "\\x1b[2J" in shown and "\x1b" not in shown


# Large fleets


def fleet(count: int, failing_sidecars: range, seconds: int = 120) -> list[Start]:
    """Sidecars that share a list; those in `failing_sidecars` fail four in ten in seconds 60 to 75."""
    rng = random.Random(count)
    starts = []
    for number in range(count):
        offset = rng.randrange(-7_000, 7_000) * US_PER_S
        records: list[Record] = [state(offset, "a", "ready"), state(offset, "b", "ready")]
        for second in range(seconds):
            now = offset + second * US_PER_S
            if second % 20 == 0:
                received_at = now + rng.randrange(300_000)
                records.append(Listed(received_at, second // 20 + 1, "changes" if second else "complete", 1))
            failed = 4 if number in failing_sidecars and 60 <= second < 75 else 0
            attempts = ServerCount("a", 10, now, [10 - failed, failed])
            records.append(span(now, 10 - failed, failed, (attempts,)))
        starts.append(start(f"n{number}", [*records, Phase(offset + seconds * US_PER_S, "ended")], offset))
    return starts


def test_twenty_failing_sidecars_of_two_hundred_make_an_incident() -> None:
    timeline = build_timeline(Archive(fleet(200, range(20)), []))
    (one,) = timeline.incidents
    assert len(timeline.linked) == 200 and 13 * US_PER_S <= one.end - one.onset <= 17 * US_PER_S
    assert {number for number, count in one.impact.by_sidecar.items() if count} == set(range(20))
    reference = timeline.start(timeline.clocks.reference).head.at
    assert abs(one.onset - (reference + 60 * US_PER_S)) <= one.uncertainty
    assert build_timeline(Archive(fleet(30, range(0)), [])).incidents == []


def test_restarts_under_one_name_are_separate_and_unclean_ends_are_reported() -> None:
    timeline = build_timeline(day(2, "restart").archive())
    names = [each.head.sidecar for each in timeline.archive.starts]
    assert len(names) == 9 and len(set(names)) == 6
    unclean = [number for number, each in timeline.runs.items() if not each.ended_cleanly]
    # The script kills three sidecars, and the others still run when the day ends.
    assert len(unclean) == len(timeline.archive.starts)
    assert sum("break off" in each for each in timeline.rules.undetermined) == 9


def test_a_partition_where_each_half_ejects_a_different_server_is_a_disagreement() -> None:
    starts = fleet(6, range(0))
    for number, each in enumerate(starts):
        at = each.head.at + 40 * US_PER_S
        lost = "b" if number < 3 else "a"
        ejected = State(at, lost, "ejected", "silent", "east", 1, True)
        each.records.append(ejected)
        each.records.sort(key=lambda record: getattr(record, "until", record.at))
    timeline = build_timeline(Archive(starts, []))
    when = timeline.start(timeline.clocks.reference).head.at + 100 * US_PER_S
    for server in ("a", "b"):
        consensus = timeline.states.consensus(server, when, timeline.linked)
        assert consensus.disagrees and consensus.counts == {"ready": 3, "ejected": 3}
    before = timeline.states.consensus("a", when - 80 * US_PER_S, timeline.linked)
    assert not before.disagrees and before.state == "ready"
    assert [each.disagreement for each in ConsoleModel(timeline).rows(100)] == ["3 ready, 3 ejected"] * 2


def test_a_new_process_under_a_server_s_name_is_a_new_start() -> None:
    harness, observer = observed_harness()
    harness.list_servers([ListedServer("a", started_at=1)])
    harness.list_servers([ListedServer("a", started_at=9_000_000)], ListKind.CHANGES)
    states = [each for each in observer.take(harness.now, 0, 0) if isinstance(each, State)]
    assert [(each.server, each.started_at) for each in states] == [("a", 1), ("a", 9_000_000)]


def test_after_rotation_the_timeline_covers_the_remaining_segments(tmp_path: Path) -> None:
    encoder, paths = Encoder(), []
    for number in range(4):
        at = number * 60 * US_PER_S
        head = Head(1, "n0", "0" * 16, number, at, at, [Kind("pay", "safe", US_PER_S, 2 * US_PER_S)], 0, 0)
        spans = [
            span(at + second * US_PER_S, 10, 4 if number == 3 and second > 30 else 0) for second in range(60)
        ]
        path = tmp_path / str(SegmentName("0" * 16, number, "n0"))
        records: list[Record] = [head, state(at, "a", "ready"), *spans]
        path.write_bytes(MAGIC + b"".join(map(encoder.frame, records)))
        paths.append(path)
    for path in paths[:2]:
        path.unlink()
    timeline = build_timeline(load([tmp_path]))
    assert (
        timeline.series.seconds == 120
        and len(timeline.incidents) == 1
        and not timeline.archive.starts[0].missing
    )


def test_unreadable_spans_claim_no_incident_and_are_summarized_in_four_lines(tmp_path: Path) -> None:
    encoder = Encoder()
    head = Head(1, "n0", "0" * 16, 0, 0, 0, [], 0, 0)
    records: list[Record] = [head, state(0, "a", "ejected"), state(5, "b", "ready")]
    records += [span(second * US_PER_S) for second in range(30)]
    data = bytearray(MAGIC + b"".join(map(encoder.frame, records)))
    at = len(MAGIC)
    for number in range(len(records)):
        length = int.from_bytes(data[at + 4 : at + 8], "little")
        if number > 2:
            data[at + 12] ^= 0xFF
        at += 12 + length
    (tmp_path / "n0.records").write_bytes(bytes(data))
    timeline = build_timeline(load([tmp_path]))
    assert timeline.incidents == [] and sum("n0.records" in each for each in timeline.unknowns) == 4
    assert "No records that can be laid on one clock" in html(timeline)
