"""Renders the tables of `docs/CAPACITY.md` as Markdown."""

from collections.abc import Callable, Sequence

from hollyknot_bench.slopes._cost import (
    Cost,
    Kind,
    Row,
)
from hollyknot_bench.slopes._faults import faults
from hollyknot_bench.slopes._limit_tables import (
    claims_table,
    data_path_table,
    platform_table,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._markdown import figure, table
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    BUDGET,
    PLAN,
)
from hollyknot_bench.slopes._remedies import remedies
from hollyknot_bench.slopes._roles import roles
from hollyknot_bench.slopes._series import Slopes

Table = Callable[[Slopes], str]


def size_table(slopes: Slopes) -> str:
    """Returns the plan's sizes per host and the assumptions of all tables."""
    machine = slopes.machine
    rows = [
        ("hosts of a data centre", f"{PLAN.hosts_per_centre:.0f}", "plan"),
        ("requests/s a host", f"{PLAN.requests_per_host_s:.0f}", "plan"),
        ("tokens/s a host", f"{PLAN.tokens_per_host_s:,.0f}", "plan"),
        ("changes/s of the declarations", f"{PLAN.changes_s:.3f}", "plan"),
        (
            "revisions/s of the host list",
            f"{PLAN.revisions_s(ASSUMED):.3f}",
            "assumed: replicas are replaced as often as hosts,"
            f" {ASSUMED.revisions_per_process:.0f} revisions each",
        ),
        (
            "non-idempotent requests",
            f"{ASSUMED.non_idempotent_share:.0%}",
            "assumed",
        ),
        (
            "remember_s",
            f"{ASSUMED.remember_s:,.0f}",
            "assumed: the declarations' default",
        ),
        (
            "hosts of a rack",
            f"{ASSUMED.rack_hosts:.0f}",
            "assumed: 1 in 16 of a data centre",
        ),
        ("one way between hosts", f"{ASSUMED.transit_s * 1e3:g} ms", "assumed"),
        (
            "measured on",
            f"{machine.cores} cores, Python {machine.python}",
            "shared with other work",
        ),
    ]
    return table(("what", "value", "from"), rows)


def roles_table(slopes: Slopes) -> str:
    """Returns the cost of each role for a host that has it."""
    rows = [
        (
            row.role,
            row.state,
            figure(row.cost_per_host.messages_s),
            figure(row.cost_per_host.bytes_s),
            figure(row.cost_per_host.core_percent),
            figure(row.cost_per_host.memory_mb),
            row.bound,
            row.basis,
        )
        for row in roles(Lookup(slopes))
    ]
    head = (
        "role",
        "state and mechanism",
        "messages/s",
        "bytes/s",
        "% of a core",
        "MB",
        "bounded by",
        "basis",
    )
    return table(head, rows)


def budget_table(slopes: Slopes) -> str:
    """Returns the costs of the mean and of the worst host, with the budget."""
    rows = roles(Lookup(slopes))
    fields = (
        ("% of a core", "core_percent", BUDGET.core_percent),
        ("MB", "memory_mb", BUDGET.memory_mb),
        ("bytes/s", "bytes_s", BUDGET.bytes_s),
    )
    lines = []
    for unit, field, budget in fields:
        lines.append(_budget_line(unit, field, rows, budget))
        for kind in Kind:
            part = [row for row in rows if row.kind is kind]
            label = f"{unit}, of it {kind.value}"
            lines.append(_budget_line(label, field, part, 0.0))
    head = (
        "for control",
        "mean host",
        "worst host",
        "budget",
        "fits",
        "mean host with the changes on paper",
        "fits",
    )
    return table(head, lines)


def _budget_line(
    label: str, field: str, rows: Sequence[Row], budget: float
) -> tuple[str, ...]:
    """Returns the row of a cost; without a budget (0) it has no verdict."""

    def total(cost_of: Callable[[Row], Cost]) -> float:
        return sum(float(getattr(cost_of(row), field)) for row in rows)

    mean = total(lambda row: row.mean)
    worst = total(lambda row: row.cost_per_host)
    after = total(lambda row: row.mean_after)
    fits, later = (
        ("", "")
        if not budget
        else (
            _verdict(mean, worst, budget),
            "yes" if after <= budget else "no",
        )
    )
    return (
        label,
        figure(mean),
        figure(worst),
        figure(budget) if budget else "",
        fits,
        figure(after),
        later,
    )


def _verdict(mean: float, worst: float, budget: float) -> str:
    """Says whether the mean and the worst host are within the budget."""
    if worst <= budget:
        return "yes"
    if mean <= budget:
        return "the mean host does, the worst does not"
    return "no"


def faults_table(slopes: Slopes) -> str:
    """Returns the messages and the time to settle that each fault causes."""
    rows = [
        (e.fault, e.mechanism, e.messages, e.settles, e.basis)
        for e in faults(Lookup(slopes))
    ]
    head = ("fault", "mechanism", "messages", "until settled", "basis")
    return table(head, rows)


def remedies_table(slopes: Slopes) -> str:
    """Returns the figures beyond the budget, with a remedy for each."""
    rows = [
        (r.mechanism, r.today, r.change, r.after, r.basis)
        for r in remedies(Lookup(slopes))
    ]
    head = ("mechanism", "today", "change, on paper", "then", "basis")
    return table(head, rows)


def slopes_table(slopes: Slopes) -> str:
    """Returns the fitted curves of all slopes."""
    rows = [
        (
            s.mechanism,
            s.measure,
            s.against,
            f"{s.sizes[0]:g} to {s.sizes[-1]:g}",
            s.fit.kind.value,
            f"{s.fit.slope:.3g}",
            f"{s.fit.intercept:.3g}",
            s.unit,
            f"{s.fit.residual:.1%}",
        )
        for s in slopes.slopes
    ]
    head = ("mechanism", "measure", "against", "sizes", "fit", "slope",
            "intercept", "unit", "residual")  # fmt: skip
    return table(head, rows)


TABLES: dict[str, Table] = {
    "size": size_table,
    "budget": budget_table,
    "roles": roles_table,
    "platform": platform_table,
    "claims": claims_table,
    "data-path": data_path_table,
    "faults": faults_table,
    "remedies": remedies_table,
    "slopes": slopes_table,
}
"""Functions that render the tables, by the name of the page's marker."""
