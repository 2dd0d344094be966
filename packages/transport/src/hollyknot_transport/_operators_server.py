"""The HTTP server towards operators: health, readiness, metrics, status."""

from collections.abc import Callable

import attrs
import orjson
from aiohttp import web

from hollyknot_state import Reason
from hollyknot_transport._metrics import Metrics
from hollyknot_transport._server_header import make_request

_OK = 200
_UNAVAILABLE = 503


@attrs.frozen
class Readiness:
    """Whether a host takes new work, and why not.

    Attributes:
        is_ready: True if the balancer may send callers here.
        reason: A sentence.
        refusal: The reason that callers are given meanwhile.
    """

    is_ready: bool
    reason: str
    refusal: Reason = Reason.NOT_READY


def operators_server(
    metrics: Metrics,
    readiness: Callable[[], Readiness],
    status: Callable[[], dict[str, object]],
) -> web.Server:
    """Returns the server of `/healthz`, `/readyz`, `/metrics`, `/status`.

    Args:
        metrics: What `/metrics` renders.
        readiness: Asked at each `/readyz`.
        status: Asked at each `/status`; a document that JSON can hold.
    """

    def health(_: web.BaseRequest) -> web.Response:
        return web.Response(text="alive\n")

    def ready(_: web.BaseRequest) -> web.Response:
        current = readiness()
        code = _OK if current.is_ready else _UNAVAILABLE
        return web.Response(status=code, text=current.reason + "\n")

    def scrape(request: web.BaseRequest) -> web.Response:
        body, headers = metrics.render(request.headers.get("Accept", ""))
        return web.Response(body=body, headers=headers)

    def report(_: web.BaseRequest) -> web.Response:
        return web.Response(
            body=orjson.dumps(status()), content_type="application/json"
        )

    routes = {
        "/healthz": health,
        "/readyz": ready,
        "/metrics": scrape,
        "/status": report,
    }

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.method != "GET":
            return web.Response(status=405, text="GET only\n")
        route = routes.get(request.path)
        if route is None:
            known = ", ".join(routes)
            return web.Response(status=404, text=f"Known paths: {known}\n")
        return route(request)

    return web.Server(handle, access_log=None, request_factory=make_request)
