"""Requests that a host relays through a peer, which reaches the upstreams."""

import attrs

from hollyknot_state.routes._table import RouteKind


@attrs.frozen
class RelayedHeader:
    """A header of a caller's request.

    Attributes:
        name: The name as it was sent.
        content: The value as it was sent.
    """

    name: bytes
    content: bytes


@attrs.frozen
class RelayedRequest:
    """One try of a caller's request that a peer makes for another host.

    The sender has found the route and the customer and decides on retries. The
    recipient chooses the upstream, and applies its own limits as to requests of
    its own callers.

    Attributes:
        sender: Incarnation of the sending host.
        recipient: Incarnation of the host that the request is sent to.
        route: Name of the request's route.
        kind: Kind of the route.
        timeout_ms: Longest time that the route's callers wait.
        target_ms: Target for the answer or for its first event.
        gap_target_ms: Target for the longest gap between events; 0 for none.
        has_prompts: Whether the route's requests name the parts of a prompt.
        may_resume: Whether the route's broken streams may resume.
        pool: Name of the service; `service` is a reserved word of thrift.
        customer: Name of the customer whose key the request has; may be empty.
        fingerprint: Hash by which hosts recognise a repeated request.
        urgency: Urgency of the request; 0 is the most urgent.
        is_loose: Whether the stream tolerates long inter-token gaps.
        shed_from_urgency: Urgency from which requests may be shed under load.
        left_ms: Milliseconds for which the answer is still of use.
        may_retry: Whether the sender can try again if this try fails, even if
            the request may have run.
        method: HTTP method.
        target: Path and query.
        headers: Headers in order.
        has_body: Whether the request has a body, which may be empty.
        body: The whole body.
        last_event_id: Event after which a stream resumes; empty for its start.
        tried: Incarnations of upstreams that are not to be tried again.
        version: Version of the upstreams that the request may go to; None for
            any.
    """

    sender: int
    recipient: int
    route: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    gap_target_ms: int
    has_prompts: bool
    may_resume: bool
    pool: str
    customer: str
    fingerprint: int
    urgency: int
    is_loose: bool
    shed_from_urgency: int
    left_ms: int
    may_retry: bool
    method: str
    target: bytes
    headers: tuple[RelayedHeader, ...]
    has_body: bool
    body: bytes
    last_event_id: bytes = b""
    tried: tuple[str, ...] = ()
    version: str | None = None
