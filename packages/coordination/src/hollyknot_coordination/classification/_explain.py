"""Says ahead what would happen to a request, by the code that decides it."""

import math
import random

import attrs

from hollyknot_coordination.classification._classify import (
    Absent,
    Classification,
    ModelCall,
    ServiceCall,
    classify,
)
from hollyknot_coordination.retries import (
    Answer,
    Attempt,
    http_status,
    next_step,
)
from hollyknot_state import Declarations, Nature, Outcome, Reason, Verdict


@attrs.frozen
class PossibleRefusal:
    """An end other than a complete answer that a request can have.

    Attributes:
        reason: What the caller reads in `X-Reason`.
        outcome: What the caller reads in `X-Verdict`.
        status: The HTTP status of the answer; 0 where the upstream's own goes
            to the caller.
        when: What leads to it.
    """

    reason: Reason
    outcome: Outcome
    status: int
    when: str


@attrs.frozen
class Explanation:
    """What would happen to a request.

    Attributes:
        result: What the request is, or the refusal that it gets.
        status: The HTTP status of that refusal; 0 if it is not refused.
        is_retried_if_not_run: Whether hollyknot itself tries it at another
            upstream after one proved that it did not run it.
        is_retried_if_lost: Whether it does so after an upstream was lost that
            may have run it.
        refusals: The ends it can still have; none if it is refused.
    """

    result: Classification | Verdict
    status: int = 0
    is_retried_if_not_run: bool = False
    is_retried_if_lost: bool = False
    refusals: tuple[PossibleRefusal, ...] = ()


_COMMON_ENDS: tuple[tuple[Reason, Outcome, str], ...] = (
    (Reason.BAD_REQUEST, Outcome.NOT_RUN, "the request is malformed"),
    (Reason.TOO_LARGE, Outcome.NOT_RUN, "its body exceeds max_body_bytes"),
    (Reason.NOT_READY, Outcome.NOT_RUN, "the host has just started"),
    (Reason.STOPPING, Outcome.NOT_RUN, "the host is stopping"),
    (Reason.SHED, Outcome.NOT_RUN, "its tier and those above fill the queue"),
    (
        Reason.TARGET_UNREACHABLE,
        Outcome.NOT_RUN,
        "it would be answered too late for its target",
    ),
    (Reason.NO_UPSTREAM, Outcome.NOT_RUN, "no upstream of its pool is usable"),
    (
        Reason.RATE_LIMITED,
        Outcome.NOT_RUN,
        "the rate limits that its upstreams have named are used up",
    ),
    (
        Reason.UPSTREAM_REFUSED,
        Outcome.NOT_RUN,
        "upstreams refused it before running it",
    ),
    (Reason.CONNECT_FAILED, Outcome.NOT_RUN, "no connection could be opened"),
    (
        Reason.QUARANTINED,
        Outcome.NOT_RUN,
        "upstreams were lost while they ran the same request",
    ),
    (
        Reason.UPSTREAM_LOST,
        Outcome.MAY_HAVE_RUN,
        "an upstream was lost after it was sent the request",
    ),
    (
        Reason.UPSTREAM_SILENT,
        Outcome.MAY_HAVE_RUN,
        "an upstream fell silent after it was sent the request",
    ),
    (Reason.TRUNCATED, Outcome.MAY_HAVE_RUN, "the answer broke off"),
    (Reason.UPSTREAM_ERROR, Outcome.FAILED, "the upstream answered an error"),
    (Reason.INTERNAL, Outcome.MAY_HAVE_RUN, "hollyknot itself has a fault"),
)
_NON_IDEMPOTENT_ENDS: tuple[tuple[Reason, Outcome, str], ...] = (
    (
        Reason.IDEMPOTENCY_KEY,
        Outcome.NOT_RUN,
        "Idempotency-Key is missing or no UUID of version 7",
    ),
    (
        Reason.CLAIM_UNDECIDED,
        Outcome.NOT_RUN,
        "too few holders of the key could be asked",
    ),
    (
        Reason.CLAIMED_BEFORE,
        Outcome.MAY_HAVE_RUN,
        "the key was used before; its request may have run",
    ),
    (
        Reason.KEY_EXPIRED,
        Outcome.MAY_HAVE_RUN,
        "the key is older than remember_s: what it ran before is forgotten",
    ),
)


def explain(
    declarations: Declarations,
    customer: str,
    class_name: str | Absent,
    call: ModelCall | ServiceCall,
) -> Explanation:
    """Explains a request as a host with these declarations would serve it.

    Args:
        declarations: A version, in force or not.
        customer: The customer's name.
        class_name: The header `X-Request-Class`.
        call: What is called.
    """
    found = classify(declarations, customer, class_name, call)
    if isinstance(found, Verdict):
        return Explanation(found, http_status(found))
    ends = _COMMON_ENDS + (
        _NON_IDEMPOTENT_ENDS if found.needs_idempotency_key else ()
    )
    return Explanation(
        result=found,
        is_retried_if_not_run=_is_retried(
            found.nature, Verdict(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)
        ),
        is_retried_if_lost=_is_retried(
            found.nature, Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        ),
        refusals=tuple(_possible_refusal(*end) for end in ends),
    )


def _possible_refusal(
    reason: Reason, outcome: Outcome, when: str
) -> PossibleRefusal:
    is_upstreams = outcome is Outcome.FAILED
    status = 0 if is_upstreams else http_status(Verdict(outcome, reason))
    return PossibleRefusal(reason, outcome, status, when)


def _is_retried(nature: Nature, verdict: Verdict) -> bool:
    """Asks the code that decides it, with nothing else in the way."""
    attempt = Attempt(
        nature=nature,
        tries=1,
        may_have_run_before=False,
        bytes_relayed=False,
        connection_reused=False,
        deadline_s=math.inf,
    )
    step = next_step(verdict, attempt, 1.0, 0.0, random.Random(0))
    return not isinstance(step, Answer)
