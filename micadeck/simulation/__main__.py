"""`python -m micadeck.simulation` and `micadeck simulate`: seed sweeps, replay and shrinking."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from micadeck.simulation.scenario import Scenario, draw, orders, read, write
from micadeck.simulation.seed_sweep import Failure, Tally, play_many
from micadeck.simulation.shrink import shrink
from micadeck.simulation.simulated_day import Result, play

_MAX_SHOWN = 20  # failures


@click.group()
def main() -> None:
    """Whole sidecars on a virtual clock, under faults that follow from a seed."""


class _Seeds(click.ParamType):  # type: ignore[type-arg]
    name = "FIRST:LAST"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, int]:
        first, _, last = str(value).partition(":")
        try:
            seeds = int(first), int(last)
        except ValueError:
            self.fail(f"two whole numbers with a colon between are needed, not {value!r}", param, ctx)
        if not 0 <= seeds[0] < seeds[1]:
            self.fail(f"{value}: there is no seed in it", param, ctx)
        return seeds


def _replay_command(seed: int) -> str:
    return f"python -m micadeck.simulation replay {seed}"


@main.command()
@click.option("--seeds", type=_Seeds(), default="0:1000", show_default=True, help="from, and up to")
@click.option(
    "--jobs", type=click.IntRange(1), default=os.cpu_count(), help="processes; all cores unless said"
)
def run(seeds: tuple[int, int], jobs: int) -> None:
    """Play the days of many seeds; the exit code says whether a rule broke."""
    console = Console()
    columns = (TextColumn("days"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        task = progress.add_task("days", total=seeds[1] - seeds[0])
        shown = 0

        def on_part(part: Tally) -> None:
            nonlocal shown
            progress.advance(task, part.seeds)
            for failure in part.failures:
                shown += 1
                if shown <= _MAX_SHOWN:
                    progress.console.print(
                        _failure_text(failure), highlight=False, markup=False, soft_wrap=True
                    )

        tally = play_many(*seeds, jobs, on_part)
        elapsed_s = progress.tasks[0].elapsed or 0.0
    _summary(console, tally, elapsed_s)
    if tally.failures:
        sys.exit(1)


def _failure_text(failure: Failure) -> str:
    return f"seed {failure.seed}: {failure.first.strip()}\n    {_replay_command(failure.seed)}"


def _summary(console: Console, tally: Tally, elapsed_s: float) -> None:
    table = Table("occurred", "times", "a day", box=None)
    for key, count in sorted(tally.counts.items()):
        table.add_row(key, f"{count:,}", f"{count / tally.seeds:.2f}")
    console.print(table)
    console.print(
        f"{tally.seeds:,} days in {elapsed_s:.1f} s: {tally.seeds / max(elapsed_s, 1e-9):.1f} a second, "
        f"{tally.virtual_s / max(elapsed_s, 1e-9):.0f} virtual seconds a second; a day has "
        f"{tally.virtual_s / tally.seeds:.1f} s and {tally.counts['requests'] / tally.seeds:.0f} requests"
    )
    for key in tally.missing():
        console.print(f"never occurred: {key}")
    if tally.empty:
        console.print(f"days without a request: {tally.empty}")
    console.print(f"{len(tally.failures)} days broke a rule")


@main.command()
@click.argument("seed", type=click.IntRange(0))
@click.option("--trace", type=click.Path(path_type=Path), help="write the account there, not to the screen")
def replay(seed: int, trace: Path | None) -> None:
    """Play one seed's day again, with its account."""
    _show(play(draw(seed), keeps_trace=True), trace)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--trace", type=click.Path(path_type=Path), help="write the account there, not to the screen")
def scenario(file: Path, trace: Path | None) -> None:
    """Play a day that somebody wrote."""
    try:
        day = read(file)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    _show(play(day, keeps_trace=True), trace)


def _show(result: Result, trace: Path | None) -> None:
    text = "".join(f"{line}\n" for line in result.trace)
    if trace is None:
        click.echo(text, nl=False)
    else:
        trace.write_text(text, encoding="utf-8")
    for violation in result.violations:
        click.echo(f"BROKEN {violation}", err=True)
    click.echo(f"hash {result.digest}", err=True)
    if result.violations:
        sys.exit(1)


@main.command("shrink")
@click.argument("seed", type=click.IntRange(0))
@click.option("--to", type=click.Path(path_type=Path), help="the file to write; seed-SEED.toml unless said")
def shrink_seed(seed: int, to: Path | None) -> None:
    """Find the smallest day that breaks the same rule as this seed's, and write it as a scenario."""
    first = play(draw(seed))
    if not first.rules:
        raise click.ClickException(f"seed {seed} breaks no rule")
    rule = first.rules[0]

    def fails(day: Scenario) -> bool:
        return rule in play(day).rules

    day = shrink(draw(seed), fails)
    file = to or Path(f"seed-{seed}.toml")
    write(day, file)
    click.echo(
        f"{rule}: {len(day.faults)} faults and {len(orders(day))} requests are left\n"
        f"    python -m micadeck.simulation scenario {file}"
    )


command = main  # the name that `micadeck simulate` imports

if __name__ == "__main__":
    main()
