"""The one place that says what follows from a verdict and a nature.

| outcome | nature | may be tried again |
| --- | --- | --- |
| complete, failed | any | never |
| not run, by an upstream or on the way to it | any | within the budgets |
| not run, for a reason of the host's own | any | never |
| may have run, upstream lost or silent | idempotent | within the budgets |
| may have run | non-idempotent | never |

Nothing is tried again once a byte was relayed to the caller: a second answer
would be joined to a part of the first. Resuming a broken stream at the same
engine is another step, which this function does not have yet.
"""

import random

import attrs

from hollyknot_coordination.retries._messages import (
    Answer,
    Attempt,
    RetryElsewhere,
    RetryOnNewConnection,
    Step,
)
from hollyknot_state import Nature, Outcome, Reason, Verdict

MAX_TRIES = 3
"""Tries of one request at one host, the first included."""

RETRY_DELAY_S = 0.02
"""Mean delay before a second retry; none before the first."""

_UPSTREAM_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_LOST,
        Reason.UPSTREAM_SILENT,
        Reason.TRUNCATED,
    }
)
"""Reasons that lie in one upstream, so that another one may do better."""

_STALE_CONNECTION_REASONS = frozenset(
    {Reason.UPSTREAM_LOST, Reason.UPSTREAM_SILENT}
)
"""Reasons that an old connection alone can have."""


def next_step(
    verdict: Verdict,
    attempt: Attempt,
    tokens: float,
    now_s: float,
    rng: random.Random,
) -> Step:
    """Returns what follows the end of a try.

    Args:
        verdict: The end of the last try.
        attempt: The request's tries so far.
        tokens: What `RetryBudgets.tokens` says of the pool; a retry costs 1
            by `RetryBudgets.spend`.
        now_s: The time.
        rng: Source of randomness for the delay.
    """
    if not _may_retry(verdict, attempt) or tokens < 1.0:
        return Answer(combined_verdict(verdict, attempt))
    delay_s = _delay_s(attempt.tries, rng)
    if attempt.tries >= MAX_TRIES or now_s + delay_s >= attempt.deadline_s:
        return Answer(combined_verdict(verdict, attempt))
    if (
        attempt.connection_reused
        and verdict.reason in _STALE_CONNECTION_REASONS
    ):
        return RetryOnNewConnection(delay_s)
    return RetryElsewhere(delay_s)


def combined_verdict(verdict: Verdict, attempt: Attempt) -> Verdict:
    """Returns the verdict of all tries from that of the last.

    A request whose second try was refused may have run by its first: "not
    run" of the last try alone would be a false promise to the caller.
    """
    if verdict.is_proved_not_run and attempt.may_have_run_before:
        return attrs.evolve(verdict, outcome=Outcome.MAY_HAVE_RUN)
    return verdict


def _may_retry(verdict: Verdict, attempt: Attempt) -> bool:
    if attempt.bytes_relayed or verdict.reason not in _UPSTREAM_REASONS:
        return False
    match verdict.outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.MAY_HAVE_RUN:
            return attempt.nature is Nature.IDEMPOTENT
        case Outcome.COMPLETE | Outcome.FAILED:
            return False


def _delay_s(tries: int, rng: random.Random) -> float:
    if tries <= 1:
        return 0.0
    return RETRY_DELAY_S * rng.uniform(0.5, 1.5)
