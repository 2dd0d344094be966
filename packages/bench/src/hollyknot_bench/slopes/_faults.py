"""Computes how each mechanism copes with losses, partitions and restarts."""

import math
from collections.abc import Iterator

import attrs

from hollyknot_bench.slopes._cost import (
    CENTRE_HOSTS,
    mean_slots,
    records_per_slot,
)
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._plan import (
    ASSUMED,
    PLAN,
)

_US = 1e6
_RECORDS = "records of the slot"


@attrs.frozen
class Effect:
    """Effect of one fault on one mechanism.

    Attributes:
        fault: Description of the fault, such as the loss of a rack.
        mechanism: Name of the affected mechanism, such as membership.
        messages: Traffic that the fault causes.
        settles: Time until the mechanism works as before the fault.
        basis: Whether the figures are measured, extrapolated or assumed.
    """

    fault: str
    mechanism: str
    messages: str
    settles: str
    basis: str


def faults(lookup: Lookup) -> tuple[Effect, ...]:
    """Returns the effects of all faults on all mechanisms."""
    return (
        *_rack(lookup),
        *_centre(lookup),
        *_region(lookup),
        *_restart(lookup),
    )


def _rack(lookup: Lookup) -> Iterator[Effect]:
    fault = f"rack: {ASSUMED.rack_hosts:.0f} of {PLAN.hosts_per_centre} hosts"
    hosts = PLAN.hosts_per_centre
    seconds = lookup.at(
        f"membership/rack lost until known/{CENTRE_HOSTS}", hosts
    )
    messages = lookup.at(f"membership/rack lost messages/{CENTRE_HOSTS}", hosts)
    yield Effect(
        fault,
        "membership, gossip, readers",
        f"{messages:.1f} messages/s a host meanwhile",
        f"{seconds:.0f} s until no survivor holds one of them for alive",
        lookup.pop_basis("1 host in 16 goes"),
    )
    lost = ASSUMED.rack_hosts * mean_slots(lookup)
    moved = lookup.at(
        f"claims/one holder replaced bytes/{_RECORDS}", records_per_slot(lookup)
    )
    cpu = lookup.at(
        f"claims/one holder replaced cpu/{_RECORDS}", records_per_slot(lookup)
    )
    steps = lookup.at(
        f"claims/one holder replaced steps/{_RECORDS}", records_per_slot(lookup)
    )
    busy = cpu / _US / lookup.design.holders
    seconds = busy + steps * ASSUMED.transit_s
    yield Effect(
        fault,
        "claims, once the host list says so",
        f"{lost:.0f} slots are learnt anew, {moved / 1e6:.0f} MB each",
        f"{seconds:.0f} s a slot, {busy:.0f} s of a core at each holder",
        lookup.pop_basis("1% non-idempotent, for 1 day; 2 ms one way"),
    )
    yield Effect(
        fault,
        "routing, signs, load reports",
        "none: upstreams are known by their own signs",
        "not measured",
        "not measured",
    )


def _centre(lookup: Lookup) -> Iterator[Effect]:
    fault = f"data centre: {PLAN.hosts_per_centre} hosts"
    seconds = lookup.at(
        "spread/change everywhere, one centre lost/data centres", PLAN.centres
    )
    yield Effect(
        fault,
        "configuration spread",
        "none besides those that are lost on the way there",
        f"a change is everywhere else {seconds:.1f} s after it was made",
        lookup.pop_basis("8 hosts a data centre when measured"),
    )
    share = 1 / PLAN.centres
    refused = PLAN.requests_s * ASSUMED.non_idempotent_share * share
    yield Effect(
        fault,
        "claims",
        "none: nobody else may hold its slots",
        f"{refused:.0f} non-idempotent requests/s are refused as not run or"
        " may have run until it is back, or out of the declarations",
        "by design; assumed: 1% non-idempotent",
    )
    yield Effect(
        fault,
        "membership, soft signals",
        "none: both end at the data centre",
        "at once",
        "by design",
    )


def _region(lookup: Lookup) -> Iterator[Effect]:
    partitioned = PLAN.centres / PLAN.regions
    fault = (
        f"region: {partitioned:.0f} data centres cut off, platform too, for 1 h"
    )
    seconds = lookup.at("spread/cut healed until everywhere/hosts", PLAN.hosts)
    messages = lookup.at("spread/cut healed messages/hosts", PLAN.hosts)
    missed = PLAN.changes_s * 3600
    yield Effect(
        fault,
        "configuration spread, after the cut",
        f"{messages:.1f} messages/s a host meanwhile",
        f"{seconds:.1f} s until both sides have the newest version",
        lookup.pop_basis("a cut of 30 s and one change when measured"),
    )
    yield Effect(
        fault,
        "configuration spread: what the far side lacks",
        f"{missed:.0f} changes; beyond the 64 that are kept, so that whole"
        " documents go to the first host of each data centre",
        "not measured at full size",
        "not measured",
    )
    refused = PLAN.requests_s * ASSUMED.non_idempotent_share
    crossing = 2 * (1 / PLAN.regions) * (1 - 1 / PLAN.regions)
    yield Effect(
        fault,
        "claims",
        "those over the cut are lost, and repeated until patience ends",
        f"{refused * crossing:.0f} non-idempotent requests/s are refused"
        " during the cut",
        "by design; assumed: 1% non-idempotent, keys and hosts spread evenly",
    )


def _restart(lookup: Lookup) -> Iterator[Effect]:
    hosts = PLAN.hosts_per_centre
    fault = f"all {hosts} hosts of a data centre start at once"
    seconds = lookup.at("spread/mass restart until ready/hosts", hosts)
    messages = lookup.at("spread/mass restart messages/hosts", hosts)
    reads = lookup.at("spread/mass restart reads/hosts", hosts)
    yield Effect(
        fault,
        "configuration spread, small documents",
        f"{messages:.0f} messages a host; {reads:.0f} reads of the platform",
        f"{seconds:.1f} s until all are ready",
        lookup.pop_basis("documents of 20 customers"),
    )
    receive_us = _whole(lookup, "whole taken cpu")
    send_us = _whole(lookup, "whole given cpu")
    size = _whole(lookup, "whole in pages")
    rounds = math.ceil(math.log2(hosts))
    busy = rounds * (receive_us + send_us) / _US
    yield Effect(
        fault,
        "configuration spread, whole documents",
        f"{size / 1e6:.2f} MB to each host",
        f"{busy:.0f} s of processor time in a row at the last host",
        lookup.pop_basis(
            f"hosts that have them double {rounds} times, one gives to one"
        ),
    )
    messages = lookup.at(f"claims/mass restart messages/{CENTRE_HOSTS}", hosts)
    size = lookup.at(f"claims/mass restart bytes/{CENTRE_HOSTS}", hosts)
    cpu = lookup.at(f"claims/mass restart cpu/{CENTRE_HOSTS}", hosts)
    steps = lookup.at(f"claims/mass restart steps/{CENTRE_HOSTS}", hosts)
    seconds = steps * ASSUMED.transit_s + cpu / _US
    yield Effect(
        fault,
        "claims: all records are lost",
        f"{messages:.0f} messages, {size / 1e3:.0f} KB a host",
        f"{seconds:.2f} s until learnt; keys up to 3 s beyond the start are"
        " refused, older ones for good",
        lookup.pop_basis("2 ms one way"),
    )


def _whole(lookup: Lookup, measure: str) -> float:
    return lookup.at(
        f"declarations/{measure}/customers", PLAN.customers
    ) + lookup.at(f"host list/{measure}/upstreams", PLAN.replicas)
