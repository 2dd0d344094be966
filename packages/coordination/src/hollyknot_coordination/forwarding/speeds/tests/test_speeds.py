"""Tests that hosts learn which upstreams are slow."""

import random

import pytest

from hollyknot_coordination.forwarding import (
    CachedParts,
    Choice,
    Demand,
    Loads,
    Placement,
    Speeds,
)
from hollyknot_coordination.forwarding.speeds import SpeedSamples
from hollyknot_coordination.forwarding.speeds._speed_samples import (
    MAX_AGE_S,
    MAX_SAMPLES,
    MIN_SAMPLES,
)
from hollyknot_coordination.forwarding.speeds._speeds import (
    MAX_SLOWNESS,
    MIN_TOKENS,
    OVERHEAD_TOKENS,
    USUAL_UP_TO,
)
from hollyknot_coordination.forwarding.tests._builders import call, upstream
from hollyknot_state import UpstreamSpeed, short_name
from hollyknot_state.routes import Engine, Service

ENGINES = [upstream(name) for name in ("a", "b", "c", "d")]
USUAL_NS = 15_000


def _speed(name: str, times: float) -> UpstreamSpeed:
    return UpstreamSpeed(short_name(name), int(USUAL_NS * times))


def _speeds(**times: float) -> Speeds:
    speeds = Speeds()
    told = [_speed(name, factor) for name, factor in times.items()]
    speeds.apply_answered(told, 0.0)
    return speeds


class TestSpeedSamples:
    """A tracker knows the speed of an upstream from what hosts see there."""

    def test_few_samples_tell_nothing(self) -> None:
        samples = SpeedSamples()
        for _ in range(MIN_SAMPLES - 1):
            samples.record(1, USUAL_NS, 0.0)
        assert samples.token_ns(1, 0.0) is None
        samples.record(1, USUAL_NS, 0.0)
        assert samples.token_ns(1, 0.0) == USUAL_NS

    def test_waits_and_slow_hosts_do_not_make_an_upstream_slow(self) -> None:
        """Guards against an upstream avoided because one host is slow."""
        samples = SpeedSamples()
        for number in range(MAX_SAMPLES):
            factor = 8 if number % 2 else 1
            samples.record(1, USUAL_NS * factor, 0.0)
        assert samples.token_ns(1, 0.0) == USUAL_NS

    def test_upstream_that_turns_slow_is_noticed(self) -> None:
        samples = SpeedSamples()
        for _ in range(MAX_SAMPLES):
            samples.record(1, USUAL_NS, 0.0)
        for _ in range(MAX_SAMPLES):
            samples.record(1, 5 * USUAL_NS, 0.5)
        assert samples.token_ns(1, 0.5) == 5 * USUAL_NS

    def test_old_samples_no_longer_count(self) -> None:
        """Guards against an upstream that is avoided for good once slow."""
        samples = SpeedSamples()
        for _ in range(MAX_SAMPLES):
            samples.record(1, 5 * USUAL_NS, 0.0)
        assert samples.token_ns(1, MAX_AGE_S + 0.1) is None

    def test_upstream_without_fresh_samples_is_dropped(self) -> None:
        samples = SpeedSamples()
        samples.record(1, USUAL_NS, 0.0)
        samples.record(2, USUAL_NS, MAX_AGE_S)
        assert samples.token_ns(1, MAX_AGE_S + 0.1) is None
        samples.expire(MAX_AGE_S + 0.1)
        assert set(samples._samples) == {2}


class TestSpeeds:
    """A host compares the upstreams of a service."""

    def test_slowness_is_relative_to_the_usual_upstream(self) -> None:
        speeds = _speeds(a=1, b=1, c=3, d=0.6)
        slowness = speeds.slowness(ENGINES, 0.0)
        assert slowness["a"] == pytest.approx(1)
        assert slowness["c"] == pytest.approx(3)
        assert slowness["d"] == pytest.approx(0.6)

    def test_small_differences_count_for_nothing(self) -> None:
        """Guards against equal upstreams that get unequal work by chance."""
        speeds = _speeds(a=1, b=1, c=USUAL_UP_TO, d=1 / USUAL_UP_TO + 0.01)
        assert set(speeds.slowness(ENGINES, 0.0).values()) == {1.0}

    def test_unknown_upstreams_are_left_out(self) -> None:
        """Guards against all requests at the first upstream that is known."""
        assert not _speeds(a=0.5).slowness(ENGINES, 0.0)
        assert set(_speeds(a=1, b=1, c=3).slowness(ENGINES, 0.0)) == set("abc")

    def test_slowness_is_bounded(self) -> None:
        slowness = _speeds(a=1, b=1, c=90).slowness(ENGINES, 0.0)
        assert slowness["c"] == MAX_SLOWNESS

    def test_restarted_upstream_is_unknown(self) -> None:
        """Guards against a speed that outlives a restart under one name."""
        speeds = _speeds(a=1, b=1, c=3, d=1)
        restarted = upstream("c", born_ms=7)
        entries = [*ENGINES[:2], restarted, ENGINES[3]]
        assert restarted.incarnation not in speeds.slowness(entries, 0.0)

    def test_old_speed_is_unknown(self) -> None:
        speeds = _speeds(a=1, b=1, c=3)
        assert not speeds.slowness(ENGINES, MAX_AGE_S + 0.1)

    def test_forgotten_upstream_is_unknown(self) -> None:
        speeds = _speeds(a=1, b=1, c=3, d=1)
        speeds.forget("c")
        assert "c" not in speeds.slowness(ENGINES, 0.0)

    def test_sample_counts_tokens_and_overhead(self) -> None:
        speeds = Speeds()
        speeds.observe("a", 5_000, 3_500, 0.1)
        sample = speeds.pop_unsent(short_name("a"))
        assert sample is not None
        assert sample.token_ns == int(1e8 / (8_500 + OVERHEAD_TOKENS))
        assert speeds.pop_unsent(short_name("a")) is None

    def test_short_prompts_tell_nothing(self) -> None:
        """Guards against upstreams that seem slow for what is around them."""
        speeds = Speeds()
        speeds.observe("a", MIN_TOKENS - 1, 50_000, 0.1)
        assert speeds.pop_unsent(short_name("a")) is None


class TestPlacementBySpeed:
    """Slow engines get the work that they finish in time."""

    def test_slow_engine_gets_less_work(self) -> None:
        """Guards against long prompts that queue at a slow engine."""
        assert self._sent_to_slow(_speeds(a=1, b=1, c=3, d=1)) <= 3
        assert self._sent_to_slow(Speeds()) >= 5

    def test_work_does_not_gather_at_the_fastest_engine(self) -> None:
        sent = self._placed(_speeds(a=0.6, b=1, c=1, d=1))
        assert sent.count("a") <= 9

    def _sent_to_slow(self, speeds: Speeds) -> int:
        return self._placed(speeds).count("c")

    def _placed(self, speeds: Speeds) -> list[str]:
        """Places prompts that stay in flight and returns their engines."""
        placement = Placement(
            Loads(),
            Demand(),
            CachedParts(),
            "north",
            random.Random(1),
            speeds=speeds,
        )
        service = Service("engines", Engine(64))
        found = []
        for number in range(24):
            request = call((f"own-{number}", 4_000))
            choice = placement.choose(
                service,
                ENGINES,
                request,
                frozenset(),
                0.0,
                is_loose=True,
                urgency=2,
                limited=[entry.incarnation for entry in ENGINES],
            )
            assert isinstance(choice, Choice)
            placement.begin(choice, request, 0.0, is_loose=True, urgency=2)
            found.append(choice.entry.incarnation)
        return found
