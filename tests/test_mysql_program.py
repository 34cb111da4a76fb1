"""The commands, and the daemon with MySQL and HTTP."""

from __future__ import annotations

import asyncio
import gc
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from loopback import ConsulDiscovery, consul_config, list_entry, run_async, soon, until
from mysql_stage import (
    PASSWORD,
    ROWS,
    MysqlEnvironment,
    config_document,
    create_tables,
    execute,
    make_config,
    mysql_environment,
)
from test_mysql_sessions import RawConnection

from micadeck.cli import main
from micadeck.config import ConfigError, parse
from micadeck.memory.budget import MemoryBudget
from micadeck.mysql import config as mysql_config
from micadeck.mysql.auth import Verifier
from micadeck.mysql.protocol.constants import Capability, Command, ErrorCode
from micadeck.mysql.protocol.packets import frame
from micadeck.mysql.service import MysqlService
from micadeck.mysql.transport import StatementRequest
from micadeck.network import LoopNetwork
from micadeck.sidecar import Sidecar
from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.mysql import Fault, FaultAction, Point, StandInMysql

ROOT = Path(__file__).parent.parent


def _file(folder: Path, **changes: Any) -> str:
    path = folder / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(config_document("127.0.0.1:1", **changes)))
    return str(path)


def test_check_prints_the_settings_and_no_secret(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["mysql", "check", _file(tmp_path)])
    assert result.exit_code == 0, result.output
    for part in ("user desk", "class read", "deadline 3000 ms", "roster 127.0.0.1:1"):
        assert part in result.output
    assert "scrypt" not in result.output and "secret" not in result.output


def test_check_names_an_unknown_key(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["mysql", "check", _file(tmp_path, kil=True)])
    assert result.exit_code == 2 and "micadeck: mysql: kil: there is no such key" in result.output


def test_password_prints_an_entry_that_verifies_the_password() -> None:
    result = CliRunner().invoke(main, ["mysql", "password", "--password", PASSWORD, "--native"])
    entry = msgspec.toml.decode(result.output.encode())
    assert Verifier.parse(entry["verifier"]).matches(PASSWORD.encode())
    assert entry["native"].startswith("*") and len(entry["native"]) == 41


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        ("SELECT 1", ["kind      read", "class     read (may run again)"]),
        ("SET @a = 1", ["class     write (must not run again)", "pins      user variables"]),
        ("KILL 1", ["refused   KILL is not carried"]),
    ],
)
def test_explain_prints_the_route_of_a_statement(tmp_path: Path, statement: str, expected: list[str]) -> None:
    result = CliRunner().invoke(main, ["mysql", "explain", _file(tmp_path), statement])
    assert all(each in result.output for each in expected), result.output


def test_the_example_file_is_valid(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "mysql.toml").read_text()
    secret = tmp_path / "password"
    secret.write_text("x")
    path = tmp_path / "mysql.toml"
    path.write_text(text.replace("/run/secrets/mysql-password", str(secret)))
    assert mysql_config.load(path).settings.rules.session_drain_grace_us == 150_000


def _daemon(folder: Path, roster: str, mysql: str) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": roster,
        "seed": "8c1f",
        "mysql": mysql,
        "settings": {
            "lanes": [{"name": "check", "giveUpUs": 300_000, "promiseUs": 100_000, "repeat": "read_like"}],
            "zone": "a",
            "discovery": "on_request",
            "bounds": {"sendCap": 3},
        },
    }


def test_the_daemon_serves_and_drains_mysql_and_http(tmp_path: Path) -> None:
    async def work() -> None:
        async with mysql_environment(1) as env:
            path = tmp_path / "mysql.toml"
            path.write_bytes(msgspec.toml.encode(config_document(env.roster.address)))
            config = parse(_daemon(tmp_path, env.roster.address, str(path)))
            log: list[str] = []
            sidecar = Sidecar(config, LoopNetwork(), log.append)
            await sidecar.start()
            assert sidecar.mysql is not None
            original, env.service = env.service, sidecar.mysql
            await until(lambda: "m-0" in env.service.transport._servers)
            client = await env.connect()
            assert await execute(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
            path.write_bytes(
                msgspec.toml.encode(config_document(env.roster.address, users=config_document()["users"][:1]))
            )
            sidecar.reload(parse(_daemon(tmp_path, env.roster.address, str(path))))
            assert any(line.startswith("mysql: reloaded: 1 users") for line in log)
            await execute(client, "BEGIN")
            stopping = asyncio.create_task(sidecar.stop())
            await until(lambda: env.service.listener.is_draining)
            assert await execute(client, "COMMIT") == 0
            await soon(stopping)
            assert not env.service.listener.clients
            env.service = original

    run_async(work)


def test_the_daemon_names_the_invalid_key_of_the_mysql_file(tmp_path: Path) -> None:
    path = tmp_path / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(config_document("127.0.0.1:1", listen="here")))
    with pytest.raises(ConfigError, match="mysql: listen: "):
        parse(_daemon(tmp_path, "127.0.0.1:1", str(path)))
    with pytest.raises(ConfigError, match="mysql: the path of a file"):
        parse(json.loads(json.dumps({**_daemon(tmp_path, "127.0.0.1:1", ""), "mysql": 5})))


def test_malformed_bytes_close_only_their_connection() -> None:
    async def work() -> None:
        async with mysql_environment(1) as env:
            for raw in (b"", b"GET / HTTP/1.1\r\n\r\n", bytes(64), b"\xff" * 64, b"\x01\0\0\x01\x00"):
                reader, writer = await asyncio.open_connection("127.0.0.1", env.service.port)
                greeting = await soon(reader.readexactly(5))
                assert greeting[4] == 10
                writer.write(raw)
                writer.write_eof()
                await soon(reader.read())
                writer.close()
            # A request for TLS, which was not offered, gets an error.
            reader, writer = await asyncio.open_connection("127.0.0.1", env.service.port)
            await soon(reader.readexactly(4))
            request = int(Capability.PROTOCOL_41 | Capability.SSL).to_bytes(4, "little") + bytes(28)
            writer.write(len(request).to_bytes(3, "little") + b"\x01" + request)
            assert b"TLS was not offered" in await soon(reader.read())
            writer.close()
            client = await env.connect()
            connection = RawConnection(client)
            connection._writer.write(b"\x01\0\0\x05" + bytes((Command.PING,)))  # a wrong sequence number
            assert (await connection.packet())[:1] == b"\xff"
            await until(lambda: not env.service.listener.clients)
            assert env.service.listener.statement_memory.held_bytes == 0
            assert make_config("127.0.0.1:1").name == "mysql"

    run_async(work)


def test_every_command_is_answered_or_closes_its_connection() -> None:
    async def work() -> None:
        rng = random.Random(11)
        silent = {Command.QUIT, Command.STMT_CLOSE, Command.STMT_SEND_LONG_DATA, Command.CHANGE_USER}
        async with mysql_environment(1) as env:
            connection = RawConnection(await env.connect())
            for _ in range(400):
                command = rng.choice([each for each in range(0x24) if each not in silent])
                payload = bytes((command,)) + rng.randbytes(rng.randrange(24))
                if command == Command.QUERY:
                    payload = bytes((command,)) + b"SELECT " + rng.randbytes(rng.randrange(9))
                if command == Command.STMT_PREPARE and rng.random() < 0.5:
                    continue
                first = (await connection.request(payload))[0]
                assert first[:1] in (b"\x00", b"\xff", b"\xfe", b"C"), payload
                connection = (
                    RawConnection(await env.connect())
                    if first[:1] == b"\x00" and len(first) > 11
                    else connection
                )
                if len(env.clients) > 1:
                    env.clients.pop(0).close()
            assert (await connection.request(bytes((Command.PING,))))[0][:1] == b"\x00"
            assert not [line for line in env.log if "internal error" in line]

    run_async(work)


def test_a_client_that_keeps_sending_does_not_use_up_the_shared_limit() -> None:
    async def work() -> None:
        async with mysql_environment(1, limits={"unfinished_bytes": 1 << 20}) as env:
            server = env.servers[0]
            server.takes_s = 0.5
            greedy, other = RawConnection(await env.connect()), await env.connect()
            greedy.send(bytes((Command.QUERY,)) + b"SELECT COUNT(*) FROM tariff")
            await until(lambda: bool(server.ran))
            ping = b"\x01\0\0\0" + bytes((Command.PING,))
            count = (4 << 20) // len(ping)
            greedy._writer.write(ping * count)
            await asyncio.sleep(0.1)
            assert env.service.listener.statement_memory.held_bytes < 1 << 20
            server.takes_s = 0.0
            assert await execute(other, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
            for _ in range(5):  # the statement's answer
                await greedy.packet()
            for _ in range(1_000):
                assert (await greedy.packet())[:1] == b"\x00"  # then the answers to the pings, in order

    run_async(work)


def test_statements_of_all_clients_take_a_share_of_the_process_memory() -> None:
    # Guards against a process over its memory limit, by statements each of which is within its own limit.
    async def work() -> None:
        async with mysql_environment(1) as env:
            listener, server = env.service.listener, env.servers[0]
            listener.statement_memory.process = MemoryBudget(10 << 20)
            bound = listener.statement_memory.max_bytes
            assert bound == 2 << 20
            large = b"INSERT INTO lodged VALUES ('k', '" + b"x" * (3 * bound // 4) + b"')"
            connections = [RawConnection(await env.connect()) for _ in range(3)]
            server.takes_s = 0.2
            for connection in connections[:2]:
                connection.send(bytes((Command.QUERY,)) + large)
            # One runs, and the other one would be over the bound.
            refused = b"\xff" + int(ErrorCode.PACKET_TOO_LARGE).to_bytes(2, "little")
            answers = [await soon(connection.packet()) for connection in connections[:2]]
            assert sorted(answer[:1] for answer in answers) == [b"\x00", b"\xff"]
            assert refused in [answer[:3] for answer in answers]
            assert listener.statement_memory.held_bytes <= bound
            server.takes_s = 0.0
            for kept in connections:
                kept.send(bytes((Command.QUERY,)) + large)
                answer = await soon(kept.packet())
                assert answer[:1] == b"\x00", answer
            await until(lambda: listener.statement_memory.held_bytes == 0)

    run_async(work)


@pytest.mark.parametrize("end", ["served", "failed", "client left"])
def test_a_statement_that_ended_is_freed_without_a_garbage_collection(end: str) -> None:
    # Guards against megabytes of text that are kept by a cycle of references, in no account of memory.
    async def work() -> None:
        async with mysql_environment(1) as env:
            server, connection = env.servers[0], RawConnection(await env.connect())
            gc.collect()
            gc.disable()
            if end == "failed":
                server.faults.append(Fault("INSERT", Point.START, FaultAction.RESET))
            server.takes_s = 0.2 if end == "client left" else 0.0
            connection.send(bytes((Command.QUERY,)) + b"INSERT INTO lodged VALUES ('k', 'x')")
            if end == "client left":
                await until(lambda: bool(server.ran))
                connection._writer.transport.abort()
            else:
                expected = b"\xff" if end == "failed" else b"\x00"
                assert (await soon(connection.packet()))[:1] == expected
            await until(lambda: not any(type(each) is StatementRequest for each in gc.get_objects()))

    try:
        run_async(work)
    finally:
        gc.enable()


def test_small_statements_are_served_while_large_ones_fill_their_share() -> None:
    # Guards against a share of memory that, once it is full, refuses everything.
    async def work() -> None:
        async with mysql_environment(1) as env:
            listener = env.service.listener
            other = await env.connect()
            listener.statement_memory.process = MemoryBudget(1 << 20)
            listener.statement_memory.held_bytes += listener.statement_memory.max_bytes
            assert await execute(other, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]

    run_async(work)


def test_long_data_counts_as_statements_in_memory() -> None:
    # Guards against long data, kept until a statement runs, in no account of memory.
    async def work() -> None:
        async with mysql_environment(1) as env:
            listener = env.service.listener
            listener.statement_memory.process = MemoryBudget(1 << 20)
            connection = RawConnection(await env.connect())
            connection.send(bytes((Command.STMT_PREPARE,)) + b"INSERT INTO lodged VALUES (?, ?)")
            prepared = await soon(connection.packet())
            assert prepared[:1] == b"\x00"
            part = bytes((Command.STMT_SEND_LONG_DATA,)) + prepared[1:5] + b"\0\0" + b"x" * (1 << 16)
            for _ in range(4):
                connection.send(part)
            await until(lambda: not listener.clients)
            assert listener.statement_memory.held_bytes == 0

    run_async(work)


def test_only_the_large_one_of_pipelined_statements_is_refused_for_memory() -> None:
    # Guards against a refusal of the statement ahead of the one that exceeds the share of memory.
    async def work() -> None:
        async with mysql_environment(1) as env:
            memory = env.service.listener.statement_memory
            memory.held_bytes = of_others = memory.max_bytes
            connection = RawConnection(await env.connect())
            small = frame(bytes((Command.PING,)), 0)[0]
            large = bytes((Command.QUERY,)) + b"INSERT INTO lodged VALUES ('k', '" + b"x" * (1 << 16) + b"')"
            connection._writer.write(small + frame(large, 0)[0] + small)
            answers = [await connection.packet() for _ in range(3)]
            assert [answer[:1] for answer in answers] == [b"\x00", b"\xff", b"\x00"]
            assert int.from_bytes(answers[1][1:3], "little") == ErrorCode.PACKET_TOO_LARGE
            await until(lambda: memory.held_bytes == of_others)

    run_async(work)


@pytest.mark.parametrize("end", [Command.STMT_CLOSE, Command.STMT_RESET, Command.STMT_EXECUTE])
def test_long_data_over_the_share_of_memory_can_be_used_and_freed(end: Command) -> None:
    # Guards against the loss of a session by the command that would free its memory.
    async def work() -> None:
        async with mysql_environment(1) as env:
            memory = env.service.listener.statement_memory
            connection = RawConnection(await env.connect())
            statement = b"SELECT code FROM tariff WHERE code = ?"
            prepared = await connection.request(bytes((Command.STMT_PREPARE,)) + statement, 5)
            handle = prepared[0][1:5]
            connection.send(bytes((Command.STMT_SEND_LONG_DATA,)) + handle + b"\0\0" + b"x" * (1 << 16))
            await until(lambda: memory.held_bytes >= 1 << 16)
            memory.process = MemoryBudget(1 << 18)
            execution = b"\0" + (1).to_bytes(4, "little") + b"\0\x01\xfc\0"
            connection.send(bytes((end,)) + handle + (execution if end is Command.STMT_EXECUTE else b""))
            if end is not Command.STMT_CLOSE:
                assert (await connection.packet())[:1] != b"\xff"
            await until(lambda: memory.held_bytes == 0)
            assert len(env.service.listener.clients) == 1

    run_async(work)


def test_a_client_that_leaves_answers_unread_is_not_read_without_bound() -> None:
    # Guards against commands kept without bound of a client that sends on and takes no answers.
    async def work() -> None:
        async with mysql_environment(1) as env:
            listener = env.service.listener
            connection = RawConnection(await env.connect())
            (session,) = listener.clients
            session.pause_writing()
            count = (4 << 20) // 5
            connection._writer.write(frame(bytes((Command.PING,)), 0)[0] * count)
            await asyncio.sleep(0.1)
            assert listener.statement_memory.held_bytes < 1 << 20
            session.resume_writing()
            for _ in range(1_000):
                assert (await connection.packet())[:1] == b"\x00"

    run_async(work)


def test_clients_are_served_between_the_pipelined_commands_of_another() -> None:
    # Guards against seconds in which the event loop handles the commands of one client, and nothing else.
    async def work() -> None:
        async with mysql_environment(1) as env:
            other = RawConnection(await env.connect())
            (session_of_other,) = env.service.listener.clients
            greedy = RawConnection(await env.connect())
            (session,) = env.service.listener.clients - {session_of_other}
            count = 20_000
            ping = frame(bytes((Command.PING,)), 0)[0]
            session.data_received(ping * count)
            # One at a time: the text of a statement can take milliseconds to classify.
            assert env.service.listener.statement_memory.held_bytes == len(ping) * (count - 1)
            other.send(bytes((Command.PING,)))
            assert (await other.packet())[:1] == b"\x00"
            assert env.service.listener.statement_memory.held_bytes > 0
            for _ in range(count):
                assert (await greedy.packet())[:1] == b"\x00"

    run_async(work)


def test_pipelined_commands_are_answered_in_a_drain() -> None:
    # Guards against a drain that closes a session between two commands that were received.
    async def work() -> None:
        async with mysql_environment(1) as env:
            connection = RawConnection(await env.connect())
            (session,) = env.service.listener.clients
            count = 2_000
            session.data_received(frame(bytes((Command.PING,)), 0)[0] * count)
            draining = asyncio.create_task(env.service.drain(5.0))
            for _ in range(count):
                assert (await connection.packet())[:1] == b"\x00"
            await soon(draining)
            assert not env.service.listener.clients

    run_async(work)


def test_servers_are_discovered_from_consul() -> None:
    async def work() -> None:
        servers = [StandInMysql("m-0"), StandInMysql("m-1")]
        discovery = ConsulDiscovery()
        for server in servers:
            create_tables(server)
            await server.start()
            discovery.servers.append(list_entry(server.name, server.address))
        await discovery.start()
        consul = consul_config(discovery.address, doubt_s=0)
        changes = {**config_document()["servers"], "consul": consul}
        service = MysqlService(make_config(servers=changes), LoopNetwork(), 7, lambda _: None)
        service.start()
        env = MysqlEnvironment(service, StandInRoster(), servers, [])
        await until(lambda: len(service.transport._servers) == 2)
        client = await env.connect()
        for _ in range(20):
            assert await execute(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
        assert all(server.ran for server in servers)
        discovery.publish(list_entry("m-0", servers[0].address, state="leaving"))
        await until(lambda: any(each.is_leaving for each in service.transport._servers.values()))
        before = len(servers[0].ran)
        for _ in range(20):
            assert await execute(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
        assert len(servers[0].ran) == before
        client.close()
        service.close()
        discovery.stop()
        for server in servers:
            server.die()

    run_async(work)
