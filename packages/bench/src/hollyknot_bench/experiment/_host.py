"""The decisions of one emulated host: those that serve, each with its state."""

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
    """One host's beliefs and decisions."""

    loads: Loads
    demand: Demand
    cached: CachedParts
    forecasts: Forecasts
    placement: Placement
    shedding: Shedding


def make_host(rng: random.Random) -> Host:
    """Returns a host that has learnt nothing."""
    loads, demand, cached = Loads(), Demand(), CachedParts()
    return Host(
        loads,
        demand,
        cached,
        Forecasts(),
        Placement(loads, demand, cached, "one", rng),
        Shedding(loads, rng),
    )
