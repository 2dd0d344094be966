"""Describes the scenario's load and draws its arrivals."""

import random
from collections.abc import Iterator

import attrs

from hollyknot_state import TargetKind

_CUSTOMER_WEIGHTS = (30, 20, 15, 5, 5, 5, 5, 5, 5, 5)
"""Weights of the ten customers; the first three send most requests."""


@attrs.frozen
class ClassLoad:
    """Class of requests with its target and arrival rate.

    Attributes:
        name: Name of the class.
        tier: Tier of the class; 1 is the highest.
        target_kind: Event of an answer that the target refers to.
        budget_s: Target for the time from arrival to that event.
        tokens_median: Median length of an answer; lengths are lognormal.
        tokens_sigma: Standard deviation of the logarithm of the length.
        prompt_cost: Cost of the prompt's prefill, in tokens of output.
        rate: Arrivals per second outside the burst.
        burst: Factor by which the rate is multiplied in the burst.
        resend_after_s: Time that a caller waits for an answer before it sends
            its request again, which it does without limit.
        first_host_share: Fraction of requests that the load balancer sends to
            the first host.
    """

    name: str
    tier: int
    target_kind: TargetKind
    budget_s: float
    tokens_median: float
    tokens_sigma: float
    prompt_cost: float
    rate: float
    burst: float
    resend_after_s: float
    first_host_share: float


CLASSES = (
    ClassLoad(
        "counter-question",
        1,
        TargetKind.FIRST_TOKEN,
        2.0,
        90,
        0.6,
        5,
        0.9,
        7.0,
        30.0,
        0.1,
    ),
    ClassLoad(
        "permit-request",
        1,
        TargetKind.WHOLE_ANSWER,
        30.0,
        150,
        0.5,
        10,
        0.33,
        6.0,
        90.0,
        0.1,
    ),
    ClassLoad(
        "tariff-lookup",
        2,
        TargetKind.WHOLE_ANSWER,
        5.0,
        25,
        0.4,
        2,
        2.2,
        3.0,
        30.0,
        0.2,
    ),
    ClassLoad(
        "overnight-finding",
        3,
        TargetKind.WHOLE_ANSWER,
        3600.0,
        500,
        0.8,
        150,
        0.14,
        1.0,
        7200.0,
        0.8,
    ),
)
"""Default classes of the scenario."""


@attrs.frozen
class Scenario:
    """Sizes and times of a scenario.

    Attributes:
        classes: Classes of requests.
        hosts: Number of hosts in the data centre.
        upstreams: Number of engines in the only pool.
        slots: Requests that an engine batches at most.
        token_rate: Tokens per second of an engine that runs one request.
        batch_slowdown: Increase of the time per token for each further request
            in the batch, as a fraction of the time with one request.
        straggler_rate: Speed of the last engine, as a fraction of
            `token_rate`.
        horizon_s: Duration of the load.
        burst_start_s: Start of the burst.
        burst_end_s: End of the burst.
        crowd_share: Fraction of a class's requests in the burst that come from
            one customer beyond its usual weight.
        gossip_interval_s: Interval at which hosts report pressure to peers.
        link_latency_s: Latency of a report between hosts.
    """

    classes: tuple[ClassLoad, ...] = CLASSES
    hosts: int = 3
    upstreams: int = 3
    slots: int = 8
    token_rate: float = 50.0
    batch_slowdown: float = 0.08
    straggler_rate: float = 0.5
    horizon_s: float = 3960.0
    burst_start_s: float = 300.0
    burst_end_s: float = 540.0
    crowd_share: float = 0.5
    gossip_interval_s: float = 0.5
    link_latency_s: float = 0.001

    def capacity_tokens(self) -> float:
        """Returns the tokens per second of all engines with full batches."""
        slowed = 1 + self.batch_slowdown * (self.slots - 1)
        engine = self.slots * self.token_rate / slowed
        return engine * (self.upstreams - 1 + self.straggler_rate)

    def is_burst(self, at_s: float) -> bool:
        """Returns whether a time lies in the burst."""
        return self.burst_start_s <= at_s < self.burst_end_s


@attrs.frozen
class Arrival:
    """Request of a caller, before its first try.

    Attributes:
        key: Number of the request, unique within the run.
        load: Class of the request.
        customer: Customer that sends it.
        at_s: Time of its arrival.
        tokens: Length of its answer, unknown to the admission.
    """

    key: int
    load: ClassLoad
    customer: str
    at_s: float
    tokens: float


def arrivals(scenario: Scenario, seed: int) -> tuple[Arrival, ...]:
    """Draws all arrivals; they depend on the seed and not on the policy."""
    drawn: list[tuple[float, ClassLoad, str, float]] = []
    for load in scenario.classes:
        rng = random.Random(f"{seed} {load.name}")
        for at_s in _times(scenario, load, rng):
            customer = _customer(scenario, load, at_s, rng)
            length = rng.lognormvariate(0, load.tokens_sigma)
            drawn.append((at_s, load, customer, load.tokens_median * length))
    drawn.sort(key=lambda item: item[0])
    return tuple(
        Arrival(key, load, customer, at_s, tokens)
        for key, (at_s, load, customer, tokens) in enumerate(drawn)
    )


def _times(
    scenario: Scenario, load: ClassLoad, rng: random.Random
) -> Iterator[float]:
    """Draws a Poisson process by thinning one with the highest rate."""
    highest = load.rate * max(1.0, load.burst)
    at_s = rng.expovariate(highest)
    while at_s < scenario.horizon_s:
        rate = load.rate * (load.burst if scenario.is_burst(at_s) else 1.0)
        if rng.random() < rate / highest:
            yield at_s
        at_s += rng.expovariate(highest)


def _customer(
    scenario: Scenario, load: ClassLoad, at_s: float, rng: random.Random
) -> str:
    is_burst = scenario.is_burst(at_s) and load.burst > 1
    if is_burst and rng.random() < scenario.crowd_share:
        return "customer-0"
    customers = range(len(_CUSTOMER_WEIGHTS))
    return f"customer-{rng.choices(customers, _CUSTOMER_WEIGHTS)[0]}"
