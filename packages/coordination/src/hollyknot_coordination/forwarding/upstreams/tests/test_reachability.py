"""Tests which upstreams count as unreachable, and when they are probed."""

from hollyknot_coordination.forwarding import Reachability
from hollyknot_coordination.forwarding.tests._builders import upstream

A, B = upstream("a"), upstream("b")


class TestReachability:
    """A failure makes an upstream unreachable, a connection ends that."""

    def test_failure_and_success(self) -> None:
        reachability = Reachability()
        assert reachability.failed(A, 0.0)
        assert not reachability.failed(A, 0.1)
        assert reachability.unreachable([A, B]) == {"a"}
        assert reachability.succeeded("a", 0.2)
        assert reachability.unreachable([A, B]) == frozenset()

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

    def test_not_probed_again_while_a_probe_runs(self) -> None:
        reachability = Reachability()
        reachability.failed(A, 0.0)
        assert reachability.due(0.5) == [A]
        assert reachability.due(0.6) == []

    def test_partitioned_upstreams_are_probed_one_at_a_time(self) -> None:
        """A partition of several seconds costs thousands of connections.

        It happens if each of many hosts probes each upstream of the data
        centre once a second, though all are behind the same partition.
        """
        reachability = Reachability()
        far = [upstream(f"far-{n:02}") for n in range(20)]
        for entry in far:
            reachability.failed(entry, 0.0)
        tries = []
        for step in range(1, 49):
            now_s = step / 8
            for entry in reachability.due(now_s):
                tries.append(entry)
                reachability.failed(entry, now_s)
        assert len(tries) <= 13
        assert len({entry.incarnation for entry in tries}) == len(tries)
        # After the partition the next single probe connects, and then all
        # upstreams are probed.
        found = reachability.due(6.5)
        assert len(found) == 1
        assert reachability.succeeded(found[0].incarnation, 6.5)
        back = {e.incarnation for e in reachability.due(6.6)}
        back |= {e.incarnation for e in reachability.due(8.4)}
        assert len(back) == len(far) - 1

    def test_few_unreachable_upstreams_are_probed_independently(self) -> None:
        reachability = Reachability()
        for name in "abc":
            reachability.failed(upstream(name), 0.0)
        assert len(reachability.due(0.5)) == 3
