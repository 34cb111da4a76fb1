"""Latency that each client path adds to a direct call, in one run on pinned cores: `make bench`.

    python benchmarks/library.py [--rounds 30] [--requests 160]

The host (this process) has two cores, the servers one, the daemon and the relay one each.  Every round
measures all paths, so that a drift of the machine affects all alike.  Then daemon and library are measured
with a thread of the host spinning in pure Python: the cost of the interpreter's lock.
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
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.http.messages import Request, Response
from micadeck.httpx import AsyncMicadeckTransport
from micadeck.library.request_validation import RequestOptions, to_http
from micadeck.network import LoopNetwork

Call = Callable[[], Awaitable[None]]
Measured = dict[
    str, tuple[list[float], list[float]]
]  # latencies of single calls, rates of concurrent callers
CONCURRENT_CALLERS = 16
PAUSE_S = 0.002  # between single calls, as in a host with other work
_REQUESTS = rig.requests()


class DirectClient(asyncio.Protocol):
    """A minimal client: one connection, one request at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        assert self._answer is not None
        if self._parser.get_status_code() == 200:
            self._answer.set_result(None)
        else:
            self._answer.set_exception(RuntimeError(f"status {self._parser.get_status_code()}"))

    async def call(self) -> None:
        loop = asyncio.get_running_loop()
        if self._transport is None or self._transport.is_closing():  # closed while idle
            await loop.create_connection(lambda: self, rig.HOST, self._port)
        assert self._transport is not None
        self._answer = loop.create_future()
        self._transport.write(next(_REQUESTS))
        await self._answer


def direct(ports: list[int]) -> list[Call]:
    """Connections spread over these ports."""
    return [DirectClient(ports[number % len(ports)]).call for number in range(CONCURRENT_CALLERS)]


def by_daemon(port: int, balancer: Micadeck) -> list[Call]:
    """The library's call as HTTP to the daemon, over the package's own client connection."""
    (service_class,) = [each for each in balancer.config.settings.classes if each.name == "check"]
    network = LoopNetwork()

    def caller() -> Call:
        idle: list[ClientConnection] = []

        async def call() -> None:
            if not idle or not idle[0].is_usable():
                make = lambda: ClientConnection(network, MAX_BODY_BYTES, idle.append, lambda _: None)  # noqa: E731
                idle[:] = [await network.dial(make, (rig.HOST, port))]
            connection = idle.pop()
            done: asyncio.Future[Response | Failure] = asyncio.get_running_loop().create_future()
            method, target, headers = to_http(service_class, RequestOptions("/api/7"))
            connection.exchange(Request(method, target, headers), done.set_result)
            result = await done
            if not isinstance(result, Response) or result.status != 200:
                raise RuntimeError(str(result))

        return call

    return [caller() for _ in range(CONCURRENT_CALLERS)]


def by_library(balancer: Micadeck) -> list[Call]:
    async def call() -> None:
        answer = await balancer.request("check", "/api/7")
        if answer.kind is not Kind.SERVED:
            raise RuntimeError(answer.reason)

    return [call] * CONCURRENT_CALLERS


def by_httpx(client: httpx.AsyncClient, urls: list[str]) -> list[Call]:
    async def call() -> None:
        headers = {
            "Request-Id": f"{random.getrandbits(64):016x}",
            "Request-Class": "check",
            "Request-Timeout": "3.0",
        }
        (await client.get(random.choice(urls), headers=headers)).raise_for_status()

    return [call] * CONCURRENT_CALLERS


async def sequential_latencies(call: Call, count: int, pause_s: float) -> list[float]:
    latencies = []
    for _ in range(count):
        began = time.perf_counter()
        await call()
        latencies.append(time.perf_counter() - began)
        if pause_s:
            await asyncio.sleep(pause_s)
    return latencies


async def concurrent_rate(calls: list[Call], count: int) -> float:
    """Requests a second of these callers running concurrently."""

    async def caller(call: Call) -> None:
        for _ in range(count // len(calls)):
            await call()

    began = time.perf_counter()
    await asyncio.gather(*(caller(each) for each in calls))
    return count // len(calls) * len(calls) / (time.perf_counter() - began)


@contextlib.contextmanager
def spinning_thread() -> Iterator[None]:
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


async def measure(
    paths: dict[str, list[Call]], rounds: int, count: int, pause_s: float = PAUSE_S
) -> Measured:
    measured: dict[str, tuple[list[float], list[float]]] = {name: ([], []) for name in paths}
    for calls in paths.values():
        await concurrent_rate(calls, count)  # warm-up
    for number in range(rounds):
        names = list(paths) if number % 2 == 0 else list(reversed(paths))
        for name in names:
            measured[name][0].extend(await sequential_latencies(paths[name][0], count, pause_s))
            measured[name][1].append(await concurrent_rate(paths[name], count))
    return measured


def compare(measured: Measured) -> None:
    """Print each path's latencies and what it adds to the direct call."""
    base = "direct, one server each"
    base_latencies = measured[base][0]
    print(f"| way | p50, us | p99, us | p50 added | p99 added | requests/s, {CONCURRENT_CALLERS} at once |")
    print("| --- | ---: | ---: | ---: | ---: | ---: |")
    for name, (latencies, rates) in measured.items():
        p50, p99 = rig.quantile(latencies, 0.5) * 1e6, rig.quantile(latencies, 0.99) * 1e6
        added_us = [
            p50 - rig.quantile(base_latencies, 0.5) * 1e6,
            p99 - rig.quantile(base_latencies, 0.99) * 1e6,
        ]
        added = "| | " if name == base else f"| {added_us[0]:.0f} | {added_us[1]:.0f} "
        print(f"| {name} | {p50:.0f} | {p99:.0f} {added}| {rig.median(rates):.0f} |")
    for part in (0.5, 0.99):
        ratio = rig.quantile(measured["(b) library"][0], part) / rig.quantile(measured["(a) daemon"][0], part)
        print(f"\nlibrary over daemon, p{part * 100:.0f}: {ratio:.2f}", end="")
    print()


async def run(addresses: list[str], daemon: int, relay: int, rounds: int, count: int) -> None:
    config = rig.configuration(addresses)
    ports = [int(each.rpartition(":")[2]) for each in addresses]
    async with Micadeck(config) as balancer, httpx.AsyncClient() as plain:
        transport = AsyncMicadeckTransport(balancer)
        async with httpx.AsyncClient(transport=transport) as balanced:
            paths = {
                "direct, one server each": direct(ports),
                "(a) daemon": by_daemon(daemon, balancer),
                "(a) daemon, requests ready as bytes": direct([daemon]),
                "(b) library": by_library(balancer),
                "(c) httpx, micadeck's transport": by_httpx(balanced, ["http://origin.svc/api/7"]),
                "(d) httpx, server at random": by_httpx(
                    plain, [f"http://{each}/api/7" for each in addresses]
                ),
                "(e) bare relay": direct([relay]),
                "(f) httpx, the daemon": by_httpx(plain, [f"http://{rig.HOST}:{daemon}/api/7"]),
            }
            print(f"single calls, {PAUSE_S * 1e3:.0f} ms apart:\n")
            compare(await measure(paths, rounds, count))
            main_paths = {
                name: calls for name, calls in paths.items() if not name.startswith(("(c", "(d", "(e", "(f"))
            }
            print("\nsingle calls, back to back:\n")
            compare(await measure(main_paths, rounds, count, 0.0))
            print("\nsingle calls apart, with one thread of the host spinning in pure Python:\n")
            with spinning_thread():
                busy = await measure(main_paths, max(rounds // 3, 1), max(count // 4, CONCURRENT_CALLERS))
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
