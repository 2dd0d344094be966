"""Tests of retries, retry budgets and answers, mostly by tables."""

import itertools
import math
import random

import pytest

from hollyknot_coordination.retries import (
    Answer,
    Attempt,
    RetryBudgetOptions,
    RetryBudgets,
    RetryElsewhere,
    RetryOnNewConnection,
    Step,
    http_status,
    next_step,
    retry_after_s,
)
from hollyknot_state import Nature, Outcome, Reason, Verdict

UPSTREAM_REASONS = (
    Reason.CONNECT_FAILED,
    Reason.UPSTREAM_REFUSED,
    Reason.UPSTREAM_LOST,
    Reason.UPSTREAM_SILENT,
    Reason.TRUNCATED,
)

# Whether a request is retried, by outcome and nature, if the reason concerns
# one upstream, no byte was relayed and tokens are left. In all other cases the
# request is answered.
RETRIED = {
    (Outcome.COMPLETE, Nature.IDEMPOTENT): False,
    (Outcome.COMPLETE, Nature.NON_IDEMPOTENT): False,
    (Outcome.NOT_RUN, Nature.IDEMPOTENT): True,
    (Outcome.NOT_RUN, Nature.NON_IDEMPOTENT): True,
    (Outcome.MAY_HAVE_RUN, Nature.IDEMPOTENT): True,
    (Outcome.MAY_HAVE_RUN, Nature.NON_IDEMPOTENT): False,
    (Outcome.FAILED, Nature.IDEMPOTENT): False,
    (Outcome.FAILED, Nature.NON_IDEMPOTENT): False,
}


def step(
    outcome: Outcome,
    nature: Nature = Nature.IDEMPOTENT,
    reason: Reason = Reason.UPSTREAM_LOST,
    tries: int = 1,
    before: bool = False,
    relayed: bool = False,
    reused: bool = False,
    tokens: float = 1.0,
    deadline_s: float = math.inf,
) -> Step:
    """Returns the step that follows a try."""
    attempt = Attempt(nature, tries, before, relayed, reused, deadline_s)
    verdict = Verdict(outcome, reason)
    return next_step(verdict, attempt, tokens, 100.0, random.Random(1))


class TestNextStep:
    """Tests `next_step` for all outcomes, natures and reasons."""

    @pytest.mark.parametrize(
        ("outcome", "nature", "relayed", "tokens", "reason"),
        list(
            itertools.product(
                Outcome, Nature, (False, True), (0.9, 1.0), Reason
            )
        ),
    )
    def test_table(
        self,
        outcome: Outcome,
        nature: Nature,
        relayed: bool,
        tokens: float,
        reason: Reason,
    ) -> None:
        """A call must not run twice, nor an answer consist of parts of two.

        This happens if a non-idempotent call is retried after an upstream may
        have run it, or if a call is retried after a part was relayed.
        """
        is_retried = (
            RETRIED[outcome, nature]
            and reason in UPSTREAM_REASONS
            and not relayed
            and tokens >= 1.0
        )
        found = step(outcome, nature, reason, relayed=relayed, tokens=tokens)
        if is_retried:
            assert found == RetryElsewhere(0.0)
        else:
            assert found == Answer(Verdict(outcome, reason))

    def test_loss_of_a_reused_connection_may_retry_the_same_upstream(
        self,
    ) -> None:
        assert step(Outcome.MAY_HAVE_RUN, reused=True) == RetryOnNewConnection(
            0.0
        )
        refused = step(
            Outcome.NOT_RUN, reason=Reason.UPSTREAM_REFUSED, reused=True
        )
        assert refused == RetryElsewhere(0.0)

    def test_tries_and_deadline_bound_retries(self) -> None:
        assert isinstance(step(Outcome.NOT_RUN, tries=2), RetryElsewhere)
        assert isinstance(step(Outcome.NOT_RUN, tries=3), Answer)
        assert isinstance(step(Outcome.NOT_RUN, deadline_s=100.0), Answer)
        late = step(Outcome.NOT_RUN, tries=2, deadline_s=100.005)
        assert isinstance(late, Answer)

    def test_not_run_is_not_answered_after_a_try_that_may_have_run(
        self,
    ) -> None:
        """The answer must not say "not run" of a request that did run.

        This happens if the first try is lost but runs, the second is refused,
        and the verdict on the last try is given for the whole request.
        """
        found = step(Outcome.NOT_RUN, tries=3, before=True)
        lost = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        assert found == Answer(lost)


class TestRetryBudgets:
    """Tests that retries are bounded by a share of first tries."""

    def test_retries_are_a_share_of_first_tries(self) -> None:
        budgets = RetryBudgets(
            RetryBudgetOptions(tokens_per_first_try=0.1, start=0.0)
        )
        retries = 0
        for _ in range(1000):
            budgets.on_first_try("m")
            if budgets.tokens("m") >= 1.0:
                budgets.spend("m")
                retries += 1
        assert 98 <= retries <= 100
        assert budgets.tokens("other") == 0.0

    def test_tokens_are_bounded(self) -> None:
        budgets = RetryBudgets(RetryBudgetOptions(capacity=3.0))
        for _ in range(1000):
            budgets.on_first_try("m")
        assert budgets.tokens("m") == 3.0


# Outcome, reason, upstream's status, answer's status, and whether the answer to
# an (idempotent, non-idempotent) request has a Retry-After.
ANSWERS = [
    (Outcome.COMPLETE, Reason.NONE, 0, 200, (False, False)),
    (Outcome.COMPLETE, Reason.NONE, 201, 201, (False, False)),
    (Outcome.NOT_RUN, Reason.BAD_REQUEST, 0, 400, (False, False)),
    (Outcome.NOT_RUN, Reason.TOO_LARGE, 0, 413, (False, False)),
    (Outcome.NOT_RUN, Reason.BAD_KEY, 0, 401, (False, False)),
    (Outcome.NOT_RUN, Reason.UNKNOWN_CLASS, 0, 403, (False, False)),
    (Outcome.NOT_RUN, Reason.UNKNOWN_MODEL, 0, 404, (False, False)),
    (Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, 0, 404, (False, False)),
    (Outcome.NOT_RUN, Reason.IDEMPOTENCY_KEY, 0, 400, (False, False)),
    (Outcome.NOT_RUN, Reason.CLAIMED_BEFORE, 0, 409, (False, False)),
    (Outcome.NOT_RUN, Reason.KEY_EXPIRED, 0, 409, (False, False)),
    (Outcome.NOT_RUN, Reason.SHED, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.STOPPING, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.NOT_READY, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.TARGET_UNREACHABLE, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.NO_UPSTREAM, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED, 503, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.CONNECT_FAILED, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.CLAIM_UNDECIDED, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.QUARANTINED, 0, 503, (True, True)),
    (Outcome.NOT_RUN, Reason.INTERNAL, 0, 500, (True, True)),
    (Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST, 0, 502, (True, False)),
    (Outcome.MAY_HAVE_RUN, Reason.TRUNCATED, 200, 502, (True, False)),
    (Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT, 0, 504, (True, False)),
    (Outcome.MAY_HAVE_RUN, Reason.CLAIMED_BEFORE, 0, 409, (False, False)),
    (Outcome.MAY_HAVE_RUN, Reason.INTERNAL, 0, 500, (True, False)),
    (Outcome.FAILED, Reason.UPSTREAM_ERROR, 422, 422, (False, False)),
    (Outcome.FAILED, Reason.UPSTREAM_ERROR, 200, 502, (False, False)),
]


class TestAnswers:
    """Tests status and Retry-After by outcome and reason."""

    @pytest.mark.parametrize(
        ("outcome", "reason", "upstream", "status", "has_retry_after"), ANSWERS
    )
    def test_table(
        self,
        outcome: Outcome,
        reason: Reason,
        upstream: int,
        status: int,
        has_retry_after: tuple[bool, bool],
    ) -> None:
        verdict = Verdict(outcome, reason, upstream_status=upstream)
        assert http_status(verdict) == status
        rng = random.Random(1)
        retry_after = tuple(retry_after_s(verdict, n, rng) > 0 for n in Nature)
        assert retry_after == has_retry_after

    def test_retry_after_is_jittered(self) -> None:
        """Callers that are shed together must not all return together.

        Without jitter, all requests of a burst would get the same Retry-After
        and form a burst again.
        """
        shed = Verdict(Outcome.NOT_RUN, Reason.SHED, retry_after_s=4.0)
        rng = random.Random(1)
        retry_after = [
            retry_after_s(shed, Nature.IDEMPOTENT, rng) for _ in range(1000)
        ]
        assert min(retry_after) >= 4.0
        assert max(retry_after) <= 8.0
        seconds = [
            sum(s <= t < s + 1 for t in retry_after) for s in (4, 5, 6, 7)
        ]
        assert max(seconds) < 350
