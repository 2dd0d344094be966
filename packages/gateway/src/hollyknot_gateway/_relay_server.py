"""Makes tries for peers that reach no upstream themselves."""

from collections.abc import Awaitable, Callable

import attrs

from hollyknot_coordination.forwarding import GiveUp
from hollyknot_coordination.holding import ByteBudget
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._body_rules import BodyRules
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_gateway._relay_messages import PATH, tell_verdict, to_job
from hollyknot_gateway._reply import Reply
from hollyknot_protocol import (
    MalformedMessageError,
    UnknownValueError,
    decode_as,
)
from hollyknot_state import Address, Outcome, Reason, Verdict
from hollyknot_state.routes import (
    CallerLimits,
    RelayedRequest,
    Service,
)

MAX_TAKEN = 512
"""Most tries for peers at a time. It bounds their memory and connections."""

_IDLE_TIMEOUT_S = 10.0
"""Seconds after which an idle connection of a peer is closed, well above the
time for which peers keep one."""

_ENVELOPE_BYTES = 131_072
"""Bytes that a relayed request may have beyond the caller's body."""

_UNAVAILABLE = 503


class RelayServer:
    """Accepts connections of peers and makes one try for each request."""

    def __init__(
        self,
        parts: FlowParts,
        serve: Callable[[Job], Awaitable[None]],
        on_unread: Callable[[int, str], None],
        budget: ByteBudget,
    ) -> None:
        """Builds a server that does not listen yet.

        Args:
            parts: The flow's parts.
            serve: Makes one try of a request and answers it.
            on_unread: Called for each request that can't be read.
            budget: Bounds what callers and peers make this host hold.
        """
        self._parts = parts
        self._serve = serve
        self._server = CallerServer(
            self._handle,
            self._limits,
            on_unread,
            parts.neighbours.has_ip,
            BodyRules(lambda _: _IDLE_TIMEOUT_S, self._refuse_unread),
            budget,
        )
        self._taken = 0
        self._is_stopping = False

    @property
    def in_work(self) -> int:
        """Number of tries for peers that have not ended."""
        return self._server.in_work

    async def start(self, address: Address) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        await self._server.start(address)
        self._parts.neighbours.set_takes_relays(True)

    def announce_close(self) -> None:
        """Refuses further requests; those in work go on."""
        self._is_stopping = True
        self._parts.neighbours.set_takes_relays(False)
        self._server.announce_close()

    def close_idle(self) -> None:
        """Closes connections without a request."""
        self._server.close_idle()

    def sweep(self, now_s: float) -> None:
        """Closes connections that exceed their timeouts."""
        self._server.sweep(now_s)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()

    def _limits(self) -> CallerLimits:
        index = self._parts.in_force.index
        limits = index.table.limits if index is not None else CallerLimits()
        return attrs.evolve(
            limits,
            max_body_bytes=limits.max_body_bytes + _ENVELOPE_BYTES,
            idle_timeout_s=_IDLE_TIMEOUT_S,
        )

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        message = _read(request)
        if isinstance(message, Verdict):
            self._refuse(reply, message)
            return
        host = self._parts.neighbours.host_of(message.sender, reply.sender_ip)
        refusal = self._refusal(message, host)
        if refusal is not None:
            self._refuse(reply, refusal)
            return
        job = to_job(
            message,
            reply,
            self._parts.dialect,
            self._service(message.pool),
            host,
            self._parts.clock(),
        )
        self._taken += 1
        try:
            await self._serve(job)
        finally:
            self._taken -= 1

    def _refusal(self, message: RelayedRequest, host: str) -> Verdict | None:
        """Returns why a request is not taken, or None if it is."""
        parts = self._parts
        if not host or message.recipient != parts.neighbours.incarnation:
            return _not_run(Reason.BAD_KEY, "the sender is not a known peer")
        if self._is_stopping:
            return _not_run(Reason.STOPPING)
        if self._taken >= MAX_TAKEN:
            return _not_run(Reason.NOT_READY, "too many tries for peers")
        if not parts.in_force.registry.usable(message.pool, parts.clock()):
            return _not_run(Reason.NO_UPSTREAM)
        return None

    def _service(self, name: str) -> Service:
        index = self._parts.in_force.index
        known = index.table.services.get(name) if index is not None else None
        return known or Service(name)

    def _refuse_unread(
        self, _: CallerRequest, reply: Reply, refusal: GiveUp
    ) -> None:
        self._refuse(reply, refusal.verdict)

    def _refuse(self, reply: Reply, verdict: Verdict) -> None:
        self._parts.log.line(
            "relay_refused",
            sender=reply.sender_ip,
            reason=verdict.reason.value,
            detail=verdict.detail,
        )
        self._parts.metrics.count(
            metrics.RELAYS_TAKEN, service="", outcome=verdict.reason.value
        )
        tell_verdict(reply, verdict)
        reply.respond(_UNAVAILABLE, (), b"")


def _read(request: CallerRequest) -> RelayedRequest | Verdict:
    if request.target != PATH or request.method != "POST":
        return _not_run(Reason.BAD_REQUEST, "not a relayed request")
    try:
        return decode_as(RelayedRequest, request.body)
    except (MalformedMessageError, UnknownValueError) as error:
        return _not_run(Reason.BAD_REQUEST, repr(error))


def _not_run(reason: Reason, detail: str = "") -> Verdict:
    return Verdict(Outcome.NOT_RUN, reason, detail)
