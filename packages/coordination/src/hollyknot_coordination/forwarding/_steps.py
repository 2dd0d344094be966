"""What follows a try: decided from the verdict and the route alone."""

import attrs

from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import Route

_MIN_LEFT_S = 0.05
"""A retry with less time left is answered by its timeout anyway."""

_REFUSED = 503
_BAD_GATEWAY = 502
_TIMEOUT = 504


@attrs.frozen
class TryState:
    """What is known when a try has ended.

    Attributes:
        sent: Upstreams that the request was sent to so far.
        may_have_run: Whether one of the tries may have run.
        left_s: Until the request times out.
        budget_left: Retries that the service's budget still allows.
        candidates: Upstreams of the service not tried yet.
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
        is_retry: Whether it draws on the budget: the request has reached an
            upstream before.
    """

    is_retry: bool


@attrs.frozen
class GiveUp:
    """Answer the caller now.

    Attributes:
        status: The HTTP status.
        verdict: Whether the request may have run.
        is_unpaid: Whether only the budget of retries stood against another
            try.
    """

    status: int
    verdict: Verdict
    is_budget_spent: bool = False


def next_step(
    route: Route, verdict: Verdict, state: TryState
) -> TryAnother | GiveUp:
    """Decides what follows a try without an answer for the caller.

    Args:
        route: What may be repeated, and how often.
        verdict: How the last try ended.
        state: Of the whole request, the last try included.
    """
    is_safe = not state.may_have_run or route.is_repeatable
    has_time = state.left_s > _MIN_LEFT_S
    # A request that never reached an upstream has used up no attempt.
    is_allowed = state.sent < route.max_attempts
    is_retry = state.sent > 0
    has_budget = not is_retry or state.budget_left >= 1.0
    may_follow = is_safe and has_time and is_allowed and state.candidates > 0
    if may_follow and has_budget:
        return TryAnother(is_retry)
    return attrs.evolve(give_up(verdict, state), is_budget_spent=may_follow)


def give_up(verdict: Verdict, state: TryState) -> GiveUp:
    """Returns the answer of a request that no try has answered.

    503 promises that the request has not run and never will, so that it is
    given only if every try proved so.
    """
    if not state.may_have_run:
        refused = attrs.evolve(verdict, outcome=Outcome.NOT_RUN)
        return GiveUp(_REFUSED, refused)
    may_have_run = attrs.evolve(verdict, outcome=Outcome.MAY_HAVE_RUN)
    if verdict.reason is Reason.UPSTREAM_SILENT:
        return GiveUp(_TIMEOUT, may_have_run)
    return GiveUp(_BAD_GATEWAY, may_have_run)
