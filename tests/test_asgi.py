"""The ASGI middleware: what it balances, what it passes on, and lifespan."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from embedding_parity import Host
from loopback import (
    OK,
    Answer,
    Client,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    list_entry,
    request,
    run_async,
    until,
)
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route
from test_program import GOOD

from micadeck import Kind, Micadeck
from micadeck.asgi import MicadeckMiddleware

Scenario = Callable[[Host, ScriptedServer], Awaitable[None]]


async def _page(request: Request) -> PlainTextResponse:
    return PlainTextResponse(f"page {request.url.path}")


async def _quote(request: Request) -> PlainTextResponse:
    """A handler that sends a request itself."""
    answer = await request.state.micadeck.request("check", "/api/from-a-handler")
    assert isinstance(answer.body, bytes)
    return PlainTextResponse(answer.body)


def application() -> Starlette:
    return Starlette(
        routes=[
            Route("/quote", _quote),
            Route("/{rest:path}", _page, methods=["GET", "POST"]),
        ]
    )


async def _run_hosted(make_app: Callable[[Micadeck], Any], scenario: Scenario, script: Any) -> None:
    server, discovery = await ScriptedServer(script).start(), ScriptedDiscovery()
    discovery.servers = [list_entry("s-0", server.address)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    balancer = Micadeck({**GOOD, "discovery": discovery.address, "known": known}, log=print)
    host = await Host(make_app(balancer)).started()
    try:
        await scenario(host, server)
    finally:
        await host.stop()
        server.stop()
        discovery.stop()
    assert "micadeck-engine" not in {thread.name for thread in threading.enumerate()}


def run_hosted(make_app: Callable[[Micadeck], Any], scenario: Scenario, script: Any = OK) -> None:
    """Run a scenario against an application under uvicorn, with one server."""
    run_async(lambda: _run_hosted(make_app, scenario, script))


async def _send(host: Host, raw: bytes) -> Answer:
    client = await host.client()
    client.send(raw)
    try:
        return await client.answer()
    finally:
        client.close()


def test_requests_with_the_headers_under_the_prefix_are_balanced_and_others_passed_on() -> None:
    async def scenario(host: Host, server: ScriptedServer) -> None:
        assert (await _send(host, request(target="/api/1"))).body == b"served"
        assert (await _send(host, request("lodge", target="/api/2", body=b"x"))).body == b"served"
        without_headers = b"GET /api/3 HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await _send(host, without_headers)).body == b"page /api/3"
        assert (await _send(host, request(target="/elsewhere"))).body == b"page /elsewhere"
        # A request of the protocol that lacks a header is rejected, not passed to the application.
        assert (await _send(host, request(target="/api/4", Request_Class=""))).status == 400
        assert [received.target for received in server.received] == ["/api/1", "/api/2"]

    run_hosted(lambda balancer: MicadeckMiddleware(application(), balancer), scenario)


def test_handlers_reach_the_balancer_from_the_requests_state() -> None:
    async def scenario(host: Host, server: ScriptedServer) -> None:
        assert (await _send(host, b"GET /quote HTTP/1.1\r\nHost: x\r\n\r\n")).body == b"served"
        assert [received.target for received in server.received] == ["/api/from-a-handler"]

    def make_app(balancer: Micadeck) -> Starlette:
        app = application()
        app.add_middleware(MicadeckMiddleware, balancer=balancer)
        return app

    run_hosted(make_app, scenario)


async def _app_without_lifespan(scope: Any, receive: Any, send: Any) -> None:
    if scope["type"] != "http":
        raise RuntimeError("unsupported scope type")
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body"})


def test_the_balancer_starts_for_an_application_without_lifespan() -> None:
    async def scenario(host: Host, server: ScriptedServer) -> None:
        assert (await _send(host, request(target="/api/1"))).body == b"served"

    run_hosted(lambda balancer: MicadeckMiddleware(_app_without_lifespan, balancer), scenario)


def test_the_engine_ends_if_the_application_fails_to_start() -> None:
    async def fails_to_start(scope: Any, receive: Any, send: Any) -> None:
        await receive()
        await send({"type": "lifespan.startup.failed", "message": "no"})

    async def work() -> None:
        sent: list[str] = []

        async def receive() -> dict[str, str]:
            return {"type": "lifespan.startup"}

        async def send(message: Any) -> None:
            sent.append(message["type"])

        middleware = MicadeckMiddleware(fails_to_start, Micadeck(GOOD, log=print))
        await middleware({"type": "lifespan"}, receive, send)
        assert sent == ["lifespan.startup.failed"]
        assert "micadeck-engine" not in {thread.name for thread in threading.enumerate()}

    run_async(work)


def test_a_balancer_that_was_started_before_is_left_running() -> None:
    async def work() -> None:
        async with Micadeck(GOOD, log=print) as balancer:
            host = await Host(MicadeckMiddleware(application(), balancer)).started()
            await host.stop()
            assert (await balancer.request("check", "/api/1")).kind is Kind.REFUSED  # no server is listed
            assert "micadeck-engine" in {thread.name for thread in threading.enumerate()}

    run_async(work)


def test_shutdown_answers_accepted_requests() -> None:
    async def slow(_request: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.4)
        return OK

    async def scenario(host: Host, server: ScriptedServer) -> None:
        client = await host.client()
        client.send(request("lodge", target="/api/1"))
        await until(lambda: len(server.received) == 1)
        host.server.should_exit = True
        assert (await client.answer()).status == 200

    run_hosted(lambda balancer: MicadeckMiddleware(application(), balancer), scenario, slow)


def test_a_client_that_disconnects_before_its_body_is_complete_sends_no_request() -> None:
    async def scenario(host: Host, server: ScriptedServer) -> None:
        client: Client = await host.client()
        client.send(request("lodge", target="/api/1", body=b"x" * 10)[:-1])
        await asyncio.sleep(0.05)
        client.close()
        assert (await _send(host, request(target="/api/2"))).status == 200
        assert [received.target for received in server.received] == ["/api/2"]

    run_hosted(lambda balancer: MicadeckMiddleware(application(), balancer), scenario)


def test_a_prefix_that_is_not_a_path_is_rejected() -> None:
    with pytest.raises(ValueError, match="prefix"):
        MicadeckMiddleware(application(), GOOD, prefix="api")
