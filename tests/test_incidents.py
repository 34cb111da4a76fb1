"""One story of many records: what is claimed, what is not, and what is done with bad input."""

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
from test_records import watched

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

# When it went wrong


@pytest.mark.parametrize("per_s", [5, 50, 2_000])
def test_chance_alone_makes_no_claim(per_s: int) -> None:
    for seed in range(40):
        drawn = np.random.default_rng(seed)
        ended = drawn.poisson(per_s, 300).astype(float)
        assert find_episodes(drawn.binomial(ended.astype(int), 0.01).astype(float), ended) == []


@pytest.mark.parametrize(("first", "last", "share"), [(100, 130, 0.3), (60, 190, 0.08), (150, 153, 0.9)])
def test_onset_and_end_are_found_to_the_second_or_two(first: int, last: int, share: float) -> None:
    for seed in range(20):
        drawn = np.random.default_rng(seed)
        ended = drawn.poisson(100, 300).astype(float)
        shares = np.full(300, 0.005)
        shares[first:last] = share
        (one,) = find_episodes(drawn.binomial(ended.astype(int), shares).astype(float), ended)
        assert abs(one.first - first) <= 2 and abs(one.last - last) <= 2
        assert abs(one.share - share) < 0.3 * share + 0.02


def test_an_incident_within_an_incident_stands_out() -> None:
    drawn = np.random.default_rng(1)
    ended = drawn.poisson(100, 300).astype(float)
    shares = np.full(300, 0.004)
    shares[100:200], shares[140:150] = 0.1, 0.8
    (one,) = find_episodes(drawn.binomial(ended.astype(int), shares).astype(float), ended)
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


def onset(told: SimulatedRun, story: Timeline) -> int:
    head = story.start(story.clocks.reference).head
    for number, data in enumerate(told.sidecars):
        own = read(data).head
        if (own.sidecar, own.start) == (head.sidecar, head.start):
            return told.to_local_time[number](START_US + int(told.script.onset_s * US_PER_S))
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
def test_a_scripted_day_s_story_matches_its_script(kind: str, cause: str) -> None:
    told = day(2, kind)
    story = build_timeline(told.archive())
    (one,) = [each for each in story.incidents if each.within is None]
    assert abs(one.onset - onset(told, story)) <= one.uncertainty
    assert one.causes[0].kind == cause and one.causes[0].where.split("@")[0] == told.script.where
    assert one.causes[0].evidence_for and one.has_cause


@pytest.mark.parametrize("kind", ["calm", "drain", "restart"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_on_a_day_without_trouble_nothing_is_claimed(kind: str, seed: int) -> None:
    story = build_timeline(day(seed, kind).archive())
    assert story.incidents == [] and not story.unlinked_incidents and story.rules.violations == []
    assert "No incident is claimed" in html(story)


def test_records_that_lack_are_missing_and_not_quiet() -> None:
    told = day(2, "zone")
    whole, story = build_timeline(told.archive()), build_timeline(told.archive(missing=0.3, seed=4))
    assert whole.series.not_reporting.sum() == 0 < story.series.not_reporting.sum()
    gap = next(start for start in story.archive.starts if start.missing)
    number = story.archive.starts.index(gap)
    since, until = gap.missing[0]
    middle = story.clocks.to_common(number, (since + until) // 2)
    assert middle is not None
    assert until - since < 2 * US_PER_S or story.states.at(number, "s-0", middle.at) == UNKNOWN
    (one,) = [each for each in story.incidents if each.within is None]
    assert one.causes[0].kind == "zone" and one.missing > 0.0
    assert any("records lack" in each for each in story.rules.undetermined)


# Records made by hand


def start(name: str, records: list[Record], at: int = 0, repeat: str = "unsafe") -> Start:
    head = Head(1, name, f"{at:016x}", 0, at, at, [Kind("pay", repeat, US_PER_S, 2 * US_PER_S)], 500_000, 0)
    return Start(head, [head, *records])


def span(at: int, served: int = 10, failed: int = 0, servers: tuple[ServerCount, ...] = ()) -> Span:
    counts = ClassCount("pay", served + failed, served, 0, 0, failed, 0, b"")
    return Span(at, at + US_PER_S, at + US_PER_S, 0, 1, None, 0.0, None, [counts], list(servers), 0)


def state(at: int, server: str, held: str) -> State:
    return State(at, server, held, "list", "east", 1, True)


def count(server: str, last_sent_at: int, sent: int = 1) -> ServerCount:
    return ServerCount(server, sent, last_sent_at, [sent])


ENDED = Phase(9 * US_PER_S, "ended")


def test_a_send_past_the_grace_of_a_drain_is_named_with_both_records() -> None:
    drains, late = (
        state(2 * US_PER_S, "a", "draining"),
        span(4 * US_PER_S, servers=(count("a", 4 * US_PER_S + 100),)),
    )
    good: list[Record] = [state(0, "a", "ready"), span(0, servers=(count("a", 500_000),)), drains]
    in_grace = span(2 * US_PER_S, servers=(count("a", 2 * US_PER_S + 400_000),))
    assert check_rules([start("n0", [*good, in_grace, ENDED])], Clocks(0)).violations == []
    (breach,) = check_rules([start("n0", [*good, in_grace, late, ENDED])], Clocks(0)).violations
    assert breach.rule == 3 and breach.first == (0, drains) and breach.second == (0, late)
    back: list[Record] = [*good, state(3 * US_PER_S, "a", "ready"), late, ENDED]
    assert check_rules([start("n0", back)], Clocks(0)).violations == []


def test_an_unsafe_request_that_may_have_run_at_two_servers_is_named_across_sidecars() -> None:
    one = Attempt(US_PER_S, b"id", "pay", 0, "a", 2 * US_PER_S, "dropped", True)
    two = Attempt(3 * US_PER_S, b"id", "pay", 0, "b", 4 * US_PER_S, "dropped", True)
    never = Attempt(3 * US_PER_S, b"id", "pay", 0, "b", 4 * US_PER_S, "dial_failed", False)
    (breach,) = check_rules([start("n0", [one, ENDED]), start("n1", [two, ENDED])], Clocks(0)).violations
    assert breach.rule == 2 and breach.first == (0, one) and breach.second == (1, two)
    assert check_rules([start("n0", [one, ENDED]), start("n1", [never, ENDED])], Clocks(0)).violations == []
    safe = [start("n0", [one, ENDED], repeat="safe"), start("n1", [two, ENDED], repeat="safe")]
    assert check_rules(safe, Clocks(0)).violations == []


def test_two_final_answers_are_named_and_what_breaks_off_can_t_be_told() -> None:
    ends: list[Record] = [
        End(2 * US_PER_S, b"id", "pay", US_PER_S, "failed", False, 1),
        End(3 * US_PER_S, b"id", "pay", US_PER_S, "served", True, 1),
    ]
    verdict = check_rules([start("n0", list(ends))], Clocks(0))
    (breach,) = verdict.violations
    assert breach.rule == 1 and any("break off" in each for each in verdict.undetermined)
    later: list[Record] = [
        ends[0],
        End(6 * US_PER_S, b"id", "pay", 5 * US_PER_S, "served", True, 1),
        ENDED,
    ]  # the client asked again
    assert check_rules([start("n0", list(later))], Clocks(0)).violations == []


def test_a_cause_that_explains_too_little_is_not_known() -> None:
    drawn = random.Random(3)
    starts = []
    for number in range(4):
        records: list[Record] = [state(0, f"s-{each}", "ready") for each in range(6)]
        for second in range(120):
            failed = drawn.randrange(2, 5) if 60 <= second < 90 else 0
            servers = tuple(count(f"s-{each}", second * US_PER_S, 3) for each in range(6))
            records.append(span(second * US_PER_S, 12, failed, servers))
        starts.append(start(f"n{number}", records))
    story = build_timeline(Archive(starts, []))
    assert story.clocks.unlinked  # they share nothing: each is told alone
    alone = [each for several in story.unlinked_incidents.values() for each in several] + story.incidents
    assert alone and all(not each.causes for each in alone)
    assert "cause not known" in html(story)


# The commands


def folder(told: SimulatedRun, path: Path) -> Path:
    path.mkdir()
    for data in told.sidecars:
        head = read(data).head
        (path / str(SegmentName(head.start, head.segment, head.sidecar))).write_bytes(data)
    return path


def run(*given: Any) -> Any:
    return CliRunner().invoke(main, ["incident", *map(str, given)])


def test_the_commands_tell_list_and_report(tmp_path: Path) -> None:
    told = folder(day(2, "zone"), tmp_path / "day")
    assert run("check", told).exit_code == 0
    listed = run("list", told)
    assert listed.exit_code == 0 and "zone" in listed.output
    (plain,) = [each for each in json.loads(run("show", "--json", told).output) if each["within"] is None]
    assert plain["causes"][0]["kind"] == "zone" and plain["causes"][0]["for"]
    assert run("list", told, "--to", "2001-01-01T00:00:00").output.startswith("no incident")
    assert run("list", told, "--from", "yesterday").exit_code == 2
    page = tmp_path / "report.html"
    assert run("report", told, "-o", page).exit_code == 0
    text = page.read_text()
    assert "zone" in text and not re.search(r"<(script|link|img)[^>]*(src|href)=.http", text)
    assert run("report", told, "-o", tmp_path / "no" / "where.html").exit_code == 2


def test_bad_files_are_named_with_their_offset_and_the_rest_is_shown(tmp_path: Path) -> None:
    told = folder(day(2, "zone"), tmp_path / "day")
    files = sorted(told.iterdir())
    files[0].write_bytes(files[0].read_bytes()[:-7])
    files[1].write_bytes(b"no records at all")
    shutil.copy(files[2], told / "copy")
    checked = run("check", told)
    assert checked.exit_code == 1
    for word in ("cut", "foreign", "twice", "offset 0", "it breaks off"):
        assert word in checked.output
    assert "zone" in run("list", told).output
    assert run("check", tmp_path / "nowhere").exit_code == 2
    empty = tmp_path / "empty"
    empty.mkdir()
    assert run("list", empty).exit_code == 2 and "no records were found" in run("list", empty).output


def test_text_from_outside_is_no_markup(tmp_path: Path) -> None:
    nasty = "<script>alert(1)</script>[red]\x1b[2J"
    records: list[Record] = [state(0, nasty, "ready")]
    for second in range(60):
        failed = 9 if 30 <= second < 45 else 0
        bad = ServerCount(nasty, 10, second * US_PER_S, [10 - failed, failed])
        records.append(span(second * US_PER_S, 10 - failed, failed, (bad, count("b", second * US_PER_S, 10))))
    records.append(End(31 * US_PER_S, nasty.encode(), "pay", 30 * US_PER_S, "failed", True, 1))
    told = start("n0", records)
    page = html(build_timeline(Archive([told], [])))
    assert "<script>alert" not in page and "&lt;script&gt;alert" in page
    path = tmp_path / str(SegmentName("0" * 16, 0, "n0"))
    encoder = Encoder()
    path.write_bytes(MAGIC + b"".join(encoder.frame(each) for each in told.records))
    assert load([path]).starts[0].records == told.records
    shown = run("show", path).output + run("list", path).output
    assert "[red]" in shown and "\\x1b[2J" in shown and "\x1b" not in shown


# A fleet of many


def fleet(count: int, hurt: range, seconds: int = 120) -> list[Start]:
    """Sidecars that share a list; those in `hurt` fail four in ten from the 60th to the 75th second."""
    drawn = random.Random(count)
    starts = []
    for number in range(count):
        offset = drawn.randrange(-7_000, 7_000) * US_PER_S
        records: list[Record] = [state(offset, "a", "ready"), state(offset, "b", "ready")]
        for second in range(seconds):
            now = offset + second * US_PER_S
            if second % 20 == 0:
                heard = now + drawn.randrange(300_000)
                records.append(Listed(heard, second // 20 + 1, "changes" if second else "complete", 1))
            failed = 4 if number in hurt and 60 <= second < 75 else 0
            attempts = ServerCount("a", 10, now, [10 - failed, failed])
            records.append(span(now, 10 - failed, failed, (attempts,)))
        starts.append(start(f"n{number}", [*records, Phase(offset + seconds * US_PER_S, "ended")], offset))
    return starts


def test_of_two_hundred_sidecars_twenty_suffice_to_claim_an_incident() -> None:
    story = build_timeline(Archive(fleet(200, range(20)), []))
    (one,) = story.incidents
    assert len(story.linked) == 200 and 13 * US_PER_S <= one.end - one.onset <= 17 * US_PER_S
    assert {number for number, count in one.impact.by_sidecar.items() if count} == set(range(20))
    reference = story.start(story.clocks.reference).head.at
    assert abs(one.onset - (reference + 60 * US_PER_S)) <= one.uncertainty
    assert build_timeline(Archive(fleet(30, range(0)), [])).incidents == []


def test_two_starts_of_one_name_are_two_and_one_that_broke_off_is_said_to() -> None:
    story = build_timeline(day(2, "restart").archive())
    names = [each.head.sidecar for each in story.archive.starts]
    assert len(names) == 9 and len(set(names)) == 6
    broke = [number for number, each in story.runs.items() if not each.ended_cleanly]
    assert len(broke) == len(story.archive.starts)  # the script kills three, and the day ends for the rest
    assert sum("break off" in each for each in story.rules.undetermined) == 9


def test_a_partition_in_which_each_half_holds_the_other_s_servers_for_dead_is_disagreement() -> None:
    starts = fleet(6, range(0))
    for number, each in enumerate(starts):
        at = each.head.at + 40 * US_PER_S
        lost = "b" if number < 3 else "a"
        ejected = State(at, lost, "ejected", "silent", "east", 1, True)
        each.records.append(ejected)
        each.records.sort(key=lambda record: getattr(record, "until", record.at))
    story = build_timeline(Archive(starts, []))
    when = story.start(story.clocks.reference).head.at + 100 * US_PER_S
    for server in ("a", "b"):
        view = story.states.consensus(server, when, story.linked)
        assert view.disagrees and view.counts == {"ready": 3, "ejected": 3}
    before = story.states.consensus("a", when - 80 * US_PER_S, story.linked)
    assert not before.disagrees and before.state == "ready"
    assert [each.disagreement for each in ConsoleModel(story).rows(100)] == ["3 ready, 3 ejected"] * 2


def test_a_process_that_took_over_a_server_s_name_is_another() -> None:
    scene, observer = watched()
    scene.servers([ListedServer("a", started_at=1)])
    scene.servers([ListedServer("a", started_at=9_000_000)], ListKind.CHANGES)
    told = [each for each in observer.take(scene.now, 0, 0) if isinstance(each, State)]
    assert [(each.server, each.started_at) for each in told] == [("a", 1), ("a", 9_000_000)]


def test_segments_that_were_rotated_away_leave_a_story_of_what_is_there(tmp_path: Path) -> None:
    encoder, paths = Encoder(), []
    for number in range(4):
        at = number * 60 * US_PER_S
        head = Head(1, "n0", "0" * 16, number, at, at, [Kind("pay", "safe", US_PER_S, 2 * US_PER_S)], 0, 0)
        more = [
            span(at + second * US_PER_S, 10, 4 if number == 3 and second > 30 else 0) for second in range(60)
        ]
        path = tmp_path / str(SegmentName("0" * 16, number, "n0"))
        every: list[Record] = [head, state(at, "a", "ready"), *more]
        path.write_bytes(MAGIC + b"".join(map(encoder.frame, every)))
        paths.append(path)
    for path in paths[:2]:
        path.unlink()
    story = build_timeline(load([tmp_path]))
    assert story.series.seconds == 120 and len(story.incidents) == 1 and not story.archive.starts[0].missing


def test_files_whose_spans_can_t_be_read_claim_nothing_and_are_told_in_a_few_lines(tmp_path: Path) -> None:
    encoder = Encoder()
    head = Head(1, "n0", "0" * 16, 0, 0, 0, [], 0, 0)
    every: list[Record] = [head, state(0, "a", "ejected"), state(5, "b", "ready")]
    every += [span(second * US_PER_S) for second in range(30)]
    data = bytearray(MAGIC + b"".join(map(encoder.frame, every)))
    at = len(MAGIC)
    for number in range(len(every)):
        length = int.from_bytes(data[at + 4 : at + 8], "little")
        if number > 2:
            data[at + 12] ^= 0xFF
        at += 12 + length
    (tmp_path / "n0.records").write_bytes(bytes(data))
    story = build_timeline(load([tmp_path]))
    assert story.incidents == [] and sum("n0.records" in each for each in story.unknowns) == 4
    assert "No records that can be laid on one clock" in html(story)
