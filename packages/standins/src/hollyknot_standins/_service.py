"""Simulates a plain HTTP service that records each call it runs."""

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

_NOT_FOUND = 404


@attrs.frozen
class ServiceOptions(ServerOptions):
    """Address and name of a service."""

    name: str = "service"


@attrs.frozen
class ServiceCall:
    """A call that the service ran.

    Attributes:
        method: HTTP method of the call.
        path: Path with its query.
        idempotency_key: Header Idempotency-Key; empty if there was none.
        request_id: Header X-Request-Id; empty if there was none.
        body: Body as text, with invalid UTF-8 replaced.
    """

    method: str
    path: str
    idempotency_key: str
    request_id: str
    body: str


@attrs.define
class ServiceControl(Faults):
    """Faults of a service, and the calls that it ran.

    Attributes:
        draining: Whether calls are refused.
        slow_s: Seconds from the recording of a call to its answer.
        status: HTTP status of the answers.
        crash: Whether the service crashes once, `before` or `after` the next
            call runs; empty for no crash.
        calls: Calls that ran, in order.
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

    @routes.get("/v1/load")
    async def load(_request: web.Request) -> web.Response:
        return json_body({"error": "no load report"}, _NOT_FOUND)

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
    """Runs a plain service until the context ends."""
    standin = Standin(ServiceControl())
    routes = _routes(options.name, standin)
    async with serving(standin, options, routes):
        yield standin
