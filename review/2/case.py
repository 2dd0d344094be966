"""The last keys of the only tenant are taken away; requesters go on asking."""

import asyncio
import pathlib
import sys

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

KEYS = ("n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk")
"""The keys of the one tenant that `fleetbench wire` shows."""

GAP_S = 0.5
"""Time between two removals (`revoke`: gap_s up to 1.7 on the site)."""

PLACES = (("a", "GET"), ("b", "POST"))


def table(version, keys):
    return configuration(
        version,
        [route("a", "svc"), route("b", "svc", "non_idempotent")],
        [service("svc")],
        [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
    )


async def ask_all(fleet, name, key):
    """Asks each host on each route; returns the statuses."""
    statuses = []
    for number, host in enumerate(fleet.hosts):
        for place, method in PLACES:
            channel = await Channel.open(fleet.record, host.front)
            attempt = f"{name}-{number}-{place}"
            answer = await channel.ask(attempt, f"/{place}/x", method, key)
            channel.writer.close()
            statuses.append(answer.status or answer.how)
    return statuses


async def play(fleet):
    record = fleet.record
    replica = await fleet.add_replica(Replica(record, "i-1", "svc"))
    fleet.store.put("op/config", table(1, KEYS))
    await fleet.start()
    await fleet.wait_ready()
    for number, key in enumerate(KEYS):
        if set(await ask_all(fleet, f"before-{number}", key)) != {200}:
            raise RuntimeError("a valid key is not served")
    if set(await ask_all(fleet, "before-never", "never-a-key")) != {401}:
        raise RuntimeError("an unknown key is served before the change")
    if TROUBLE:
        fleet.store.put("op/config", table(2, KEYS[1:]))
        await asyncio.sleep(GAP_S)
        fleet.store.put("op/config", table(3, ()))
    # Longer than `config_ms`, even stretched by `outer_ms`.
    await asyncio.sleep(8)
    removed = await ask_all(fleet, "after-removed", KEYS[0])
    unknown = await ask_all(fleet, "after-never", "never-a-key")
    without = await ask_all(fleet, "after-none", "")
    await asyncio.sleep(0.5)
    ran = [headers for _, _, headers in replica.ran]
    never = [h for h in ran if h["x-attempt-id"].startswith("after-never")]
    late = [h for h in ran if h["x-attempt-id"].startswith("after-removed")]
    nameless = [h for h in never if "x-tenant" not in h]
    record.note("result", removed=removed, unknown=unknown, without=without,
                ran_with_unknown_key=len(never), nameless=len(nameless))
    print(f"{len(never)} requests with a key that no configuration held have"
          f" run, {len(late)} with a removed key (with TROUBLE=0 it is not"
          f" removed); answers without a key: {without}")
    return BROKEN if never else HELD


main(FOLDER, play, hosts=3, zones=("hall-a", "hall-b", "hall-c"))
