"""What each way to the same servers adds to a direct call, in one run on pinned cores: `make bench`.

    python benchmarks/library.py [--rounds 30] [--requests 160]

The host (this process) has two cores, the servers one, the daemon and the relay one each.  All ways take
their turn in every round, so that a drift of the machine falls on each alike.  Then a thread of the host
spins in pure Python, and daemon and library are measured once more: that is what the interpreter's lock
costs.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Iterator

import httptools
import httpx
import rig
import uvloop

from micadeck import Kind, Micadeck
from micadeck.http.client import ClientConnection, Failure
from micadeck.http.h1 import MAX_BODY_BYTES, Request, Response
from micadeck.httpx import AsyncMicadeckTransport
from micadeck.library.request_validation import RequestOptions, to_http
from micadeck.network import LoopNetwork

Ask = Callable[[], Awaitable[None]]
Measured = dict[str, tuple[list[float], list[float]]]  # spans of single calls, rates of callers side by side
AT_ONCE = 16
PAUSE_S = 0.002  # between single calls, as between those of a host that has other work
_REQUESTS = rig.requests()


class Raw(asyncio.Protocol):
    """The least that a client can be: one connection, one request at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        assert self._waiter is not None
        if self._parser.get_status_code() == 200:
            self._waiter.set_result(None)
        else:
            self._waiter.set_exception(RuntimeError(f"status {self._parser.get_status_code()}"))

    async def ask(self) -> None:
        loop = asyncio.get_running_loop()
        if self._transport is None or self._transport.is_closing():  # at rest for too long
            await loop.create_connection(lambda: self, rig.HOST, self._port)
        assert self._transport is not None
        self._waiter = loop.create_future()
        self._transport.write(next(_REQUESTS))
        await self._waiter


def raw(ports: list[int]) -> list[Ask]:
    """So many connections to these ports in turn."""
    return [Raw(ports[number % len(ports)]).ask for number in range(AT_ONCE)]


def by_daemon(port: int, balancer: Micadeck) -> list[Ask]:
    """The library's call, worded for a daemon and read from it, by the package's own client connection."""
    (kind,) = [each for each in balancer.config.settings.classes if each.name == "check"]
    network = LoopNetwork()

    def caller() -> Ask:
        held: list[ClientConnection] = []

        async def ask() -> None:
            if not held or not held[0].is_usable():
                made = lambda: ClientConnection(network, MAX_BODY_BYTES, held.append, lambda _: None)  # noqa: E731
                held[:] = [await network.dial(made, (rig.HOST, port))]
            connection = held.pop()
            done: asyncio.Future[Response | Failure] = asyncio.get_running_loop().create_future()
            method, target, headers = to_http(kind, RequestOptions("/api/7"))
            connection.exchange(Request(method, target, headers), done.set_result)
            how = await done
            if not isinstance(how, Response) or how.status != 200:
                raise RuntimeError(str(how))

        return ask

    return [caller() for _ in range(AT_ONCE)]


def by_library(balancer: Micadeck) -> list[Ask]:
    async def ask() -> None:
        answer = await balancer.request("check", "/api/7")
        if answer.kind is not Kind.SERVED:
            raise RuntimeError(answer.reason)

    return [ask] * AT_ONCE


def by_httpx(client: httpx.AsyncClient, urls: list[str]) -> list[Ask]:
    async def ask() -> None:
        headers = {
            "Request-Id": f"{random.getrandbits(64):016x}",
            "Request-Class": "check",
            "Request-Timeout": "3.0",
        }
        (await client.get(random.choice(urls), headers=headers)).raise_for_status()

    return [ask] * AT_ONCE


async def one_by_one(ask: Ask, count: int, pause_s: float) -> list[float]:
    spans = []
    for _ in range(count):
        began = time.perf_counter()
        await ask()
        spans.append(time.perf_counter() - began)
        if pause_s:
            await asyncio.sleep(pause_s)
    return spans


async def at_once(asks: list[Ask], count: int) -> float:
    """Requests a second, with so many callers side by side."""

    async def caller(ask: Ask) -> None:
        for _ in range(count // len(asks)):
            await ask()

    began = time.perf_counter()
    await asyncio.gather(*(caller(each) for each in asks))
    return count // len(asks) * len(asks) / (time.perf_counter() - began)


@contextlib.contextmanager
def spinning() -> Iterator[None]:
    is_over = threading.Event()

    def spin() -> None:
        while not is_over.is_set():
            sum(range(1_000))

    thread = threading.Thread(target=spin)
    thread.start()
    try:
        yield
    finally:
        is_over.set()
        thread.join()


async def measure(ways: dict[str, list[Ask]], rounds: int, count: int, pause_s: float = PAUSE_S) -> Measured:
    got: dict[str, tuple[list[float], list[float]]] = {name: ([], []) for name in ways}
    for asks in ways.values():
        await at_once(asks, count)  # warm, and not counted
    for number in range(rounds):
        names = list(ways) if number % 2 == 0 else list(reversed(ways))
        for name in names:
            got[name][0].extend(await one_by_one(ways[name][0], count, pause_s))
            got[name][1].append(await at_once(ways[name], count))
    return got


def compare(got: Measured) -> None:
    """Print what each way took, and added to the direct call."""
    base = "direct, one server each"
    direct = got[base][0]
    print(f"| way | p50, us | p99, us | p50 added | p99 added | requests/s, {AT_ONCE} at once |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    for name, (spans, rates) in got.items():
        p50, p99 = rig.quantile(spans, 0.5) * 1e6, rig.quantile(spans, 0.99) * 1e6
        more = [p50 - rig.quantile(direct, 0.5) * 1e6, p99 - rig.quantile(direct, 0.99) * 1e6]
        added = "| | " if name == base else f"| {more[0]:.0f} | {more[1]:.0f} "
        print(f"| {name} | {p50:.0f} | {p99:.0f} {added}| {rig.median(rates):.0f} |")
    for part in (0.5, 0.99):
        ratio = rig.quantile(got["(b) library"][0], part) / rig.quantile(got["(a) daemon"][0], part)
        print(f"\nlibrary over daemon, p{part * 100:.0f}: {ratio:.2f}", end="")
    print()


async def run(addresses: list[str], daemon: int, relay: int, rounds: int, count: int) -> None:
    config = rig.configuration(addresses)
    ports = [int(each.rpartition(":")[2]) for each in addresses]
    async with Micadeck(config) as balancer, httpx.AsyncClient() as plain:
        transport = AsyncMicadeckTransport(balancer)
        async with httpx.AsyncClient(transport=transport) as balanced:
            ways = {
                "direct, one server each": raw(ports),
                "(a) daemon": by_daemon(daemon, balancer),
                "(a) daemon, requests ready as bytes": raw([daemon]),
                "(b) library": by_library(balancer),
                "(c) httpx, micadeck's transport": by_httpx(balanced, ["http://origin.svc/api/7"]),
                "(d) httpx, server at random": by_httpx(
                    plain, [f"http://{each}/api/7" for each in addresses]
                ),
                "(e) bare relay": raw([relay]),
                "(f) httpx, the daemon": by_httpx(plain, [f"http://{rig.HOST}:{daemon}/api/7"]),
            }
            print(f"single calls, {PAUSE_S * 1e3:.0f} ms apart:\n")
            compare(await measure(ways, rounds, count))
            few = {name: asks for name, asks in ways.items() if not name.startswith(("(c", "(d", "(e", "(f"))}
            print("\nsingle calls, back to back:\n")
            compare(await measure(few, rounds, count, 0.0))
            print("\nsingle calls apart, with one thread of the host spinning in pure Python:\n")
            with spinning():
                busy = await measure(few, max(rounds // 3, 1), max(count // 4, AT_ONCE))
            compare(busy)


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--rounds", type=int, default=30)
    given.add_argument("--requests", type=int, default=160)
    options = given.parse_args()
    cores = rig.spare_cores()
    if len(cores) < 5:
        raise SystemExit("five cores are needed: two for the host, one each for servers, daemon and relay")
    rig.pin(set(cores[:2]))
    with (
        rig.servers(cores[2], 4) as addresses,
        rig.daemon(cores[3], addresses) as (port, _),
        rig.process(cores[4], sys.executable, "benchmarks/relay.py", *addresses) as relay,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(run(addresses, port, int(relay.stdout.readline()), options.rounds, options.requests))


if __name__ == "__main__":
    main()
