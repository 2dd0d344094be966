"""Accepts callers' connections and closes them when the host shuts down."""

import asyncio
import heapq
from collections.abc import Callable

from hollyknot_coordination.holding import ByteBudget, default_capacity_bytes
from hollyknot_gateway._body_rules import BodyRules
from hollyknot_gateway._caller_connection import (
    CallerConnection,
    Handler,
    OnUnread,
    accept_any,
)
from hollyknot_gateway._connection_limits import (
    UNLIMITED,
    ConnectionLimits,
    Use,
)
from hollyknot_state import Address
from hollyknot_state.routes import CallerLimits

_CLOSED_SHARE = 64
"""At the limit, one in so many connections is closed together, so that finding
them costs little for each new one."""


class CallerServer:
    """Accepts and tracks all connections of callers to one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        on_unread: OnUnread,
        accepts: Callable[[str], bool] = accept_any,
        rules: BodyRules | None = None,
        budget: ByteBudget | None = None,
        most: ConnectionLimits = UNLIMITED,
    ) -> None:
        """Builds a server that does not listen yet.

        Args:
            handler: Answers each request.
            limits: Returns the limits for a new connection.
            on_unread: Called for each request that can't be read.
            accepts: Returns whether an IP address may connect.
            rules: Decides on requests that are not whole; None accepts all.
            budget: Bounds what all connections hold; None for a small budget
                of this server.
            most: Limits on connections. At the limit those idle for longest
                are closed, then those whose request is not whole.
        """
        self._handler = handler
        self._limits = limits
        self._on_unread = on_unread
        self._accepts = accepts
        self._rules = rules
        self._most = most
        self._budget = budget or ByteBudget(default_capacity_bytes(0))
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_last_answer = False

    @property
    def in_work(self) -> int:
        """Number of connections with a request not answered in full."""
        return sum(c.is_in_work for c in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def start(self, address: Address) -> int:
        """Starts to listen.

        Returns:
            The port that the server listens on.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port, backlog=self._most.backlog
        )
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def announce_close(self) -> None:
        """Closes each connection after its current or next answer."""
        self._is_last_answer = True
        for connection in self._connections:
            connection.close_after_answer()

    def close_idle(self) -> None:
        """Stops accepting connections and closes those without a request.

        A request that crosses the close is not read, so that its caller may
        safely send it to another host.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if not connection.has_request:
                connection.close()

    def sweep(self, now_s: float) -> int:
        """Closes connections that exceed their idle or head timeout.

        Returns:
            How many connections were closed.
        """
        for connection in list(self._connections):
            connection.count_unsent()
        overdue = [c for c in self._connections if c.is_overdue(now_s)]
        for connection in overdue:
            connection.close()
        return len(overdue)

    def close(self) -> None:
        """Stops listening and resets all connections."""
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
            self._accepts,
            self._rules,
            self._budget,
        )
        if self._is_last_answer:
            connection.close_after_answer()
        if self._has_room():
            self._connections.add(connection)
        else:
            connection.refuse()
        return connection

    def _has_room(self) -> bool:
        """Whether another connection may stay; others may be closed for it."""
        most = self._most.connections
        if len(self._connections) < most:
            return True
        spare = (c for c in self._connections if c.use is not Use.WORK)
        closed = heapq.nsmallest(
            most // _CLOSED_SHARE + 1,
            spare,
            key=lambda c: (c.use, c.idle_since),
        )
        for connection in closed:
            self._connections.discard(connection)
            connection.make_way()
        return bool(closed)
