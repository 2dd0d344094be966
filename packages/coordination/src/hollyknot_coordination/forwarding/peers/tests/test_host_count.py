"""Tests of the number of hosts among which a limit is divided."""

from hollyknot_coordination.forwarding import HostCount


class TestPresentFraction:
    """The part of the hosts on this side of a partition."""

    def _count(self, data_centres: int = 1) -> HostCount:
        return HostCount(0.0, is_alone=False, data_centres=data_centres)

    def test_all_hosts_are_present_where_each_hears_only_some(self) -> None:
        size = self._count()
        size.set(2500, 400, 0.0)
        assert size.present_fraction == 1.0
        assert size.heard_fraction == 400 / 2500

    def test_hosts_that_fell_silent_together_are_not_present(self) -> None:
        size = self._count()
        size.set(8, 8, 0.0)
        size.set(3, 3, 1.0)
        assert size.present_fraction == 3 / 8

    def test_a_silent_data_centre_is_not_present(self) -> None:
        size = self._count(data_centres=2)
        size.set(4, 4, 0.0, by_data_centre=(4,))
        assert size.present_fraction == 0.5
