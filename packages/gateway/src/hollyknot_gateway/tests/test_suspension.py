"""Tests of noticing a suspension, by clocks that tests set."""

from hollyknot_gateway._suspension import Suspension


class TestSuspension:
    """Two clocks that differ, or do not."""

    def test_suspension_is_noticed_once(self) -> None:
        """The first requests after a suspension are lost.

        Sequence: a host is suspended for a minute; it wakes and sends on kept
        connections that the other ends gave up. Cause: the steady clock says
        that they were idle for a moment.
        """
        ahead_s = iter([5.0, 5.0, 65.0, 65.001])
        suspension = Suspension(lambda: next(ahead_s))
        assert suspension.suspended_s() == 0.0
        assert suspension.suspended_s() == 60.0
        assert suspension.suspended_s() == 0.0
