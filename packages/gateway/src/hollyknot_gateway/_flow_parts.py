"""Lists the components that request handling depends on."""

import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    BrittleServices,
    ColdStarts,
    CustomerShares,
    Forecasts,
    Health,
    Loads,
    Permits,
    Placement,
    Reachability,
    Relays,
    Rests,
    RetryBudget,
    Shedding,
    Speeds,
    StreamForms,
    StreamSteps,
)
from hollyknot_coordination.suspects import Suspects
from hollyknot_gateway._answer_notices import AnswerNotices
from hollyknot_gateway._grace import Grace
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import LossClassifier
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._ports import Dialect
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_gateway._stalls import Stalls


@attrs.frozen
class FlowParts:
    """The components that a host's request handling shares.

    Attributes:
        dialect: Reads and writes headers.
        in_force: Current routes and upstreams.
        placement: Chooses an upstream for each try.
        shedding: Refuses streams while engines are nearly full.
        customers: Shares that customers have of the room for streams.
        loads: In-flight work at each upstream.
        forecasts: Estimates how long streams take at each upstream.
        speeds: How fast each upstream prefills, relative to the others.
        reachability: Tracks upstreams that refuse or ignore connections.
        health: Tracks upstreams that fail a large part of their requests.
        cold_starts: Bounds requests to upstreams that have just started.
        rests: Upstreams that asked for rest, and those whose rest just ended.
        notices: Reads what upstreams say about themselves in their answers.
        neighbours: Asks other hosts for loads and permits.
        permits: Tracks which rate-limited upstreams have no permits left.
        prober: Checks by new connections whether upstreams can be reached.
        suspects: Tracks what may crash upstreams.
        losses: Reports to `suspects` how each try ended.
        brittle: Keeps requests from upstreams that must not reject many.
        stream_forms: Learns which services number the events of streams.
        stream_steps: Learns by which step the numbers of streams go up.
        stalls: Ends tries that have stopped receiving data.
        budget: The retry budget of each service.
        grace: The time that requests have left while the host stops.
        pool: Idle and new connections to upstreams.
        relays: Chooses peers that make tries for this host.
        relay_pool: Idle and new connections to these peers.
        log: Writes a line for each decision.
        metrics: Counts results and records durations.
        rng: Draws Retry-After jitter and the service of a split route.
        clock: The loop's monotonic clock, in seconds.
    """

    dialect: Dialect
    in_force: RoutingState
    placement: Placement
    shedding: Shedding
    customers: CustomerShares
    loads: Loads
    forecasts: Forecasts
    speeds: Speeds
    reachability: Reachability
    health: Health
    cold_starts: ColdStarts
    rests: Rests
    notices: AnswerNotices
    neighbours: Neighbours
    permits: Permits
    prober: Prober
    suspects: Suspects
    losses: LossClassifier
    brittle: BrittleServices
    stream_forms: StreamForms
    stream_steps: StreamSteps
    stalls: Stalls
    budget: RetryBudget
    grace: Grace
    pool: Pool
    relays: Relays
    relay_pool: Pool
    log: Log
    metrics: Metrics
    rng: random.Random
    clock: Callable[[], float]
