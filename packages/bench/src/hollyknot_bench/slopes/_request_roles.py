"""Roles that requests need: entry hosts and holders of claims."""

from collections.abc import Iterator

from hollyknot_bench.slopes._cost import (
    CENTRE,
    PERCENT,
    Cost,
    Row,
    make_row,
    records_a_slot,
    worst_slots,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    DAY_S,
    HOLDERS,
    MAX_CRASHES,
    MAX_WAITING,
    PLAN,
    SLOTS,
)


def entry_host(look: Lookup) -> Iterator[Row]:
    changes = PLAN.changes_s + PLAN.revisions_s(ASSUMED)
    lists = look.at("routing/list taken cpu/upstreams", PLAN.replicas)
    yield make_row(
        look,
        "entry host",
        "routing state: upstreams in use, their limits and health",
        "sampling: 8 of a pool here and 8 elsewhere",
        Cost(
            core_percent=lists * changes * PERCENT,
            memory_mb=look.at("routing/memory/upstreams", PLAN.replicas),
        ),
        assumed="replicas are replaced as often as hosts",
    )
    waiting = look.at("admission/memory/requests waiting", MAX_WAITING)
    known = look.at("admission/memory/customers", PLAN.customers)
    yield make_row(
        look,
        "entry host",
        "admission: the queue at its bound, estimates by customer",
        "4,096 waiting; 20,000 estimates, the oldest go",
        Cost(memory_mb=waiting + known),
    )
    crashes = look.at("fingerprints/memory/crashes remembered", MAX_CRASHES)
    yield make_row(
        look,
        "entry host",
        "request fingerprints: crashes and their suspects",
        "256 crashes; expiry after 600 s",
        Cost(memory_mb=crashes),
        assumed="48 fingerprints a crash",
    )


def holder(look: Lookup) -> Iterator[Row]:
    rate = PLAN.requests_a_host_s * ASSUMED.non_idempotent_share
    hosts = PLAN.hosts_a_centre
    yield make_row(
        look,
        "entry host",
        "claims asked for: messages and bytes of each, all hosts' part",
        "5 holders; idempotent requests don't pay",
        Cost(
            rate * look.at(f"claims/messages/{CENTRE}", hosts),
            rate * look.at(f"claims/bytes/{CENTRE}", hosts),
            rate * look.at(f"claims/cpu/{CENTRE}", hosts) * PERCENT,
        ),
        assumed="1% of requests non-idempotent",
    )
    changes = PLAN.changes_s + PLAN.revisions_s(ASSUMED)
    slots = worst_slots(look)
    memory = look.at("claims/memory/records held", records_a_slot()) * slots
    mean_slots = SLOTS * HOLDERS / PLAN.hosts
    yield make_row(
        look,
        "holder of claims",
        f"claims remembered: {slots:.0f} slots at the worst holder,"
        f" {mean_slots:.2f} at the mean",
        "sharding over 256 slots; expiry after remember_s",
        Cost(memory_mb=memory),
        assumed="1% non-idempotent at the peak all day, for 1 day",
        share=mean_slots / slots,
    )
    placed = look.at("claims/list taken cpu/hosts", PLAN.hosts)
    yield make_row(
        look,
        "holder of claims",
        "claims: placement of 256 slots by each newer list or declaration",
        "computed for 9 data centres, ranked for the own slots",
        Cost(core_percent=placed * changes * PERCENT),
        assumed="3 revisions a replaced process",
    )
    records = "records of the slot"
    moved = look.at(f"claims/one holder replaced bytes/{records}",
                    records_a_slot())  # fmt: skip
    cpu = look.at(f"claims/one holder replaced cpu/{records}", records_a_slot())
    moves_s = 2 * PLAN.replaced_a_day * mean_slots / DAY_S
    yield make_row(
        look,
        "holder of claims",
        "claims learnt anew when a holder comes or goes, spread over the day",
        "2,000 records a message; 5 holders learn",
        Cost(
            bytes_s=moved * moves_s / PLAN.hosts,
            core_percent=cpu * moves_s / PLAN.hosts * PERCENT,
        ),
        assumed="1% non-idempotent, for 1 day; a host comes and goes",
    )
