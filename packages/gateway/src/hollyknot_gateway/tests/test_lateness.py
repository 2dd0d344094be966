"""Tests of judging answers by the targets of their routes."""

import attrs
import pytest

from hollyknot_gateway._exchange import Result
from hollyknot_gateway._lateness import Late, judge
from hollyknot_state import Outcome, Verdict
from hollyknot_state.routes import Route, RouteKind, Share

_STREAM = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAM,
    shares=(Share("s", 1),),
    timeout_s=12.0,
    target_s=1.0,
    gap_target_s=0.3,
)
_PLAIN = attrs.evolve(_STREAM, kind=RouteKind.IDEMPOTENT)


def _result(
    first_s: float = 0.5,
    gap_s: float = 0.1,
    took_s: float = 9.0,
    outcome: Outcome = Outcome.COMPLETE,
) -> Result:
    verdict = Verdict(outcome)
    return Result(verdict, first_s=first_s, gap_s=gap_s, took_s=took_s)


class TestStreams:
    """Streams are late by their first event or by a gap."""

    @pytest.mark.parametrize(
        ("first_s", "gap_s", "late"),
        [
            (0.5, 0.1, Late.NO),
            (1.1, 0.1, Late.FIRST),
            (0.5, 0.4, Late.GAP),
            (1.1, 0.4, Late.FIRST),
        ],
    )
    def test_first_miss_is_named(
        self, first_s: float, gap_s: float, late: Late
    ) -> None:
        assert judge(_STREAM, _result(first_s, gap_s), 0.0, None) is late

    def test_time_before_the_try_counts(self) -> None:
        """Guards against a late caller after a try that had failed before."""
        assert judge(_STREAM, _result(0.5), 0.6, None) is Late.FIRST

    def test_answer_within_the_resolution_of_the_clock_is_judged(self) -> None:
        """Guards against an answer in time after a long wait for its try."""
        assert judge(_STREAM, _result(0.0), 1.1, None) is Late.FIRST

    def test_late_first_event_of_a_broken_stream_counts(self) -> None:
        result = _result(1.1, outcome=Outcome.MAY_HAVE_RUN)
        assert judge(_STREAM, result, 0.0, None) is Late.FIRST

    def test_try_without_an_event_is_not_judged(self) -> None:
        result = _result(0.0, 0.0, outcome=Outcome.NOT_RUN)
        assert judge(_STREAM, result, 5.0, None) is Late.NO

    def test_pause_before_a_resumed_stream_is_a_gap(self) -> None:
        """Guards against a stream in time that had stopped for a second."""
        assert judge(_STREAM, _result(0.1), 5.0, 1.0) is Late.GAP
        assert judge(_STREAM, _result(0.1), 5.0, 0.2) is Late.NO

    def test_route_without_targets_has_no_late_answers(self) -> None:
        route = attrs.evolve(_STREAM, target_s=0.0, gap_target_s=0.0)
        assert judge(route, _result(5.0, 5.0), 5.0, 5.0) is Late.NO


class TestOtherAnswers:
    """Other answers are late by their end."""

    def test_end_after_the_target_is_late(self) -> None:
        assert judge(_PLAIN, _result(took_s=1.1), 0.0, None) is Late.END
        assert judge(_PLAIN, _result(took_s=0.5), 0.6, None) is Late.END
        assert judge(_PLAIN, _result(took_s=0.9), 0.0, None) is Late.NO

    def test_failed_try_is_not_late(self) -> None:
        result = _result(outcome=Outcome.MAY_HAVE_RUN)
        assert judge(_PLAIN, result, 0.0, None) is Late.NO
