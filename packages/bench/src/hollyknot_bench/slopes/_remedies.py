"""Lists what exceeds a host's budget, with the cheapest change for each."""

from collections.abc import Iterator

import attrs

from hollyknot_bench.slopes._cost import (
    CENTRE_HOSTS,
    PERCENT,
    bodies_per_reader,
    mean_slots,
    records_per_slot,
    shared_reports_s,
    worst_slots,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    BUDGET,
    PLAN,
)
from hollyknot_bench.slopes._roles import roles
from hollyknot_bench.slopes._wire import SEGMENT_HEADER_BYTES

_DECLARATIONS = "declarations"


@attrs.frozen
class Remedy:
    """A figure that exceeds the budget, and a change that would lower it.

    Attributes:
        mechanism: Mechanism that has the cost, and what causes it.
        today: Figure with the present code, next to its limit or cause.
        change: Cheapest change. It is a proposal that nothing implements.
        after: Figure that is expected with the change.
        basis: How the figures were derived, and what they assume.
    """

    mechanism: str
    today: str
    change: str
    after: str
    basis: str


def remedies(look: Lookup) -> tuple[Remedy, ...]:
    """Returns all remedies, that of the highest cost for a host first."""
    return (
        *_claims(look),
        *_declarations(look),
        *_claim_traffic(look),
        *_estimates(look),
        *_document_value(look),
        *_reports(look),
    )


def _claims(look: Lookup) -> Iterator[Remedy]:
    name = "claims/one holder replaced bytes/records of the slot"
    moved = look.slope(name)
    wire = look.at(name, records_per_slot(look))
    yield Remedy(
        "claims: all holders of a slot learn all of it",
        f"{wire / 1e6:.0f} MB when one of {look.design.holders} holders is"
        f" replaced, {moved:.0f} bytes a record",
        "holders that stay ask for digests by minute of key time, and for"
        " the records of minutes that differ",
        f"{wire / look.design.holders / 1e6:.0f} MB: the new holder learns",
        look.pop_basis("the others ask for next to nothing"),
    )
    worst, mean = worst_slots(look), mean_slots(look)
    records = records_per_slot(look)
    memory = look.at("claims/memory/records held", records * worst)
    share = BUDGET.memory_mb / memory * ASSUMED.non_idempotent_share
    yield Remedy(
        f"claims: {worst:.0f} slots at the worst holder, {mean:.1f} at the"
        " mean",
        f"{memory:.0f} MB at the worst holder",
        "a shorter remember_s for services whose callers give up sooner; or"
        " keys in sorted arrays by minute in place of tables",
        f"64 MB, and nothing else, would be spent at a share of {share:.1%}"
        " today; the arrays: not measured",
        look.pop_basis("1% non-idempotent at the peak all day, for 1 day"),
    )


def _declarations(look: Lookup) -> Iterator[Remedy]:
    rows = roles(Lookup(look.slopes))
    after = sum(row.mean_after.core_percent for row in rows)
    delta = look.at(
        f"{_DECLARATIONS}/delta taken cpu/customers", PLAN.customers
    )
    share = delta * PLAN.changes_s * PERCENT
    wanted = max(0.0, share - max(0.0, after - BUDGET.core_percent))
    yield Remedy(
        "declarations: a delta of one customer walks all 18,000",
        f"{delta / 1e3:.0f} ms a change, {share:.2f}% of a core of"
        f" {BUDGET.core_percent}%",
        "hand the delta's own records to the log, the references' check and"
        " the index of keys, and share what didn't change",
        f"not measured; with the other changes the mean host fits at"
        f" {wanted:.2f}%",
        look.pop_basis(),
    )


def _claim_traffic(look: Lookup) -> Iterator[Remedy]:
    rows = roles(Lookup(look.slopes))
    after = sum(row.mean_after.bytes_s for row in rows)
    rate = PLAN.requests_per_host_s * ASSUMED.non_idempotent_share
    hosts = PLAN.hosts_per_centre
    asked = look.at(f"claims/bytes/{CENTRE_HOSTS}", hosts) * rate
    messages = look.at(f"claims/messages/{CENTRE_HOSTS}", hosts) * rate
    headers = messages * 2 * SEGMENT_HEADER_BYTES / asked
    yield Remedy(
        "claims asked for: a message to each holder, then one with the end",
        f"{asked:,.0f} bytes/s of {BUDGET.bytes_s:,.0f}, {headers:.0%} of them"
        " headers and acknowledgements",
        "tell ends to a holder once a second, many in a message; a probe and"
        " its answer ride on gossip to the same peer",
        f"not measured; with the other changes the mean host sends"
        f" {after:,.0f} bytes/s and does not fit",
        look.pop_basis("1% of requests non-idempotent"),
    )


def _estimates(look: Lookup) -> Iterator[Remedy]:
    name = "admission/memory/customers"
    known = look.at(name, PLAN.customers)
    fewer = look.at(name, ASSUMED.estimates)
    yield Remedy(
        "admission: estimates of service times for every customer",
        f"{known:.1f} MB of {BUDGET.memory_mb:.0f} MB",
        f"remember the latest {ASSUMED.estimates:,.0f} customers; the others"
        " go by their class",
        f"{fewer:.1f} MB; the estimates' error: not measured",
        look.pop_basis(),
    )


def _document_value(look: Lookup) -> Iterator[Remedy]:
    body = look.at(f"{_DECLARATIONS}/body/customers", PLAN.customers)
    received = bodies_per_reader(look) * PLAN.changes_s * body
    shards = ASSUMED.shards
    readers = PLAN.centres * look.design.readers
    reads = readers * (shards + 1) / look.design.read_pause_s
    yield Remedy(
        "declarations: one value",
        f"{body / 1e6:.2f} MB, beyond the {BUDGET.value_bytes / 1e6:.0f} MB"
        f" of a value; a reader receives {received / 1e3:.0f} KB/s",
        f"{shards:.0f} values by a hash of the customer, each with its own"
        " version; readers ask for all",
        f"{body / shards / 1e3:.0f} KB a value; a reader receives"
        f" {received / shards / 1e3:.1f} KB/s; {reads:.0f} reads/s of"
        f" {BUDGET.reads_s:.0f}",
        look.pop_basis(f"{shards:.0f} values"),
    )


def _reports(look: Lookup) -> Iterator[Remedy]:
    used = look.at("routing/upstreams in use/upstreams", PLAN.replicas)
    age = used / look.design.reports_s
    here = PLAN.replicas / PLAN.centres
    each = here / PLAN.hosts_per_centre
    rate = shared_reports_s()
    yield Remedy(
        "load reports: a few a second for all upstreams in use",
        f"{used:.0f} upstreams in use: each is asked every {age:.0f} s, while"
        " a report counts for half after 1 s",
        f"one host asks an upstream for its data centre"
        f" ({each:.0f} upstreams a host, every {ASSUMED.report_valid_s:.0f} s)"
        " and tells what changed with the gossip",
        f"{rate:.1f} reports/s a host; the gossip's part: not measured",
        look.pop_basis("every 3 s is often enough"),
    )
