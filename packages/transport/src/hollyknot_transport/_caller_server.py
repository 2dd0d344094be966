"""The HTTP server towards callers.

It is the library's low-level server: the routes are few, and the layers of an
application cost more time than a short request.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hollyknot_state import Address
from hollyknot_transport._server_header import make_request

HEAD_TIMEOUT_S = 30.0
"""Seconds that a connection may be without a request in work."""

END_S = 0.1
"""Seconds that requests get to end once a server is closed. A planned stop has
waited for them before; the library's minute would make a process that is to
end at once wait for its slowest request."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@attrs.define
class _Connection:
    transport: asyncio.Transport
    idle_since: float
    in_work: int = 0


class CallerServer(web.Server):
    """Counts requests in work by connection and closes idle connections."""

    def __init__(self, handler: Handler) -> None:
        """Wraps a handler.

        Args:
            handler: Answers each request; it is cancelled when the caller's
                connection is lost.
        """
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=make_request,
            access_log=None,
            keepalive_timeout=HEAD_TIMEOUT_S,
            lingering_time=1.0,
            auto_decompress=False,
        )
        self._inner = handler
        self._known: dict[RequestHandler, _Connection] = {}
        self._in_work = 0
        self._is_stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_work(self) -> int:
        """Requests that have not been answered in full."""
        return self._in_work

    def stop_keeping_alive(self) -> None:
        """Closes each connection after the answer it is busy with."""
        self._is_stopping = True
        for connection in list(self._known.values()):
            if not connection.in_work:
                connection.transport.close()

    async def idle(self) -> None:
        """Waits until no request is in work."""
        await self._idle.wait()

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Notes a new connection."""
        super().connection_made(handler, transport)
        now = asyncio.get_running_loop().time()
        self._known[handler] = _Connection(transport, now)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forgets a connection."""
        super().connection_lost(handler, exc)
        self._known.pop(handler, None)

    def sweep(self, now_s: float) -> int:
        """Closes connections that are too long without a request in work.

        A caller that sends its head a byte a second never reaches the handler,
        so that no timeout there would end it: such connections would pile up
        until no file descriptor is left.

        Args:
            now_s: The loop's clock.

        Returns:
            How many were closed.
        """
        stale = [
            c
            for c in self._known.values()
            if not c.in_work and now_s - c.idle_since > HEAD_TIMEOUT_S
        ]
        for connection in stale:
            connection.transport.close()
        return len(stale)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = self._known.get(request.protocol)
        self._in_work += 1
        self._idle.clear()
        if connection is not None:
            connection.in_work += 1
        try:
            response = await self._inner(request)
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
    server: web.Server, address: Address
) -> tuple[web.ServerRunner, int]:
    """Starts to listen.

    Args:
        server: What to serve.
        address: Where; port 0 takes a free one.

    Returns:
        The runner, whose `cleanup` stops the server, and the port.

    Raises:
        OSError: The address can't be listened on.
    """
    runner = web.ServerRunner(server, shutdown_timeout=END_S)
    await runner.setup()
    site = web.TCPSite(runner, address.ip, address.port, backlog=1024)
    await site.start()
    port: int = runner.addresses[0][1]
    return runner, port
