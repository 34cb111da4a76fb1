"""The `micadeck` command; a subcommand's module is imported when it is called."""

from __future__ import annotations

import importlib

import click

_SUBCOMMAND_MODULES = {
    "console": "micadeck.incidents.console",
    "incident": "micadeck.incidents.__main__",
    "membership": "micadeck.membership.__main__",
    "mysql": "micadeck.mysql.__main__",
    "simulate": "micadeck.simulation.__main__",
    "trace": "micadeck.traces.__main__",
}


class _LazyGroup(click.Group):
    """Imports subcommands on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """List all subcommands."""
        return sorted([*super().list_commands(ctx), *_SUBCOMMAND_MODULES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a subcommand; None if unknown."""
        if cmd_name not in _SUBCOMMAND_MODULES:
            return super().get_command(ctx, cmd_name)
        command = importlib.import_module(_SUBCOMMAND_MODULES[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.group(cls=_LazyGroup)
@click.version_option(package_name="micadeck")
def main() -> None:
    """A client-side load balancer for calls between services."""


@main.command()
def serve() -> None:
    """Run the sidecar that BALANCER_CONFIG describes, as `python -m micadeck` does."""
    from micadeck.__main__ import main as daemon

    raise SystemExit(daemon())
