"""Measures what open streams, tokens and requests cost one host process."""

import asyncio

import aiohttp
import click
import orjson

from hollyknot_bench._cost_messages import (
    HeldLoad,
    StreamLoad,
    Target,
    WholeLoad,
)
from hollyknot_bench._cost_runner import run_held, run_streams, run_whole
from hollyknot_bench._fleet import MODEL, Fleet, FleetOptions, running_fleet
from hollyknot_bench.demo import headers, until_ready
from hollyknot_bench.slopes._series import Series, make_series

SETTLE_S = 3.0
LOAD_S = 2.5
STREAMS = (16, 32, 64, 128, 256)
RATES = (12, 24, 48, 96, 192)
TOKEN_INTERVAL_S = 0.02
SLOW_FACTOR = 100.0
SLOTS = 300
LONG_ANSWER_TOKENS = 100_000
MEGA = 1e6
DATA_CENTRE = "hall-a"


def measure(is_quick: bool) -> list[Series]:
    """Measures open streams, tokens and requests through one host.

    Quick and full runs are the same.
    """
    del is_quick
    return asyncio.run(_measure())


async def _measure() -> list[Series]:
    options = FleetOptions(
        hosts=1,
        engines=4,
        services=0,
        data_centres=(DATA_CENTRE,),
        token_interval_s=TOKEN_INTERVAL_S,
        slots=SLOTS,
        engine_tokens=LONG_ANSWER_TOKENS,
    )
    cpu = []
    async with (
        running_fleet(options) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await until_ready(session, fleet)
        await asyncio.sleep(SETTLE_S)
        host = next(iter(fleet.hosts.values()))
        target = _target(fleet, LONG_ANSWER_TOKENS, True)
        click.echo("open streams ...", err=True)
        # Tokens are sent rarely, so that the open streams cost memory and
        # hardly any processor time.
        await _set_token_pace(session, fleet, SLOW_FACTOR)
        held = await run_held(HeldLoad(target, STREAMS, 1.0, host.pid))
        await _set_token_pace(session, fleet, 1.0)
        await asyncio.sleep(SETTLE_S)
        for streams in STREAMS:
            click.echo(f"{streams} streams ...", err=True)
            load = StreamLoad(target, streams, 1.0, LOAD_S, {"host": host.pid})
            result = await run_streams(load)
            if result.failed:
                raise RuntimeError(
                    f"{result.failed} of {streams} streams failed; lower"
                    " STREAMS or stop other work on this machine"
                )
            rate = result.tokens / result.elapsed_s
            cpu.append((rate, result.cpu_s["host"] / result.elapsed_s * 100))
        requests = [(n, await _request_core_percent(fleet, n)) for n in RATES]
    memory = [b / MEGA for b in held.resident_bytes]
    return [
        make_series("processes", "stream cpu", "tokens/s", "% of a core", cpu),
        make_series(
            "processes", "request cpu", "requests/s", "% of a core", requests
        ),
        make_series(
            "processes",
            "resident memory",
            "open streams",
            "MB",
            list(zip(held.streams, memory, strict=True)),
        ),
    ]


async def _request_core_percent(fleet: Fleet, rate: int) -> float:
    """Returns the host's processor time for unstreamed one-token answers.

    Args:
        fleet: The running processes.
        rate: Requests per second.

    Returns:
        Percentage of one core.
    """
    click.echo(f"{rate} requests/s ...", err=True)
    host = next(iter(fleet.hosts.values()))
    load = WholeLoad(
        (_target(fleet, 1, False),), rate, LOAD_S, 1, {"host": host.pid}
    )
    result = await run_whole(load)
    if result.failed:
        raise RuntimeError(
            f"{result.failed} requests failed at {rate} requests/s; lower RATES"
            " or stop other work on this machine"
        )
    return result.cpu_s["host"] / result.elapsed_s * 100


def _target(fleet: Fleet, tokens: int, is_streamed: bool) -> Target:
    name = next(iter(fleet.hosts))
    url = fleet.callers_url(name) + "/v1/chat/completions"
    body = {
        "model": MODEL,
        "stream": is_streamed,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "a question of tariffs"}],
    }
    sent = headers("findings", "overnight")
    return Target("host", url, sent, orjson.dumps(body).decode())


async def _set_token_pace(
    session: aiohttp.ClientSession, fleet: Fleet, factor: float
) -> None:
    """Multiplies the inter-token gap of all engines by a factor."""
    for name in fleet.upstreams:
        url = fleet.upstream_url(name) + "/control"
        async with session.post(url, json={"straggle": factor}) as got:
            got.raise_for_status()
