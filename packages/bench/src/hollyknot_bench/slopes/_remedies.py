"""What today's code would not carry, and the cheapest change that would."""

from collections.abc import Iterator

import attrs

from hollyknot_bench.slopes._cost import (
    bodies_a_reader,
    records_a_slot,
    worst_slots,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    BUDGET,
    HOLDERS,
    PLAN,
    READERS,
    REPORTS_S,
    SLOTS,
)

_PERCENT = 100 / 1e6
READS_PAUSE_S = 3.0
MORE_SLOTS = 8_192.0
_DECLARATIONS = "declarations"


@attrs.frozen
class Remedy:
    """A figure beyond the budget and what would bring it back.

    Attributes:
        mechanism: The mechanism.
        today: The figure, and what it stands against.
        change: The cheapest change. It is on paper only.
        after: The figure that would follow.
        basis: How that figure was come by.
    """

    mechanism: str
    today: str
    change: str
    after: str
    basis: str


def remedies(look: Lookup) -> tuple[Remedy, ...]:
    """Returns all of them, the dearest for a host first."""
    return (
        *_claims(look),
        *_host_list(look),
        *_declarations(look),
        *_values(look),
        *_reports(look),
    )


def _claims(look: Lookup) -> Iterator[Remedy]:
    slots = worst_slots(look)
    each = look.slope("claims/memory/records held")
    records = records_a_slot()
    today = slots * records * each
    mean = records * SLOTS * HOLDERS / PLAN.hosts * each
    even = MORE_SLOTS * HOLDERS / PLAN.hosts
    worst = mean * (1 + 3 / even**0.5)
    yield Remedy(
        "claims: 256 slots for 2,500 hosts",
        f"{today:.0f} MB at the worst holder, {mean:.0f} MB at the mean",
        f"{MORE_SLOTS:,.0f} slots, with homes computed only when the data"
        " centres change",
        f"{worst:.0f} MB at the worst holder",
        look.take_basis(
            "mean and three standard deviations; 1% non-idempotent, 1 day"
        ),
    )
    name = "claims/one holder replaced bytes/records of the slot"
    moved = look.slope(name)
    wire = look.at(name, records)
    yield Remedy(
        "claims: all holders of a slot learn all of it",
        f"{wire / 1e6:.0f} MB when one of five holders is replaced,"
        f" {moved:.0f} bytes a record",
        "holders that stay ask for digests by minute of key time, and for"
        " the records of minutes that differ",
        f"{wire / HOLDERS / 1e6:.0f} MB: the new holder alone learns",
        look.take_basis("the four others ask for nothing"),
    )


def _host_list(look: Lookup) -> Iterator[Remedy]:
    rate = PLAN.revisions_s(ASSUMED)
    name = "host list/delta taken cpu/upstreams"
    today = look.at(name, PLAN.replicas) * rate * _PERCENT
    entries = PLAN.replicas + PLAN.hosts
    after = look.at(f"{_DECLARATIONS}/delta taken cpu/customers", entries)
    yield Remedy(
        "configuration spread: the host list is read whole at each change",
        f"{today:.1f}% of a core of {BUDGET.core_percent}%",
        "check the changed entries alone, as for declarations",
        f"{after * rate * _PERCENT:.1f}% of a core",
        look.take_basis("a check as dear as that of declarations"),
    )


def _declarations(look: Lookup) -> Iterator[Remedy]:
    rate = PLAN.changes_s
    delta = look.at(
        f"{_DECLARATIONS}/delta taken cpu/customers", PLAN.customers
    )
    lists = look.at("routing/list taken cpu/upstreams", PLAN.replicas)
    placed = look.at("claims/list taken cpu/hosts", PLAN.hosts)
    today = (delta + lists + placed) * rate * _PERCENT
    yield Remedy(
        "declarations: each change walks all 18,000 customers, and rebuilds"
        " routing and placement, which don't depend on it",
        f"{today:.1f}% of a core of {BUDGET.core_percent}%",
        "leave routing and placement alone unless the host list or the data"
        " centres change; hand the delta's own records to log and index",
        f"{delta * rate * _PERCENT:.1f}% of a core by the first alone; the"
        " second: not measured",
        look.take_basis(),
    )


def _values(look: Lookup) -> Iterator[Remedy]:
    body = look.at(f"{_DECLARATIONS}/body/customers", PLAN.customers)
    received = bodies_a_reader(look) * PLAN.changes_s * body
    shards = ASSUMED.shards
    reads = PLAN.centres * READERS * (shards + 1) / READS_PAUSE_S
    yield Remedy(
        "declarations: one value",
        f"{body / 1e6:.2f} MB, beyond the {BUDGET.value_bytes / 1e6:.0f} MB"
        f" of a value; a reader receives {received / 1e3:.0f} KB/s",
        f"{shards:.0f} values by a hash of the customer, each with its own"
        " version; readers ask for all",
        f"{body / shards / 1e3:.0f} KB a value; a reader receives"
        f" {received / shards / 1e3:.1f} KB/s; {reads:.0f} reads/s of"
        f" {BUDGET.reads_s:.0f}",
        look.take_basis(f"{shards:.0f} values"),
    )


def _reports(look: Lookup) -> Iterator[Remedy]:
    used = look.at("routing/upstreams in use/upstreams", PLAN.replicas)
    age = used / REPORTS_S
    here = PLAN.replicas / PLAN.centres
    each = here / PLAN.hosts_a_centre
    rate = each / ASSUMED.report_use_s
    yield Remedy(
        "load reports: 2 a second for all upstreams in use",
        f"{used:.0f} upstreams in use: each is asked every {age:.0f} s, while"
        " a report counts for half after 1 s",
        f"one host asks an upstream for its data centre"
        f" ({each:.0f} upstreams a host, every {ASSUMED.report_use_s:.0f} s)"
        " and tells what changed with the gossip",
        f"{rate:.1f} reports/s a host; the gossip's part: not measured",
        look.take_basis("every 3 s is often enough"),
    )
