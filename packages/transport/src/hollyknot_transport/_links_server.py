"""Listens for links from other hosts and serves them."""

import asyncio
import collections
import contextlib
import socket
import time
from collections.abc import Coroutine
from types import TracebackType
from typing import Self

from hollyknot_protocol import FrameError, MalformedMessageError
from hollyknot_state import Address
from hollyknot_transport._links import (
    DEFAULT_LIMITS,
    Handler,
    LinkCredentials,
    LinkErrorReason,
    LinkLimits,
    PeerIdentity,
)
from hollyknot_transport._links_counters import LinkCounters
from hollyknot_transport._links_handshake import (
    PeerAuthenticationError,
    handshake_as_accepter,
)
from hollyknot_transport._links_link import Clock, Link, LinkParts
from hollyknot_transport._links_stream import (
    FrameStream,
    StreamEndedError,
    StreamOptions,
    accept_stream,
)
from hollyknot_transport._logging import get_logger

_log = get_logger("links")

_BACKLOG = 1024
_ACCEPT_RETRY_S = 0.1
"""Pause after a failed accept, in seconds."""


class LinkServer:
    """Listens at an address and serves every peer that authenticates.

    The server is an async context manager; leaving it closes all links.
    """

    def __init__(
        self,
        address: Address,
        credentials: LinkCredentials,
        handler: Handler,
        *,
        limits: LinkLimits = DEFAULT_LIMITS,
        counters: LinkCounters | None = None,
        clock: Clock = time.monotonic,
    ) -> None:
        """Creates a server that listens once its context is entered.

        Args:
            address: The address to listen at; port 0 picks a free port.
            credentials: Keys and TLS with which hosts authenticate.
            handler: Serves every message. It is called in the order in which
                messages arrive, without waiting for earlier calls to return.
            limits: Sizes, counts and times that bound the links.
            counters: Counters of the traffic; new ones by default.
            clock: Returns monotonic seconds.
        """
        self._address = address
        self._credentials = credentials
        self._limits = limits
        self._counters = counters or LinkCounters()
        self._parts = LinkParts(
            limits, self._counters, clock, handler, limits.accepted_idle_s
        )
        self._port = address.port
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._links: set[Link] = set()
        self._pending_handshakes: collections.Counter[str] = (
            collections.Counter()
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._port

    @property
    def counters(self) -> LinkCounters:
        """Counters of traffic, links and dropped messages."""
        return self._counters

    @property
    def peers(self) -> tuple[PeerIdentity, ...]:
        """The peers that have an open link to this server."""
        return tuple(k.peer for k in self._links if k.is_usable)

    async def __aenter__(self) -> Self:
        """Starts to listen and to accept links.

        Raises:
            OSError: The address is in use or does not belong to this host.
        """
        self._listener = _listen(self._address)
        self._port = self._listener.getsockname()[1]
        self._start_task(self._accept(self._listener))
        self._start_task(self._sweep())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops listening and ends all links and handlers."""
        for link in self._links:
            link.abort(LinkErrorReason.CLOSED)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._listener is not None:
            self._listener.close()

    def sweep(self, now_s: float) -> None:
        """Closes the links whose peer was silent for too long."""
        for link in tuple(self._links):
            link.check(now_s)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._limits.sweep_s)
            self.sweep(self._parts.clock())

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, name = await loop.sock_accept(listener)
            except OSError as error:
                # The process has most likely run out of file descriptors.
                # Without the pause this loop would use a whole core and starve
                # the tasks that could free a descriptor.
                _log.error("link_accept_failed", error=str(error))
                await asyncio.sleep(_ACCEPT_RETRY_S)
                continue
            self._on_connection(connection, name[0])

    def _on_connection(self, connection: socket.socket, ip: str) -> None:
        limits = self._limits
        if (
            self._pending_handshakes.total() >= limits.max_pending_handshakes
            or self._pending_handshakes[ip]
            >= limits.max_pending_handshakes_per_ip
        ):
            self._reject(
                ip,
                "too many connections with an unfinished handshake:"
                f" {self._pending_handshakes.total()} in all,"
                f" {self._pending_handshakes[ip]} from this address",
            )
            connection.close()
            return
        self._pending_handshakes[ip] += 1
        self._start_task(self._serve(connection, ip))

    async def _serve(self, connection: socket.socket, ip: str) -> None:
        async with contextlib.AsyncExitStack() as stack:
            try:
                link = await self._authenticate(connection, ip, stack)
            finally:
                self._pending_handshakes[ip] -= 1
                if not self._pending_handshakes[ip]:
                    del self._pending_handshakes[ip]
            if link is None:
                return
            self._counters.accepted += 1
            self._links.add(link)
            stack.callback(self._links.discard, link)
            await link.run()

    async def _authenticate(
        self,
        connection: socket.socket,
        ip: str,
        stack: contextlib.AsyncExitStack,
    ) -> Link | None:
        try:
            async with asyncio.timeout(self._limits.handshake_s):
                stream = await self._open(connection, ip)
                stack.callback(stream.abort)
                peer = await handshake_as_accepter(
                    stream, self._credentials, self._counters
                )
        except TimeoutError:
            self._reject(
                ip, f"no handshake within {self._limits.handshake_s} s"
            )
            return None
        except (
            PeerAuthenticationError,
            StreamEndedError,
            FrameError,
            MalformedMessageError,
            OSError,
        ) as error:
            self._reject(ip, str(error))
            return None
        stream.set_max_frame_bytes(self._limits.max_frame_bytes)
        return Link(stream, peer, self._parts)

    async def _open(self, connection: socket.socket, ip: str) -> FrameStream:
        limits = self._limits
        return await accept_stream(
            connection,
            ip,
            StreamOptions(
                self._credentials.accept_tls,
                limits.handshake_s,
                limits.max_handshake_frame_bytes,
            ),
        )

    def _reject(self, ip: str, error: str) -> None:
        self._counters.rejected += 1
        _log.warning("link_rejected", ip=ip, error=error)


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as stack:
        stack.callback(listener.close)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.ip, address.port))
        listener.listen(_BACKLOG)
        stack.pop_all()
    return listener
