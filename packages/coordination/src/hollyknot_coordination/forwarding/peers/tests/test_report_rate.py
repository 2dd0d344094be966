"""Tests the budget of bytes that a host may send its peers."""

import pytest

from hollyknot_coordination.forwarding import ReportRate
from hollyknot_coordination.forwarding.peers._report_rate import QUERY_SHARE


def _sent(size: int, wanted: int, seconds: int) -> int:
    """Returns the bytes sent within some seconds, at ten rounds a second."""
    rate = ReportRate(3000.0)
    sent = 0
    for step in range(seconds * 10):
        count = min(wanted, rate.affordable(size, step / 10))
        rate.spend(size * count)
        sent += size * count
    return sent


class TestReportRate:
    """Limits the number of reports by their size."""

    @pytest.mark.parametrize("size", [40, 300, 1400])
    def test_reports_to_many_peers_stay_within_the_budget(
        self, size: int
    ) -> None:
        """Reports to sixteen peers take 64 KB/s of a host's link.

        It happens if reports are sent ten times a second whatever their size
        and number.
        """
        assert 0.8 * 30_000 <= _sent(size, 16, 10) <= 30_000 + 1500 + size

    def test_few_peers_get_a_report_each_round(self) -> None:
        assert _sent(100, 2, 10) == 100 * 2 * 100

    def test_a_pause_saves_up_for_no_more_than_half_a_second(self) -> None:
        rate = ReportRate(3000.0)
        assert rate.affordable(100, 0.0) == 15
        rate.spend(100 * 15)
        assert rate.affordable(100, 3600.0) == 15


class TestQueries:
    """Queries, answers and notes have their own part of the budget."""

    def test_a_busy_tracker_still_reports(self) -> None:
        """Hosts use different load trackers for one upstream.

        In a burst of queries a tracker's answers use up its whole budget. It
        sends no reports, and its peers forget it at different times.
        """
        rate = ReportRate(3000.0)
        sent = 0
        for step in range(100):
            rate.spend_on_queries(20_000)
            count = rate.affordable(50, step / 10)
            rate.spend(50 * count)
            sent += count
        assert sent * 50 > 10 * 3000.0 * (1 - QUERY_SHARE) * 0.8

    def test_host_over_its_query_budget_stops_asking(self) -> None:
        rate = ReportRate(3000.0)
        assert rate.may_query(0.0)
        rate.spend_on_queries(100_000)
        assert not rate.may_query(0.1)
        assert rate.may_query(1.1)

    def test_without_queries_reports_use_the_whole_budget(self) -> None:
        assert _sent(100, 16, 10) > 0.9 * 30_000

    def test_query_budget_covers_a_burst_of_ten_seconds(self) -> None:
        """Streams of a burst fail late instead of being refused in time.

        For ten seconds a host routes 1.5 times as many requests as its query
        budget covers. With a burst size of half a second, it chooses by
        outdated reports: with 83 hosts at 1.3 times the usual load, 740 of
        6,700 long streams failed, but 273 with a burst size of ten seconds.
        """
        rate = ReportRate(3000.0)
        asked = 0
        for step in range(100):
            asked += rate.may_query(step / 10)
            rate.spend_on_queries(330)
        assert asked == 100

    def test_queries_and_reports_together_stay_within_the_budget(self) -> None:
        rate = ReportRate(3000.0)
        sent = 0
        for step in range(1000):
            now_s = step / 10
            if rate.may_query(now_s):
                rate.spend_on_queries(200)
                sent += 200
            count = rate.affordable(50, now_s)
            rate.spend(50 * count)
            sent += 50 * count
        assert sent < 1.05 * 3000.0 * (100 + 10)
