"""Builds the product's routing decisions, with their state, for one host."""

import random

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Forecasts,
    Loads,
    Placement,
    Shedding,
)


@attrs.frozen
class Host:
    """What one emulated host knows, and the decisions based on it."""

    loads: Loads
    demand: Demand
    cached: CachedParts
    forecasts: Forecasts
    placement: Placement
    shedding: Shedding


def make_host(rng: random.Random) -> Host:
    """Returns a host that has no knowledge of loads, demand or caches yet."""
    loads, demand, cached = Loads(), Demand(), CachedParts()
    return Host(
        loads,
        demand,
        cached,
        Forecasts(),
        Placement(loads, demand, cached, "one", rng),
        Shedding(loads, rng),
    )
