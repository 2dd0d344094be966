"""Carries messages over one link between two hosts after its handshake."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from hollyknot_protocol import (
    HEADER_BYTES,
    CallRefusal,
    CallRefusalReason,
    Envelope,
    FrameError,
    MalformedMessageError,
    Ping,
    Pong,
    Unknown,
    decode,
    decode_as,
    kind_name,
)
from hollyknot_transport._links import (
    Handler,
    LinkError,
    LinkErrorReason,
    LinkLimits,
    NoReply,
    PeerIdentity,
)
from hollyknot_transport._links_counters import LinkCounters
from hollyknot_transport._links_liveness import Liveness, LivenessAction
from hollyknot_transport._links_outbox import Outbox, Outgoing
from hollyknot_transport._links_packing import pack, read_reply
from hollyknot_transport._links_stream import FrameStream, StreamEndedError
from hollyknot_transport._logging import get_logger

_log = get_logger("links")

Clock = Callable[[], float]
"""Returns the current monotonic time in seconds."""


@attrs.frozen
class LinkParts:
    """The objects that all links of a server or a pool share.

    Attributes:
        limits: Limits of the links.
        counters: Counters of the links' traffic.
        clock: Source of the monotonic time in seconds.
        handler: Handler of the peer's messages; None if this side serves none.
        idle_s: Idle time in seconds after which this side closes a link.
    """

    limits: LinkLimits
    counters: LinkCounters
    clock: Clock
    handler: Handler | None
    idle_s: float


@attrs.frozen
class _PendingCall:
    """A call whose reply has not arrived."""

    item: Outgoing
    reply: "asyncio.Future[Any]"


class Link:
    """Exchanges calls, replies and one-way messages over one connection.

    Only `run` reads from and writes to the connection; the other methods put
    messages in a queue.
    """

    def __init__(
        self, stream: FrameStream, peer: PeerIdentity, parts: LinkParts
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._parts = parts
        limits = parts.limits
        self._outbox = Outbox(limits.queue_messages, limits.queue_bytes)
        self._liveness = Liveness(limits, parts.idle_s, parts.clock())
        self._pending_calls: dict[int, _PendingCall] = {}
        self._last_call_id = 0
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._is_retired = False
        self._end_reason: LinkErrorReason | None = None

    @property
    def peer(self) -> PeerIdentity:
        """Identity of the peer."""
        return self._peer

    @property
    def is_usable(self) -> bool:
        """Whether new messages may be sent on the link."""
        return self._end_reason is None and not self._is_retired

    async def run(self) -> None:
        """Carries messages until the link ends, then ends all pending calls."""
        tasks = {
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._write()),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.abort(LinkErrorReason.LOST)
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._log_failures(results)
        await self._finish_handlers()

    def abort(self, reason: LinkErrorReason, detail: str = "") -> None:
        """Closes the link at once; pending calls return the reason."""
        if self._end_reason is not None:
            return
        self._end_reason = reason
        self._stream.abort()
        for pending_call in self._pending_calls.values():
            if not pending_call.reply.done():
                error = LinkError(reason, pending_call.item.is_written, detail)
                pending_call.reply.set_result(error)

    async def call(
        self, message: Any, timeout_s: float, traceparent: str
    ) -> Any | LinkError:
        """Sends a message and waits for its reply.

        Returns:
            The reply, or the reason why there is none.

        Raises:
            UnencodableMessageError: The message cannot be sent.
        """
        self._last_call_id += 1
        call_id = self._last_call_id
        item = pack(message, traceparent, call_id=call_id)
        if self._end_reason is not None:
            return LinkError(self._end_reason, may_have_arrived=False)
        if not self._enqueue(item):
            return LinkError(LinkErrorReason.QUEUE_FULL, may_have_arrived=False)
        reply = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = _PendingCall(item, reply)
        sent_s = self._parts.clock()
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return self._on_timeout(item, sent_s)
        finally:
            item.is_cancelled = True
            del self._pending_calls[call_id]
            self._close_if_done()

    def post(self, item: Outgoing) -> bool:
        """Queues a frame; False if the queue is full or the link has ended."""
        if not self._enqueue(item):
            return False
        self._liveness.on_message_sent(self._parts.clock())
        return True

    def check(self, now_s: float) -> None:
        """Pings or closes the link if due; must be called at intervals."""
        action = self._liveness.check(
            now_s, is_reply_due=bool(self._pending_calls)
        )
        if action is LivenessAction.PING:
            self._enqueue(pack(Ping(), ""))
        elif action is LivenessAction.LOST:
            self._parts.counters.stalled += 1
            _log.warning("link_stalled", ip=self._peer.ip, peer=self._peer.host)
            self.abort(
                LinkErrorReason.LOST, "no bytes received, also not after a ping"
            )
        elif action is LivenessAction.IDLE and not self._handler_tasks:
            self.abort(LinkErrorReason.LOST, "closed because it was idle")

    def _on_timeout(self, item: Outgoing, sent_s: float) -> LinkError:
        if item.is_written and self._liveness.last_received_s < sent_s:
            # No byte was received since the call. If the connection is dead,
            # the next call on it would be lost as well. New calls get a new
            # connection, while pending calls keep this one.
            self._is_retired = True
        return LinkError(LinkErrorReason.TIMEOUT, item.is_written)

    def _close_if_done(self) -> None:
        if self._is_retired and not self._pending_calls:
            self.abort(
                LinkErrorReason.LOST,
                "closed after a call timed out with no bytes received",
            )

    def _enqueue(self, item: Outgoing) -> bool:
        return self._end_reason is None and self._outbox.put(item)

    def _log_failures(self, results: list[BaseException | None]) -> None:
        # An unexpected exception in one of the tasks ends the link as a lost
        # connection does; without this log line it would go unnoticed.
        for result in results:
            if isinstance(result, Exception):
                _log.error(
                    "link_failed",
                    ip=self._peer.ip,
                    peer=self._peer.host,
                    exc_info=result,
                )

    async def _finish_handlers(self) -> None:
        # Handlers run to their end also when the link is lost: a handler that
        # is stopped between two steps could leave only the first one done.
        # Handlers are cancelled only when the whole server stops.
        handler_tasks = tuple(self._handler_tasks)
        try:
            await asyncio.gather(*handler_tasks, return_exceptions=True)
        except asyncio.CancelledError:
            for task in handler_tasks:
                task.cancel()
            raise

    async def _write(self) -> None:
        counters = self._parts.counters
        while True:
            batch = await self._outbox.next_batch()
            for item in batch:
                counters.count_sent(item.kind, len(item.frame))
            try:
                await self._stream.write(b"".join(i.frame for i in batch))
            except StreamEndedError:
                return

    async def _read(self) -> None:
        try:
            while True:
                bodies = await self._stream.read_frames()
                self._liveness.on_bytes(self._parts.clock())
                for body in bodies:
                    self._on_frame(body)
        except StreamEndedError as error:
            self.abort(LinkErrorReason.LOST, str(error))
        except (FrameError, MalformedMessageError) as error:
            _log.warning(
                "link_rubbish",
                ip=self._peer.ip,
                peer=self._peer.host,
                error=str(error),
            )
            self.abort(
                LinkErrorReason.LOST,
                "the peer sent a malformed frame or message",
            )

    def _on_frame(self, body: bytes) -> None:
        envelope = decode_as(Envelope, body)
        message = decode(envelope.kind, envelope.body)
        self._parts.counters.count_received(
            kind_name(envelope.kind), HEADER_BYTES + len(body)
        )
        if envelope.reply_to:
            self._on_reply(envelope.reply_to, message)
        elif isinstance(message, Ping):
            self._reply(pack(Pong(), ""))
        elif not isinstance(message, Pong):
            self._on_message(envelope, message)

    def _on_reply(self, call_id: int, message: Any) -> None:
        self._liveness.on_use(self._parts.clock())
        pending_call = self._pending_calls.get(call_id)
        # A reply may arrive after its call timed out.
        if pending_call is not None and not pending_call.reply.done():
            pending_call.reply.set_result(read_reply(message))

    def _on_message(self, envelope: Envelope, message: Any) -> None:
        self._liveness.on_use(self._parts.clock())
        refusal = self._refusal_of(message)
        if refusal is None:
            task = asyncio.ensure_future(self._handle(envelope, message))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)
        elif envelope.call_id:
            self._refuse(envelope.call_id, refusal)

    def _refusal_of(self, message: Any) -> CallRefusalReason | None:
        if isinstance(message, Unknown):
            return CallRefusalReason.UNKNOWN_KIND
        if self._parts.handler is None:
            return CallRefusalReason.NOT_SERVED
        if len(self._handler_tasks) >= self._parts.limits.max_running:
            return CallRefusalReason.OVERLOADED
        return None

    async def _handle(self, envelope: Envelope, message: Any) -> None:
        handler = self._parts.handler
        assert handler is not None
        try:
            reply = await handler(self._peer, message, envelope.traceparent)
            if envelope.call_id and reply is not NoReply.NO_REPLY:
                self._reply(pack(reply, "", reply_to=envelope.call_id))
        except Exception:
            # Otherwise the exception would end the task unnoticed, and the
            # peer's call would wait for its timeout.
            _log.exception("link_handler_failed", peer=self._peer.host)
            if envelope.call_id:
                self._refuse(envelope.call_id, CallRefusalReason.FAILED)

    def _refuse(self, call_id: int, reason: CallRefusalReason) -> None:
        self._reply(pack(CallRefusal(reason), "", reply_to=call_id))

    def _reply(self, item: Outgoing) -> None:
        if not self._enqueue(item):
            self._parts.counters.dropped += 1
