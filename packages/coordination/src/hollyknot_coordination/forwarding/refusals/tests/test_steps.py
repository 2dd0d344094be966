"""Tests of the decision that follows a failed try."""

import pytest

from hollyknot_coordination.forwarding import (
    GiveUp,
    TryAnother,
    TryState,
    next_step,
)
from hollyknot_coordination.forwarding.tests._builders import route
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import Route, RouteKind

REFUSED = Verdict(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
SILENT = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
ONCE = route(kind=RouteKind.NON_IDEMPOTENT, attempts=2)
READ = route(kind=RouteKind.IDEMPOTENT, attempts=2)
STREAM = route(attempts=2)
RESUMED = route(attempts=2, may_resume=True)


def _state(
    sent: int = 1,
    left_s: float = 2.0,
    budget: float = 5.0,
    candidates: int = 2,
    *,
    may_have_run: bool,
) -> TryState:
    return TryState(sent, may_have_run, left_s, budget, candidates)


class TestNextStep:
    """Whether a request is sent to another upstream."""

    @pytest.mark.parametrize(
        ("way", "verdict", "may_have_run", "is_retried"),
        [
            (ONCE, REFUSED, False, True),
            (ONCE, LOST, True, False),
            (ONCE, REFUSED, True, False),
            (READ, LOST, True, True),
            (STREAM, LOST, True, False),
            (STREAM, REFUSED, False, True),
            (RESUMED, LOST, True, True),
        ],
    )
    def test_retries_only_requests_that_are_safe_to_repeat(
        self, way: Route, verdict: Verdict, may_have_run: bool, is_retried: bool
    ) -> None:
        step = next_step(way, verdict, _state(may_have_run=may_have_run))
        assert isinstance(step, TryAnother) is is_retried

    @pytest.mark.parametrize(
        "state",
        [
            _state(sent=2, may_have_run=False),
            _state(left_s=0.01, may_have_run=False),
            _state(budget=0.5, may_have_run=False),
            _state(candidates=0, may_have_run=False),
        ],
    )
    def test_gives_up_without_attempts_time_budget_or_upstreams(
        self, state: TryState
    ) -> None:
        assert isinstance(next_step(READ, REFUSED, state), GiveUp)

    def test_request_that_reached_no_upstream_costs_no_budget(self) -> None:
        verdict = Verdict(Outcome.NOT_RUN, Reason.CONNECT_FAILED)
        state = _state(sent=0, budget=0.0, may_have_run=False)
        assert next_step(ONCE, verdict, state) == TryAnother(is_retry=False)


class TestGiveUp:
    """The status of a request that no upstream has answered."""

    @pytest.mark.parametrize(
        ("verdict", "may_have_run", "status", "outcome"),
        [
            (REFUSED, False, 503, Outcome.NOT_RUN),
            (REFUSED, True, 502, Outcome.MAY_HAVE_RUN),
            (LOST, True, 502, Outcome.MAY_HAVE_RUN),
            (SILENT, True, 504, Outcome.MAY_HAVE_RUN),
        ],
    )
    def test_status_is_503_only_if_nothing_ran(
        self,
        verdict: Verdict,
        may_have_run: bool,
        status: int,
        outcome: Outcome,
    ) -> None:
        state = _state(sent=2, may_have_run=may_have_run)
        step = next_step(ONCE, verdict, state)
        assert isinstance(step, GiveUp)
        assert (step.status, step.verdict.outcome) == (status, outcome)
