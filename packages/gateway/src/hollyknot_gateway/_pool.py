"""Kept connections to upstreams, by incarnation."""

import asyncio
import enum
from collections.abc import Callable

from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_state import Address

CONNECT_TIMEOUT_S = 0.3
"""A new connection in a data centre or a region takes milliseconds. A lost
opening packet is sent again only after a second: another upstream is sooner."""

DEFAULT_IDLE_S = 4.0
"""How long a connection is kept if its upstream does not say how long."""

_CLOSE_MARGIN_S = 1.0
"""How much sooner than the upstream a host gives an idle connection up: a
request that crosses the upstream's close may or may not have been read."""

_MIN_KEPT_FRACTION = 0.5
"""Of the time that an upstream says, where the margin would leave nothing."""


class ConnectFailure(enum.Enum):
    """No byte of a request has left: it is proved not to have run."""

    REFUSED = "refused"
    TIMEOUT = "timeout"


class Pool:
    """The host's connections to all upstreams."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Holds none yet; `close` ends what it holds."""
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    def has_idle(self, incarnation: str) -> bool:
        """Whether a connection is kept that carries no request."""
        return incarnation in self._idle

    async def take(
        self, incarnation: str, address: Address, timeout_s: float
    ) -> UpstreamConnection | ConnectFailure:
        """Returns a connection that carries no request.

        Args:
            incarnation: The upstream.
            address: Where it answers.
            timeout_s: The longest wait for a new connection.
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
        """Keeps a connection for the next request, if it is in order."""
        if connection.is_reusable:
            self._idle.setdefault(incarnation, []).append(connection)

    def drop(self, incarnation: str) -> None:
        """Closes the idle connections to an upstream that has gone."""
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
        """Makes a new connection."""
        loop = asyncio.get_running_loop()
        self._opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    UpstreamConnection, address.ip, address.port
                )
        except TimeoutError:
            return ConnectFailure.TIMEOUT
        except OSError:
            return ConnectFailure.REFUSED
        return connection
