"""A pricing service that embeds the balancer; `MICADECK_CONFIG` is the path of its configuration.

`uvicorn examples.pricing:app` starts it.

- `GET /quote/7`: its handler sends a request with the balancer in the request's state.
- `GET /tariff/7`: its handler uses an httpx client with the balancer as transport.
- Requests below `/api/` with the protocol's headers are balanced without a handler.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import AsyncIterator

import httpx
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from micadeck import Kind, Micadeck
from micadeck.asgi import MicadeckMiddleware
from micadeck.httpx import AsyncMicadeckTransport

balancer = Micadeck(os.environ["MICADECK_CONFIG"])


async def quote(request: Request) -> JSONResponse:
    answer = await request.state.micadeck.request("check", f"/api/{request.path_params['number']}")
    if answer.kind is Kind.REFUSED:
        advice = {"Retry-After": str(answer.retry_after_s)} if answer.retry_after_s else {}
        return JSONResponse({"error": answer.reason}, 503, advice)
    if answer.kind is Kind.FAILED:
        return JSONResponse({"error": answer.reason, "may_have_run": answer.may_have_run}, 502)
    return JSONResponse({"quote": answer.body.decode()})


async def tariff(request: Request) -> JSONResponse:
    response = await request.app.state.client.get(f"/api/{request.path_params['number']}")
    return JSONResponse({"tariff": response.text}, response.status_code)


@contextlib.asynccontextmanager
async def lifespan(app: Starlette) -> AsyncIterator[None]:
    # The middleware starts the balancer before this runs, and drains it afterwards.
    transport = AsyncMicadeckTransport(balancer)
    async with httpx.AsyncClient(transport=transport, base_url="http://tariffs") as app.state.client:
        yield


app = MicadeckMiddleware(
    Starlette(routes=[Route("/quote/{number}", quote), Route("/tariff/{number}", tariff)], lifespan=lifespan),
    balancer,
    prefix="/api/",
)
