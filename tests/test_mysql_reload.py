"""MySQL's static list of servers through reloads."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from loopback import async_test
from mysql_stage import PASSWORD_FILE, configured

from micadeck.mysql.config import MysqlConfig
from micadeck.mysql.service import MysqlService
from micadeck.network import LoopNetwork


def _listing(*names: str) -> MysqlConfig:
    static = [{"name": name, "address": f"127.0.0.1:{number}"} for number, name in enumerate(names, 1)]
    servers = {"user": "sidecar", "password_file": str(PASSWORD_FILE), "static": static}
    return configured(servers=servers)


@contextmanager
def _running(config: MysqlConfig) -> Iterator[MysqlService]:
    service = MysqlService(config, LoopNetwork(), 7, lambda _: None)
    service.start()
    try:
        yield service
    finally:
        service.close()


@async_test
async def test_a_static_list_that_is_put_back_is_in_force_again() -> None:
    """Against a reload that compares with the list of the start in place of the one in force."""
    first, second = _listing("m-0"), _listing("m-0", "m-1", "m-2")
    with _running(first) as service:
        counts = []
        for config in (second, first, first, second):
            service.reload(config)
            counts.append(service.engine.known_servers)
    assert counts == [3, 1, 1, 3]


@async_test
async def test_a_static_list_stays_while_a_roster_waits_for_a_restart() -> None:
    """Against a reload that drops every server, though it can't take up what is to list them."""
    with _running(_listing("m-0", "m-1")) as service:
        service.reload(configured("127.0.0.1:1"))
        assert service.engine.known_servers == 2
