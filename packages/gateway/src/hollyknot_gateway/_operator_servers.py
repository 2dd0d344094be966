"""Serves readiness checks to the balancer and metrics to scrapers."""

import contextlib
from collections.abc import Callable

from hollyknot_gateway._caller_connection import OnUnread
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._connection_limits import ConnectionLimits
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._reply import Reply
from hollyknot_state.routes import CallerLimits, GatewaySettings

_MOST = ConnectionLimits(connections=64, backlog=64)
_READY = 200
_NOT_READY = 503


class OperatorServers:
    """The servers for readiness checks and for scrapes of metrics."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        on_unread: OnUnread,
    ) -> None:
        """Creates both servers, which don't listen yet.

        Args:
            is_ready: Returns whether callers may be sent to this host.
            metrics: The metrics to serve.
            on_unread: Called with each request that can't be parsed.
        """
        self._is_ready = is_ready
        self._metrics = metrics
        self._readiness = CallerServer(
            self._answer_readiness, CallerLimits, on_unread, most=_MOST
        )
        self._scrapes = CallerServer(
            self._answer_scrape, CallerLimits, on_unread, most=_MOST
        )

    async def start(
        self, settings: GatewaySettings, stack: contextlib.AsyncExitStack
    ) -> None:
        """Listens until the stack is closed.

        Args:
            settings: The addresses to listen on; metrics are served only if
                there is one for them.
            stack: Closes the servers when it is closed.

        Raises:
            OSError: If the host can't listen on an address.
        """
        await self._readiness.start(settings.readiness)
        stack.callback(self._readiness.close)
        if settings.metrics is not None:
            await self._scrapes.start(settings.metrics)
            stack.callback(self._scrapes.close)

    def sweep(self, now_s: float) -> None:
        """Closes connections that have been idle for too long."""
        self._readiness.sweep(now_s)
        self._scrapes.sweep(now_s)

    async def _answer_readiness(self, _: CallerRequest, reply: Reply) -> None:
        reply.respond(_READY if self._is_ready() else _NOT_READY, (), b"")

    async def _answer_scrape(self, _: CallerRequest, reply: Reply) -> None:
        kind = (b"Content-Type", b"text/plain; version=0.0.4")
        reply.respond(_READY, (kind,), self._metrics.render())
