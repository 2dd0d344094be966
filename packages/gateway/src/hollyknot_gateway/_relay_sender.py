"""Relays requests through a peer while this host reaches no upstream itself."""

import asyncio
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import Tracker
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._exchange import Exchange, Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._headers import write_head
from hollyknot_gateway._job import Job
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._relay_messages import (
    PATH,
    PeerHeaders,
    read_peer_headers,
    to_message,
    without_peer_headers,
)
from hollyknot_gateway._running_time import wait_while_running
from hollyknot_gateway._tries import note_lateness
from hollyknot_gateway._try_records import event_ids
from hollyknot_gateway._upstream_connection import (
    Head,
    UpstreamConnection,
)
from hollyknot_gateway._upstream_selector import (
    UpstreamSelector,
    other_versions,
)
from hollyknot_protocol import encode
from hollyknot_state import Outcome, Reason, Verdict

MAX_RELAYS = 6
"""Most peers through which one request is to be relayed. In a large deployment
reports are rare, so that half of the peers may be cut off without a sign; each
of these costs a round trip."""

MAX_SLOT_OFFERS = 4
"""Most peers that are offered a request for which this host has no slot."""

UNKNOWN_VERSION = "?"
"""Version of an upstream that only the peer knows: none goes on there."""

_OTHER_VERSION = "the peer has used an upstream of another version"

ACCEPT_TIMEOUT_S = 0.3
"""Seconds within which a peer has to accept a request. It takes a round trip,
between regions tens of milliseconds."""

_REFUSED_BY_ALL = frozenset(
    {
        Reason.SHED,
        Reason.QUARANTINED,
        Reason.UPSTREAMS_RESTING,
        Reason.RATE_LIMITED,
    }
)
"""Reasons for which any other peer would refuse a request too."""

_UNSERVED = frozenset(
    {Reason.NO_UPSTREAM, Reason.CONNECT_FAILED, Reason.NOT_READY}
)
"""Reasons of a peer that reaches no upstream of the service either."""


class _Receiver:
    """Passes an answer on without the headers that the peer has added."""

    def __init__(
        self, exchange: Exchange, accepts: Callable[[PeerHeaders], bool]
    ) -> None:
        self._exchange = exchange
        self._accepts = accepts
        self.told = PeerHeaders()
        self.on_data = exchange.on_data
        self.on_end = exchange.on_end
        self.on_lost = exchange.on_lost

    def on_head(self, head: Head) -> None:
        self.told = read_peer_headers(head.fields)
        if self.told.verdict is not None:
            # The peer's own answer, which need not name the request.
            self._exchange.reject(self.told.verdict.detail)
            return
        if not self._accepts(self.told):
            self._exchange.reject(_OTHER_VERSION)
            return
        headers = without_peer_headers(head.headers)
        self._exchange.on_head(attrs.evolve(head, headers=headers))


class RelaySender:
    """Makes tries of this host's requests through peers."""

    def __init__(self, parts: FlowParts, selector: UpstreamSelector) -> None:
        """Builds the sender.

        Args:
            parts: The flow's parts.
            selector: Tells which upstreams may get a request now.
        """
        self._parts = parts
        self._selector = selector

    def peer_for(self, job: Job) -> Tracker | None:
        """Returns the peer to relay a request through.

        Returns:
            None if this host reaches an upstream and has a slot for the request
            there, or if no peer is known that can help.
        """
        parts = self._parts
        if job.relayed_for or job.relays >= MAX_RELAYS:
            return None
        if job.is_copied and job.may_have_run and job.version is None:
            # A peer does not know at which version it may have left a copy.
            return None
        owners = self._selector.other_slot_owners(job) - job.full_peers
        job.wants_slot = bool(owners)
        if owners and self._may_offer(job):
            return parts.relays.choose(job.service.name, parts.clock(), owners)
        if not parts.reachability.has_unreachable:
            return None
        if not self._selector.reaches_none(job):
            return None
        return parts.relays.choose(job.service.name, parts.clock())

    def _may_offer(self, job: Job) -> bool:
        """Counts an offer of a request to the owner of a slot, if allowed."""
        if len(job.full_peers) >= MAX_SLOT_OFFERS:
            return False
        parts = self._parts
        service = job.service.name
        if parts.brittle.spend_offer(service, parts.clock()):
            return True
        parts.metrics.count(metrics.OFFERS_WITHHELD, service=service)
        return False

    async def run(self, job: Job, peer: Tracker) -> Result:
        """Makes one try through a peer and returns its result."""
        parts = self._parts
        job.relays += 1
        job.is_refused_by_peer = False
        parts.relays.begin(peer)
        try:
            result, told = await self._try(job, peer)
        finally:
            parts.relays.end(peer)
        self._record(job, peer, result, told)
        return result

    async def _try(self, job: Job, peer: Tracker) -> tuple[Result, PeerHeaders]:
        parts = self._parts
        connection = await parts.relay_pool.acquire(
            str(peer.incarnation), peer.address, job.deadline_s - parts.clock()
        )
        if isinstance(connection, ConnectFailure):
            parts.relays.failed(peer, parts.clock())
            return _not_run(f"peer: {connection.value}"), PeerHeaders()
        if parts.grace.is_too_late(job):
            parts.relay_pool.release(str(peer.incarnation), connection)
            return Result(parts.grace.refusal(job)), PeerHeaders()
        exchange = self._exchange(
            job, connection, lambda: self._note_version(job, receiver.told)
        )
        receiver = _Receiver(exchange, lambda told: self._fits(job, told))
        try:
            if not await self._is_accepted(job, peer, receiver, exchange):
                connection.abandon()
                parts.relays.failed(peer, parts.clock())
                return _not_run("the peer has not accepted it"), receiver.told
            result = await self._result(job, exchange)
        except asyncio.CancelledError:
            # The peer stops a request whose sender has gone.
            connection.abandon()
            raise
        parts.relay_pool.release(str(peer.incarnation), connection)
        if not connection.is_reusable:
            connection.abandon()
        if receiver.told.verdict is not None:
            verdict = receiver.told.verdict
            result = attrs.evolve(result, verdict=verdict, answer=None)
        return result, receiver.told

    def _note_version(self, job: Job, told: PeerHeaders) -> None:
        """Notes the version of the upstream that a peer has used."""
        version = self._version(told)
        if version == UNKNOWN_VERSION:
            # The peer remembers the true one.
            job.version = version
            return
        self._parts.neighbours.versions.on_first_event(
            job, version, told.upstream
        )

    def _version(self, told: PeerHeaders) -> str:
        """Returns the version of the upstream that a peer has used."""
        if told.version is not None:
            return told.version
        entry = self._parts.in_force.registry.entry_of(told.upstream)
        return UNKNOWN_VERSION if entry is None else entry.version

    def _fits(self, job: Job, told: PeerHeaders) -> bool:
        """Whether an answer is of the version at which a stream goes on.

        A peer of an earlier release may use an upstream of another version that
        this host does not know.
        """
        if job.version is None or not told.upstream:
            return True
        return self._version(told) == job.version

    def _exchange(
        self,
        job: Job,
        connection: UpstreamConnection,
        on_first_event: Callable[[], None],
    ) -> Exchange:
        parts = self._parts
        stream = job.stream
        stream.begin_try(
            job.call, must_be_numbered=parts.dialect.numbers_events
        )
        # What upstreams say of themselves is learnt by the peer.
        return Exchange(
            parts.dialect,
            job.call.attempt_id,
            job.reply,
            stream,
            connection,
            parts.clock,
            on_first_event=on_first_event,
            on_interval=lambda _: None,
            on_traits=lambda *_: None,
        )

    async def _is_accepted(
        self, job: Job, peer: Tracker, receiver: _Receiver, exchange: Exchange
    ) -> bool:
        """Offers a request to a peer and sends it once the peer accepts it.

        Returns:
            Whether the request has been sent, so that it may run.
        """
        parts = self._parts
        usable = parts.in_force.registry.usable(job.service.name, parts.clock())
        message = to_message(
            job,
            job.tried | other_versions(job, usable),
            parts.neighbours.incarnation,
            peer.incarnation,
            job.deadline_s - parts.clock(),
            may_retry=self._may_retry(job),
        )
        body = encode(message)
        accepted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

        def on_body_sent() -> None:
            self._on_sent(job)
            accepted.set_result(None)

        exchange.connection.send_expecting(
            _head(peer, body), body, receiver, on_body_sent
        )
        await wait_while_running((accepted, exchange.done), ACCEPT_TIMEOUT_S)
        return accepted.done()

    def _on_sent(self, job: Job) -> None:
        job.sent_s = self._parts.clock()
        job.is_resumed = job.reply.has_begun
        job.sent += 1
        job.may_have_run = True

    async def _result(self, job: Job, exchange: Exchange) -> Result:
        parts = self._parts
        parts.stalls.add(
            exchange,
            "",
            job.service.name,
            job.route,
            lambda: self._retries_left(job),
        )
        try:
            result = await asyncio.shield(exchange.done)
        finally:
            parts.stalls.discard(exchange)
        note_lateness(job, result)
        if result.verdict.is_complete and not job.is_resumed:
            parts.grace.observe(job.route.name, result.took_s)
        if exchange.has_head:
            job.last_byte_s = exchange.last_byte_s
        return result

    def _may_retry(self, job: Job) -> bool:
        """Whether another try may follow the next one, even if it has run."""
        is_allowed = job.sent + 1 < job.route.max_attempts
        return (
            job.route.is_repeatable and is_allowed and self._budget(job) >= 1.0
        )

    def _retries_left(self, job: Job) -> float:
        if job.sent >= job.route.max_attempts or not job.may_go_on:
            return 0.0
        return self._budget(job)

    def _budget(self, job: Job) -> float:
        parts = self._parts
        return parts.budget.remaining(job.service.name, parts.clock())

    def _record(
        self, job: Job, peer: Tracker, result: Result, told: PeerHeaders
    ) -> None:
        parts = self._parts
        verdict = result.verdict
        is_sent = job.sent > job.sent_before
        if told.verdict is not None and not told.upstream:
            # The peer has sent the request to no upstream.
            job.sent = job.sent_before
        job.sent_before = job.sent
        job.tried |= {told.upstream} - {""}
        if told.upstream and self._version(told) != UNKNOWN_VERSION:
            job.tried_version = self._version(told)
        if verdict.is_proved_not_run:
            job.may_have_run = job.may_have_run_before
        else:
            job.may_have_run_before = True
        if is_sent:
            parts.relays.answered(peer)
            self._note_refusal(job, peer, told)
        if job.wants_slot and told.upstream:
            parts.brittle.on_offer_accepted(job.service.name, parts.clock())
        self._log(job, peer, result, told)

    def _note_refusal(self, job: Job, peer: Tracker, told: PeerHeaders) -> None:
        """Notes what a peer's refusal says of the next choice of a peer."""
        if told.verdict is None or told.upstream:
            return
        now_s = self._parts.clock()
        reason = told.verdict.reason
        job.is_refused_by_peer = reason in _REFUSED_BY_ALL
        if reason is Reason.NO_UPSTREAM and job.wants_slot:
            job.full_peers |= {peer.incarnation}
            job.is_without_slot = True
        elif reason in _UNSERVED:
            # It may lack upstreams of the stream's version only.
            if job.version is None:
                self._parts.relays.unserved(peer, job.service.name, now_s)
        elif not job.is_refused_by_peer:
            self._parts.relays.failed(peer, now_s)

    def _log(
        self, job: Job, peer: Tracker, result: Result, told: PeerHeaders
    ) -> None:
        verdict = result.verdict
        self._parts.log.line(
            "try" if verdict.is_complete else "failed_try",
            request=job.call.attempt_id,
            route=job.route.name,
            relay=peer.address.ip,
            upstream=told.upstream,
            sent=job.sent,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
            status=verdict.upstream_status,
            detail=verdict.detail,
            first_ms=_ms(result.first_s),
            gap_ms=_ms(result.gap_s),
            took_ms=_ms(result.took_s),
            tokens=job.call.prompt_tokens,
            customer=job.customer,
            late=job.late.value,
            **event_ids(job),
            resumes=job.call.resumes,
        )
        self._parts.metrics.count(
            metrics.RELAYED,
            service=job.service.name,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
        )


def _head(peer: Tracker, body: bytes) -> bytes:
    headers = (
        (b"Host", str(peer.address).encode()),
        (b"Content-Length", b"%d" % len(body)),
        (b"Expect", b"100-continue"),
    )
    return write_head(f"POST {PATH} HTTP/1.1".encode(), headers)


def _not_run(detail: str) -> Result:
    return Result(Verdict(Outcome.NOT_RUN, Reason.CONNECT_FAILED, detail))


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
