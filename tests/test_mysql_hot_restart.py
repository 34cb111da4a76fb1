"""Hot restart where MySQL is served: a shared address, and starts that fail before they take a client."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import aiomysql
import msgspec
import pytest
from loopback import (
    HOST,
    OK,
    Client,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    list_entry,
    request,
    run_async,
    soon,
    until,
)
from mysql_stage import PASSWORD, ROWS, MysqlEnvironment, config_document, execute, mysql_environment
from test_mysql_program import _daemon
from test_program import GOOD, start_process

from micadeck.config import Config, ConfigError, parse
from micadeck.network import LoopNetwork
from micadeck.operations.startup_retry import StartCancelledError
from micadeck.sidecar import ListenError, Sidecar

COUNT = "SELECT COUNT(*) FROM tariff"
HELD_S = 0.4  # for which another program holds an address
LIST_LATE_S = 0.5  # after the start
ANSWER_LATE_S = 0.5


def make_config(folder: Path, roster: str, mysql_port: int = 0, http_port: int = 0) -> Config:
    path = folder / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(config_document(roster, listen=f"{HOST}:{mysql_port}")))
    config = parse(_daemon(folder, roster, str(path)))
    return replace(config, listen=(HOST, http_port))


def another_program() -> socket.socket:
    """Listen at a free port, shared with nobody."""
    return socket.create_server((HOST, 0))


def port_of(listener: socket.socket) -> int:
    return int(listener.getsockname()[1])


def free_port() -> int:
    with another_program() as listener:
        return port_of(listener)


def accepts(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), 1.0).close()
    except OSError:
        return False
    return True


@asynccontextmanager
async def sidecar_of(config: Config, log: list[str]) -> AsyncIterator[Sidecar]:
    """A sidecar that is not started; it is closed in the end."""
    sidecar = Sidecar(config, LoopNetwork(), log.append)
    try:
        yield sidecar
    finally:
        sidecar.close()
        await asyncio.sleep(0.02)


async def connect(port: int) -> Any:
    return await soon(
        aiomysql.connect(host=HOST, port=port, user="desk", password=PASSWORD, db="tariff", autocommit=None)
    )


def with_servers(work: Callable[[MysqlEnvironment], Any]) -> None:
    async def run() -> None:
        async with mysql_environment(2) as env:
            await work(env)

    run_async(run)


def test_a_new_process_takes_over_where_mysql_is_served(tmp_path: Path) -> None:
    # Guards against a new version that ends with "Address already in use" beside the running one.
    async def work(env: MysqlEnvironment) -> None:
        config = make_config(tmp_path, env.roster.address, free_port(), free_port())
        port = config.mysql.listen[1] if config.mysql is not None else 0
        async with sidecar_of(config, []) as old, sidecar_of(config, []) as new:
            await old.start()
            clients = [await connect(port)]
            await soon(new.start())
            assert new.unready_reason() is None
            assert old.mysql is not None and new.mysql is not None
            # Both serve: the kernel spreads clients over them.
            clients += [await connect(port) for _ in range(16)]
            assert len(old.mysql.listener.clients) > 0 and len(new.mysql.listener.clients) > 0
            for client in clients:
                await execute(client, "BEGIN")
                assert await execute(client, COUNT) == [(len(ROWS),)]
            assert await execute(clients[0], "INSERT INTO lodged VALUES ('before', 'old')") == 1
            stopping = asyncio.create_task(old.stop())
            await until(lambda: old.mysql is not None and old.mysql.listener.is_draining)
            # Transactions end where they began, new clients are served by the new process.
            assert await execute(await connect(port), COUNT) == [(len(ROWS),)]
            assert [await execute(client, "COMMIT") for client in clients] == [0] * len(clients)
            await soon(stopping)
            assert env.count_lodged("before") == 1
            assert await execute(await connect(port), COUNT) == [(len(ROWS),)]

    with_servers(work)


@asynccontextmanager
async def held_address(
    held: str, folder: Path, env: MysqlEnvironment, log: list[str]
) -> AsyncIterator[tuple[Sidecar, socket.socket, int]]:
    """A sidecar, another program at its address of the key `held`, and the port of its other address."""
    other = free_port()
    with another_program() as listener:
        ports = (port_of(listener), other) if held == "mysql" else (other, port_of(listener))
        async with sidecar_of(make_config(folder, env.roster.address, *ports), log) as sidecar:
            yield sidecar, listener, other


@pytest.mark.parametrize("held", ["mysql", "listen"])
def test_an_address_of_another_program_ends_a_start_that_has_taken_no_client(
    held: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against clients that are accepted by a process that is about to end.
    monkeypatch.setattr("micadeck.operations.startup_retry.MAX_ADDRESS_IN_USE_WAIT_S", HELD_S)

    async def work(env: MysqlEnvironment) -> None:
        async with held_address(held, tmp_path, env, []) as (sidecar, listener, other):
            starting = asyncio.create_task(sidecar.start())
            while not starting.done():
                assert not accepts(other)
                await asyncio.sleep(0.02)
            with pytest.raises(ListenError, match=rf"^{held}: {HOST}:{port_of(listener)}: .*in use"):
                await starting

    with_servers(work)


@pytest.mark.parametrize("held", ["mysql", "listen"])
def test_a_start_waits_until_another_program_frees_the_address(held: str, tmp_path: Path) -> None:
    # Guards against a listener of MySQL that ends the start where HTTP's waits.
    async def work(env: MysqlEnvironment) -> None:
        log: list[str] = []
        async with held_address(held, tmp_path, env, log) as (sidecar, listener, _):
            address = f"{held}: {HOST}:{port_of(listener)}"
            asyncio.get_running_loop().call_later(HELD_S, listener.close)
            await soon(sidecar.start())
            assert sidecar.mysql is not None
            assert await execute(await connect(sidecar.mysql.port), COUNT) == [(len(ROWS),)]
            waits = [line for line in log if line.startswith("startup: can't listen yet, retrying")]
            assert len(waits) == 1 and address in waits[0]

    with_servers(work)


def test_a_start_that_waits_for_mysqls_address_ends_at_a_signal(tmp_path: Path) -> None:
    async def work(env: MysqlEnvironment) -> None:
        async with held_address("mysql", tmp_path, env, []) as (sidecar, _, _):
            is_ending = asyncio.Event()
            starting = asyncio.create_task(sidecar.start(is_ending.is_set))
            await asyncio.sleep(0.1)
            assert not starting.done()
            is_ending.set()
            with pytest.raises(StartCancelledError):
                await soon(starting)

    with_servers(work)


def test_http_requests_are_answered_if_sigterm_comes_before_mysqls_servers_are_known(tmp_path: Path) -> None:
    # Guards against a start that is cancelled once it has accepted HTTP requests, which it then drops.
    async def answer_late(_: ReceivedRequest) -> bytes:
        await asyncio.sleep(ANSWER_LATE_S)
        return OK

    async def work() -> None:
        server = await ScriptedServer(answer_late).start()
        discovery = ScriptedDiscovery()
        discovery.servers = [list_entry("s-1", server.address)]
        await discovery.start()
        port = free_port()
        mysql, config = tmp_path / "mysql.toml", tmp_path / "config.json"
        with another_program() as silent:  # discovery for MySQL: it accepts calls and answers none
            mysql.write_bytes(msgspec.toml.encode(config_document(f"{HOST}:{port_of(silent)}")))
            document = {
                "listen": f"{HOST}:{port}",
                "discovery": discovery.address,
                "known": {"version": 1, "full": True, "servers": discovery.servers},
                "mysql": str(mysql),
            }
            config.write_text(json.dumps({**GOOD, **document}))
            process = await start_process(config)
            try:
                await until(lambda: accepts(port))
                client = Client(*await asyncio.open_connection(HOST, port))
                client.send(request("lodge"))
                await until(lambda: len(server.received) == 1)
                process.terminate()
                assert (await soon(client.answer())).status == 200
                client.writer.close()
                assert await soon(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
        server.stop()
        discovery.stop()

    run_async(work)


def test_a_new_process_accepts_mysql_clients_once_it_knows_the_servers(tmp_path: Path) -> None:
    # Guards against clients that a new process takes from the running one before it can serve them.
    async def work(env: MysqlEnvironment) -> None:
        roster = env.roster
        config = make_config(tmp_path, roster.address, free_port())
        assert config.mysql is not None
        port = config.mysql.listen[1]
        async with sidecar_of(config, []) as sidecar:
            assert sidecar.mysql is not None
            source = sidecar.mysql._source
            original, delayed = source.watch, asyncio.Event()

            def watch_later(wanted: bool) -> None:
                asyncio.get_running_loop().call_later(LIST_LATE_S, original, wanted)
                delayed.set()

            source.watch = watch_later  # type: ignore[method-assign]
            source.fetch = lambda: None  # type: ignore[method-assign]
            starting = asyncio.create_task(sidecar.start())
            while not sidecar.mysql.engine.has_list:
                assert not accepts(port) and sidecar.unready_reason() is not None
                await asyncio.sleep(0.02)
            await soon(starting)
            assert delayed.is_set()
            assert await execute(await connect(port), COUNT) == [(len(ROWS),)]

    with_servers(work)


def test_mysql_and_http_at_one_address_are_rejected(tmp_path: Path) -> None:
    # Both are shared with other processes, so the system would let one process listen twice.
    path = tmp_path / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(config_document(f"{HOST}:1", listen=f"{HOST}:5000")))
    document = {**_daemon(tmp_path, f"{HOST}:1", str(path)), "listen": f"{HOST}:5000"}
    with pytest.raises(ConfigError, match="mysql: listen: it is also the address of `listen`"):
        parse(document)
