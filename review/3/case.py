"""Watches are cut now and then, while replicas are replaced one by one."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from fleet import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Channel,
    Replica,
    configuration,
    main,
    route,
    service,
)

CUT_EACH_S = (0.4, 1.0)
"""Range of the seconds between two cuts of the watches that are waiting."""

HEARTBEAT_S = 1.2
OBSERVED_S = 3.2
REPLICAS = 12
RELEASES = 2
REPLACED = 5
"""Less than the largest share of `release` on the site (0.45)."""

REQUESTERS = 5
PAUSE_S = 0.08


async def load(fleet, host, number):
    """A requester that asks a host again and again on a kept channel."""
    channel, count = None, 0
    while True:
        await asyncio.sleep(PAUSE_S)
        if channel is None or not channel.is_open:
            channel = await Channel.open(fleet.record, host.front)
        count += 1
        await channel.ask(f"load-{number}-{count}", "/a/x", "GET")


async def cut_watches(fleet):
    while True:
        await asyncio.sleep(random.uniform(*CUT_EACH_S))
        fleet.record.note("watches_cut", count=fleet.store.cut_watches())


class Beats:
    """Replicas that were started together, so that they beat together.

    One that leaves removes its entry in place of a heartbeat, and goes on
    serving.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.leaving = None
        self.left = asyncio.Event()

    async def run(self):
        store = self.fleet.store
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.fleet.replicas:
                await asyncio.sleep(0.002)
                key = f"servers/{replica.name}"
                if replica is self.leaving:
                    store.delete(key)
                    self.leaving = None
                    self.fleet.record.note("left", replica=replica.name)
                    self.left.set()
                elif key in store.items:
                    store.put(key, replica.entry())

    async def leave(self, replica):
        """Has a replica leave; returns when the store has confirmed it."""
        self.left.clear()
        self.leaving = replica
        await self.left.wait()
        return time.monotonic()


async def play(fleet):
    record = fleet.record
    for number in range(REPLICAS):
        await fleet.add_replica(Replica(record, f"i-{number}", "svc"))
    fleet.store.put(
        "op/config", configuration(1, [route("a", "svc")], [service("svc")])
    )
    beats = Beats(fleet)
    fleet.beat = beats.run
    await fleet.start()
    await fleet.wait_ready()
    for number, host in enumerate(fleet.hosts):
        for who in range(REQUESTERS):
            fleet.spawn(load(fleet, host, f"{number}-{who}"))
    await asyncio.sleep(2)
    if TROUBLE:
        fleet.spawn(cut_watches(fleet))
    await asyncio.sleep(4)
    drain_s = fleet.bounds["drain_ms"] / 1000
    late = 0
    for number, replica in enumerate(fleet.replicas[-RELEASES * REPLACED :]):
        await fleet.add_replica(Replica(record, f"i-new-{number}", "svc"))
        await asyncio.sleep(1)
        left_s = await beats.leave(replica)
        await asyncio.sleep(OBSERVED_S)
        after = [at_s - left_s for at_s, _, _ in replica.ran if at_s > left_s]
        count = sum(at_s > drain_s for at_s in after)
        late += count
        record.note("result", replica=replica.name, late=count,
                    last_s=round(max(after, default=0), 2))
        print(f"{replica.name}: last request {max(after, default=0):.2f} s"
              f" after it has left, {count} later than {drain_s} s")
    return BROKEN if late else HELD


main(FOLDER, play, hosts=6, zones=("hall-a", "hall-b", "hall-c"))
