"""What the handling of requests is made of."""

import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    ColdStarts,
    Forecasts,
    Health,
    Loads,
    Permits,
    Placement,
    Reachability,
    RetryBudget,
    Shedding,
)
from hollyknot_coordination.suspects import SuspectRegister
from hollyknot_gateway._log import Log
from hollyknot_gateway._losses import Losses
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._ports import Dialect
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._rate_limits import RateLimits
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_gateway._stalls import Stalls


@attrs.frozen
class FlowParts:
    """What the flow is made of.

    Attributes:
        dialect: Reads and writes headers.
        in_force: Routes and upstreams.
        placement: Chooses upstreams.
        shedding: Refuses streams while engines are nearly full.
        loads: Work in flight.
        forecasts: Learns how long streams take there at the moment.
        reachability: Knows which upstreams can't be connected to.
        health: Knows which upstreams fail much of their work.
        cold_starts: Bounds what upstreams get that have just started.
        rate_limits: Reads the limits that upstreams name.
        neighbours: Asks other hosts for loads and permits.
        permits: Knows which upstreams with a limit are not worth asking for.
        prober: Finds that out by new connections.
        suspects: Knows which requests may crash upstreams.
        losses: Tells it how tries ended.
        stalls: Ends tries that hang.
        budget: Bounds retries.
        pool: Connections to upstreams.
        log: Takes a line for each decision.
        metrics: Counts ends and times.
        rng: Spreads times to come back and the shares of a split.
        clock: The loop's monotonic clock, in seconds.
    """

    dialect: Dialect
    in_force: RoutingState
    placement: Placement
    shedding: Shedding
    loads: Loads
    forecasts: Forecasts
    reachability: Reachability
    health: Health
    cold_starts: ColdStarts
    rate_limits: RateLimits
    neighbours: Neighbours
    permits: Permits
    prober: Prober
    suspects: SuspectRegister
    losses: Losses
    stalls: Stalls
    budget: RetryBudget
    pool: Pool
    log: Log
    metrics: Metrics
    rng: random.Random
    clock: Callable[[], float]
