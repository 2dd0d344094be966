"""Measures the routing table: memory, host lists, requests and reports."""

import random

import click

from hollyknot_bench.slopes._documents import (
    PLAN_CENTRES,
    host_list,
    model,
    spread_names,
)
from hollyknot_bench.slopes._measure import MEGA, cpu_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.routing import (
    Choice,
    RoutingOptions,
    UpstreamTable,
)
from hollyknot_state import (
    HostList,
    LoadReport,
    Nature,
    Outcome,
    RequestInfo,
    Verdict,
)

UPSTREAMS = (625, 1_250, 2_500, 5_000, 10_000)
HOSTS = (156, 312, 625, 1_250, 2_500)
QUICK_FACTOR = 16
_REPORT = LoadReport(10, 0, 64, False, 50)
_DONE = Verdict(Outcome.COMPLETE)


def measure(is_quick: bool) -> list[Series]:
    """Measures the table against the number of upstreams and of hosts."""
    factor = QUICK_FACTOR if is_quick else 1
    upstreams = tuple(n // factor for n in UPSTREAMS)
    hosts = tuple(n // factor for n in HOSTS)
    return [
        *_measure_against("upstreams", [(u, hosts[-1], u) for u in upstreams]),
        *_measure_against("hosts", [(h, h, upstreams[-1]) for h in hosts]),
    ]


def _measure_against(
    against: str, sizes: list[tuple[int, int, int]]
) -> list[Series]:
    found: dict[str, list[tuple[float, float]]] = {}
    for size, hosts, upstreams in sizes:
        click.echo(f"routing with {size} {against} ...", err=True)
        values = _measure_table(hosts, upstreams)
        for name, value in values.items():
            found.setdefault(name, []).append((size, value))
    units = {
        "memory": "MB",
        "list taken cpu": "us a list",
        "request cpu": "us a request",
        "upstreams in use": "upstreams",
        "report cpu": "us a report",
    }
    return [
        make_series("routing", name, against, units[name], points)
        for name, points in found.items()
    ]


def _measure_table(hosts: int, upstreams: int) -> dict[str, float]:
    """Returns the value of each measure at one size."""
    centres = len(PLAN_CENTRES)
    named = spread_names("host", hosts, centres)
    engines = spread_names("engine", upstreams, centres)
    listed = host_list(1, named, engines)

    def make() -> UpstreamTable:
        table = UpstreamTable(
            RoutingOptions(), "host-00000", PLAN_CENTRES[0], random.Random(1)
        )
        table.on_host_list(listed, 0.0)
        return table

    table, kept = measure_memory(make)
    again = HostList(2, listed.entries)
    names = [p.upstream for p in table.report_targets()]
    return {
        "memory": kept / MEGA,
        "list taken cpu": cpu_us(lambda: table.on_host_list(again, 1.0), 1, 3),
        "request cpu": cpu_us(lambda: _request(table), 200),
        "upstreams in use": len(names),
        "report cpu": cpu_us(
            lambda: table.on_load_report(names[0], _REPORT, 1.0), 200
        ),
    }


def _request(table: UpstreamTable) -> None:
    """Places and completes one request."""
    info = RequestInfo(
        "r",
        "customer",
        "counter",
        1,
        Nature.IDEMPOTENT,
        model(0),
        1.0,
        1.1,
        prefix=7,
    )
    table.free_slots(info.pool, 1.0)
    choice = table.choose(info, 1.0)
    if not isinstance(choice, Choice):
        raise TypeError(f"expected a Choice of an upstream, got {choice}")
    table.on_first_byte(choice.upstream, "r", 1.1)
    table.on_finished(choice.upstream, "r", _DONE, 1.2, True)
