"""What a host answers to the balancer and to whoever reads its metrics."""

import contextlib
from collections.abc import Callable

from hollyknot_gateway._caller_connection import (
    CallerRequest,
    OnUnread,
    Reply,
)
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._metrics import Metrics
from hollyknot_state.routes import CallerLimits, GatewaySettings

_READY = 200
_NOT_READY = 503


class OperatorServers:
    """Two servers beside that of the callers."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        metrics: Metrics,
        on_unread: OnUnread,
    ) -> None:
        """Prepares to listen.

        Args:
            is_ready: Whether callers may be sent here.
            metrics: What is told.
            on_unread: Told of what can't be read as a request.
        """
        self._is_ready = is_ready
        self._metrics = metrics
        self._readiness = CallerServer(
            self._answer_readiness, CallerLimits, on_unread
        )
        self._scrapes = CallerServer(
            self._answer_scrape, CallerLimits, on_unread
        )

    async def start(
        self, settings: GatewaySettings, stack: contextlib.AsyncExitStack
    ) -> None:
        """Starts to listen until the stack ends.

        Raises:
            OSError: An address can't be listened on.
        """
        await self._readiness.start(settings.readiness)
        stack.callback(self._readiness.close)
        if settings.metrics is not None:
            await self._scrapes.start(settings.metrics)
            stack.callback(self._scrapes.close)

    def sweep(self, now_s: float) -> None:
        """Closes connections that are silent for too long."""
        self._readiness.sweep(now_s)
        self._scrapes.sweep(now_s)

    async def _answer_readiness(self, _: CallerRequest, reply: Reply) -> None:
        reply.whole(_READY if self._is_ready() else _NOT_READY, (), b"")

    async def _answer_scrape(self, _: CallerRequest, reply: Reply) -> None:
        kind = (b"Content-Type", b"text/plain; version=0.0.4")
        reply.whole(_READY, (kind,), self._metrics.render())
