"""A role's cost, and what several roles are worked out from."""

import attrs

from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import ASSUMED, PLAN, READERS, SLOTS

CENTRE = "hosts of a data centre"
"""What most measures of peers are against."""

PERCENT = 100 / 1e6
"""From microseconds of processor time a second to percent of a core."""


@attrs.frozen
class Cost:
    """What something costs one host, or that it isn't known."""

    messages_s: float = 0.0
    bytes_s: float = 0.0
    core_percent: float = 0.0
    memory_mb: float = 0.0

    def plus(self, other: "Cost") -> "Cost":
        """Returns both together."""
        return Cost(
            self.messages_s + other.messages_s,
            self.bytes_s + other.bytes_s,
            self.core_percent + other.core_percent,
            self.memory_mb + other.memory_mb,
        )

    def times(self, factor: float) -> "Cost":
        """Returns it multiplied."""
        return Cost(
            self.messages_s * factor,
            self.bytes_s * factor,
            self.core_percent * factor,
            self.memory_mb * factor,
        )


@attrs.frozen
class Row:
    """One mechanism of one role.

    Attributes:
        role: The role.
        state: What is kept, and by which mechanism.
        bound: What bounds it.
        basis: Measured, extrapolated by what factor, or assumed.
        one: What it costs a host that has the role.
        share: The part of all hosts that have it at a moment, on average.
    """

    role: str
    state: str
    bound: str
    basis: str
    one: Cost
    share: float = 1.0

    @property
    def mean(self) -> Cost:
        """What it costs the mean host."""
        return self.one.times(self.share)


def make_row(
    look: Lookup,
    role: str,
    state: str,
    bound: str,
    cost: Cost,
    *,
    assumed: str = "",
    share: float = 1.0,
) -> Row:
    """Returns a row whose basis covers all that was looked up for it."""
    return Row(role, state, bound, look.take_basis(assumed), cost, share)


def records_a_slot() -> float:
    """Returns the claims that a slot's holders remember."""
    rate = PLAN.requests_s * ASSUMED.non_idempotent_share
    return rate * ASSUMED.remember_s / SLOTS


def worst_slots(look: Lookup) -> float:
    """Returns the slots that the worst host of a data centre holds."""
    return look.at(
        f"claims/slots of the worst host/{CENTRE}", PLAN.hosts_a_centre
    )


def bodies_a_reader(look: Lookup) -> float:
    """Returns the part of changes that one reader reads as a whole body."""
    bodies = look.at("spread/bodies a change/data centres", PLAN.centres)
    return bodies / PLAN.centres / READERS
