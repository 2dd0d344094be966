"""The store resets channels for 4.5 s, twice; later the configuration changes."""

import asyncio
import pathlib
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

RESETS_S = 4.5
"""As long as the site file's `platform_down` with `reset`."""

TIMES = 2
BETWEEN_S = 5.0

REQUESTERS = [("/a/x", 0.15)] + 8 * [("/s/x", 0.15)]
"""Paths that the requesters at a host ask for, and their pauses in seconds."""

KEYS = [{"name": "tenant-1", "api_keys": ["key-1", "key-2"], "priority": 1}]
KEYS_AFTER = [{"name": "tenant-1", "api_keys": ["key-2"], "priority": 1}]


async def load(fleet, host, number, path, pause_s):
    """A requester that asks a host again and again on a kept channel.

    At each host one asks for short answers and some ask for streams; together
    they ask less than the site's requesters (14 a second at each host).
    """
    channel, count = None, 0
    while True:
        await asyncio.sleep(pause_s)
        if channel is None or not channel.is_open:
            channel = await Channel.open(fleet.record, host.front)
        count += 1
        await channel.ask(f"load-{number}-{count}", path, "GET", "key-2")


async def play(fleet):
    record = fleet.record
    old = await fleet.add_replica(Replica(record, "i-old", "svc-old"))
    new = await fleet.add_replica(Replica(record, "i-new", "svc-new"))
    services = [service(f"svc-{name}") for name in ("old", "new", "llm")]
    engine = await fleet.add_replica(Replica(record, "i-engine", "svc-llm"))
    engine.answer = engine.stream
    streams = route(
        "s", "svc-llm", "stream", target_gap_ms=200, timeout_ms=15000
    )
    fleet.store.put(
        "op/config",
        configuration(1, [route("a", "svc-old"), streams], services, KEYS),
    )
    await fleet.start_gate()
    await fleet.start()
    await fleet.wait_ready()
    for number, host in enumerate(fleet.hosts):
        for who, (path, pause_s) in enumerate(REQUESTERS):
            fleet.spawn(load(fleet, host, f"{number}-{who}", path, pause_s))
    for _ in range(TIMES):
        await asyncio.sleep(BETWEEN_S)
        if TROUBLE:
            await fleet.reset_store_for(RESETS_S)
        else:
            await asyncio.sleep(RESETS_S)
    bounds = fleet.bounds
    # The core is stable `contact_ms` after the end of the impairment.
    await asyncio.sleep(bounds["contact_ms"] / 1000 + 3)
    fleet.store.put(
        "op/config",
        configuration(2, [route("a", "svc-new"), streams], services, KEYS_AFTER),
    )
    # Longer than the rule gives, even with the stretch for an unstable core.
    await asyncio.sleep((bounds["config_ms"] + bounds["outer_ms"]) / 1000 + 3)
    since = time.monotonic()
    wrong = []
    for number, host in enumerate(fleet.hosts):
        for part in range(4):
            channel = await Channel.open(record, host.front)
            name = f"check-{number}-{part}"
            answer = await channel.ask(name, "/a/x", "GET", "key-1")
            channel.writer.close()
            if answer.status != 401:
                wrong.append((host.name, name, answer.status))
    await asyncio.sleep(1)
    late = [run for run in old.ran if run[0] > since]
    checks = [run for run in old.ran if run[1].startswith("check-")]
    hosts = sorted({name for name, _, _ in wrong})
    record.note("result", wrong=len(wrong), at=",".join(hosts) or "-",
                ran_with_removed_key=len(checks),
                ran_by_old_service=len(late), by_new=len(new.ran))
    print(f"{len(wrong)} of {4 * len(fleet.hosts)} requests with a removed key"
          f" accepted, by {len(hosts)} of {len(fleet.hosts)} hosts;"
          f" {len(late)} requests run by the old service")
    return BROKEN if checks or late else HELD


main(FOLDER, play, hosts=6, zones=("hall-a", "hall-b", "hall-c"))
