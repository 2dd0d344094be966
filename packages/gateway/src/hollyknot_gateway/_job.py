"""A request on its way through a host."""

import hashlib
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding import NoOwner
from hollyknot_gateway._caller_connection import CallerRequest, Reply
from hollyknot_gateway._exchange import StreamState
from hollyknot_state.routes import (
    CallTraits,
    KeyOwner,
    Route,
    Service,
    UpstreamEntry,
)


@attrs.define
class Job:
    """A request whose route and customer are known, and its tries so far.

    Attributes:
        request: As the caller sent it.
        reply: Its answer.
        call: What its headers say.
        route: Where it goes.
        service: The service that this request was given to.
        owner: Whose it is.
        fingerprint: Of its method, target, customer and body.
        urgency: The same at all hosts; 0 is the first.
        is_loose: Whether its stream bears long pauses.
        sheds_from: The urgency from which it may be refused under load.
        deadline_s: When it times out, on the loop's clock.
        stream: What the caller has got of a stream.
        sent: Upstreams that it was sent to.
        sent_before: The same without the try in work.
        may_have_run: Whether one of them may have run it.
        ran_before: The same without the try in work.
        tried: Those upstreams, and those that could not be connected to.
        asked: Upstreams whose loads were asked for before the next choice.
        asked_s: How long all such questions took so far.
        permits_refused: Permits for upstreams with a limit that it did not get.
    """

    request: CallerRequest
    reply: Reply
    call: CallTraits
    route: Route
    service: Service
    owner: KeyOwner | NoOwner
    fingerprint: int
    urgency: int
    is_loose: bool
    sheds_from: int
    deadline_s: float
    stream: StreamState = attrs.Factory(StreamState)
    sent: int = 0
    sent_before: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False
    tried: frozenset[str] = frozenset()
    asked: Sequence[UpstreamEntry] = ()
    asked_s: float = 0.0
    permits_refused: int = 0

    @property
    def is_least_urgent(self) -> bool:
        """Whether it is among the least urgent of its service."""
        return self.urgency >= self.sheds_from


def fingerprint(request: CallerRequest, call: CallTraits) -> int:
    """Returns what is equal when a request comes again, at any host."""
    head = f"{request.method} {request.target} {call.key}\n"
    digest = hashlib.blake2b(head.encode("utf-8", "replace"), digest_size=8)
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "big")
