"""Tests of keeping requests from upstreams that can't be reached."""

from hollyknot_coordination.forwarding import Reachability
from hollyknot_coordination.forwarding.tests._builders import upstream

A, B = upstream("a"), upstream("b")


class TestReachability:
    """One failure keeps requests away, one connection brings them back."""

    def test_failure_and_success(self) -> None:
        reachability = Reachability()
        assert reachability.failed(A, 0.0)
        assert not reachability.failed(A, 0.1)
        assert reachability.away([A, B]) == {"a"}
        assert reachability.succeeded("a")
        assert reachability.away([A, B]) == frozenset()

    def test_tries_again_with_growing_pauses(self) -> None:
        reachability = Reachability()
        reachability.failed(A, 0.0)
        pauses = []
        now_s = last_s = 0.0
        while now_s < 6.0:
            now_s += 0.05
            if reachability.due(now_s):
                pauses.append(now_s - last_s)
                last_s = now_s
                reachability.failed(A, now_s)
        assert pauses[0] < 0.4
        assert max(pauses) < 1.2
        assert pauses == sorted(pauses) or pauses[-1] > pauses[0]

    def test_one_try_at_a_time(self) -> None:
        reachability = Reachability()
        reachability.failed(A, 0.0)
        assert reachability.due(0.5) == [A]
        assert reachability.due(0.6) == []
