"""Builds the product's routing decisions, with their state, for one host."""

import random

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Forecasts,
    LaneShares,
    Loads,
    Placement,
    Shedding,
    Speeds,
)


@attrs.frozen
class Host:
    """What one emulated host knows, and the decisions based on it."""

    loads: Loads
    demand: Demand
    cached: CachedParts
    forecasts: Forecasts
    speeds: Speeds
    lane_shares: LaneShares
    placement: Placement
    shedding: Shedding


def make_host(rng: random.Random) -> Host:
    """Returns a host that has no knowledge of loads, demand or caches yet."""
    loads, demand, cached = Loads(), Demand(), CachedParts()
    speeds = Speeds()
    lane_shares = LaneShares(rng.getrandbits(62))
    return Host(
        loads,
        demand,
        cached,
        Forecasts(),
        speeds,
        lane_shares,
        Placement(
            loads,
            demand,
            cached,
            "one",
            rng,
            speeds=speeds,
            lane_shares=lane_shares,
        ),
        Shedding(loads, rng),
    )
