"""The httpx transports: requests reach the servers as through the daemon."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from typing import Any

import httpx
import pytest
from child_process_peers import run_stand_ins
from loopback import CLASSES, HOST, OK, ScriptedServer, list_entry, run_async, soon
from test_program import GOOD

from micadeck import Answer, Kind, Micadeck
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.httpx import AsyncMicadeckTransport, MicadeckTransport


def _config(server: ScriptedServer, **settings: Any) -> dict[str, Any]:
    known = {"version": 1, "full": True, "servers": [list_entry("s-0", server.address)]}
    return {**GOOD, "known": known, "settings": {**GOOD["settings"], **settings}}


def _answer(response: httpx.Response) -> Answer:
    answer = response.extensions["micadeck"]
    assert isinstance(answer, Answer)
    return answer


def test_an_async_client_is_balanced_by_its_transport_alone() -> None:
    async def work() -> None:
        server = await ScriptedServer(OK).start()
        async with Micadeck(_config(server), log=print) as balancer:
            transport = AsyncMicadeckTransport(balancer)
            async with httpx.AsyncClient(transport=transport, base_url="http://origin.svc") as client:
                checked = await client.get("/api/7", params={"x": "1 2"}, headers={"Tenant": "acme"})
                assert (checked.status_code, checked.text) == (200, "served")
                amended = await client.post("/api/8", json={"a": 1}, headers={"Idempotency-Key": "5c0f"})
                lodged = await client.post("/api/9", content=b"{}")
                responses = (checked, amended, lodged)
                assert [_answer(response).kind for response in responses] == [Kind.SERVED] * 3
        first, second, third = server.received
        assert first.target == "/api/7?x=1+2" and first.headers["host"] == "origin.svc"
        classes = [received.headers["request-class"] for received in (first, second, third)]
        assert classes == ["check", "amend", "lodge"]
        assert second.headers["content-type"] == "application/json"
        assert second.headers["idempotency-key"] == "5c0f"
        assert len({received.headers["request-id"] for received in server.received}) == 3
        server.stop()

    run_async(work)


def test_a_synchronous_client_is_balanced() -> None:
    with run_stand_ins(1) as stand_ins, Micadeck(stand_ins.config(), log=print) as balancer:
        with httpx.Client(transport=MicadeckTransport(balancer), base_url="http://x") as client:
            assert client.get("/api/1").text == "served"
            stand_ins.do("mode", "s-0", mode="turns away")
            refused = client.post("/api/2", content=b"x")
            assert refused.status_code == 503 and _answer(refused).kind is Kind.REFUSED
            stand_ins.do("mode", "s-0", mode="hangs")
            late = client.post("/api/3", content=b"x", timeout=0.3)
            assert late.status_code == 504 and _answer(late).may_have_run
        assert [received["target"] for received in stand_ins.received()] == ["/api/1", "/api/2", "/api/3"]


def test_streamed_bodies_are_joined_and_those_over_the_limit_reach_no_server() -> None:
    async def work() -> None:
        server = await ScriptedServer(OK).start()
        sent = 0

        async def chunks(count: int) -> AsyncIterator[bytes]:
            nonlocal sent
            for _ in range(count):
                sent += 1
                yield b"x" * 100_000

        async with Micadeck(_config(server), log=print) as balancer:
            async with httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer)) as client:
                assert (await client.post("http://x/api/1", content=chunks(7))).status_code == 200
                assert (await client.post("http://x/api/2", content=chunks(500))).status_code == 413
                assert sent < 400  # the rest of the body is not read
                large = await client.post("http://x/api/3", content=b"x" * (MAX_BODY_BYTES + 1))
                assert large.status_code == 413
        (received,) = server.received
        assert received.body == b"x" * 700_000 and received.headers["content-length"] == "700000"
        assert "transfer-encoding" not in received.headers
        server.stop()

    run_async(work)


def test_a_synchronous_streamed_body_over_the_limit_is_rejected() -> None:
    def chunks() -> Iterator[bytes]:
        yield from (b"x" * 1_000_000 for _ in range(40))

    with run_stand_ins(1) as stand_ins, Micadeck(stand_ins.config(), log=print) as balancer:
        with httpx.Client(transport=MicadeckTransport(balancer)) as client:
            assert client.post("http://x/api/1", content=chunks()).status_code == 413
        assert stand_ins.received() == []


@pytest.mark.parametrize("method", ["HEAD", "PUT", "DELETE", "OPTIONS"])
def test_methods_of_no_class_are_rejected_as_by_the_daemon(method: str) -> None:
    with run_stand_ins(1) as stand_ins, Micadeck(stand_ins.config(), log=print) as balancer:
        with httpx.Client(transport=MicadeckTransport(balancer)) as client:
            response = client.request(method, "http://x/api/1", headers={"Request-Class": "check"})
            assert response.status_code == 400
            assert client.request(method, "http://x/api/1").status_code == 400
        assert stand_ins.received() == []


def test_the_class_must_be_named_if_several_match() -> None:
    ambiguous = [*CLASSES, {**CLASSES[0], "name": "list"}]

    async def work() -> None:
        server = await ScriptedServer(OK).start()
        async with Micadeck(_config(server, lanes=ambiguous), log=print) as balancer:
            async with httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer)) as client:
                assert (await client.get("http://x/api/1")).status_code == 400
                named = await client.get("http://x/api/2", headers={"Request-Class": "list"})
                assert named.status_code == 200
            fixed = AsyncMicadeckTransport(balancer, service_class="check")
            async with httpx.AsyncClient(transport=fixed) as client:
                assert (await client.get("http://x/api/3")).status_code == 200
            with pytest.raises(ValueError, match="service_class"):
                AsyncMicadeckTransport(balancer, service_class="unheard-of")
        assert [received.headers["request-class"] for received in server.received] == ["list", "check"]
        server.stop()

    run_async(work)


def test_the_clients_read_timeout_is_the_requests_timeout() -> None:
    async def work() -> None:
        server = await ScriptedServer(OK).start()
        async with Micadeck(_config(server), log=print) as balancer:
            async with httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer)) as client:
                await client.get("http://x/api/1", timeout=0.75)
                await client.get("http://x/api/2", timeout=None)
        first, second = (float(received.headers["request-timeout"]) for received in server.received)
        assert 0.4 < first <= 0.75 and 2.0 < second <= 3.0
        server.stop()

    run_async(work)


def test_a_cancelled_call_withdraws_its_request() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        async with Micadeck(_config(server), log=print) as balancer:
            async with httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer)) as client:
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.2):
                        await client.post("http://x/api/1", content=b"x")
            while not server.closed:
                await soon(asyncio.sleep(0.01))
            assert len(server.received) == 1
        server.stop()

    run_async(work)


def test_responses_keep_the_headers_that_describe_their_body() -> None:
    chunked = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def work() -> None:
        server = await ScriptedServer(chunked + b"3\r\nser\r\n3\r\nved\r\n0\r\n\r\n").start()
        async with Micadeck(_config(server), log=print) as balancer:
            async with httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer)) as client:
                response = await client.get(f"http://{HOST}/api/1")
                assert (response.text, response.headers["content-type"]) == ("served", "text/plain")
                assert "x-own" not in response.headers
        server.stop()

    run_async(work)
