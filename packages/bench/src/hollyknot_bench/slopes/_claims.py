"""Measures claims: messages, bytes, processor time, memory and learning."""

import collections
import functools

import click

from hollyknot_bench.slopes._claims_fleet import START_MS, ClaimsFleet
from hollyknot_bench.slopes._documents import (
    PLAN_CENTRES,
    host_list,
    spread_names,
)
from hollyknot_bench.slopes._measure import MEGA, cpu_once_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.claims import (
    SLOTS,
    Holder,
    Instant,
    make_placement,
)
from hollyknot_state import HostList, Outcome

HOSTS = (8, 16, 32, 64, 128)
RECORDS = (1_024, 2_048, 4_096, 8_192, 16_384)
LEARNED_RECORDS = (256, 512, 1_024, 2_048, 4_096)
LIST_HOSTS = (156, 312, 625, 1_250, 2_500)
UPSTREAMS = 10_000
CENTRE_HOSTS = (17, 35, 70, 139, 278)
QUICK_FACTOR = 16
CLAIMS = 100
LEARN_HOSTS = 8
_US = 1e6

Point = tuple[float, float]


def measure(is_quick: bool) -> list[Series]:
    """Measures the cost of claims against hosts and stored records."""
    factor = QUICK_FACTOR if is_quick else 1
    return [
        *_against_hosts(HOSTS if not is_quick else (2, 4, 8, 16, 32)),
        *_against_records(tuple(n // factor for n in RECORDS)),
        *_learning(tuple(n // factor for n in LEARNED_RECORDS)),
        *_placing(tuple(n // factor for n in LIST_HOSTS)),
        _max_slots(),
    ]


def _names(count: int) -> list[str]:
    return [f"host-{n:05d}" for n in range(count)]


def _against_hosts(sizes: tuple[int, ...]) -> list[Series]:
    found: dict[str, list[Point]] = {}
    for hosts in sizes:
        click.echo(f"claims among {hosts} hosts ...", err=True)
        fleet = ClaimsFleet(_names(hosts))
        fleet.settle()
        steps = fleet.steps
        started = fleet.pop_spent()
        fleet.now_s += 10.0
        _claim_many(fleet, CLAIMS)
        spent = fleet.pop_spent()
        for name, value in (
            ("messages", spent.messages / CLAIMS),
            ("bytes", spent.wire_bytes / CLAIMS),
            ("cpu", spent.cpu_s * _US / CLAIMS),
            ("mass restart messages", started.messages / hosts),
            ("mass restart bytes", started.wire_bytes / hosts),
            ("mass restart cpu", started.cpu_s * _US / hosts),
            ("mass restart steps", steps),
        ):
            found.setdefault(name, []).append((hosts, value))
    units = {
        "messages": "messages a claim",
        "bytes": "bytes a claim",
        "cpu": "us a claim, all hosts",
        "mass restart messages": "messages a host",
        "mass restart bytes": "bytes a host",
        "mass restart cpu": "us a host",
        "mass restart steps": "messages one after another",
    }
    return [
        make_series(
            "claims", name, "hosts of a data centre", units[name], points
        )
        for name, points in found.items()
    ]


def _claim_many(
    fleet: ClaimsFleet, count: int, slots: list[int] | None = None
) -> None:
    """Claims and completes keys, each by the next host in turn."""
    slots = slots or fleet.own_slots
    names = list(fleet.hosts)
    for number in range(count):
        key = fleet.key(number, slots[number % len(slots)])
        name = names[number % len(names)]
        if not fleet.claim(name, key):
            raise RuntimeError(
                f"claim {number} of {count}, by {name}, was refused"
            )
        fleet.finish(name, key, Outcome.COMPLETE)


def _against_records(sizes: tuple[int, ...]) -> list[Series]:
    """Measures the memory and processor time that each stored record adds."""
    memory: list[Point] = []
    cpu: list[Point] = []
    for records in sizes:
        click.echo(f"a holder of {records} records ...", err=True)
        fleet = ClaimsFleet(_names(1))
        fleet.settle()
        fleet.now_s += 10.0
        _, kept = measure_memory(functools.partial(_claim_many, fleet, records))
        memory.append((records, kept / MEGA))
        fleet.pop_spent()
        slots = fleet.own_slots
        for number in range(CLAIMS):
            key = fleet.key(records + number, slots[number % len(slots)])
            fleet.claim("host-00000", key)
        cpu.append((records, fleet.pop_spent().cpu_s * _US / CLAIMS))
    against = "records held"
    return [
        make_series("claims", "memory", against, "MB", memory),
        make_series("claims", "cpu of one holder", against, "us a claim", cpu),
    ]


def _learning(sizes: tuple[int, ...]) -> list[Series]:
    """Measures the cost of replacing one holder of a slot."""
    found: dict[str, list[Point]] = {}
    for records in sizes:
        click.echo(f"learning {records} records ...", err=True)
        names = _names(LEARN_HOSTS)
        fleet = ClaimsFleet(names)
        fleet.settle()
        fleet.now_s += 10.0
        slot = fleet.own_slots[0]
        lost = fleet.placement.group(slot)[0]
        _claim_many(fleet, records, [slot])
        fleet.pop_spent()
        del fleet.hosts[lost]
        fleet.publish([n for n in names if n != lost])
        for name in fleet.hosts:
            fleet.read_list(name)
        before = fleet.steps
        fleet.settle()
        steps = fleet.steps - before
        spent = fleet.pop_spent()
        found.setdefault("bytes", []).append((records, spent.wire_bytes))
        found.setdefault("cpu", []).append((records, spent.cpu_s * _US))
        found.setdefault("steps", []).append((records, steps))
        found.setdefault("messages", []).append((records, spent.messages))
    units = {
        "bytes": "bytes, all hosts",
        "cpu": "us, all hosts",
        "steps": "messages one after another",
        "messages": "messages, all hosts",
    }
    return [
        make_series(
            "claims",
            f"one holder replaced {name}",
            "records of the slot",
            units[name],
            points,
        )
        for name, points in found.items()
    ]


def _placing(sizes: tuple[int, ...]) -> list[Series]:
    """Measures what a newer host list costs a holder.

    Most lists change no host of the holder's data centre; the placement then
    reuses the groups of the previous placement. The list has the upstreams of
    the plan.
    """
    moved: list[Point] = []
    kept: list[Point] = []
    centres = len(PLAN_CENTRES)
    engines = spread_names("engine", UPSTREAMS, centres)
    for hosts in sizes:
        click.echo(f"placement by {hosts} hosts ...", err=True)
        named = spread_names("host", hosts, centres)
        listed = host_list(1, named, engines)
        moved.append((hosts, _list_cost_us(listed, is_kept=False)))
        kept.append((hosts, _list_cost_us(listed, is_kept=True)))
    return [
        make_series("claims", name, "hosts", "us a list", points)
        for name, points in (
            ("list taken cpu", moved),
            ("list of the same hosts cpu", kept),
        )
    ]


def _list_cost_us(listed: HostList, is_kept: bool) -> float:
    holder = Holder("host-00000", PLAN_CENTRES[0], 1)
    now = Instant(0.0, START_MS)
    placements = [make_placement(listed, PLAN_CENTRES)]
    holder.update(placements[0], now)

    def update_list(revision: int) -> None:
        before = placements[-1] if is_kept else None
        again = HostList(revision, listed.entries)
        placements.append(make_placement(again, PLAN_CENTRES, before))
        holder.update(placements[-1], now)

    return min(
        cpu_once_us(functools.partial(update_list, revision))
        for revision in range(2, 5)
    )


def _max_slots() -> Series:
    """Counts the slots of the host that holds the most, for each size."""
    points: list[Point] = []
    centres = len(PLAN_CENTRES)
    for hosts in CENTRE_HOSTS:
        named = spread_names("host", hosts * centres, centres)
        placement = make_placement(host_list(1, named, {}), PLAN_CENTRES)
        held = collections.Counter(
            name for slot in range(SLOTS) for name in placement.group(slot)
        )
        points.append((hosts, max(held.values())))
    return make_series(
        "claims",
        "slots of the worst host",
        "hosts of a data centre",
        "slots",
        points,
    )
