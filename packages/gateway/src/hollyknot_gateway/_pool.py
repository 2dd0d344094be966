"""Pools keep-alive connections to upstreams by incarnation."""

import asyncio
import enum
from collections.abc import Callable

from hollyknot_gateway._running_time import wait_while_running
from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_state import Address

CONNECT_TIMEOUT_S = 0.3
"""A new connection in a data centre or a region takes milliseconds. The kernel
resends a lost SYN only after a second; trying another upstream is faster."""

DEFAULT_IDLE_S = 4.0
"""How long an idle connection is kept if its upstream names no time."""

_CLOSE_MARGIN_S = 1.0
"""How much earlier than the upstream a host closes an idle connection: if a
request crosses the upstream's close, it is unknown whether it was read."""

_MIN_KEPT_FRACTION = 0.5
"""Least fraction of the upstream's keep-alive time for which a connection is
kept: the margin could use up a short time."""


class ConnectFailure(enum.Enum):
    """Reasons why a connection failed.

    No byte was sent in any of these cases, so the request has not run.
    """

    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST = "lost"
    """The connection was established and ended before it could be used."""


class Pool:
    """Opens connections to all upstreams and keeps the idle ones."""

    def __init__(
        self, clock: Callable[[], float], local_ip: str | None = None
    ) -> None:
        """Builds an empty pool; `close` closes its connections.

        Args:
            clock: The loop's monotonic clock, in seconds.
            local_ip: Address that connections come from; None for any.
        """
        self._clock = clock
        self._local = None if local_ip is None else (local_ip, 0)
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connection attempts so far."""
        return self._opened

    def has_idle(self, incarnation: str) -> bool:
        """Whether an idle connection to an upstream is kept."""
        return incarnation in self._idle

    async def acquire(
        self, incarnation: str, address: Address, timeout_s: float
    ) -> UpstreamConnection | ConnectFailure:
        """Returns an idle connection or opens a new one.

        Args:
            incarnation: The upstream's incarnation.
            address: The upstream's address.
            timeout_s: The longest wait for a new connection, in seconds for
                which this process runs; at most `CONNECT_TIMEOUT_S` counts.
        """
        idle = self._idle.get(incarnation)
        while idle:
            connection = idle.pop()
            if connection.is_reusable and self._is_fresh(connection):
                if not idle:
                    del self._idle[incarnation]
                return connection
            connection.close()
        self._idle.pop(incarnation, None)
        return await self.open(address, min(timeout_s, CONNECT_TIMEOUT_S))

    def release(self, incarnation: str, connection: UpstreamConnection) -> None:
        """Keeps a connection for the next request, if it can be reused."""
        if connection.is_reusable:
            self._idle.setdefault(incarnation, []).append(connection)

    def drop(self, incarnation: str) -> None:
        """Closes all idle connections to an upstream."""
        for connection in self._idle.pop(incarnation, ()):
            connection.close()

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        for incarnation, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_reusable and self._is_fresh(connection):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def close(self) -> None:
        """Closes all idle connections."""
        for incarnation in list(self._idle):
            self.drop(incarnation)

    def _is_fresh(self, connection: UpstreamConnection) -> bool:
        kept_s = connection.keeps_s or DEFAULT_IDLE_S
        limit_s = max(kept_s - _CLOSE_MARGIN_S, kept_s * _MIN_KEPT_FRACTION)
        return self._clock() - connection.idle_since < limit_s

    async def open(
        self, address: Address, timeout_s: float
    ) -> UpstreamConnection | ConnectFailure:
        """Opens a new connection.

        Returns:
            A connection that is open, or why there is none. A connection may
            end between its establishment and the event loop's return to this
            coroutine.
        """
        self._opened += 1
        loop = asyncio.get_running_loop()
        attempt = asyncio.ensure_future(
            loop.create_connection(
                UpstreamConnection,
                address.ip,
                address.port,
                local_addr=self._local,
            )
        )
        try:
            await wait_while_running((attempt,), timeout_s)
        except asyncio.CancelledError:
            _discard(attempt)
            raise
        if not attempt.done():
            _discard(attempt)
            return ConnectFailure.TIMEOUT
        if attempt.exception() is not None:
            return ConnectFailure.REFUSED
        _, connection = attempt.result()
        return connection if connection.is_open else ConnectFailure.LOST


def _discard(
    attempt: "asyncio.Future[tuple[asyncio.Transport, UpstreamConnection]]",
) -> None:
    """Gives up an attempt, and closes its connection if it has one already."""
    attempt.cancel()
    if attempt.done() and not attempt.cancelled() and not attempt.exception():
        attempt.result()[1].close()
