"""Roles between hosts and towards the platform."""

from collections.abc import Iterator

from hollyknot_bench.slopes._cost import (
    CENTRE,
    PERCENT,
    Cost,
    Row,
    bodies_a_reader,
    make_row,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    DAY_S,
    MAX_SIGNS,
    PLAN,
    READERS,
    REPORTS_S,
)


def gossip_peer(look: Lookup) -> Iterator[Row]:
    taken = look.at("declarations/delta taken cpu/customers", PLAN.customers)
    bytes_ = look.slope("spread/bytes/changes/s") * PLAN.changes_s
    memory = look.at("declarations/memory in force/customers", PLAN.customers)
    yield make_row(
        look,
        "gossip peer",
        "configuration spread: declarations in force, their last changes",
        "announced to 4, fetched once; deltas; 64 changes or 1 MB kept",
        Cost(0, bytes_, taken * PLAN.changes_s * PERCENT, memory),
    )
    rate = PLAN.revisions_s(ASSUMED)
    taken = look.at("host list/delta taken cpu/upstreams", PLAN.replicas)
    bytes_ = look.slope("spread/bytes/changes/s") * rate
    memory = look.at("host list/memory in force/upstreams", PLAN.replicas)
    yield make_row(
        look,
        "gossip peer",
        "configuration spread: the host list in force",
        "as above",
        Cost(0, bytes_, taken * rate * PERCENT, memory),
        assumed="3 revisions a replaced process; bytes as for declarations",
    )
    hosts = PLAN.hosts_a_centre
    quiet = look.at(f"gossip/bytes/{CENTRE}", hosts)
    yield make_row(
        look,
        "gossip peer",
        "gossip rounds with liveness (and the processor time of probes)",
        "fan-out: 2 of 12 neighbours a round of 0.5 to 1 s",
        Cost(
            look.at(f"gossip/messages/{CENTRE}", hosts),
            quiet,
            look.at(f"gossip/cpu with probes/{CENTRE}", hosts) * PERCENT,
        ),
    )
    pairs = PLAN.models * PLAN.tiers
    against = "pools and tiers under pressure"
    pressed = look.at(f"signals/pressure bytes/{against}", pairs)
    rounds = look.at(f"signals/pressure messages/{against}", pairs)
    quiet_rounds = look.at(f"gossip/messages/{CENTRE}", hosts)
    cpu = look.at(f"signals/pressure cpu/{against}", pairs)
    quiet_cpu = look.at(f"gossip/cpu with probes/{CENTRE}", hosts)
    yield make_row(
        look,
        "gossip peer",
        "soft signals, all tiers of all pools short at once: the addition",
        "16 entries a message; expiry after 10, 30 and 600 s",
        Cost(
            max(0.0, rounds - quiet_rounds),
            max(0.0, pressed - quiet),
            max(0.0, cpu - quiet_cpu) * PERCENT,
            look.at("signals/memory/signs kept", MAX_SIGNS),
        ),
        assumed="4,096 signs kept",
    )


def prober(look: Lookup) -> Iterator[Row]:
    hosts = PLAN.hosts_a_centre
    probes = look.at(f"membership/probe messages/{CENTRE}", hosts)
    yield make_row(
        look,
        "prober",
        "membership: beliefs about peers, one probed a second",
        "12 neighbours: 4 by rank, 8 by hash; 1 probe a round, 2 helpers",
        Cost(
            probes,
            look.at(f"membership/probe bytes/{CENTRE}", hosts),
            memory_mb=look.at(f"membership/memory/{CENTRE}", hosts),
        ),
    )
    pings = look.at(f"links/pings/{CENTRE}", hosts) * 2
    dials = look.at(f"links/dials/{CENTRE}", hosts)
    gossip = look.at(f"gossip/messages/{CENTRE}", hosts)
    each = look.slope("links/message cpu/messages")
    dial = look.slope("links/dial cpu/dials")
    cpu = (probes + gossip + pings) * each + dials * dial
    yield make_row(
        look,
        "prober",
        "links: dials, pings and pongs; processor time of all messages",
        "12 neighbours; idle links close after 60 s; without TLS",
        Cost(
            pings,
            look.at(f"links/dials and pings bytes/{CENTRE}", hosts),
            cpu * PERCENT,
        ),
    )
    report = look.slope("load reports/cpu/reports")
    yield make_row(
        look,
        "prober",
        "load reports: 2 a second, by HTTP on a new connection each",
        "a fixed rate, whatever the number of upstreams",
        Cost(
            REPORTS_S * 2,
            look.slope("load reports/bytes/reports") * REPORTS_S,
            report * REPORTS_S * PERCENT,
        ),
    )


def reader(look: Lookup) -> Iterator[Row]:
    share = PLAN.centres * READERS / PLAN.hosts
    bodies = bodies_a_reader(look)
    reads = look.at("spread/reads/data centres", PLAN.centres)
    reads /= PLAN.centres * READERS
    sizes = (
        ("declarations", "customers", PLAN.customers, PLAN.changes_s),
        ("host list", "upstreams", PLAN.replicas, PLAN.revisions_s(ASSUMED)),
    )
    for document, against, size, rate in sizes:
        cpu = look.at(f"{document}/read of a change cpu/{against}", size)
        body = look.at(f"{document}/body/{against}", size)
        yield make_row(
            look,
            "reader of the platform",
            f"configuration spread: reads of the {document}",
            "3 readers a data centre; one read in 3 s each",
            Cost(
                reads / 2,
                bodies * rate * body,
                bodies * rate * cpu * PERCENT,
            ),
            assumed="bytes are received, without compression",
            share=share,
        )


def sender(look: Lookup) -> Iterator[Row]:
    new_s = PLAN.replaced_a_day / DAY_S
    documents = (
        ("declarations", "customers", PLAN.customers),
        ("host list", "upstreams", PLAN.replicas),
    )
    bytes_ = give = take = 0.0
    for document, against, size in documents:
        bytes_ += look.at(f"{document}/whole in pages/{against}", size)
        give += look.at(f"{document}/whole given cpu/{against}", size)
        take += look.at(f"{document}/whole taken cpu/{against}", size)
    yield make_row(
        look,
        "sender of pages",
        "configuration spread: whole documents to each new host",
        "131 KB a page, compressed; any holder gives any page",
        Cost(
            bytes_s=bytes_ * new_s / PLAN.hosts,
            core_percent=(give + take) * new_s / PLAN.hosts * PERCENT,
        ),
    )
    answer = "declarations/answer with a delta cpu/customers"
    cpu = look.at(answer, PLAN.customers) * PLAN.changes_s
    yield make_row(
        look,
        "sender of deltas",
        "configuration spread: answers with deltas, one a host and change",
        "64 changes or 1 MB kept; bytes are in the peer's row",
        Cost(core_percent=cpu * PERCENT),
    )
