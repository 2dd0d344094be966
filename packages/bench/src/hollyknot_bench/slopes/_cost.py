"""Costs of the roles of a host, and quantities that several roles share."""

import enum

import attrs

from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import ASSUMED, DAY_S, PLAN

CENTRE_HOSTS = "hosts of a data centre"
"""Size against which most measurements of peers were taken."""

PERCENT = 100 / 1e6
"""Converts microseconds of processor time per second to percent of a core."""


@attrs.frozen
class Cost:
    """Resources that a mechanism uses.

    Attributes:
        messages_s: Messages per second.
        bytes_s: Bytes per second.
        core_percent: Processor time in percent of one core.
        memory_mb: Memory in megabytes.
    """

    messages_s: float = 0.0
    bytes_s: float = 0.0
    core_percent: float = 0.0
    memory_mb: float = 0.0

    def plus(self, other: "Cost") -> "Cost":
        """Returns the sum of both costs."""
        return Cost(
            self.messages_s + other.messages_s,
            self.bytes_s + other.bytes_s,
            self.core_percent + other.core_percent,
            self.memory_mb + other.memory_mb,
        )

    def times(self, factor: float) -> "Cost":
        """Returns the cost multiplied by a factor."""
        return Cost(
            self.messages_s * factor,
            self.bytes_s * factor,
            self.core_percent * factor,
            self.memory_mb * factor,
        )


class Kind(enum.Enum):
    """Load under which a row's cost arises."""

    ALWAYS = "at rest, with the plan's changes and replacements"
    CLAIMS = "claims of non-idempotent requests"
    OVERLOAD = "signals while all tiers of all pools are short"


@attrs.frozen
class Row:
    """Cost of one mechanism of one role.

    Attributes:
        role: Name of the role.
        state: State that is kept, and the mechanism that keeps it.
        bound: Limit on the state or on its traffic.
        basis: Whether the cost is measured, extrapolated (and by what factor)
            or assumed.
        cost_per_host: Cost to a host that has the role.
        share: Mean fraction of all hosts that have the role, from 0 to 1.
        after: Cost to such a host with the proposed changes.
        kind: Load under which the cost arises.
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
        """Cost to the mean host."""
        return self.cost_per_host.times(self.share)

    @property
    def mean_after(self) -> Cost:
        """Cost to the mean host with the proposed changes."""
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
    """Returns a row whose basis covers all values looked up for it.

    Args:
        lookup: Source of the values, which also states their basis.
        role: Name of the role.
        state: State that is kept, and the mechanism that keeps it.
        bound: Limit on the state or on its traffic.
        cost: Cost to a host that has the role.
        assumed: Assumptions behind the cost.
        share: Mean fraction of all hosts that have the role, from 0 to 1.
        after: Cost with the proposed changes; `cost` by default.
        kind: Load under which the cost arises.
    """
    basis = lookup.pop_basis(assumed)
    later = cost if after is None else after
    return Row(role, state, bound, basis, cost, share, later, kind)


def total_records() -> float:
    """Returns the number of stored claims, not counting replicas."""
    rate = PLAN.requests_s * ASSUMED.non_idempotent_share
    return rate * ASSUMED.remember_s


def records_per_slot(lookup: Lookup) -> float:
    """Returns the number of claims that each holder of a slot stores."""
    return total_records() / lookup.design.slots


def mean_slots(lookup: Lookup) -> float:
    """Returns the number of slots that the mean host holds."""
    return lookup.design.slots * lookup.design.holders / PLAN.hosts


def worst_slots(lookup: Lookup) -> float:
    """Returns the slots of the host that holds the most in a data centre."""
    name = f"claims/slots of the worst host/{CENTRE_HOSTS}"
    return lookup.at(name, PLAN.hosts_per_centre)


def bodies_per_reader(lookup: Lookup) -> float:
    """Returns the fraction of changes whose full body one reader reads."""
    bodies = lookup.at("spread/bodies a change/data centres", PLAN.centres)
    return bodies / PLAN.centres / lookup.design.readers


def holder_changes_s(lookup: Lookup) -> float:
    """Returns the changes of a slot's holders per second, over all slots."""
    return 2 * PLAN.replaced_per_day * mean_slots(lookup) / DAY_S


def shared_reports_s() -> float:
    """Returns a host's load reports per second if hosts shared them.

    Each upstream is then asked by one host instead of by all.
    """
    return PLAN.replicas / PLAN.hosts / ASSUMED.report_valid_s
