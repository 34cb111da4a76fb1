"""`micadeck mysql`: serve, check a file, print a user's entry, explain a statement.

Exit codes: 0, 1 if it can't listen, 2 if the configuration is bad.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import click
import uvloop
from rich.console import Console
from rich.table import Table

from micadeck.mysql.auth import Verifier, native_stored
from micadeck.mysql.config import MysqlConfig, MysqlConfigError, load
from micadeck.mysql.routes import Routes
from micadeck.mysql.service import MysqlService
from micadeck.mysql.statements import StatementReader
from micadeck.network import LoopNetwork, format_address

_DRAIN_TIMEOUT_S = 4.0


def _load(path: str) -> MysqlConfig:
    try:
        return load(path)
    except MysqlConfigError as error:
        print(f"micadeck: mysql: {error}".replace("\n", " "), file=sys.stderr)
        raise SystemExit(2) from None


def _log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


@click.group(name="mysql")
def command() -> None:
    """Run and check the MySQL service."""


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
def serve(path: str) -> None:
    """Serve MySQL clients as PATH says, until SIGTERM; SIGHUP reloads it."""
    config = _load(path)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, path))
    except OSError as error:
        print(f"micadeck: can't listen: {error}", file=sys.stderr)
        raise SystemExit(1) from None


async def _serve(config: MysqlConfig, path: str) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    service = MysqlService(config, LoopNetwork(), int.from_bytes(os.urandom(8), "big"), _log)

    def reload() -> None:
        try:
            service.reload(load(path))
        except MysqlConfigError as error:
            _log(f"reload: the old configuration stays in force: {error}".replace("\n", " "))

    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    service.start()
    _log(f"mysql: {config.name} serves on {config.listen[0]}:{service.port}")
    await stop.wait()
    _log("draining")
    await service.drain(_DRAIN_TIMEOUT_S)
    _log("drained")


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check PATH and print its settings without secrets."""
    config = _load(path)
    table = Table("what", "is")
    table.add_row("listens", format_address(config.listen))
    roster = format_address(config.discovery) if config.discovery is not None else "-"
    consul = (
        ", ".join(service.name for service in config.consul.services) if config.consul is not None else "-"
    )
    table.add_row("servers", f"roster {roster}; consul {consul}; {len(config.known.entries)} in the file")
    for user in config.users.values():
        plugins = "caching_sha2_password" + (", mysql_native_password" if user.native else "")
        schemas = "any schema" if user.schemas is None else ", ".join(sorted(user.schemas))
        table.add_row(f"user {user.name}", f"{plugins}; {schemas}")
    for service_class in config.settings.classes:
        aim_us, deadline_us = service_class.latency_objective_us, service_class.deadline_us
        times = f"aim {aim_us // 1_000} ms, deadline {deadline_us // 1_000} ms"
        table.add_row(f"class {service_class.name}", f"{service_class.idempotency.value}; {times}")
    Console(highlight=False).print(table)


@command.command()
@click.option(
    "--native/--no-native", default=False, help="Also for mysql_native_password, which is unsalted."
)
@click.password_option(help="Prompted for if not given.")
def password(password: str, native: bool) -> None:
    """Print the entry for a user's password in the file."""
    secret = password.encode()
    click.echo(f'verifier = "{Verifier.of(secret).text()}"')
    if native:
        click.echo(f'native = "*{native_stored(secret).hex().upper()}"')


@command.command()
@click.argument("path", type=click.Path(dir_okay=False))
@click.argument("statement")
@click.option("--user", default="", help="The user that sends it.")
@click.option("--schema", default="", help="The selected schema.")
def explain(path: str, statement: str, user: str, schema: str) -> None:
    """Print how STATEMENT is classified and routed."""
    config = _load(path)
    read = StatementReader().read(statement.encode())
    classes = {service_class.name: service_class for service_class in config.settings.classes}
    routes = Routes(config.rules, classes, [tenant.name for tenant in config.settings.tenants])
    route = routes.route(read, user, schema, is_bound=False)
    click.echo(
        f"kind      {read.kind.value}{', ' + str(read.count) + ' statements' if read.count > 1 else ''}"
    )
    click.echo(f"class     {route.service_class} ({'may' if route.is_safe else 'must not'} run again)")
    click.echo(f"deadline  {route.deadline_us // 1_000} ms")
    for pin in sorted(pin.value for pin in read.pins):
        click.echo(f"pins      {pin}")
    if read.refusal is not None:
        click.echo(f"refused   {read.refusal.value}")


if __name__ == "__main__":
    command()
