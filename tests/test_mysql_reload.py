"""MySQL's static list of servers through reloads."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from loopback import async_test
from mysql_stage import PASSWORD_FILE, make_config

from micadeck.mysql.config import MysqlConfig
from micadeck.mysql.service import MysqlService
from micadeck.network import LoopNetwork


def _static_config(*names: str) -> MysqlConfig:
    static = [{"name": name, "address": f"127.0.0.1:{number}"} for number, name in enumerate(names, 1)]
    servers = {"user": "sidecar", "password_file": str(PASSWORD_FILE), "static": static}
    return make_config(servers=servers)


@contextmanager
def _running(config: MysqlConfig) -> Iterator[MysqlService]:
    service = MysqlService(config, LoopNetwork(), 7, lambda _: None)
    service.start()
    try:
        yield service
    finally:
        service.close()


@async_test
async def test_a_reload_to_an_earlier_static_list_restores_it() -> None:
    """A reload must compare with the current list, not with the one at the start."""
    first, second = _static_config("m-0"), _static_config("m-0", "m-1", "m-2")
    with _running(first) as service:
        counts = []
        for config in (second, first, first, second):
            service.reload(config)
            counts.append(service.engine.known_servers)
    assert counts == [3, 1, 1, 3]


@async_test
async def test_a_static_list_stays_if_the_reload_changes_to_a_roster() -> None:
    """The roster needs a restart, so the reload must not drop the servers."""
    with _running(_static_config("m-0", "m-1")) as service:
        service.reload(make_config("127.0.0.1:1"))
        assert service.engine.known_servers == 2
