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
from micadeck.traces.replay import BalancerFactory, OtherBuild, compare, spans, totals

_TYPES = ("micadeck.policy.settings", "micadeck.policy.events")  # modules whose types a balancer takes
_WIDTH_WITHOUT_TERMINAL = 200  # columns


def _read(path: str) -> Trace:
    try:
        trace = decode(Path(path).read_bytes())
    except (OSError, TraceError) as error:
        click.echo(f"micadeck: trace: {path}: {error}", err=True)
        raise SystemExit(2) from None
    if not trace.is_complete:
        click.echo(f"{path}: it breaks off after {len(trace.events)} events", err=True)
    return trace


def _resolve_annotations(module: ModuleType) -> None:
    """Resolve the annotations of a module's dataclasses while its own tree is imported."""
    for value in vars(module).values():
        if isinstance(value, type) and is_dataclass(value):
            try:
                msgspec.convert({}, value)
            except msgspec.ValidationError:
                pass  # a field is missing; msgspec has cached the types


def _load_build(folder: str) -> BalancerFactory:
    """Import the balancer of another tree."""
    loaded: dict[str, ModuleType] = {}
    own_modules = {name: module for name, module in sys.modules.items() if name.split(".")[0] == "micadeck"}
    for name in own_modules:
        del sys.modules[name]
    sys.path.insert(0, folder)
    try:
        for name in ("micadeck.policy", *_TYPES, "micadeck.policy.balancer"):
            loaded[name] = importlib.import_module(name)
        for name in _TYPES:
            _resolve_annotations(loaded[name])
    except ImportError as error:
        click.echo(f"micadeck: trace: {folder}: {error}", err=True)
        raise SystemExit(2) from None
    finally:
        sys.path.remove(folder)
        for name in [name for name in sys.modules if name.split(".")[0] == "micadeck"]:
            del sys.modules[name]
        sys.modules.update(own_modules)
    balancer = loaded["micadeck.policy.balancer"].Balancer
    settings, events = (loaded[name] for name in _TYPES)
    return lambda given, seed: OtherBuild(balancer, settings, events, given, seed)


@click.group("trace")
def command() -> None:
    """Show, draw and replay traces."""


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option("--span", default=1.0, type=click.FloatRange(0.01), help="Seconds for each line.")
def show(path: str, span: float) -> None:
    """A table of time spans, and the totals."""
    trace = _read(path)
    console = Console(width=None if sys.stdout.isatty() else _WIDTH_WITHOUT_TERMINAL, highlight=False)
    table = Table(
        "s", "arrived", "refused", "failed", "load", "window", "spent", "late", "cores", "out", "ejected"
    )
    span_list = list(spans(trace, span))
    for row in span_list:
        limit = f"{row.concurrency_limit:.0f}" if row.concurrency_limit is not None else "-"
        cores = f"{row.core_utilization:.2f}" if row.core_utilization is not None else "-"
        table.add_row(
            f"{row.end_s:g}", str(row.arrived), str(row.refused), str(row.failed), str(row.load),
            limit, f"{row.objective_fraction:.2f}", f"{row.late_fraction:.2f}", cores,
            str(row.ejected_servers), "; ".join(row.ejections),
        )  # fmt: skip
    console.print(table)
    total = totals(span_list)
    click.echo(f"{total.arrived} arrived, {total.refused} refused, {total.failed} failed")
    for title, counts in (("attempts", total.outcomes), ("ejections", total.ejections)):
        click.echo(f"{title}: " + ", ".join(f"{count} {name}" for name, count in counts.most_common()))


@command.command("draw")
@click.argument("path", type=click.Path(dir_okay=False))
@click.argument("picture", type=click.Path(dir_okay=False))
@click.option("--span", default=0.25, type=click.FloatRange(0.01), help="Seconds for each point.")
def draw_command(path: str, picture: str, span: float) -> None:
    """Draw a trace as a PNG."""
    from micadeck.traces.plot import draw

    draw(list(spans(_read(path), span)), Path(picture), Path(path).name)


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.option(
    "--against", required=True, type=click.Path(file_okay=False), help="Another tree of this project."
)
def replay(path: str, against: str) -> None:
    """The first action of another tree that differs from this one's."""
    trace = _read(path)
    difference = compare(trace, Balancer, _load_build(against))
    if difference is None:
        click.echo(f"the same actions for all {len(trace.events)} events")
        return
    click.echo(f"event {difference.number} at {difference.at_s:.3f} s: {difference.event}")
    click.echo(f"  here:  {difference.actions}")
    click.echo(f"  there: {difference.other_actions}")
    raise SystemExit(1)


if __name__ == "__main__":
    command()
