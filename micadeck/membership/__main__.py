"""What a sidecar would make of a live Consul: `micadeck membership show CONFIG [--watch]`.

Prints a line for each server: its name, what each service says of it, its state, how old that word is and
why.  Exit codes: 0, 1 if a service could not be read within a few seconds, 2 if the configuration is bad.
"""

from __future__ import annotations

import asyncio
import sys

import click
from rich.console import Console
from rich.table import Table

from micadeck.engine import EndpointUpdate
from micadeck.membership.consul import Agents, ConsulClient, ConsulError
from micadeck.membership.consul.config import ConsulConfig, ConsulConfigError, load
from micadeck.membership.sources import EndpointSources
from micadeck.network import LoopNetwork, place

_WITHIN_S = 5.0
_WIDE = 1_000  # where nobody's screen sets a width


class Show:
    """The sources that a sidecar would have, and a listener in the engine's place."""

    def __init__(self, config: ConsulConfig) -> None:
        self._network = LoopNetwork()
        self._config = config
        self._console = Console(width=None if sys.stdout.isatty() else _WIDE, highlight=False)
        self._news = asyncio.Event()
        self.sources = EndpointSources(
            self._network, None, EndpointUpdate(0, True, ()), config, 0, "show", self._told, greets=False
        )

    def _told(self, line: str) -> None:
        self._console.print(f"# {line}", markup=False)
        self._news.set()

    async def agents(self) -> None:
        """Say who each agent is, and what it has to say of its leader."""
        for address in self._config.agents:
            client = ConsulClient(self._network, Agents((address,)), self._config.services[0].ask)
            try:
                self._told(f"agent {place(address)}: {await client.about()}")
            except ConsulError as fault:
                self._told(f"agent {fault}")
            client.close()

    async def first(self) -> bool:
        """Wait until each service was read once; whether they all were."""
        self.sources.start(lambda _: self._news.set(), self._news.set)
        try:
            async with self._network.timeout(_WITHIN_S):
                while self.sources.unheard:
                    await self.next()
        except TimeoutError:
            return False
        return True

    async def next(self) -> None:
        await self._news.wait()
        self._news.clear()

    def write(self) -> None:
        table = Table(box=None, pad_edge=False)
        for title in ("NODE", "SOURCE", "STATE", "AGE", "WHY"):
            table.add_column(title, no_wrap=True)
        ages = self.sources.ages()
        for row in sorted(self.sources.merge.rows(self._network.now() / 1e6), key=lambda each: each.name):
            for source, caution, why in row.says:
                age = f"{ages.get(source, 0.0):.1f} s"
                table.add_row(row.name, f"{source}: {caution.name.lower()}", row.state.value, age, why)
        self._console.print(table)
        for name, text in sorted(self.sources.failing.items()):
            self._console.print(f"# {name}: {text}", markup=False)
        sys.stdout.write("\n")
        sys.stdout.flush()


async def show(config: ConsulConfig, *, keeps_on: bool) -> int:
    shown = Show(config)
    await shown.agents()
    try:
        complete = await shown.first()
        shown.write()
        while keeps_on:
            await shown.next()
            shown.write()
    finally:
        shown.sources.close()
    return 0 if complete else 1


@click.group("membership")
def command() -> None:
    """Who the servers are, and who says so."""


@command.command("show")
@click.argument("config", type=click.Path())
@click.option("--watch", "keeps_on", is_flag=True, help="Go on, and print again at each change.")
def show_command(config: str, keeps_on: bool) -> None:
    """What a sidecar would make of the live Consul that the file CONFIG names."""
    try:
        loaded = load(config)
    except ConsulConfigError as fault:
        click.echo(f"micadeck: consul: {fault}".replace("\n", " "), err=True)
        raise SystemExit(2) from None
    try:
        code = asyncio.run(show(loaded, keeps_on=keeps_on))
    except KeyboardInterrupt:
        code = 0
    raise SystemExit(code)


if __name__ == "__main__":
    command(prog_name="python -m micadeck.membership")
