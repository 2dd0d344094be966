"""Tests that nothing known of an upstream applies after its restart.

It may restart under the same name and at the same address.
"""

import random
from collections.abc import Callable

import attrs
import pytest

from hollyknot_coordination.forwarding import (
    CachedParts,
    ColdStarts,
    Forecasts,
    Health,
    HostCount,
    Loads,
    NamedLimits,
    Reachability,
    Rests,
    UpstreamRegistry,
)
from hollyknot_coordination.forwarding.tests._builders import call, upstream
from hollyknot_state.routes import ColdStart, UpstreamEntry

NOW_S = 10.0
POOL = [upstream(name, born_ms=5) for name in "abcd"]
BEFORE = POOL[0]
AFTER = attrs.evolve(BEFORE, born_ms=9)
PROMPT = call(("session", 4000), ("own", 50)).prompt


def _caches(entry: UpstreamEntry) -> bool:
    cached = CachedParts()
    cached.note(BEFORE.incarnation, PROMPT, NOW_S)
    return cached.missing([entry], PROMPT, NOW_S).uncached_tokens == 0


def _caches_reported(entry: UpstreamEntry) -> bool:
    peer, cached = CachedParts(), CachedParts()
    peer.note(BEFORE.incarnation, PROMPT, NOW_S)
    cached.apply_reported(peer.to_report(NOW_S), NOW_S)
    return cached.missing([entry], PROMPT, NOW_S).uncached_tokens == 0


def _is_loaded(entry: UpstreamEntry) -> bool:
    loads = Loads()
    loads.begin(BEFORE.incarnation, 100, 0)
    return loads.at(entry.incarnation).requests > 0


def _is_loaded_by_peers(entry: UpstreamEntry) -> bool:
    peer, loads = Loads(), Loads()
    peer.begin(BEFORE.incarnation, 100, 0)
    loads.add_tracked(peer.uses(), NOW_S)
    return loads.at(entry.incarnation, NOW_S).requests > 0


def _has_pace(entry: UpstreamEntry) -> bool:
    forecasts = Forecasts()
    forecasts.note_interval(BEFORE.incarnation, 0.1, NOW_S)
    return forecasts.pace(entry.incarnation, NOW_S) is not None


def _is_ejected(entry: UpstreamEntry) -> bool:
    health = Health()
    for _ in range(9):
        health.note(BEFORE, POOL, NOW_S, is_good=False)
    return bool(health.ejected([entry], NOW_S))


def _rests(entry: UpstreamEntry) -> bool:
    rests = Rests(HostCount(0.0, is_alone=True), random.Random(1))
    rests.observe(BEFORE.incarnation, 5.0, NOW_S)
    return entry.incarnation in rests.resting(NOW_S)


def _is_limited(entry: UpstreamEntry) -> bool:
    limits = NamedLimits()
    limits.observe(BEFORE.incarnation, 1.5, NOW_S, NOW_S)
    return limits.rate(entry.incarnation) is not None


def _is_cold(entry: UpstreamEntry) -> bool:
    size = HostCount(0.0, is_alone=True)
    cold = ColdStarts(random.Random(1), size, lambda _: ColdStart(7.6, 3.0))
    cold.note(attrs.evolve(BEFORE, cold_s=3.0), NOW_S)
    return cold.is_cold(entry.incarnation, NOW_S)


def _is_unreachable(entry: UpstreamEntry) -> bool:
    reachability = Reachability()
    reachability.failed(BEFORE, NOW_S)
    return bool(reachability.unreachable([entry]))


def _is_leaving(entry: UpstreamEntry) -> bool:
    registry = UpstreamRegistry(1.0)
    registry.put(BEFORE)
    registry.mark_leaving(BEFORE.incarnation)
    registry.put(entry)
    return not registry.is_usable(entry.incarnation, NOW_S)


KNOWN = [
    _caches,
    _caches_reported,
    _is_loaded,
    _is_loaded_by_peers,
    _has_pace,
    _is_ejected,
    _rests,
    _is_limited,
    _is_cold,
    _is_unreachable,
    _is_leaving,
]


class TestRestartUnderOneName:
    """What is known of the process before and of the one after."""

    @pytest.mark.parametrize("known", KNOWN)
    def test_nothing_is_carried_over(
        self, known: Callable[[UpstreamEntry], bool]
    ) -> None:
        """A restarted upstream is treated like the process that has ended.

        It happens if something is kept by the upstream's name.
        """
        assert known(BEFORE)
        assert not known(AFTER)
