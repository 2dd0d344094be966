"""Refuses least-urgent requests by load and by their customers' shares."""

import functools

from hollyknot_coordination.forwarding import (
    Admission,
    OfferedRequest,
    Shed,
)
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_state.routes import KeyOwner, UpstreamEntry


def refusal_by_load(
    parts: FlowParts, job: Job, entries: list[UpstreamEntry], now_s: float
) -> str | None:
    """Decides whether to refuse one of the least urgent requests by load.

    Where the configuration names no customers, all are refused alike.

    Args:
        parts: The components of the host.
        job: The request.
        entries: Upstreams that it could be sent to.
        now_s: Current time in seconds.

    Returns:
        What the refusal says, or None if the request may be sent.
    """
    index = parts.in_force.index
    decide = functools.partial(
        parts.shedding.decide, entries, job.shed_from_urgency, now_s
    )
    if index is None or not index.names_customers:
        return _text(decide())
    request = _offered(job)
    decision = decide(
        lambda share: parts.customers.refused_share(request, share, now_s)
    )
    text = _text(decision)
    if text is None:
        return None
    over_share = parts.customers.over_share(request, now_s)
    parts.metrics.count(
        metrics.SHED, service=job.service.name, share=_position(over_share)
    )
    return text if over_share is None else f"{text}, {over_share=:.1f}"


def _offered(job: Job) -> OfferedRequest:
    owner = job.owner
    customer = owner.name if isinstance(owner, KeyOwner) else ""
    return OfferedRequest(job.service.name, customer, job.call.prompt_tokens)


def _position(over_share: float | None) -> str:
    if over_share is None:
        return "unknown"
    return "above" if over_share > 1.0 else "within"


def _text(decision: Admission | Shed) -> str | None:
    if not isinstance(decision, Shed):
        return None
    return f"{decision.in_flight} in flight, {decision.slots} slots"
