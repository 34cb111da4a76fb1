"""`micadeck trace`: show, draw and replay what a daemon recorded under BALANCER_TRACE.

Exit codes: 0, 1 if two builds differ, 2 if the trace can't be read.
"""

from __future__ import annotations

import importlib
import sys
from dataclasses import is_dataclass
from pathlib import Path
from types import ModuleType

import click
import msgspec
from rich.console import Console
from rich.table import Table

from micadeck.policy import Balancer
from micadeck.traces.format import Trace, TraceError, decode
from micadeck.traces.replay import Foreign, Make, compare, spans, totals

_TYPES = ("micadeck.policy.settings", "micadeck.policy.events")  # what a balancer takes
_WIDE = 200  # where nobody's screen sets a width


def _read(path: str) -> Trace:
    try:
        trace = decode(Path(path).read_bytes())
    except (OSError, TraceError) as fault:
        click.echo(f"micadeck: trace: {path}: {fault}", err=True)
        raise SystemExit(2) from None
    if not trace.is_whole:
        click.echo(f"{path}: it breaks off after {len(trace.events)} events", err=True)
    return trace


def _resolve(interface: ModuleType) -> None:
    """Have the names in its classes' annotations looked up while they mean that tree's own classes."""
    for each in vars(interface).values():
        if isinstance(each, type) and is_dataclass(each):
            try:
                msgspec.convert({}, each)
            except msgspec.ValidationError:
                pass  # a field is missing; its type is known from here on


def _build(folder: str) -> Make:
    """The decisions of another tree, beside this one's."""
    loaded: dict[str, ModuleType] = {}
    kept = {name: module for name, module in sys.modules.items() if name.split(".")[0] == "micadeck"}
    for name in kept:
        del sys.modules[name]
    sys.path.insert(0, folder)
    try:
        for part in ("micadeck.policy", *_TYPES, "micadeck.policy.balancer"):
            loaded[part] = importlib.import_module(part)
        for part in _TYPES:
            _resolve(loaded[part])
    except ImportError as fault:
        click.echo(f"micadeck: trace: {folder}: {fault}", err=True)
        raise SystemExit(2) from None
    finally:
        sys.path.remove(folder)
        for name in [each for each in sys.modules if each.split(".")[0] == "micadeck"]:
            del sys.modules[name]
        sys.modules.update(kept)
    balancer = loaded["micadeck.policy.balancer"].Balancer
    settings, events = (loaded[part] for part in _TYPES)
    return lambda given, seed: Foreign(balancer, settings, events, given, seed)


@click.group("trace")
def command() -> None:
    """What the decisions heard on a day."""


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--span", default=1.0, type=click.FloatRange(0.01), help="Seconds for each line.")
def show(path: str, span: float) -> None:
    """The day in lines, and its totals."""
    trace = _read(path)
    console = Console(width=None if sys.stdout.isatty() else _WIDE, highlight=False)
    table = Table(
        "s", "arrived", "refused", "failed", "load", "window", "spent", "late", "cores", "out", "ejected"
    )
    listed = list(spans(trace, span))
    for each in listed:
        window = f"{each.window:.0f}" if each.window is not None else "-"
        cores = f"{each.cores:.2f}" if each.cores is not None else "-"
        table.add_row(
            f"{each.at_s:g}", str(each.arrived), str(each.refused), str(each.failed), str(each.load),
            window, f"{each.spent:.2f}", f"{each.late:.2f}", cores, str(each.out), "; ".join(each.ejected),
        )  # fmt: skip
    console.print(table)
    told = totals(listed)
    click.echo(f"{told.arrived} arrived, {told.refused} refused, {told.failed} failed")
    for title, counts in (("attempts", told.outcomes), ("ejections", told.ejections)):
        click.echo(f"{title}: " + ", ".join(f"{count} {name}" for name, count in counts.most_common()))


@command.command("draw")
@click.argument("path", type=click.Path(dir_okay=False))
@click.argument("picture", type=click.Path(dir_okay=False))
@click.option("--span", default=0.25, type=click.FloatRange(0.01), help="Seconds for each point.")
def draw_command(path: str, picture: str, span: float) -> None:
    """The day as a PNG."""
    from micadeck.traces.plot import draw

    draw(list(spans(_read(path), span)), Path(picture), Path(path).name)


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--against", required=True, type=click.Path(file_okay=False), help="Another tree of this project."
)
def replay(path: str, against: str) -> None:
    """Where the decisions of another tree first part from this one's."""
    trace = _read(path)
    difference = compare(trace, Balancer, _build(against))
    if difference is None:
        click.echo(f"the same actions for all {len(trace.events)} events")
        return
    click.echo(f"event {difference.number} at {difference.at_s:.3f} s: {difference.event}")
    click.echo(f"  here:  {difference.one}")
    click.echo(f"  there: {difference.other}")
    raise SystemExit(1)


if __name__ == "__main__":
    command()
