"""Measures the CPU time and traffic of a host's links, probes and timers."""

import asyncio

import aiohttp
import attrs
import click
import orjson

from hollyknot_bench._cost_messages import QUOTE_BODY, Target, WholeLoad
from hollyknot_bench._cost_process import cpu_s_by_name
from hollyknot_bench._cost_runner import Measure, run_whole
from hollyknot_bench._cost_sizes import Sizes
from hollyknot_bench._fleet import SERVICE, Fleet, FleetOptions, running_fleet
from hollyknot_bench.demo import headers, until_ready

_START_UP_S = 5.0
"""Time after the start in which hosts still fetch documents, in seconds."""


@attrs.frozen
class _Traffic:
    sent: int
    received: int


@attrs.frozen
class _HostUsage:
    """What one host used during one window, per second of it."""

    sent: float
    received: float
    cores: float


async def measure_control(sizes: Sizes, seed: int) -> list[Measure]:
    """Measures two data centres of two hosts, idle and under load.

    Args:
        sizes: Number and length of the rounds, and the request rate.
        seed: Seed of the arrivals.
    """
    async with (
        running_fleet(FleetOptions()) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await until_ready(session, fleet)
        await asyncio.sleep(_START_UP_S)
        idle = await _measure_windows(session, fleet, sizes, "idle")
        load = _load(fleet, sizes, seed)
        running = asyncio.ensure_future(run_whole(load))
        loaded = await _measure_windows(session, fleet, sizes, "loaded")
        await running
    cores = [s.cores * 100 for s in idle]
    return [
        Measure("control_cpu_idle", "% of a core a host", tuple(cores)),
        *_traffic_measures("idle", idle),
        *_traffic_measures("loaded", loaded),
    ]


def _traffic_measures(state: str, spent: list[_HostUsage]) -> list[Measure]:
    unit = "bytes/s a host"
    sent = tuple(s.sent for s in spent)
    received = tuple(s.received for s in spent)
    note = "frames on links, without TLS, TCP and the platform's watch"
    return [
        Measure(f"control_sent_{state}", unit, sent, 0, note),
        Measure(f"control_received_{state}", unit, received, 0, note),
    ]


def _load(fleet: Fleet, sizes: Sizes, seed: int) -> WholeLoad:
    targets = [
        Target(
            host,
            f"{fleet.callers_url(host)}/v1/services/{SERVICE}/quote",
            headers("caseworkers", "lookup"),
            QUOTE_BODY,
        )
        for host in fleet.hosts
    ]
    # The load must outlast all windows; the half second per window covers its
    # two status requests.
    duration_s = sizes.control_rounds * (sizes.control_seconds + 0.5)
    return WholeLoad(tuple(targets), sizes.rate, duration_s, seed)


async def _measure_windows(
    session: aiohttp.ClientSession, fleet: Fleet, sizes: Sizes, state: str
) -> list[_HostUsage]:
    spent: list[_HostUsage] = []
    for number in range(sizes.control_rounds):
        click.echo(f"control, {state}, round {number + 1} ...", err=True)
        spent += await _measure_window(session, fleet, sizes.control_seconds)
    return spent


async def _measure_window(
    session: aiohttp.ClientSession, fleet: Fleet, seconds: float
) -> list[_HostUsage]:
    pids = {name: host.pid for name, host in fleet.hosts.items()}
    clock = asyncio.get_running_loop().time
    # CPU times are read between the two status requests, so that the cost of
    # answering these is not counted.
    before = await _read_traffic(session, fleet)
    cpu_before, began_s = cpu_s_by_name(pids), clock()
    await asyncio.sleep(seconds)
    cpu_after, took_s = cpu_s_by_name(pids), clock() - began_s
    after = await _read_traffic(session, fleet)
    return [
        _HostUsage(
            (after[name].sent - before[name].sent) / took_s,
            (after[name].received - before[name].received) / took_s,
            (cpu_after[name] - cpu_before[name]) / took_s,
        )
        for name in pids
    ]


async def _read_traffic(
    session: aiohttp.ClientSession, fleet: Fleet
) -> dict[str, _Traffic]:
    found = {}
    for name in fleet.hosts:
        async with session.get(fleet.operators_url(name) + "/status") as got:
            links = orjson.loads(await got.read())["links"].values()
        found[name] = _Traffic(
            sum(kind["sent_bytes"] for kind in links),
            sum(kind["received_bytes"] for kind in links),
        )
    return found
