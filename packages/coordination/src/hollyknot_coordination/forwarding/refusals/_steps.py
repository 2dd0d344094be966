"""Decides whether a request is retried or answered after a failed try."""

import attrs

from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import Route

_MIN_LEFT_S = 0.05
"""Seconds left below which a retry would time out anyway and is not sent."""

_REFUSED = 503
_BAD_GATEWAY = 502
_TIMEOUT = 504


@attrs.frozen
class TryState:
    """State of a request when a try has ended.

    Attributes:
        sent: Number of upstreams that the request was sent to so far.
        may_have_run: Whether any upstream may have run the request.
        left_s: Seconds until the request times out.
        budget_left: Retries that the service's retry budget still allows.
        candidates: Number of upstreams that the request can still be sent to.
    """

    sent: int
    may_have_run: bool
    left_s: float
    budget_left: float
    candidates: int


@attrs.frozen
class TryAnother:
    """Send the request to another upstream.

    Attributes:
        is_retry: Whether the try is charged to the retry budget, since the
            request has been sent to an upstream before.
    """

    is_retry: bool


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes:
        status: HTTP status of the answer.
        verdict: Outcome of the request, with its reason.
        is_budget_spent: Whether only the retry budget prevented another try.
        return_s: Seconds until an upstream may take the request, where that is
            known; None if the caller is to come back after a while.
    """

    status: int
    verdict: Verdict
    is_budget_spent: bool = False
    return_s: float | None = None


def next_step(
    route: Route, verdict: Verdict, state: TryState
) -> TryAnother | GiveUp:
    """Returns what to do after a try without an answer for the caller.

    Args:
        route: Route of the request: whether it is repeatable, and how often.
        verdict: Outcome of the last try.
        state: State of the request, the last try included.
    """
    is_safe = not state.may_have_run or route.is_repeatable
    has_time = state.left_s > _MIN_LEFT_S
    # A try that never reached an upstream does not count as an attempt.
    is_allowed = state.sent < route.max_attempts
    is_retry = state.sent > 0
    has_budget = not is_retry or state.budget_left >= 1.0
    may_follow = is_safe and has_time and is_allowed and state.candidates > 0
    if may_follow and has_budget:
        return TryAnother(is_retry)
    return attrs.evolve(give_up(verdict, state), is_budget_spent=may_follow)


def give_up(verdict: Verdict, state: TryState) -> GiveUp:
    """Returns the answer to a request that no upstream has answered.

    Status 503 promises that the request has not run and never will, so it is
    used only if every try proved this.
    """
    if not state.may_have_run:
        refused = attrs.evolve(verdict, outcome=Outcome.NOT_RUN)
        return GiveUp(_REFUSED, refused)
    may_have_run = attrs.evolve(verdict, outcome=Outcome.MAY_HAVE_RUN)
    if verdict.reason is Reason.UPSTREAM_SILENT:
        return GiveUp(_TIMEOUT, may_have_run)
    return GiveUp(_BAD_GATEWAY, may_have_run)
