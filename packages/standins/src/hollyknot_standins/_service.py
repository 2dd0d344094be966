"""A plain service that records each call it runs."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
from aiohttp import web

from hollyknot_standins._server import (
    Faults,
    ServerOptions,
    Standin,
    flag,
    hang,
    json_body,
    number,
    refused,
    serving,
    text,
)


@attrs.frozen
class ServiceOptions(ServerOptions):
    """Where a service listens."""

    name: str = "service"


@attrs.frozen
class ServiceCall:
    """A call that ran."""

    method: str
    path: str
    idempotency_key: str
    request_id: str
    body: str


@attrs.define
class ServiceControl(Faults):
    """A service's faults and records.

    Attributes:
        draining: Calls are refused.
        slow_s: Seconds from a call's record to its answer.
        status: The status of its answers.
        crash: Crashes once, at the next call: `before` or `after` it runs.
        calls: The calls that ran.
    """

    draining: bool = flag()
    slow_s: float = number(0.0)
    status: int = number(200)
    crash: str = text("before", "after")
    calls: list[ServiceCall] = attrs.field(factory=list)


def _routes(name: str, standin: Standin[ServiceControl]) -> web.RouteTableDef:
    routes = web.RouteTableDef()
    control = standin.control

    @routes.get("/control/calls")
    async def calls(_request: web.Request) -> web.Response:
        return json_body({"calls": [attrs.asdict(c) for c in control.calls]})

    @routes.route("*", "/{path:.*}")
    async def call(request: web.Request) -> web.Response:
        body = (await request.read()).decode(errors="replace")
        if control.draining:
            return refused("draining")
        crash, control.crash = control.crash, ""
        if crash == "before":
            standin.crash()
            await hang()
        entry = ServiceCall(
            method=request.method,
            path=request.path_qs,
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            request_id=request.headers.get("X-Request-Id", ""),
            body=body,
        )
        control.calls.append(entry)
        if crash == "after":
            standin.crash()
            await hang()
        if control.slow_s:
            await asyncio.sleep(control.slow_s)
        answer: dict[str, Any] = {"service": name, **attrs.asdict(entry)}
        return json_body(answer, control.status)

    return routes


@contextlib.asynccontextmanager
async def start_service(
    options: ServiceOptions,
) -> AsyncIterator[Standin[ServiceControl]]:
    """Serves a plain service until the context ends."""
    standin = Standin(ServiceControl())
    routes = _routes(options.name, standin)
    async with serving(standin, options, routes):
        yield standin
