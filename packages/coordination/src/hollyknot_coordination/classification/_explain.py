"""Predicts how a request would be served, using the code that serves it."""

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
    """A way in which a request can end other than with a complete answer.

    Attributes:
        reason: Value of the header `X-Reason` in the answer.
        outcome: Value of the header `X-Verdict` in the answer.
        status: HTTP status of the answer; 0 if the upstream's own status is
            passed on.
        when: Phrase that says in which case the request ends so.
    """

    reason: Reason
    outcome: Outcome
    status: int
    when: str


@attrs.frozen
class Explanation:
    """The predicted handling of a request.

    Attributes:
        result: Classification of the request, or its refusal.
        status: HTTP status of the refusal; 0 if the request is not refused.
        is_retried_if_not_run: Whether hollyknot itself retries the request at
            another upstream after one proved that it did not run it.
        is_retried_if_lost: Whether hollyknot retries the request after the
            loss of an upstream that may have run it.
        refusals: Ways in which the request can still fail; empty if it is
            refused already.
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
        Reason.UPSTREAMS_RESTING,
        Outcome.NOT_RUN,
        "all its upstreams asked for a rest",
    ),
    (
        Reason.RATE_LIMITED,
        Outcome.NOT_RUN,
        "the rate limits that its upstreams announced are used up",
    ),
    (
        Reason.VERSION_UNKNOWN,
        Outcome.NOT_RUN,
        "it is not known which version of the upstreams began its stream",
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
        "upstreams crashed while they ran the same request",
    ),
    (
        Reason.UPSTREAM_LOST,
        Outcome.MAY_HAVE_RUN,
        "an upstream was lost after the request was sent to it",
    ),
    (
        Reason.UPSTREAM_SILENT,
        Outcome.MAY_HAVE_RUN,
        "an upstream stopped answering after the request was sent to it",
    ),
    (
        Reason.TRUNCATED,
        Outcome.MAY_HAVE_RUN,
        "the answer ended before it was complete",
    ),
    (Reason.UPSTREAM_ERROR, Outcome.FAILED, "the upstream returned an error"),
    (Reason.INTERNAL, Outcome.MAY_HAVE_RUN, "an internal error in hollyknot"),
)
_NON_IDEMPOTENT_ENDS: tuple[tuple[Reason, Outcome, str], ...] = (
    (
        Reason.IDEMPOTENCY_KEY,
        Outcome.NOT_RUN,
        "Idempotency-Key is missing or is not a UUID of version 7",
    ),
    (
        Reason.CLAIM_UNDECIDED,
        Outcome.NOT_RUN,
        "too few of the hosts that store the key could be reached",
    ),
    (
        Reason.CLAIMED_BEFORE,
        Outcome.MAY_HAVE_RUN,
        "the key was used before; its request may have run",
    ),
    (
        Reason.KEY_EXPIRED,
        Outcome.MAY_HAVE_RUN,
        "the key is older than remember_s, so earlier uses of it are unknown",
    ),
)


def explain(
    declarations: Declarations,
    customer: str,
    class_name: str | Absent,
    call: ModelCall | ServiceCall,
) -> Explanation:
    """Explains how a host with these declarations would serve a request.

    Args:
        declarations: Declarations to apply, in force or not.
        customer: Name of the customer.
        class_name: Value of the header `X-Request-Class`.
        call: Model or service that the request calls.
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
    """Returns whether a failed first try would be retried.

    The attempt has no deadline and the retry budget suffices, so that only
    verdict and nature count.
    """
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
