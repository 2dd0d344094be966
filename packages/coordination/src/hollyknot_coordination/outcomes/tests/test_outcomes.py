"""Tests of latency targets and of the tallies by class."""

import pytest

from hollyknot_coordination.outcomes import Tallies, Timing, met_target
from hollyknot_state import Outcome, Target, Verdict

_TOKENS = Target(first_token_ms=1100, between_tokens_ms=68)
_WHOLE = Target(whole_answer_ms=2000)


class TestMetTarget:
    """Answers just within and just beyond each kind of target."""

    @pytest.mark.parametrize(
        ("target", "first", "end", "tokens", "is_streamed", "expected"),
        [
            (_TOKENS, 1.0, 1.6, 11, True, True),
            (_TOKENS, 1.2, 1.6, 11, True, False),
            (_TOKENS, 1.0, 2.0, 11, True, False),
            (_TOKENS, 1.0, 1.0, 1, True, True),
            (_TOKENS, 7.0, 7.0, 100, False, True),
            (_TOKENS, 9.0, 9.0, 100, False, False),
            (_WHOLE, 1.9, 1.9, 0, False, True),
            (_WHOLE, 1.0, 2.1, 0, True, False),
        ],
    )
    def test_table(
        self,
        target: Target,
        first: float,
        end: float,
        tokens: int,
        is_streamed: bool,
        expected: bool,
    ) -> None:
        timing = Timing(0.0, first, end, tokens, is_streamed)
        assert met_target(target, timing) is expected


class TestTallies:
    """Counts of ended requests by class."""

    def test_refused_requests_lower_attainment(self) -> None:
        tallies = Tallies()
        tallies.record("counter", Verdict(Outcome.COMPLETE), True, 10, 0)
        tallies.record("counter", Verdict(Outcome.COMPLETE), False, 10, 1)
        tallies.record("counter", Verdict(Outcome.NOT_RUN), True, 0, 0)
        tally = tallies.view()["counter"]
        assert tally.attainment == pytest.approx(1 / 3)
        assert (tally.good_bytes, tally.wasted_tries) == (10, 1)
        assert (tally.complete, tally.not_run) == (2, 1)
