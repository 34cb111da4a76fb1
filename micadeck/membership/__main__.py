"""Shows what a sidecar would read from a live Consul: `micadeck membership show CONFIG [--watch]`.

Prints each endpoint with each service's report about it, its merged state, the age of the report and the
reason.  Exit codes: 0; 1 if a service could not be read within a few seconds; 2 if the configuration is
invalid.
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
from micadeck.membership.endpoint_observation import Precedence
from micadeck.membership.sources import DiscoveryState, EndpointSources
from micadeck.network import LoopNetwork, format_address

_FIRST_LISTS_TIMEOUT_S = 5.0
_PIPE_WIDTH = 1_000  # columns, if the output is not a terminal
_STATES = {
    Precedence.READY: "ready",
    Precedence.UNHEALTHY: "unhealthy",
    Precedence.DRAINING: "draining",
}


class MembershipReport:
    """Prints what a sidecar's sources report.  Owns the sources."""

    def __init__(self, config: ConsulConfig) -> None:
        """Create the sources that a sidecar would have."""
        self._network = LoopNetwork()
        self._config = config
        self._console = Console(width=None if sys.stdout.isatty() else _PIPE_WIDTH, highlight=False)
        self._changed = asyncio.Event()
        discovery = DiscoveryState(None, EndpointUpdate(0, True, ()))
        self.sources = EndpointSources(self._network, discovery, config, "0 show", self._print_comment)
        self.sources.logs_agent = False

    def _print_comment(self, line: str) -> None:
        self._console.print(f"# {line}", markup=False)
        self._changed.set()

    async def print_agents(self) -> None:
        """Print each agent's name and its leader."""
        for address in self._config.agents:
            options = self._config.services[0].request_options
            client = ConsulClient(self._network, Agents((address,)), options)
            try:
                self._print_comment(f"agent {format_address(address)}: {await client.describe_agent()}")
            except ConsulError as error:
                self._print_comment(f"agent {error}")
            client.close()

    async def wait_for_first_lists(self) -> bool:
        """Start the sources; return whether each service was read in time."""
        self.sources.start(lambda _: self._changed.set(), self._changed.set)
        try:
            async with self._network.timeout(_FIRST_LISTS_TIMEOUT_S):
                while self.sources.unanswered:
                    await self.wait_for_change()
        except TimeoutError:
            return False
        return True

    async def wait_for_change(self) -> None:
        """Wait until something was reported or logged."""
        await self._changed.wait()
        self._changed.clear()

    def print_table(self) -> None:
        """Print every endpoint, and the services that cannot be read."""
        table = Table(box=None, pad_edge=False)
        for title in ("NODE", "SOURCE", "STATE", "AGE", "WHY"):
            table.add_column(title, no_wrap=True)
        ages = self.sources.ages()
        endpoints = self.sources.merge.endpoints(self._network.now() / 1e6)
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.name):
            for source, observation in endpoint.observations:
                age = f"{ages.get(source, 0.0):.1f} s"
                reported = f"{source}: {_STATES[observation.precedence]}"
                table.add_row(endpoint.name, reported, endpoint.state.value, age, observation.reason)
        self._console.print(table)
        for name, text in sorted(self.sources.failures.items()):
            self._console.print(f"# {name}: {text}", markup=False)
        sys.stdout.write("\n")
        sys.stdout.flush()


async def show(config: ConsulConfig, *, watches: bool) -> int:
    """Print the report, again at each change if it watches; return the exit code."""
    report = MembershipReport(config)
    await report.print_agents()
    try:
        is_complete = await report.wait_for_first_lists()
        report.print_table()
        while watches:
            await report.wait_for_change()
            report.print_table()
    finally:
        report.sources.close()
    return 0 if is_complete else 1


@click.group("membership")
def command() -> None:
    """Inspect the sources of the endpoint list."""


@command.command("show")
@click.argument("config", type=click.Path())
@click.option("--watch", "watches", is_flag=True, help="Keep running, and print again at each change.")
def show_command(config: str, watches: bool) -> None:
    """Show what a sidecar reads from the Consul that the file CONFIG names."""
    try:
        loaded = load(config)
    except ConsulConfigError as error:
        click.echo(f"micadeck: consul: {error}".replace("\n", " "), err=True)
        raise SystemExit(2) from None
    try:
        code = asyncio.run(show(loaded, watches=watches))
    except KeyboardInterrupt:
        code = 0
    raise SystemExit(code)


if __name__ == "__main__":
    command(prog_name="python -m micadeck.membership")
