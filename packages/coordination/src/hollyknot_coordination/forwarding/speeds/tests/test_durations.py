"""Tests of the bounds of how long tries take."""

import pytest

from hollyknot_coordination.forwarding.speeds import _durations
from hollyknot_coordination.forwarding.speeds._durations import Durations


@pytest.mark.parametrize(
    ("took_s", "low_s", "high_s"),
    [
        ([0.05], 0.1, 0.11),
        ([0.05] * 100, 0.05, 0.06),
        ([0.05] * 97 + [2.0] * 3, 2.0, 2.3),
        ([2.0] + [0.05] * 99, 0.05, 0.06),
        ([2.0] * 100 + [0.05] * 600, 0.05, 0.06),
        ([0.0] * 100, 0.001, 0.002),
    ],
)
def test_few_tries_take_longer(
    took_s: list[float], low_s: float, high_s: float
) -> None:
    """Guards against bounds by single or by former tries."""
    durations = Durations()
    for took in took_s:
        durations.observe("r", took)
    assert low_s <= (durations.bound_s("r") or 0) <= high_s


def test_routes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with routes that are gone."""
    monkeypatch.setattr(_durations, "MAX_ROUTES", 2)
    durations = Durations()
    for route in "abc":
        durations.observe(route, 1.0)
    known = [r for r in "abc" if durations.bound_s(r) is not None]
    assert known == ["b", "c"]
