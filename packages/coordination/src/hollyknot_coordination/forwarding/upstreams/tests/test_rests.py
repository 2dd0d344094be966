"""Tests of the rests that upstreams ask a host for."""

import random

import pytest

from hollyknot_coordination.forwarding import HostCount, Rests
from hollyknot_coordination.forwarding.upstreams._rests import (
    MAX_DELAY_FRACTION,
    MAX_REST_S,
    RETURN_INTERVAL_S,
    RETURN_S,
    TRIAL_S,
)

_MAX_ALONE_DELAY_S = RETURN_INTERVAL_S


def _rests(hosts: int = 1, seed: int = 1) -> Rests:
    size = HostCount(0.0, is_alone=hosts == 1)
    size.set(hosts, hosts, 0.0)
    return Rests(size, random.Random(seed))


class TestRests:
    """Rests that begin, overlap and end."""

    def test_a_rest_ends_with_time(self) -> None:
        rests = _rests()
        assert rests.observe("a", 3.0, 10.0)
        assert rests.resting(12.9) == {"a"}
        assert 1.0 <= rests.left_s("a", 12.0) <= 1.0 + _MAX_ALONE_DELAY_S
        assert rests.resting(13.0 + _MAX_ALONE_DELAY_S) == frozenset()
        assert rests.left_s("a", 13.0 + _MAX_ALONE_DELAY_S) == 0.0

    def test_the_latest_end_counts(self) -> None:
        """Guards against a later answer that shortens an earlier rest."""
        rests = _rests()
        rests.observe("a", 3.0, 10.0)
        assert not rests.observe("a", 1.0, 11.0)
        assert rests.left_s("a", 11.0) >= 2.0
        assert rests.observe("a", 3.0, 12.0)
        assert rests.left_s("a", 12.0) >= 3.0

    def test_a_rest_of_no_length_changes_nothing(self) -> None:
        rests = _rests()
        assert not rests.observe("a", 0.0, 10.0)
        assert rests.resting(10.0) == frozenset()
        rests.observe("a", 1.0, 10.0)
        assert not rests.observe("a", 0.0, 12.0)

    def test_an_endless_rest_is_bounded(self) -> None:
        """Guards against losing the only upstream for good."""
        rests = _rests()
        rests.observe("a", 1e9, 10.0)
        assert rests.left_s("a", 10.0) <= MAX_REST_S + _MAX_ALONE_DELAY_S

    def test_a_rest_concerns_one_incarnation(self) -> None:
        """Guards against carrying a rest over to a restart."""
        rests = _rests()
        rests.observe("a@1", 9.0, 0.0)
        assert rests.resting(1.0) == {"a@1"}
        assert rests.left_s("a@2", 1.0) == 0.0

    def test_rests_that_are_over_are_dropped(self) -> None:
        """Guards against memory that grows with each incarnation."""
        rests = _rests()
        rests.observe("a", 1.0, 0.0)
        rests.on_trial(1.0 + RETURN_S + _MAX_ALONE_DELAY_S)
        assert rests._rests == {}


class TestReturn:
    """The first requests after a rest."""

    def test_one_request_comes_first(self) -> None:
        """Guards against all requests for an upstream that looks idle."""
        rests = _rests()
        rests.observe("a", 1.0, 0.0)
        assert rests.on_trial(1.1) == frozenset()
        rests.on_sent("a", 1.1)
        assert rests.on_trial(1.2) == {"a"}
        rests.on_answer("a", sent_s=1.1)
        assert rests.on_trial(1.2) == frozenset()

    def test_an_answer_to_an_earlier_request_ends_no_trial(self) -> None:
        """Guards against taking a stream from before the rest for a trial."""
        rests = _rests()
        rests.observe("a", 1.0, 0.0)
        rests.on_sent("a", 0.5)
        assert rests.on_trial(0.6) == frozenset()
        rests.on_sent("a", 1.1)
        rests.on_answer("a", sent_s=0.5)
        assert rests.on_trial(1.2) == {"a"}

    def test_a_trial_without_an_answer_ends(self) -> None:
        """Guards against waiting for a request that was lost."""
        rests = _rests()
        rests.observe("a", 1.0, 0.0)
        rests.on_sent("a", 1.1)
        assert rests.on_trial(1.1 + TRIAL_S) == frozenset()
        rests.on_sent("a", 1.1 + TRIAL_S)
        assert rests.on_trial(1.2 + TRIAL_S) == {"a"}

    def test_a_trial_may_be_answered_by_another_rest(self) -> None:
        rests = _rests()
        rests.observe("a", 1.0, 0.0)
        rests.on_sent("a", 1.1)
        rests.observe("a", 2.0, 1.2)
        assert rests.on_trial(1.3) == frozenset()
        assert rests.resting(3.1) == {"a"}

    @pytest.mark.parametrize(
        ("hosts", "most_at_once"), [(8, 8), (83, 20), (2500, 500)]
    )
    def test_hosts_return_one_after_the_other(
        self, hosts: int, most_at_once: int
    ) -> None:
        """Guards against a burst of all hosts at the end of their rests."""
        rest_s = 3.0
        returns_s = []
        for seed in range(hosts):
            rests = _rests(hosts, seed)
            rests.observe("a", rest_s, 0.0)
            returns_s.append(rests.left_s("a", 0.0))
        assert min(returns_s) >= rest_s
        assert max(returns_s) <= rest_s * (1 + MAX_DELAY_FRACTION)
        assert (
            max(
                sum(begin <= s < begin + 0.1 for s in returns_s)
                for begin in returns_s
            )
            <= most_at_once
        )
