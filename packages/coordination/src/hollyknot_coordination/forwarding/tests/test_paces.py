"""Tests of learning which upstreams are slow."""

import random

from hollyknot_coordination.forwarding import Load, Paces
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_state import UpstreamPace

POOL = [upstream("fast"), upstream("slow")]
QUIET = Load(running=3)


def _feed(paces: Paces, name: str, speed: float, count: int) -> None:
    rng = random.Random(count)
    for _ in range(count):
        interval_s = rng.choice((0.012, 0.025)) * speed
        paces.note(name, interval_s * rng.uniform(1.0, 1.05), QUIET)


class TestPaces:
    """From intervals between events to slow upstreams."""

    def test_finds_the_slow_one(self) -> None:
        paces = Paces()
        _feed(paces, "fast", 1.0, 200)
        _feed(paces, "slow", 1.3, 200)
        assert 1.2 < paces.ratios(POOL)["slow"] < 1.4
        assert paces.slow == {"slow"}

    def test_a_busy_upstream_is_not_taken_for_a_slow_one(self) -> None:
        """Sessions move to and fro and their prompts are read in again.

        Sequence: a burst of long prompts keeps some upstreams busy, whose
        intervals grow; they change lanes, and back when the burst is over.
        Cause: intervals were counted while prompts were read in beside.
        """
        paces = Paces()
        _feed(paces, "fast", 1.0, 200)
        _feed(paces, "slow", 1.0, 200)
        for _ in range(500):
            paces.note("slow", 0.120, Load((9000,), 2, 3))
            paces.note("slow", 0.120, Load(running=60))
        paces.ratios(POOL)
        assert paces.slow == frozenset()

    def test_counts_what_peers_tell(self) -> None:
        paces = Paces()
        paces.take([UpstreamPace("fast", 12000), UpstreamPace("slow", 15600)])
        paces.ratios(POOL)
        assert paces.slow == {"slow"}

    def test_few_intervals_tell_nothing(self) -> None:
        paces = Paces()
        _feed(paces, "fast", 1.0, 200)
        _feed(paces, "slow", 1.3, 10)
        assert "slow" not in paces.ratios(POOL)
