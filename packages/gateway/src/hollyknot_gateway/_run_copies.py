"""Chooses the runs that are copied to a second upstream."""

from hollyknot_coordination.forwarding import (
    copy_holder,
    has_secret_name,
    run_key,
)
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

MAX_COPY_S = 0.05
"""Link time in seconds that the copy of a run may take. It delays other copies
and what upstreams fetch from each other."""


def copy_target(
    parts: FlowParts, job: Job, entry: UpstreamEntry
) -> Address | None:
    """Returns the upstream to which a run is to be copied.

    A stream whose run has a copy goes on at its version even if its upstream
    and all hosts are lost. While only one version serves, no copy is needed.

    Args:
        parts: The flow's parts.
        job: The request, which is about to be sent.
        entry: The upstream that it is sent to.

    Returns:
        The upstream's address; None if the run is not to be copied.
    """
    engine = job.service.engine
    if not job.route.may_resume or engine is None or engine.copy_s is None:
        return None
    tokens = job.call.prompt_tokens + job.call.answer_tokens
    if tokens * engine.copy_s > MAX_COPY_S:
        return None
    attempt_id = job.call.attempt_id
    service = job.service.name
    if not has_secret_name(attempt_id):
        return None
    if not parts.neighbours.versions.are_changing(service):
        return None
    usable = parts.in_force.registry.usable(service, parts.clock())
    key = run_key(job.customer, attempt_id, job.call)
    holder = copy_holder(key, entry, usable)
    return None if holder is None else holder.address
