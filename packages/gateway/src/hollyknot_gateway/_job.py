"""Holds the state of one request while a host handles it."""

import hashlib
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding import NoOwner
from hollyknot_coordination.suspects import RequestIdentity, part_identities
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._exchange import StreamState
from hollyknot_gateway._lateness import Late
from hollyknot_gateway._reply import Reply
from hollyknot_state.routes import (
    CallTraits,
    KeyOwner,
    Route,
    Service,
    UpstreamEntry,
)


@attrs.frozen
class GrantedTrial:
    """A trial that the owner of an identity has granted to a request.

    Attributes:
        identity: What is suspected.
        sent: Number of times that the request had been sent by then.
    """

    identity: int
    sent: int


@attrs.define
class Job:
    """A request with a known route and customer, and its tries so far.

    Attributes:
        request: The request as the caller sent it.
        reply: Writes the answer to the caller.
        call: Values parsed from the request's headers.
        route: The route that matches the request's host and target.
        service: The service of the route that this request goes to.
        owner: The owner of the request's key.
        identity: Numbers by which all hosts know the request.
        urgency: Scheduling class, the same at all hosts; 0 is the most urgent.
        is_loose: Whether the stream tolerates long inter-token gaps.
        shed_from_urgency: The urgency from which requests may be shed under
            load.
        deadline_s: Time at which the request expires, on the loop's clock.
        stream: The part of an event stream that the caller has received.
        sent: Number of times that the request was sent to an upstream.
        sent_before: `sent` without the current try.
        may_have_run: Whether any upstream may have run the request.
        may_have_run_before: `may_have_run` without the current try.
        tried: Incarnations that were sent the request or could not be
            connected to.
        asked: Upstreams whose loads were queried for the next choice.
        asked_s: Seconds spent on all load queries so far.
        was_leaving: Whether the upstream of the current try had said before the
            request was sent that it is shutting down.
        rest_left_s: Seconds that its rest still had to last at that time.
        was_unreachable: Whether the upstream of the current try was known to be
            unreachable when it was chosen.
        permits_refused: Permits for rate-limited upstreams that were refused.
        sent_s: Time at which the current try was sent, on the loop's clock.
        is_resumed: Whether the current try goes on with a stream of which the
            caller has received a part.
        last_byte_s: Time of the last byte of all tries before the current one.
        late: Why the answer is late so far.
        is_admitted: Whether it has been decided not to shed the request.
        relays: Number of peers through which the request was to be relayed.
        is_refused_by_peer: Whether a peer has refused the last try for a reason
            that holds for all hosts.
        full_peers: Incarnations of the peers that had no free slot for it.
        is_without_slot: Whether the last try ended so.
        wants_slot: Whether a peer is offered it for a slot that the peer owns.
        version: Version of the upstreams' software that began the stream; None
            before its first event.
        tried_version: Version that the last try was sent to; None before it.
        relayed_for: Name of the host whose caller sent the request; empty if
            this host's own caller did.
        was_lost: Whether the last try was lost with its upstream.
        trial: The last trial that was granted to it; None for none.
        goes_on_try: Number of the last try with more than one part of a stream.
        goes_on_s: Time of the second part in that try, on the loop's clock.
        is_proved: Whether an upstream has gone on with its answer, so that no
            part of it crashes upstreams.
        may_be_retried: Whether the host whose caller sent it can try again.
        resumes_copy: Whether the current try goes on from the copy of a run.
        is_copied: Whether any run of it may have been copied.
    """

    request: CallerRequest
    reply: Reply
    call: CallTraits
    route: Route
    service: Service
    owner: KeyOwner | NoOwner
    identity: RequestIdentity
    urgency: int
    is_loose: bool
    shed_from_urgency: int
    deadline_s: float
    stream: StreamState = attrs.Factory(StreamState)
    sent: int = 0
    sent_before: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False
    tried: frozenset[str] = frozenset()
    asked: Sequence[UpstreamEntry] = ()
    asked_s: float = 0.0
    was_leaving: bool = False
    rest_left_s: float = 0.0
    was_unreachable: bool = False
    permits_refused: int = 0
    sent_s: float = 0.0
    is_resumed: bool = False
    last_byte_s: float = 0.0
    late: Late = Late.NO
    is_admitted: bool = False
    relays: int = 0
    is_refused_by_peer: bool = False
    full_peers: frozenset[int] = frozenset()
    is_without_slot: bool = False
    wants_slot: bool = False
    version: str | None = None
    tried_version: str | None = None
    was_lost: bool = False
    trial: GrantedTrial | None = None
    goes_on_try: int = 0
    goes_on_s: float = 0.0
    is_proved: bool = False
    relayed_for: str = ""
    may_be_retried: bool = False
    resumes_copy: bool = False
    is_copied: bool = False

    @property
    def is_take_up(self) -> bool:
        """Whether the caller goes on with a stream that broke off."""
        return self.route.may_resume and bool(self.call.last_event_id)

    @property
    def may_go_on(self) -> bool:
        """Whether another upstream may go on with what the caller has got."""
        if not self.reply.has_begun:
            return True
        return self.route.may_resume and self.stream.framer.is_resumable

    @property
    def customer(self) -> str:
        """Name of the customer whose key the request has; empty if none."""
        return self.owner.name if isinstance(self.owner, KeyOwner) else ""

    @property
    def is_least_urgent(self) -> bool:
        """Whether the request is among the least urgent of its service."""
        return self.urgency >= self.shed_from_urgency


def identify(
    request: CallerRequest, call: CallTraits, service: Service
) -> RequestIdentity:
    """Returns what is the same at each host if a request is repeated."""
    parts = part_identities(service.name, call.shared_parts)
    return RequestIdentity(_fingerprint(request), parts)


def _fingerprint(request: CallerRequest) -> int:
    """Returns a hash of the method, target and body.

    The customer's key isn't in it: the same request crashes upstreams whoever
    sends it.
    """
    head = f"{request.method} {request.target}\n"
    digest = hashlib.blake2b(head.encode("utf-8", "replace"), digest_size=8)
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "big")
