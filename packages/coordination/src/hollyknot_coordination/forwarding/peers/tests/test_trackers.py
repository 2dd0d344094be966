"""Tests of choosing the tracker of an upstream."""

from collections import Counter

import pytest

from hollyknot_coordination.forwarding import Tracker, Trackers
from hollyknot_coordination.forwarding.peers._trackers import (
    MAX_MISSES,
    SKIP_SILENT_S,
)
from hollyknot_coordination.forwarding.tests._builders import (
    address_of,
    upstream,
)

HOSTS = tuple(
    Tracker(number, address_of(f"host{number}"), centre)
    for number, centre in enumerate(["north", "south"] * 15)
)
ENGINES = [upstream(f"i-{n}", data_centre="north") for n in range(40)]


def _trackers(own: Tracker, hosts: tuple[Tracker, ...] = HOSTS) -> Trackers:
    peers = tuple(host for host in hosts if host is not own)
    return Trackers(own, lambda: peers)


def _found(own: Tracker, hosts: tuple[Tracker, ...] = HOSTS) -> list[Tracker]:
    trackers = _trackers(own, hosts)
    return [trackers.of(engine, 0.0) or own for engine in ENGINES]


class TestOrder:
    """All hosts rank the trackers of an upstream alike."""

    def test_all_hosts_agree(self) -> None:
        wanted = _found(HOSTS[0])
        assert all(_found(host) == wanted for host in HOSTS)

    def test_upstreams_are_spread(self) -> None:
        counts = Counter(found.incarnation for found in _found(HOSTS[0]))
        assert len(counts) > 8
        assert max(counts.values()) < 10

    def test_a_tracker_runs_in_its_upstreams_data_centre(self) -> None:
        """Guards against a tracker that is cut off from its upstream's hosts.

        If it ran in another data centre, a partition would keep the hosts
        beside the upstream from asking for its load.
        """
        assert {found.data_centre for found in _found(HOSTS[1])} == {"north"}

    def test_without_hosts_in_the_data_centre_another_tracks(self) -> None:
        south = tuple(host for host in HOSTS if host.data_centre == "south")
        assert {f.data_centre for f in _found(south[0], south)} == {"south"}

    def test_a_lost_host_moves_only_its_own_upstreams(self) -> None:
        before = _found(HOSTS[0])
        lost = before[0] if before[0] is not HOSTS[0] else before[1]
        rest = tuple(host for host in HOSTS if host is not lost)
        after = _found(HOSTS[0], rest)
        moved = [a is not b for a, b in zip(after, before, strict=True)]
        assert moved == [found is lost for found in before]

    def test_a_restarted_host_gets_another_rank(self) -> None:
        """Guards against a restarted tracker whose loads are read as zero.

        If the ranking followed from the address, a tracker restarted within a
        second would go on as the tracker without any load.
        """
        restarted = tuple(
            Tracker(1000 + h.incarnation, h.address, h.data_centre)
            for h in HOSTS
        )
        before = [found.address for found in _found(HOSTS[0])]
        assert [
            found.address for found in _found(restarted[0], restarted)
        ] != before


class TestSilentTracker:
    """A tracker that does not answer is skipped for a while."""

    def test_after_max_misses_the_next_candidate_is_asked_for_a_while(
        self,
    ) -> None:
        """Guards against placement by old loads after the loss of a tracker.

        A tracker that loses power would stay the tracker until its peers have
        noticed its loss.
        """
        trackers = _trackers(HOSTS[1])
        first = trackers.of(ENGINES[0], 0.0)
        assert first is not None
        skipped = [trackers.missed(first, 0.0) for _ in range(MAX_MISSES)]
        assert skipped == [False] * (MAX_MISSES - 1) + [True]
        second = trackers.of(ENGINES[0], 0.0)
        assert second is not None
        assert second is not first
        assert trackers.of(ENGINES[0], SKIP_SILENT_S + 0.1) is first

    def test_one_more_miss_skips_the_tracker_again(self) -> None:
        trackers = _trackers(HOSTS[1])
        first = trackers.of(ENGINES[0], 0.0)
        assert first is not None
        for _ in range(MAX_MISSES):
            trackers.missed(first, 0.0)
        assert trackers.missed(first, SKIP_SILENT_S + 0.1)

    def test_an_answer_resets_the_count_of_misses(self) -> None:
        trackers = _trackers(HOSTS[1])
        first = trackers.of(ENGINES[0], 0.0)
        assert first is not None
        for _ in range(3 * MAX_MISSES):
            assert not trackers.missed(first, 0.0)
            trackers.answered(first)
        assert trackers.of(ENGINES[0], 0.0) is first

    @pytest.mark.parametrize("hosts", [1, 2])
    def test_if_all_candidates_are_silent_the_first_is_asked(
        self, hosts: int
    ) -> None:
        few = tuple(h for h in HOSTS if h.data_centre == "north")[:hosts]
        trackers = Trackers(HOSTS[1], lambda: few)
        first = trackers.of(ENGINES[0], 0.0)
        for host in few:
            for _ in range(MAX_MISSES):
                trackers.missed(host, 0.0)
        assert trackers.of(ENGINES[0], 0.0) is first
