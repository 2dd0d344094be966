"""Tests of concurrency limits and of the measured slowness."""

from hollyknot_coordination.limits import (
    ConcurrencyLimit,
    LatencyOptions,
    LimitOptions,
    MedianLatency,
    Slowness,
)


class TestConcurrencyLimit:
    """Tests that a limit follows what the upstream delivers."""

    def test_starts_from_the_share_of_slots(self) -> None:
        limit = ConcurrencyLimit(LimitOptions())
        limit.on_slots(16, sharers=4)
        assert limit.value == 8
        limit.on_slots(16, sharers=1000)
        assert limit.value == 1
        limit.on_slots(16, sharers=1)
        assert limit.value == 16

    def test_slots_do_not_reset_an_adjusted_limit(self) -> None:
        limit = ConcurrencyLimit(LimitOptions())
        limit.on_refused(0.0)
        limit.on_slots(100, sharers=1)
        assert limit.value == 5

    def test_grows_only_while_in_use(self) -> None:
        limit = ConcurrencyLimit(LimitOptions())
        for _ in range(100):
            limit.on_met_target(in_flight=1)
        assert limit.value == 8
        for _ in range(9):
            limit.on_met_target(in_flight=8)
        assert limit.value == 9

    def test_never_below_one_and_decreases_are_spaced(self) -> None:
        limit = ConcurrencyLimit(LimitOptions())
        for _ in range(10):
            limit.on_refused(0.0)
        assert limit.value == 5
        for second in range(1, 50):
            limit.on_refused(float(second))
        assert limit.value == 1

    def test_late_answers_alone_stop_at_the_floor(self) -> None:
        """Upstreams must not idle while requests wait.

        Long answers miss their target whatever the limit is. If each miss
        decreased the limit without a floor, it would fall to 1.
        """
        limit = ConcurrencyLimit(LimitOptions())
        for second in range(50):
            limit.on_late(float(second))
        assert limit.value == 2

    def test_restart_grows_fast_to_half(self) -> None:
        limit = ConcurrencyLimit(LimitOptions(start=16))
        limit.restart()
        assert (limit.value, limit.is_restarting) == (1, True)
        for _ in range(7):
            limit.on_met_target(in_flight=limit.value)
        assert (limit.value, limit.is_restarting) == (8, False)
        limit.on_met_target(in_flight=8)
        assert limit.value == 8


class TestSlowness:
    """Tests that slowness follows samples and decays without them."""

    def test_stragglers_do_not_raise_the_median(self) -> None:
        """A straggler must not keep its full share of the requests.

        If two of five upstreams slow down, a mean latency would rise with
        them until they no longer counted as slow, while a median does not.
        """
        median = MedianLatency(LatencyOptions())
        slow = Slowness(LatencyOptions())
        for i in range(200):
            for _ in range(3):
                median.ratio(0.1)
            for _ in range(2):
                slow.note(median.ratio(0.4), i * 0.1)
        assert slow.is_straggler(20.0)

    def test_slowness_decays_without_samples(self) -> None:
        slow = Slowness(LatencyOptions())
        for _ in range(20):
            slow.note(5.0, 0.0)
        assert slow.at(0.0) > 4.9
        assert not slow.is_straggler(20.0)
        assert slow.at(100.0) < 1.01
