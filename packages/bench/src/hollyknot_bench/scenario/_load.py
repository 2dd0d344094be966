"""The load of the scenario: classes, customers, arrivals, a burst."""

import random
from collections.abc import Iterator

import attrs

from hollyknot_state import TargetKind

_CUSTOMER_WEIGHTS = (30, 20, 15, 5, 5, 5, 5, 5, 5, 5)
"""Ten customers, a few of them large."""


@attrs.frozen
class ClassLoad:
    """One class of work and how it arrives.

    Attributes:
        name: The class's name.
        tier: 1 is the highest.
        target_kind: What its target measures.
        budget_s: Its target.
        tokens_median: Of the answer, whose length is log-normal.
        tokens_sigma: The deviation of the logarithm of the length.
        prompt_cost: What reading the prompt costs, in tokens of output.
        rate: Arrivals a second outside the burst.
        burst: By how much the rate is multiplied in the burst.
        patience_s: How long a caller waits for an answer before it sends
            again; it never gives up.
        first_host_share: The share that the balancer sends to the first host.
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
"""The users' four classes."""


@attrs.frozen
class Scenario:
    """The sizes and times of one scenario.

    Attributes:
        classes: The classes of work.
        hosts: Hosts of the data centre.
        upstreams: Engines of the one pool.
        slots: Requests that an engine batches.
        token_rate: Tokens a second of an engine that runs one request.
        batch_slowdown: By how much each further request slows the others.
        straggler_rate: The share of its rate that the last engine has.
        horizon_s: How long the load lasts.
        burst_start_s: When the burst starts.
        burst_end_s: When it ends.
        crowd_share: The share of a burst that comes from one customer.
        gossip_s: How often hosts tell each other of pressure.
        link_s: How long that takes to arrive.
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
        """Returns the tokens a second of all engines with full batches."""
        slowed = 1 + self.batch_slowdown * (self.slots - 1)
        engine = self.slots * self.token_rate / slowed
        return engine * (self.upstreams - 1 + self.straggler_rate)

    def is_burst(self, at_s: float) -> bool:
        """Tells whether a time lies in the burst."""
        return self.burst_start_s <= at_s < self.burst_end_s


@attrs.frozen
class Arrival:
    """A caller's request, before its first try.

    Attributes:
        key: Unique within the run.
        load: Its class.
        customer: Its customer.
        at_s: When it arrives.
        tokens: The length of its answer, which nobody knows beforehand.
    """

    key: int
    load: ClassLoad
    customer: str
    at_s: float
    tokens: float


def arrivals(scenario: Scenario, seed: int) -> tuple[Arrival, ...]:
    """Returns all arrivals, the same for a seed whatever the policy."""
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
    """Draws a Poisson process by thinning one of the burst's rate."""
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
