"""Sends messages to other hosts over links that are dialled on demand."""

import asyncio
import collections
import random
import time
from types import TracebackType
from typing import Any, Self

import attrs

from hollyknot_state import Address
from hollyknot_transport._links import (
    DEFAULT_LIMITS,
    LinkCredentials,
    LinkError,
    LinkErrorReason,
    LinkLimits,
)
from hollyknot_transport._links_counters import LinkCounters
from hollyknot_transport._links_dial import backoff_s, open_link
from hollyknot_transport._links_link import Clock, Link, LinkParts
from hollyknot_transport._links_outbox import Outgoing
from hollyknot_transport._links_packing import pack
from hollyknot_transport._logging import get_logger

_log = get_logger("links")

_UNUSED_PEER_RETENTION_S = 60.0
"""Seconds for which the record of a peer without a link or a dial is kept,
counted from the time at which the peer may be dialled again."""

_NOT_DIALLED = LinkError(LinkErrorReason.REFUSED, may_have_arrived=False)
"""The error of a peer whose last dial did not fail."""


@attrs.frozen
class _WaitingMessage:
    """A one-way message that waits for a dial to end.

    Attributes:
        item: The message as a frame.
        expected_host: Name of the host that the message is meant for; empty
            if any host at the address may receive it.
    """

    item: Outgoing
    expected_host: str


@attrs.define(eq=False)
class _Peer:
    """The pool's record of one address.

    Attributes:
        address: The address of the peer's link server.
        link: The newest link, until it ends.
        dial: The dial that is in progress.
        failures: Dials that failed since the last one that succeeded.
        retry_s: When the peer may be dialled again, in monotonic seconds.
        error: Why the last dial failed, for calls before `retry_s`.
        waiting: One-way messages that are sent once the dial succeeds.
    """

    address: Address
    link: Link | None = None
    dial: "asyncio.Task[Link | LinkError] | None" = None
    failures: int = 0
    retry_s: float = 0.0
    error: LinkError = _NOT_DIALLED
    waiting: collections.deque[_WaitingMessage] = attrs.Factory(
        collections.deque
    )

    @property
    def usable_link(self) -> Link | None:
        """The link if new messages may be sent on it, else None."""
        if self.link is not None and self.link.is_usable:
            return self.link
        return None


class LinkPool:
    """Sends calls and one-way messages to hosts over one link to each.

    The pool is an async context manager; leaving it closes all links.
    """

    def __init__(
        self,
        credentials: LinkCredentials,
        rng: random.Random,
        *,
        limits: LinkLimits = DEFAULT_LIMITS,
        counters: LinkCounters | None = None,
        clock: Clock = time.monotonic,
    ) -> None:
        """Creates a pool that has no links yet.

        Args:
            credentials: Keys and TLS with which hosts authenticate.
            rng: Source of the jitter of backoffs after failed dials.
            limits: Sizes, counts and times that bound the links.
            counters: Counters of the traffic; new ones by default.
            clock: Returns monotonic seconds.
        """
        self._credentials = credentials
        self._rng = rng
        self._limits = limits
        self._counters = counters or LinkCounters()
        self._clock = clock
        self._parts = LinkParts(
            limits, self._counters, clock, None, limits.idle_s
        )
        self._peers: dict[Address, _Peer] = {}
        self._links: dict[Link, asyncio.Task[None]] = {}
        self._sweeper: asyncio.Task[None] | None = None
        self._is_closed = False

    @property
    def counters(self) -> LinkCounters:
        """Counters of traffic, links and dropped messages."""
        return self._counters

    @property
    def open_links(self) -> int:
        """The number of open links."""
        return len(self._links)

    async def __aenter__(self) -> Self:
        """Starts the periodic check for silent and idle links."""
        self._sweeper = asyncio.ensure_future(self._sweep())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Closes all links; calls that still wait return `CLOSED`."""
        self._is_closed = True
        for link in self._links:
            link.abort(LinkErrorReason.CLOSED)
        dials = [p.dial for p in self._peers.values() if p.dial is not None]
        ending = [*dials, self._sweeper] if self._sweeper else dials
        for task in ending:
            task.cancel()
        await asyncio.gather(
            *ending, *self._links.values(), return_exceptions=True
        )

    async def call(
        self,
        ip: str,
        port: int,
        message: Any,
        timeout_s: float,
        *,
        traceparent: str = "",
        expected_host: str = "",
    ) -> Any | LinkError:
        """Sends a message to a host and waits for the reply.

        Args:
            ip: The IP address of the host.
            port: The port on which the host accepts links.
            message: An instance of a class that is registered for links.
            timeout_s: Seconds for the dial, if one is needed, and the reply.
            traceparent: The W3C trace context; empty for none.
            expected_host: The name of the only host that may receive the
                message, as another host may take over its address; empty if
                any host may receive it.

        Returns:
            The reply, or an error that says why there is none.

        Raises:
            UnencodableMessageError: The message cannot be sent.
        """
        deadline_s = self._clock() + timeout_s
        peer = self._peer_at(Address(ip, port))
        link = peer.usable_link or await self._dial_in_time(peer, timeout_s)
        if isinstance(link, LinkError):
            return link
        if expected_host not in ("", link.peer.host):
            return LinkError(
                LinkErrorReason.REJECTED,
                may_have_arrived=False,
                detail=f"{ip}:{port} belongs to {link.peer.host}, not to"
                f" {expected_host}",
            )
        remaining_s = deadline_s - self._clock()
        return await link.call(message, remaining_s, traceparent)

    def post(
        self,
        ip: str,
        port: int,
        message: Any,
        *,
        traceparent: str = "",
        expected_host: str = "",
    ) -> None:
        """Sends a one-way message on a best-effort basis, without waiting.

        The message is dropped, and counted as dropped, if the queue is full,
        the host cannot be reached or another host answers at its address. The
        arguments and errors are those of `call`.
        """
        peer = self._peer_at(Address(ip, port))
        waiting = _WaitingMessage(pack(message, traceparent), expected_host)
        link = peer.usable_link
        if link is not None:
            self._send(link, waiting)
        elif self._may_queue(peer):
            peer.waiting.append(waiting)
            self._start_dial(peer)
        else:
            self._counters.dropped += 1

    def sweep(self, now_s: float) -> None:
        """Pings or closes the links that were silent or idle for too long."""
        for link in tuple(self._links):
            link.check(now_s)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._limits.sweep_s)
            self.sweep(self._clock())

    def _send(self, link: Link, waiting: _WaitingMessage) -> None:
        is_sent = waiting.expected_host in ("", link.peer.host) and link.post(
            waiting.item
        )
        if not is_sent:
            self._counters.dropped += 1

    def _peer_at(self, address: Address) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(address)
        return peer

    async def _dial_in_time(
        self, peer: _Peer, timeout_s: float
    ) -> Link | LinkError:
        if self._is_closed:
            return LinkError(LinkErrorReason.CLOSED, may_have_arrived=False)
        if not self._may_dial(peer):
            return peer.error
        dial = self._start_dial(peer)
        # Other calls may wait for the same dial, so that a timeout of this
        # call must not cancel it.
        await asyncio.wait({dial}, timeout=timeout_s)
        if not dial.done():
            return LinkError(
                LinkErrorReason.TIMEOUT,
                may_have_arrived=False,
                detail=f"no connection within {timeout_s:.3f} s",
            )
        if dial.cancelled():
            return LinkError(LinkErrorReason.CLOSED, may_have_arrived=False)
        return dial.result()

    def _may_dial(self, peer: _Peer) -> bool:
        return peer.dial is not None or self._clock() >= peer.retry_s

    def _may_queue(self, peer: _Peer) -> bool:
        has_room = len(peer.waiting) < self._limits.waiting_messages
        return has_room and not self._is_closed and self._may_dial(peer)

    def _start_dial(self, peer: _Peer) -> "asyncio.Task[Link | LinkError]":
        if peer.dial is None:
            peer.dial = asyncio.ensure_future(self._dial(peer))
            self._evict_unused_peers()
        return peer.dial

    async def _dial(self, peer: _Peer) -> Link | LinkError:
        try:
            result = await open_link(
                peer.address, self._credentials, self._parts
            )
            if isinstance(result, LinkError):
                self._on_dial_failed(peer, result)
            else:
                self._on_dialled(peer, result)
        finally:
            peer.dial = None
        return result

    def _on_dialled(self, peer: _Peer, link: Link) -> None:
        self._counters.dialled += 1
        peer.link = link
        peer.failures = 0
        peer.error = _NOT_DIALLED
        task = asyncio.ensure_future(link.run())
        self._links[link] = task
        task.add_done_callback(lambda _: self._on_ended(peer, link))
        while peer.waiting:
            self._send(link, peer.waiting.popleft())

    def _on_dial_failed(self, peer: _Peer, error: LinkError) -> None:
        self._counters.dropped += len(peer.waiting)
        peer.waiting.clear()
        peer.error = error
        peer.retry_s = self._clock() + backoff_s(
            self._limits, peer.failures, self._rng
        )
        peer.failures += 1
        _log.info(
            "link_dial_failed",
            ip=peer.address.ip,
            port=peer.address.port,
            reason=error.reason.value,
            error=error.detail,
        )

    def _on_ended(self, peer: _Peer, link: Link) -> None:
        del self._links[link]
        if peer.link is link:
            peer.link = None

    def _evict_unused_peers(self) -> None:
        # Hosts are replaced continually, so that the records of hosts that
        # are gone would accumulate.
        now_s = self._clock()
        for address, peer in tuple(self._peers.items()):
            is_unused = peer.link is None and peer.dial is None
            if is_unused and now_s >= peer.retry_s + _UNUSED_PEER_RETENTION_S:
                del self._peers[address]
