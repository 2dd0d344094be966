"""Decides whether a request is retried after a try.

No other code decides this.

| outcome | nature | retried |
| --- | --- | --- |
| complete, failed | any | never |
| not run, refused by or not connected to an upstream | any | within budgets |
| not run, for a reason of the host itself | any | never |
| may have run, upstream lost or silent | idempotent | within budgets |
| may have run | non-idempotent | never |

A request is never retried once a byte was relayed to the caller, since a second
answer would be appended to a part of the first. No step resumes a broken stream
at the same engine.
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
"""Most tries of one request by one host, including the first."""

RETRY_DELAY_S = 0.02
"""Mean delay before the second retry in seconds; the first is not delayed."""

_UPSTREAM_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_REFUSED,
        Reason.UPSTREAM_LOST,
        Reason.UPSTREAM_SILENT,
        Reason.TRUNCATED,
    }
)
"""Reasons that concern one upstream, so that another one may succeed."""

_STALE_CONNECTION_REASONS = frozenset(
    {Reason.UPSTREAM_LOST, Reason.UPSTREAM_SILENT}
)
"""Reasons that a stale connection can have while its upstream is healthy."""


def next_step(
    verdict: Verdict,
    attempt: Attempt,
    tokens: float,
    now_s: float,
    rng: random.Random,
) -> Step:
    """Returns the step that follows the end of a try.

    Args:
        verdict: Verdict on the last try.
        attempt: State of the request after its tries so far.
        tokens: The pool's tokens by `RetryBudgets.tokens`. A retry needs 1,
            which the caller takes by `RetryBudgets.spend`.
        now_s: Current time in seconds of the host's monotonic clock.
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
    """Returns the verdict over all tries of a request.

    If the second try was refused, the first may still have run. "Not run",
    which holds for the last try alone, would then be false for the request.

    Args:
        verdict: Verdict on the last try.
        attempt: State of the request after its tries so far.
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
