"""Runs a stand-in MySQL server until it is interrupted: `python -m micadeck.stand_ins.mysql --port 3306`."""

from __future__ import annotations

import asyncio

import click
import uvloop

from micadeck.mysql.protocol.messages import Column, Eof
from micadeck.mysql.protocol.wire import lenenc, lenenc_int
from micadeck.stand_ins.mysql import Fault, FaultAction, Point, StandInMysql


def _fault(text: str) -> Fault:
    """Parse `MATCH:POINT:WHAT`; POINT is a value of `Point`, or `rows=N`."""
    try:
        match, point, action = text.rsplit(":", 2)
        point, _, rows = point.partition("=")
        return Fault(match, Point(point), FaultAction(action), int(rows or 0))
    except ValueError as error:
        raise click.BadParameter(f"MATCH:POINT:WHAT is needed, not {text!r}: {error}") from None


def _canned(rows: int) -> list[bytes]:
    """The packets of a result with one column."""
    encoded_rows = [lenenc(b"%04d" % number) for number in range(rows)]
    return [lenenc_int(1), Column(b"code").encode(), Eof().encode(), *encoded_rows, Eof().encode()]


async def _serve(server: StandInMysql, port: int, load: tuple[str, ...]) -> None:
    for statement in load:
        server.database.run(statement)
    await server.start(port)
    click.echo(f"{server.name} serves on {server.address}")
    await asyncio.Event().wait()


@click.command()
@click.option("--port", default=0, help="0: any free port.")
@click.option("--user", default="sidecar")
@click.option("--password", default="server-secret")
@click.option("--takes-ms", default=0.0, help="How long each statement takes.")
@click.option("--fault", "faults", multiple=True, help="MATCH:POINT:WHAT, e.g. tariff:rows=2:die")
@click.option("--canned", default=0, help="Number of rows that SELECT code FROM tariff returns from memory.")
@click.option("--wide", default=0, help="Number of rows of 16 KiB that SELECT * FROM wide returns.")
@click.option("--load", multiple=True, help="A statement in SQLite's dialect, run at the start.")
def main(
    port: int,
    user: str,
    password: str,
    takes_ms: float,
    faults: tuple[str, ...],
    canned: int,
    wide: int,
    load: tuple[str, ...],
) -> None:
    """A stand-in MySQL server on in-memory SQLite."""
    server = StandInMysql("standin", user, password, takes_s=takes_ms / 1e3)
    server.faults = [_fault(text) for text in faults]
    if canned:
        server.canned["SELECT code FROM tariff"] = _canned(canned)
    if wide:
        server.wide, server.wide_rows = True, wide
        server.database.run("CREATE TABLE wide (w TEXT)")
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(server, port, load))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
