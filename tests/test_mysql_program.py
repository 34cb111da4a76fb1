"""The commands, and the daemon with MySQL beside HTTP."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from loopback import ConsulDiscovery, consul_config, list_entry, run_async, soon, until
from mysql_stage import PASSWORD, ROWS, Scene, ask, configured, given, load, scene
from test_mysql_sessions import Wire

from micadeck.cli import main
from micadeck.config import ConfigError, parse
from micadeck.mysql import config as mysql_config
from micadeck.mysql.auth import Verifier
from micadeck.mysql.protocol.constants import Capability, Command
from micadeck.mysql.service import MysqlService
from micadeck.network import LoopNetwork
from micadeck.sidecar import Sidecar
from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.mysql import StandInMysql

ROOT = Path(__file__).parent.parent


def _file(folder: Path, **changes: Any) -> str:
    path = folder / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(given("127.0.0.1:1", **changes)))
    return str(path)


def test_check_shows_what_it_comes_to_and_no_secret(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["mysql", "check", _file(tmp_path)])
    assert result.exit_code == 0, result.output
    for part in ("user desk", "class read", "deadline 3000 ms", "roster 127.0.0.1:1"):
        assert part in result.output
    assert "scrypt" not in result.output and "secret" not in result.output


def test_a_file_that_is_wrong_names_the_key(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["mysql", "check", _file(tmp_path, kil=True)])
    assert result.exit_code == 2 and "micadeck: mysql: kil: there is no such key" in result.output


def test_a_password_becomes_an_entry_that_fits() -> None:
    result = CliRunner().invoke(main, ["mysql", "password", "--password", PASSWORD, "--native"])
    entry = msgspec.toml.decode(result.output.encode())
    assert Verifier.parse(entry["verifier"]).matches(PASSWORD.encode())
    assert entry["native"].startswith("*") and len(entry["native"]) == 41


@pytest.mark.parametrize(
    ("statement", "told"),
    [
        ("SELECT 1", ["kind      read", "class     read (may run again)"]),
        ("SET @a = 1", ["class     write (must not run again)", "pins      user variables"]),
        ("KILL 1", ["refused   KILL is not carried"]),
    ],
)
def test_explain_says_what_becomes_of_a_statement(tmp_path: Path, statement: str, told: list[str]) -> None:
    result = CliRunner().invoke(main, ["mysql", "explain", _file(tmp_path), statement])
    assert all(each in result.output for each in told), result.output


def test_the_example_is_a_file_that_can_be_used(tmp_path: Path) -> None:
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


def test_the_daemon_carries_mysql_beside_http_and_drains_both(tmp_path: Path) -> None:
    async def work() -> None:
        async with scene(1) as stage:
            path = tmp_path / "mysql.toml"
            path.write_bytes(msgspec.toml.encode(given(stage.roster.address)))
            config = parse(_daemon(tmp_path, stage.roster.address, str(path)))
            log: list[str] = []
            sidecar = Sidecar(config, LoopNetwork(), log.append)
            await sidecar.start()
            assert sidecar.mysql is not None
            inner, stage.service = stage.service, sidecar.mysql
            await until(lambda: "m-0" in stage.service.carrier._servers)
            client = await stage.connect()
            assert await ask(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
            path.write_bytes(msgspec.toml.encode(given(stage.roster.address, users=given()["users"][:1])))
            sidecar.reload(parse(_daemon(tmp_path, stage.roster.address, str(path))))
            assert any(line.startswith("mysql: reloaded: 1 users") for line in log)
            await ask(client, "BEGIN")
            ending = asyncio.create_task(sidecar.stop())
            await until(lambda: stage.service.front.is_draining)
            assert await ask(client, "COMMIT") == 0
            await soon(ending)
            assert not stage.service.front.clients
            stage.service = inner

    run_async(work)


def test_a_daemon_whose_mysql_file_is_wrong_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "mysql.toml"
    path.write_bytes(msgspec.toml.encode(given("127.0.0.1:1", listen="here")))
    with pytest.raises(ConfigError, match="mysql: listen: "):
        parse(_daemon(tmp_path, "127.0.0.1:1", str(path)))
    with pytest.raises(ConfigError, match="mysql: the path of a file"):
        parse(json.loads(json.dumps({**_daemon(tmp_path, "127.0.0.1:1", ""), "mysql": 5})))


def test_bytes_of_no_protocol_end_a_connection_and_nothing_else() -> None:
    async def work() -> None:
        async with scene(1) as stage:
            for raw in (b"", b"GET / HTTP/1.1\r\n\r\n", bytes(64), b"\xff" * 64, b"\x01\0\0\x01\x00"):
                reader, writer = await asyncio.open_connection("127.0.0.1", stage.service.port)
                greeting = await soon(reader.readexactly(5))
                assert greeting[4] == 10
                writer.write(raw)
                writer.write_eof()
                await soon(reader.read())
                writer.close()
            # A request for TLS, which was not offered, is declined in words.
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.service.port)
            await soon(reader.readexactly(4))
            asked = int(Capability.PROTOCOL_41 | Capability.SSL).to_bytes(4, "little") + bytes(28)
            writer.write(len(asked).to_bytes(3, "little") + b"\x01" + asked)
            assert b"TLS was not offered" in await soon(reader.read())
            writer.close()
            client = await stage.connect()
            wire = Wire(client)
            wire._writer.write(b"\x01\0\0\x05" + bytes((Command.PING,)))  # a wrong number
            assert (await wire.packet())[:1] == b"\xff"
            await until(lambda: not stage.service.front.clients)
            assert stage.service.front.read == 0
            assert configured("127.0.0.1:1").name == "mysql"

    run_async(work)


def test_any_command_has_an_answer_or_ends_its_connection() -> None:
    async def work() -> None:
        chance = random.Random(11)
        silent = {Command.QUIT, Command.STMT_CLOSE, Command.STMT_SEND_LONG_DATA, Command.CHANGE_USER}
        async with scene(1) as stage:
            wire = Wire(await stage.connect())
            for _ in range(400):
                command = chance.choice([each for each in range(0x24) if each not in silent])
                payload = bytes((command,)) + chance.randbytes(chance.randrange(24))
                if command == Command.QUERY:
                    payload = bytes((command,)) + b"SELECT " + chance.randbytes(chance.randrange(9))
                if command == Command.STMT_PREPARE and chance.random() < 0.5:
                    continue
                first = (await wire.ask(payload))[0]
                assert first[:1] in (b"\x00", b"\xff", b"\xfe", b"C"), payload
                wire = Wire(await stage.connect()) if first[:1] == b"\x00" and len(first) > 11 else wire
                if len(stage.clients) > 1:
                    stage.clients.pop(0).close()
            assert (await wire.ask(bytes((Command.PING,))))[0][:1] == b"\x00"
            assert not [line for line in stage.log if "internal error" in line]

    run_async(work)


def test_a_client_that_sends_on_and_on_takes_no_room_of_others() -> None:
    async def work() -> None:
        async with scene(1, limits={"unfinished_bytes": 1 << 20}) as stage:
            server = stage.servers[0]
            server.takes_s = 0.5
            greedy, other = Wire(await stage.connect()), await stage.connect()
            greedy.send(bytes((Command.QUERY,)) + b"SELECT COUNT(*) FROM tariff")
            await until(lambda: bool(server.ran))
            ping = b"\x01\0\0\0" + bytes((Command.PING,))
            count = (4 << 20) // len(ping)
            greedy._writer.write(ping * count)
            await asyncio.sleep(0.1)
            assert stage.service.front.read < 1 << 20
            server.takes_s = 0.0
            assert await ask(other, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
            for _ in range(5):  # the statement's answer
                await greedy.packet()
            for _ in range(1_000):
                assert (await greedy.packet())[:1] == b"\x00"  # and then, all in their order

    run_async(work)


def test_servers_come_from_consul_as_they_do_from_the_roster() -> None:
    async def work() -> None:
        servers = [StandInMysql("m-0"), StandInMysql("m-1")]
        discovery = ConsulDiscovery()
        for server in servers:
            load(server)
            await server.start()
            discovery.servers.append(list_entry(server.name, server.address))
        await discovery.start()
        consul = consul_config(discovery.address, doubt_s=0)
        changes = {**given()["servers"], "consul": consul}
        service = MysqlService(configured(servers=changes), LoopNetwork(), 7, lambda _: None)
        service.start()
        stage = Scene(service, StandInRoster(), servers, [])
        await until(lambda: len(service.carrier._servers) == 2)
        client = await stage.connect()
        for _ in range(20):
            assert await ask(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
        assert all(server.ran for server in servers)
        discovery.publish(list_entry("m-0", servers[0].address, state="leaving"))
        await until(lambda: any(each.is_leaving for each in service.carrier._servers.values()))
        before = len(servers[0].ran)
        for _ in range(20):
            assert await ask(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
        assert len(servers[0].ran) == before
        client.close()
        service.close()
        discovery.stop()
        for server in servers:
            server.die()

    run_async(work)
