"""Computes the cost of the roles that requests need of a host.

An entry host receives requests from callers; a holder stores claims.
"""

from collections.abc import Iterator

from hollyknot_bench.slopes._cost import (
    CENTRE_HOSTS,
    PERCENT,
    Cost,
    Kind,
    Row,
    holder_changes_s,
    make_row,
    mean_slots,
    records_per_slot,
    worst_slots,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    MAX_CRASHES,
    MAX_WAITING,
    PLAN,
)

_REPLACED = "replicas are replaced as often as hosts, 3 revisions each"
_SHARE = "1% of requests non-idempotent"


def entry_host(look: Lookup) -> Iterator[Row]:
    """Returns the state and messages of the host that receives requests."""
    yield _routing_state(look)
    waiting = look.at("admission/memory/requests waiting", MAX_WAITING)
    known = look.at("admission/memory/customers", PLAN.customers)
    fewer = look.at("admission/memory/customers", ASSUMED.estimates)
    yield make_row(
        look,
        "entry host",
        "admission: the queue at its bound, estimates by customer",
        "4,096 waiting; 20,000 estimates, the oldest go",
        Cost(memory_mb=waiting + known),
        after=Cost(memory_mb=waiting + fewer),
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
    rate = PLAN.requests_per_host_s * ASSUMED.non_idempotent_share
    hosts = PLAN.hosts_per_centre
    yield make_row(
        look,
        "entry host",
        "claims asked for: messages and bytes of each, all hosts' part",
        f"{look.design.holders} holders; idempotent requests don't pay",
        Cost(
            rate * look.at(f"claims/messages/{CENTRE_HOSTS}", hosts),
            rate * look.at(f"claims/bytes/{CENTRE_HOSTS}", hosts),
            rate * look.at(f"claims/cpu/{CENTRE_HOSTS}", hosts) * PERCENT,
        ),
        assumed=_SHARE,
        kind=Kind.CLAIMS,
    )


def _routing_state(look: Lookup) -> Row:
    """Returns the cost to keep the routing table and apply host lists."""
    revisions = PLAN.revisions_s(ASSUMED)
    lists = look.at("routing/list taken cpu/upstreams", PLAN.replicas)
    memory = look.at("routing/memory/upstreams", PLAN.replicas)
    return make_row(
        look,
        "entry host",
        "routing state: upstreams in use, their limits and health",
        "sampling: 8 of a pool here and 8 elsewhere",
        Cost(core_percent=lists * revisions * PERCENT, memory_mb=memory),
        assumed=_REPLACED,
    )


def holder(look: Lookup) -> Iterator[Row]:
    """Returns the state and messages of a host that stores claims."""
    worst, mean = worst_slots(look), mean_slots(look)
    records = records_per_slot(look)
    memory = look.at("claims/memory/records held", records * worst)
    yield make_row(
        look,
        "holder of claims",
        f"claims remembered: {worst:.0f} slots at the worst holder,"
        f" {mean:.1f} at the mean",
        f"sharding over {look.design.slots:,} slots; expiry after remember_s",
        Cost(memory_mb=memory),
        assumed=f"{_SHARE}, at the peak all day, for 1 day",
        share=mean / worst,
        kind=Kind.CLAIMS,
    )
    revisions = PLAN.revisions_s(ASSUMED)
    placed = look.at("claims/list taken cpu/hosts", PLAN.hosts)
    kept = look.at("claims/list of the same hosts cpu/hosts", PLAN.hosts)
    own_share = PLAN.host_share / PLAN.centres
    list_cpu_s = kept + (placed - kept) * own_share
    yield make_row(
        look,
        "holder of claims",
        "claims: placement of all slots by each newer list",
        "holders ranked for the own slots alone, and only if hosts changed",
        Cost(core_percent=list_cpu_s * revisions * PERCENT),
        assumed=_REPLACED,
    )
    name = "claims/one holder replaced {}/records of the slot"
    moved = look.at(name.format("bytes"), records)
    cpu = look.at(name.format("cpu"), records)
    each = holder_changes_s(look) / PLAN.hosts
    learnt = Cost(bytes_s=moved * each, core_percent=cpu * each * PERCENT)
    yield make_row(
        look,
        "holder of claims",
        "claims learnt anew when a holder comes or goes, spread over the day",
        f"2,000 records a message; {look.design.holders} holders learn",
        learnt,
        assumed=f"{_SHARE}, for 1 day; a host comes and goes",
        after=learnt.times(1 / look.design.holders),
        kind=Kind.CLAIMS,
    )
