"""A role's cost, and what several roles are worked out from."""

import enum

import attrs

from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import ASSUMED, DAY_S, PLAN

CENTRE_HOSTS = "hosts of a data centre"
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


class Kind(enum.Enum):
    """What a row's cost depends on."""

    ALWAYS = "at rest, with the plan's changes and replacements"
    CLAIMS = "claims of non-idempotent requests"
    OVERLOAD = "signals while all tiers of all pools are short"


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
        after: What it would cost with the changes on paper.
        kind: What the row is counted under.
    """

    role: str
    state: str
    bound: str
    basis: str
    cost_per_host: Cost
    share: float
    after: Cost
    kind: Kind

    @property
    def mean(self) -> Cost:
        """What it costs the mean host."""
        return self.cost_per_host.times(self.share)

    @property
    def mean_after(self) -> Cost:
        """What it would cost the mean host."""
        return self.after.times(self.share)


def make_row(
    lookup: Lookup,
    role: str,
    state: str,
    bound: str,
    cost: Cost,
    *,
    assumed: str = "",
    share: float = 1.0,
    after: Cost | None = None,
    kind: Kind = Kind.ALWAYS,
) -> Row:
    """Returns a row whose basis covers all that was looked up for it.

    Args:
        look: Where its values were looked up.
        role: The role.
        state: What is kept.
        bound: What bounds it.
        cost: What it costs a host that has the role.
        assumed: What was assumed.
        share: The part of all hosts that have the role.
        after: With the changes on paper; as now by default.
        kind: What it is counted under.
    """
    basis = lookup.pop_basis(assumed)
    later = cost if after is None else after
    return Row(role, state, bound, basis, cost, share, later, kind)


def total_records() -> float:
    """Returns the claims that are remembered, each counted once."""
    rate = PLAN.requests_s * ASSUMED.non_idempotent_share
    return rate * ASSUMED.remember_s


def records_per_slot(lookup: Lookup) -> float:
    """Returns the claims that a slot's holders remember."""
    return total_records() / lookup.design.slots


def mean_slots(lookup: Lookup) -> float:
    """Returns the slots that the mean host holds."""
    return lookup.design.slots * lookup.design.holders / PLAN.hosts


def worst_slots(lookup: Lookup) -> float:
    """Returns the slots that the worst host of a data centre holds."""
    name = f"claims/slots of the worst host/{CENTRE_HOSTS}"
    return lookup.at(name, PLAN.hosts_per_centre)


def bodies_per_reader(lookup: Lookup) -> float:
    """Returns the part of changes that one reader reads as a whole body."""
    bodies = lookup.at("spread/bodies a change/data centres", PLAN.centres)
    return bodies / PLAN.centres / lookup.design.readers


def holder_changes_s(lookup: Lookup) -> float:
    """Returns how often a second some slot's holders change."""
    return 2 * PLAN.replaced_per_day * mean_slots(lookup) / DAY_S


def shared_reports_s() -> float:
    """Returns a host's load reports, were each asked for by one host."""
    return PLAN.replicas / PLAN.hosts / ASSUMED.report_valid_s
