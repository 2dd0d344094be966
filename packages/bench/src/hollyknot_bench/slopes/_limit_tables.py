"""Renders tables that compare costs with limits other than a host's budget.

They cover the platform, the claims and the data path.
"""

from hollyknot_bench.slopes._cost import (
    CENTRE_HOSTS,
    mean_slots,
    records_per_slot,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._markdown import NO_VALUE, figure, table
from hollyknot_bench.slopes._plan import ASSUMED, BUDGET, PLAN
from hollyknot_bench.slopes._series import Slopes

_CORE = 100.0
WAITING = 1_024.0


def platform_table(slopes: Slopes) -> str:
    """Returns a table of change times and platform reads against the budget."""
    lookup = Lookup(slopes)
    seconds = lookup.at(
        f"spread/change everywhere worst/{CENTRE_HOSTS}", PLAN.hosts_per_centre
    )
    one = lookup.pop_basis()
    several = lookup.at(
        "spread/change everywhere worst/data centres", PLAN.centres
    )
    centres = lookup.pop_basis("8 hosts a data centre")
    taken = lookup.at("declarations/delta taken cpu/customers", PLAN.customers)
    parse = lookup.pop_basis("4 hops, each waits for the check")
    reads = lookup.at("spread/reads/data centres", PLAN.centres)
    read_basis = lookup.pop_basis()
    body = lookup.at("declarations/body/customers", PLAN.customers)
    body_basis = lookup.pop_basis()
    hops = 4 * taken / 1e6
    rows = [
        _limit("a change in one data centre, the worst of 8", "s", seconds,
               BUDGET.change_s, one),
        _limit("a change in 9 data centres, the worst of 5", "s", several,
               BUDGET.change_s, centres),
        _limit("besides: the checks on the way", "s", hops,
               BUDGET.change_s, parse),
        _limit("reads of the platform, all hosts", "reads/s", reads,
               BUDGET.reads_s, read_basis),
        _limit("the declarations' value", "bytes", body,
               BUDGET.value_bytes, body_basis),
    ]  # fmt: skip
    return table(("what", "value", "budget", "fits", "basis"), rows)


def _limit(
    name: str, unit: str, value: float, budget: float, basis: str
) -> tuple[str, ...]:
    fits = "yes" if value <= budget else "no"
    return (name, f"{figure(value)} {unit}", figure(budget), fits, basis)


def claims_table(slopes: Slopes) -> str:
    """Returns a table of claims' memory by share of non-idempotent requests."""
    lookup = Lookup(slopes)
    each = lookup.slope("claims/memory/records held") * 1e6
    rows = []
    for share in (0.001, 0.01, 0.05):
        factor = share / ASSUMED.non_idempotent_share
        records = records_per_slot(lookup) * factor * mean_slots(lookup)
        memory = records * each / 1e6
        rows.append((f"{share:.1%}", f"{records:,.0f}", figure(memory)))
    head = ("non-idempotent share", "records at the mean host", "MB")
    return f"A record takes {each:.0f} bytes.\n\n{table(head, rows)}"


def data_path_table(slopes: Slopes) -> str:
    """Returns a table of the data path's processor time against one core."""
    lookup = Lookup(slopes)
    rows = [
        *_data_path(lookup, "mean", 1.0, ""),
        *_data_path(
            lookup,
            "worst",
            ASSUMED.worst_load_factor,
            f"{ASSUMED.worst_load_factor:g} times the mean",
        ),
    ]
    decisions = (
        lookup.at("admission/request cpu/requests waiting", WAITING)
        + lookup.at("routing/request cpu/upstreams", PLAN.replicas)
        + lookup.at("fingerprints/request cpu/requests in flight", WAITING)
    )
    rows.append(
        (
            "a request's admission, routing and fingerprint (part of it)",
            f"{decisions:.0f} us",
            NO_VALUE,
            lookup.pop_basis(f"{WAITING:.0f} requests wait"),
        )
    )
    stream = lookup.slope("processes/resident memory/open streams") * 1e3
    rows.append(
        ("an open stream", f"{stream:.1f} KB", NO_VALUE, lookup.pop_basis())
    )
    head = ("data path", "cost a host", "against one core", "basis")
    return table(head, rows)


def _data_path(
    lookup: Lookup, name: str, load: float, assumed: str
) -> list[tuple[str, ...]]:
    tokens = PLAN.tokens_per_host_s * load
    relayed = lookup.at("processes/stream cpu/tokens/s", tokens)
    relayed_basis = lookup.pop_basis(assumed)
    requests = PLAN.requests_per_host_s * load
    begun = lookup.at("processes/request cpu/requests/s", requests)
    begun_basis = lookup.pop_basis(assumed)
    return [
        (
            f"{name} host: {tokens:,.0f} tokens/s relayed",
            f"{relayed:.1f}% of a core",
            _core(relayed),
            relayed_basis,
        ),
        (
            f"{name} host: {requests:.0f} requests/s begun and ended",
            f"{begun:.1f}% of a core",
            _core(begun),
            begun_basis,
        ),
        (
            f"{name} host: both",
            f"{relayed + begun:.1f}% of a core",
            _core(relayed + begun),
            "sum",
        ),
    ]


def _core(percent: float) -> str:
    return "fits" if percent <= _CORE else f"{percent / _CORE:.2g} cores"
