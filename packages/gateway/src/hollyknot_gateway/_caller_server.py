"""Listens for callers and ends their connections in a planned stop."""

import asyncio
from collections.abc import Callable

from hollyknot_gateway._caller_connection import (
    CallerConnection,
    Handler,
    OnUnread,
)
from hollyknot_state import Address
from hollyknot_state.routes import CallerLimits

BACKLOG = 1024
"""Callers that come back together after a fault; a full queue would cost each
of them a second or more until its opening packet is sent again."""


class CallerServer:
    """All connections of callers to one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        on_unread: OnUnread,
    ) -> None:
        """Prepares to listen.

        Args:
            handler: Answers each request.
            limits: Returns the limits for a new connection.
            on_unread: Told of what can't be read as a request.
        """
        self._handler = handler
        self._limits = limits
        self._on_unread = on_unread
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_last_answer = False

    @property
    def in_work(self) -> int:
        """Connections with a request that has not been answered in full."""
        return sum(c.has_request for c in self._connections)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    async def start(self, address: Address) -> int:
        """Starts to listen.

        Returns:
            The port.

        Raises:
            OSError: The address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port, backlog=BACKLOG
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def announce_close(self) -> None:
        """Makes each answer from now on the last of its connection."""
        self._is_last_answer = True
        for connection in self._connections:
            connection.close_after_answer()

    def close_idle(self) -> None:
        """Takes no new connections and ends those without a request.

        A request that crosses the close is not read, so that its caller may
        send it again elsewhere.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if not connection.has_request:
                connection.close()

    def sweep(self, now_s: float) -> int:
        """Closes connections whose callers are silent for too long.

        Returns:
            How many.
        """
        overdue = [c for c in self._connections if c.is_overdue(now_s)]
        for connection in overdue:
            connection.close()
        return len(overdue)

    def close(self) -> None:
        """Ends everything at once."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def _accept(self) -> CallerConnection:
        connection = CallerConnection(
            self._handler,
            self._limits(),
            self._connections.discard,
            self._on_unread,
        )
        if self._is_last_answer:
            connection.close_after_answer()
        self._connections.add(connection)
        return connection
