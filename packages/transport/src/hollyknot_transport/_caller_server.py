"""Serves HTTP to callers.

The server is built on the low-level server of aiohttp: there are few routes,
and the layers of an `aiohttp.web.Application` cost more time than a short
request.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hollyknot_state import Address
from hollyknot_transport._input_turns import (
    READ_BYTES,
    CallerInput,
    InputTurns,
)
from hollyknot_transport._server_header import make_request

HEAD_TIMEOUT_S = 30.0
"""Maximum time in seconds that a connection may have no request in progress."""

SHUTDOWN_TIMEOUT_S = 0.1
"""Time in seconds that requests have to end once the server is closed.

A planned stop has waited for them before that. With the default of aiohttp, a
minute, a process that is to exit at once would wait for its slowest request.
"""

MAX_CONNECTIONS = 1_000_000
_BACKLOG = 1024
_READ_BUFFER_BYTES = 65_536

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define
class _Connection:
    transport: asyncio.Transport
    idle_since: float
    in_work: int = 0


class CallerServer(web.Server):
    """Tracks the requests of each connection and closes idle connections."""

    def __init__(
        self, handler: Handler, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        """Builds a server around a handler.

        Args:
            handler: Answers each request. It is cancelled when the connection
                of the caller is lost.
            max_connections: Most connections that are open at a time.
        """
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=make_request,
            access_log=None,
            keepalive_timeout=HEAD_TIMEOUT_S,
            lingering_time=1.0,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
        )
        self._turns = InputTurns()
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._wrapped_handler = handler
        self._open_connections: dict[RequestHandler, _Connection] = {}
        self._max_connections = max_connections
        self._in_work = 0
        self._is_stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __call__(self) -> Any:
        """Returns the protocol of a new connection."""
        return CallerInput(super().__call__(), self._turns, self._buffer)

    @property
    def in_work(self) -> int:
        """Number of requests whose answer is not yet fully written."""
        return self._in_work

    def stop_keeping_alive(self) -> None:
        """Closes idle connections now and others after their current answer."""
        self._is_stopping = True
        for connection in list(self._open_connections.values()):
            if not connection.in_work:
                connection.transport.close()

    async def idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Registers a new connection, for which an idle one may be closed."""
        super().connection_made(handler, transport)
        now = asyncio.get_running_loop().time()
        if len(self._open_connections) >= self._max_connections:
            self._close_longest_idle(transport)
        self._open_connections[handler] = _Connection(transport, now)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Removes a closed connection."""
        super().connection_lost(handler, exc)
        self._open_connections.pop(handler, None)

    def sweep(self, now_s: float) -> int:
        """Closes connections that had no request in progress for too long.

        A caller that sends its request head one byte a second never reaches
        the handler, so no timeout of the handler applies to it. Such
        connections would accumulate until no file descriptor is left.

        Args:
            now_s: Current time of the event loop's clock in seconds.

        Returns:
            The number of connections that were closed.
        """
        stale = [
            c
            for c in self._open_connections.values()
            if not c.in_work and now_s - c.idle_since > HEAD_TIMEOUT_S
        ]
        for connection in stale:
            connection.transport.close()
        return len(stale)

    def _close_longest_idle(self, newest: asyncio.Transport) -> None:
        """Closes the connection without a request for the longest time.

        If all have requests, the newest connection is closed.
        """
        idle = [
            (handler, connection)
            for handler, connection in self._open_connections.items()
            if not connection.in_work
        ]
        if not idle:
            newest.abort()
            return
        handler, oldest = min(idle, key=lambda pair: pair[1].idle_since)
        # A connection is reported as lost only in the next turn of the loop.
        del self._open_connections[handler]
        oldest.transport.abort()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = self._open_connections.get(request.protocol)
        self._in_work += 1
        self._idle.clear()
        if connection is not None:
            connection.in_work += 1
        try:
            response = await self._wrapped_handler(request)
            await self._finish(request, response)
            return response
        finally:
            self._in_work -= 1
            if not self._in_work:
                self._idle.set()
            if connection is not None:
                connection.in_work -= 1
                connection.idle_since = asyncio.get_running_loop().time()

    async def _finish(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        if self._is_stopping:
            response.force_close()
        if not response.prepared:
            await response.prepare(request)
        await response.write_eof()


async def start_server(
    server: web.Server, address: Address, backlog: int = _BACKLOG
) -> tuple[web.ServerRunner, int]:
    """Starts a server at an address.

    Args:
        server: The server to start.
        address: Address to listen at; port 0 selects a free port.
        backlog: Most connections that wait to be accepted.

    Returns:
        The runner, whose `cleanup` stops the server, and the port.

    Raises:
        OSError: Listening at the address failed.
    """
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, address.ip, address.port, backlog=backlog)
    await site.start()
    port: int = runner.addresses[0][1]
    return runner, port
