"""Tests of the budget of bytes for reports."""

import pytest

from hollyknot_coordination.forwarding import ReportRate


def _sent(size: int, wanted: int, seconds: int) -> int:
    """Returns the bytes that are sent in a time, ten rounds a second."""
    rate = ReportRate(3000.0)
    sent = 0
    for step in range(seconds * 10):
        count = min(wanted, rate.affordable(size, step / 10))
        rate.spend(size * count)
        sent += size * count
    return sent


class TestReportRate:
    """Sizes in, numbers of reports out."""

    @pytest.mark.parametrize("size", [40, 300, 1400])
    def test_many_peers_do_not_exceed_it(self, size: int) -> None:
        """Control takes 64 KB/s of a host's link.

        Sequence: sixteen peers are told ten times a second. Cause: a period
        without regard to the size and number of reports.
        """
        assert 0.8 * 30_000 <= _sent(size, 16, 10) <= 30_000 + 1500 + size

    def test_few_peers_are_told_each_round(self) -> None:
        assert _sent(100, 2, 10) == 100 * 2 * 100

    def test_a_pause_saves_up_for_no_more_than_half_a_second(self) -> None:
        rate = ReportRate(3000.0)
        assert rate.affordable(100, 0.0) == 15
        rate.spend(100 * 15)
        assert rate.affordable(100, 3600.0) == 15
