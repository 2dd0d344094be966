"""Tests of the rests that upstreams ask a host for."""

from hollyknot_coordination.forwarding import Rests
from hollyknot_coordination.forwarding._rests import MAX_REST_S


class TestRests:
    """Rests that begin, overlap and end."""

    def test_a_rest_ends_with_time(self) -> None:
        rests = Rests()
        assert rests.observe("a", 3.0, 10.0)
        assert rests.resting(12.9) == {"a"}
        assert rests.left_s("a", 12.0) == 1.0
        assert rests.resting(13.0) == frozenset()
        assert rests.left_s("a", 13.0) == 0.0

    def test_the_latest_end_counts(self) -> None:
        """Guards against a later answer that shortens an earlier rest."""
        rests = Rests()
        rests.observe("a", 3.0, 10.0)
        assert not rests.observe("a", 1.0, 11.0)
        assert rests.left_s("a", 11.0) == 2.0
        assert rests.observe("a", 3.0, 12.0)
        assert rests.left_s("a", 12.0) == 3.0

    def test_a_rest_of_no_length_changes_nothing(self) -> None:
        rests = Rests()
        assert not rests.observe("a", 0.0, 10.0)
        assert rests.resting(10.0) == frozenset()

    def test_an_endless_rest_is_bounded(self) -> None:
        """Guards against losing the only upstream for good."""
        rests = Rests()
        rests.observe("a", 1e9, 10.0)
        assert rests.left_s("a", 10.0) == MAX_REST_S

    def test_a_rest_concerns_one_incarnation(self) -> None:
        """Guards against carrying a rest over to a restart."""
        rests = Rests()
        rests.observe("a@1", 9.0, 0.0)
        assert rests.resting(1.0) == {"a@1"}
        assert rests.left_s("a@2", 1.0) == 0.0
