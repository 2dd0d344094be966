"""Computes the costs of the roles between hosts and towards the platform."""

from collections.abc import Iterator

from hollyknot_bench.slopes._cost import (
    CENTRE_HOSTS,
    PERCENT,
    Cost,
    Kind,
    Row,
    bodies_per_reader,
    make_row,
    shared_reports_s,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    DAY_S,
    MAX_SIGNS,
    PLAN,
)


def gossip_peer(lookup: Lookup) -> Iterator[Row]:
    """Returns the costs of gossip about documents and signals."""
    taken = lookup.at("declarations/delta taken cpu/customers", PLAN.customers)
    bytes_ = lookup.slope("spread/bytes/changes/s") * PLAN.changes_s
    memory = lookup.at("declarations/memory in force/customers", PLAN.customers)
    yield make_row(
        lookup,
        "gossip peer",
        "configuration spread: declarations in force, their last changes",
        "announced to 4, fetched once; deltas; 64 changes or 1 MB kept",
        Cost(0, bytes_, taken * PLAN.changes_s * PERCENT, memory),
    )
    rate = PLAN.revisions_s(ASSUMED)
    taken = lookup.at("host list/delta taken cpu/upstreams", PLAN.replicas)
    bytes_ = lookup.slope("spread/bytes/changes/s") * rate
    memory = lookup.at("host list/memory in force/upstreams", PLAN.replicas)
    yield make_row(
        lookup,
        "gossip peer",
        "configuration spread: the host list in force",
        "as above",
        Cost(0, bytes_, taken * rate * PERCENT, memory),
        assumed="3 revisions a replaced process; bytes as for declarations",
    )
    hosts = PLAN.hosts_per_centre
    quiet = lookup.at(f"gossip/bytes/{CENTRE_HOSTS}", hosts)
    yield make_row(
        lookup,
        "gossip peer",
        "gossip rounds with liveness (and the processor time of probes)",
        f"fan-out: 2 of {lookup.design.neighbours} neighbours each 0.5 to 1 s",
        Cost(
            lookup.at(f"gossip/messages/{CENTRE_HOSTS}", hosts),
            quiet,
            lookup.at(f"gossip/cpu with probes/{CENTRE_HOSTS}", hosts)
            * PERCENT,
        ),
    )
    pairs = PLAN.models * PLAN.tiers
    against = "pools and tiers under pressure"
    pressed = lookup.at(f"signals/pressure bytes/{against}", pairs)
    rounds = lookup.at(f"signals/pressure messages/{against}", pairs)
    quiet_rounds = lookup.at(f"gossip/messages/{CENTRE_HOSTS}", hosts)
    cpu = lookup.at(f"signals/pressure cpu/{against}", pairs)
    quiet_cpu = lookup.at(f"gossip/cpu with probes/{CENTRE_HOSTS}", hosts)
    yield make_row(
        lookup,
        "gossip peer",
        "soft signals, all tiers of all pools short at once: the addition",
        "16 entries a message; expiry after 10, 30 and 600 s",
        Cost(
            max(0.0, rounds - quiet_rounds),
            max(0.0, pressed - quiet),
            max(0.0, cpu - quiet_cpu) * PERCENT,
            lookup.at("signals/memory/signs kept", MAX_SIGNS),
        ),
        assumed="4,096 signs kept",
        kind=Kind.OVERLOAD,
    )


def prober(lookup: Lookup) -> Iterator[Row]:
    """Returns the costs of probes, links and load reports."""
    hosts = PLAN.hosts_per_centre
    probes = lookup.at(f"membership/probe messages/{CENTRE_HOSTS}", hosts)
    yield make_row(
        lookup,
        "prober",
        "membership: beliefs about peers, one probed a second",
        f"{lookup.design.neighbours} neighbours; 1 probe a round, 2 helpers",
        Cost(
            probes,
            lookup.at(f"membership/probe bytes/{CENTRE_HOSTS}", hosts),
            memory_mb=lookup.at(f"membership/memory/{CENTRE_HOSTS}", hosts),
        ),
    )
    pings = lookup.at(f"links/pings/{CENTRE_HOSTS}", hosts) * 2
    dials = lookup.at(f"links/dials/{CENTRE_HOSTS}", hosts)
    gossip = lookup.at(f"gossip/messages/{CENTRE_HOSTS}", hosts)
    each = lookup.slope("links/message cpu/messages")
    dial = lookup.slope("links/dial cpu/dials")
    cpu = (probes + gossip + pings) * each + dials * dial
    yield make_row(
        lookup,
        "prober",
        "links: dials, pings and pongs; processor time of all messages",
        f"{lookup.design.neighbours} neighbours; idle links close; no TLS",
        Cost(
            pings,
            lookup.at(f"links/dials and pings bytes/{CENTRE_HOSTS}", hosts),
            cpu * PERCENT,
        ),
    )
    one = Cost(
        2,
        lookup.slope("load reports/bytes/reports"),
        lookup.slope("load reports/cpu/reports") * PERCENT,
    )
    yield make_row(
        lookup,
        "prober",
        "load reports, by HTTP on a new connection each (both ways)",
        f"{lookup.design.reports_s} a second, whatever the upstreams' number",
        one.times(lookup.design.reports_s),
        after=one.times(shared_reports_s()),
    )


def reader(lookup: Lookup) -> Iterator[Row]:
    """Returns the costs of reading the platform."""
    share = PLAN.centres * lookup.design.readers / PLAN.hosts
    bodies = bodies_per_reader(lookup)
    reads = lookup.at("spread/reads/data centres", PLAN.centres)
    reads /= PLAN.centres * lookup.design.readers
    sizes = (
        (
            "declarations",
            "customers",
            PLAN.customers,
            PLAN.changes_s * bodies,
            ASSUMED.shards,
        ),
        (
            "host list",
            "upstreams",
            PLAN.replicas,
            PLAN.revisions_s(ASSUMED) * bodies,
            1.0,
        ),
    )
    for document, against, size, rate, values in sizes:
        cpu = lookup.at(f"{document}/read of a change cpu/{against}", size)
        body = lookup.at(f"{document}/body/{against}", size)
        yield make_row(
            lookup,
            "reader of the platform",
            f"configuration spread: reads of the {document}",
            f"{lookup.design.readers} readers a data centre; one read in"
            f" {lookup.design.read_pause_s:g} s each",
            Cost(reads / 2, body * rate, cpu * rate * PERCENT),
            assumed="bytes are received, without compression",
            share=share,
            after=Cost(
                reads / 2 * values,
                body * rate / values,
                cpu * rate / values * PERCENT,
            ),
        )


def sender(lookup: Lookup) -> Iterator[Row]:
    """Returns the costs of sending documents to other hosts."""
    new_s = PLAN.replaced_per_day / DAY_S
    documents = (
        ("declarations", "customers", PLAN.customers),
        ("host list", "upstreams", PLAN.replicas),
    )
    bytes_ = send_us = receive_us = 0.0
    for document, against, size in documents:
        bytes_ += lookup.at(f"{document}/whole in pages/{against}", size)
        send_us += lookup.at(f"{document}/whole given cpu/{against}", size)
        receive_us += lookup.at(f"{document}/whole taken cpu/{against}", size)
    yield make_row(
        lookup,
        "sender of pages",
        "configuration spread: whole documents to each new host",
        "131 KB a page, compressed; any holder gives any page",
        Cost(
            bytes_s=bytes_ * new_s / PLAN.hosts,
            core_percent=(send_us + receive_us) * new_s / PLAN.hosts * PERCENT,
        ),
    )
    answer = "declarations/answer with a delta cpu/customers"
    cpu = lookup.at(answer, PLAN.customers) * PLAN.changes_s
    yield make_row(
        lookup,
        "sender of deltas",
        "configuration spread: answers with deltas, one a host and change",
        "64 changes or 1 MB kept; bytes are in the peer's row",
        Cost(core_percent=cpu * PERCENT),
    )
