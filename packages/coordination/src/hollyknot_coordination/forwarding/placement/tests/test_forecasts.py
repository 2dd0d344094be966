"""Tests of the expected duration of streams."""

import pytest

from hollyknot_coordination.forwarding import Forecasts
from hollyknot_coordination.forwarding.placement._forecasts import (
    FRESH_S,
    MIN_ANSWERS,
)


def _known(intervals: int = 10, tokens: int = 50) -> Forecasts:
    """Returns forecasts that know the usual length of a route's answers."""
    forecasts = Forecasts()
    for _ in range(MIN_ANSWERS):
        forecasts.note_request("r", tokens)
        forecasts.note_answer("r", tokens, intervals)
    return forecasts


class TestForecasts:
    """Durations by the intervals of other streams."""

    def test_no_forecast_without_observations(self) -> None:
        forecasts = Forecasts()
        assert forecasts.duration_s("i", "r", 0.0) is None
        forecasts.note_interval("i", 0.4, 0.0)
        assert forecasts.duration_s("i", "r", 0.0) is None
        known = _known()
        assert known.duration_s("i", "r", 0.0) is None

    def test_duration_is_interval_times_usual_length(self) -> None:
        forecasts = _known()
        forecasts.note_interval("i", 0.4, 0.0)
        assert forecasts.duration_s("i", "r", 0.1) == pytest.approx(4.0)

    def test_pace_of_an_upstream_without_streams_expires(self) -> None:
        forecasts = _known()
        forecasts.note_interval("i", 0.4, 0.0)
        assert forecasts.duration_s("i", "r", FRESH_S + 0.1) is None
        forecasts.note_interval("i", 0.02, FRESH_S + 0.2)
        found = forecasts.duration_s("i", "r", FRESH_S + 0.2)
        assert found == pytest.approx(0.2)
        forecasts.forget("i")
        assert forecasts.duration_s("i", "r", FRESH_S + 0.2) is None

    def test_forecast_rises_at_once_and_falls_soon(self) -> None:
        forecasts = _known()
        now_s = 0.0
        for _ in range(50):
            now_s += 0.02
            forecasts.note_interval("i", 0.02, now_s)
        for _ in range(2):
            now_s += 0.4
            forecasts.note_interval("i", 0.4, now_s)
        busy = forecasts.duration_s("i", "r", now_s)
        assert busy is not None
        assert busy > 3.4
        for _ in range(50):
            now_s += 0.02
            forecasts.note_interval("i", 0.02, now_s)
        idle = forecasts.duration_s("i", "r", now_s)
        assert idle is not None
        assert idle < 0.5

    def test_short_answers_in_a_burst_do_not_lower_the_forecast(self) -> None:
        """Guards against admitting requests that time out under load.

        While engines are busy only answers of a fifth of the usual length end
        in time. A forecast from complete answers alone would be too short, and
        the more so the busier the engines are.
        """
        forecasts = Forecasts()
        for number in range(500):
            tokens = 10 if number % 5 == 0 else 60
            forecasts.note_request("r", tokens)
            if tokens == 10:
                forecasts.note_answer("r", tokens, 2)
        forecasts.note_interval("i", 0.4, 0.0)
        found = forecasts.duration_s("i", "r", 0.0)
        assert found == pytest.approx(0.4 * 10, rel=0.25)

    def test_expected_length_of_zero_still_gives_a_forecast(self) -> None:
        forecasts = _known(tokens=0)
        forecasts.note_interval("i", 0.1, 0.0)
        assert forecasts.duration_s("i", "r", 0.0) == pytest.approx(1.0)
