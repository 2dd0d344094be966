"""Tests of detecting a suspension, with clocks that tests set."""

from hollyknot_gateway._suspension import Suspension


class TestSuspension:
    """The difference of two clocks shows a suspension."""

    def test_suspension_is_noticed_once(self) -> None:
        """Guards against lost requests just after a suspension.

        A host that was suspended for a minute wakes and sends on keep-alive
        connections that its peers have closed, since by its monotonic clock
        they were idle only for a moment.
        """
        ahead_s = iter([5.0, 5.0, 65.0, 65.001])
        suspension = Suspension(lambda: next(ahead_s))
        assert suspension.suspended_s() == 0.0
        assert suspension.suspended_s() == 60.0
        assert suspension.suspended_s() == 0.0
