"""Serves health, readiness, metrics and status to operators over HTTP."""

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
    """Whether a host accepts new requests, and why not.

    Attributes:
        is_ready: Whether the load balancer may send callers to this host.
        reason: Explanation for `/readyz` and for callers that are refused.
        refusal: Reason in the verdict of callers that are refused while the
            host is not ready.
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
        metrics: The metrics that `/metrics` renders.
        readiness: Returns the readiness; called for each `/readyz`.
        status: Returns a document that can be encoded as JSON; called for
            each `/status`.
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
