"""Measures memory, processor time and traffic of idle host processes."""

import asyncio
import signal

import aiohttp
import attrs
import click
import orjson

from hollyknot_bench._cost_process import cpu_s, resident_bytes
from hollyknot_bench._fleet import Fleet, FleetOptions, running_fleet
from hollyknot_bench.demo import until_ready
from hollyknot_bench.slopes._series import Series, make_series

HOSTS = (1, 2, 4, 8, 16)
QUICK_WINDOW_S = 2.0
WINDOW_S = 6.0
SETTLE_S = 3.0
MEGA = 1e6
DATA_CENTRE = "hall-a"


@attrs.frozen
class _IdleCost:
    """Mean cost of one host while no requests arrive.

    Attributes:
        hosts: Number of hosts that ran.
        resident_mb: Resident memory of a host, in MB.
        core_percent: Processor time of a host, as a percentage of a core.
        sent: Bytes of link frames that a host sent per second.
        messages: Link messages that a host sent per second.
    """

    hosts: int
    resident_mb: float
    core_percent: float
    sent: float
    messages: float


def measure(is_quick: bool) -> list[Series]:
    """Measures idle hosts, in data centres of several sizes."""
    return asyncio.run(_measure(is_quick))


async def _measure(is_quick: bool) -> list[Series]:
    seconds = QUICK_WINDOW_S if is_quick else WINDOW_S
    found = []
    for hosts in HOSTS:
        click.echo(f"{hosts} host processes ...", err=True)
        found.append(await _measure_idle(hosts, seconds))
    named = (
        ("resident memory", "MB", "resident_mb"),
        ("cpu at rest", "% of a core", "core_percent"),
        ("sent at rest", "bytes/s a host, frames alone", "sent"),
        ("messages at rest", "messages/s a host", "messages"),
    )
    return [
        make_series(
            "processes",
            name,
            "hosts of a data centre",
            unit,
            [(r.hosts, getattr(r, field)) for r in found],
        )
        for name, unit, field in named
    ]


async def _measure_idle(hosts: int, seconds: float) -> _IdleCost:
    options = FleetOptions(
        hosts=hosts, engines=1, services=0, data_centres=(DATA_CENTRE,)
    )
    async with (
        running_fleet(options) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await until_ready(session, fleet)
        await asyncio.sleep(SETTLE_S)
        before = await _traffic(session, fleet)
        pids = [h.pid for h in fleet.hosts.values()]
        cpu_before = sum(cpu_s(pid) for pid in pids)
        clock = asyncio.get_running_loop().time
        began_s = clock()
        await asyncio.sleep(seconds)
        spent = sum(cpu_s(pid) for pid in pids) - cpu_before
        each = (clock() - began_s) * hosts
        after = await _traffic(session, fleet)
        resident = sum(resident_bytes(pid) for pid in pids) / hosts
        # Stops all hosts at once; leaving the fleet would stop them one after
        # the other and wait for each.
        for host in fleet.hosts.values():
            host.send(signal.SIGTERM)
    return _IdleCost(
        hosts,
        resident / MEGA,
        spent / each * 100,
        (after[0] - before[0]) / each,
        (after[1] - before[1]) / each,
    )


async def _traffic(
    session: aiohttp.ClientSession, fleet: Fleet
) -> tuple[int, int]:
    """Returns bytes and messages that all hosts have sent on links."""
    size = messages = 0
    for name in fleet.hosts:
        async with session.get(fleet.operators_url(name) + "/status") as got:
            links = orjson.loads(await got.read())["links"].values()
        size += sum(kind["sent_bytes"] for kind in links)
        messages += sum(kind["sent_messages"] for kind in links)
    return size, messages
