"""Measures what requests and streams cost one host in CPU time and memory."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import click
import orjson

from hollyknot_bench._cost_condense import (
    DIRECT,
    HOST,
    combine_results,
    stream_measures,
    whole_measures,
)
from hollyknot_bench._cost_messages import (
    QUOTE_BODY,
    HeldLoad,
    StreamLoad,
    Target,
    WholeLoad,
)
from hollyknot_bench._cost_process import resident_bytes
from hollyknot_bench._cost_runner import (
    Measure,
    run_held,
    run_streams,
    run_whole,
    slope,
)
from hollyknot_bench._cost_sizes import Sizes
from hollyknot_bench._fleet import (
    MODEL,
    SERVICE,
    Fleet,
    FleetOptions,
    running_fleet,
)
from hollyknot_bench.demo import headers, until_ready

_ENGINES = 6
_SLOTS = 300
_TOKEN_INTERVAL_S = 0.01
_SLOW_FACTOR = 200.0
"""Slows engines to one token per 2 s, so that open streams use little CPU."""

_SLOT_DISCOVERY_S = 4.0
"""Time in which a host has learnt the slots of each engine, in seconds."""

_LONG_ANSWER_TOKENS = 100_000


async def measure_data_path(sizes: Sizes, seed: int) -> AsyncIterator[Measure]:
    """Runs one host with its upstreams and yields the measures of each load.

    Args:
        sizes: Number and length of the rounds, and the loads.
        seed: Seed of the arrivals.
    """
    options = FleetOptions(
        hosts=1,
        engines=_ENGINES,
        services=1,
        data_centres=("hall-a",),
        token_interval_s=_TOKEN_INTERVAL_S,
        slots=_SLOTS,
        engine_tokens=_LONG_ANSWER_TOKENS,
    )
    async with running_fleet(options) as fleet:
        async with aiohttp.ClientSession() as session:
            await until_ready(session, fleet)
        await asyncio.sleep(_SLOT_DISCOVERY_S)
        async for found in _DataPath(fleet, sizes, seed).measures():
            yield found


class _DataPath:
    """Puts one load after another on the only host of a fleet."""

    def __init__(self, fleet: Fleet, sizes: Sizes, seed: int) -> None:
        """Builds the measurement of a running fleet of one host.

        Args:
            fleet: The running processes.
            sizes: Number and length of the rounds, and the loads.
            seed: Seed of the arrivals.
        """
        self._fleet = fleet
        self._sizes = sizes
        self._seed = seed
        self._name = next(iter(fleet.hosts))
        self._host = fleet.hosts[self._name]
        children = {HOST: self._host, **fleet.upstreams}
        self._pids = {name: c.pid for name, c in children.items()}

    async def measures(self) -> AsyncIterator[Measure]:
        """Runs all loads and yields the measures of each."""
        sizes = self._sizes
        idle = resident_bytes(self._host.pid)
        yield Measure("idle_host_rss", "MB", (idle / 1e6,))
        # The open streams come before any other load: memory that an earlier
        # load had freed would be reused, and the streams would seem to cost
        # nothing.
        await self._set_token_pace(_SLOW_FACTOR)
        yield await self._measure_held()
        await self._set_token_pace(0.0)
        for found in await self._measure_whole(
            "model_request", self._model_targets()
        ):
            yield found
        for found in await self._measure_whole(
            "service_call", self._service_targets()
        ):
            yield found
        await self._set_token_pace(1.0)
        for found in await self._measure_streams("", sizes.streams, 1):
            yield found
        many = sizes.saturating_streams
        for found in await self._measure_streams("saturated_", many, 2):
            yield found

    async def _set_token_pace(self, factor: float) -> None:
        """Multiplies the engines' time between tokens by a factor."""
        async with aiohttp.ClientSession() as session:
            for name in self._fleet.upstreams:
                if "engine" not in name:
                    continue
                url = self._fleet.upstream_url(name) + "/control"
                async with session.post(url, json={"straggle": factor}) as got:
                    got.raise_for_status()

    async def _measure_whole(
        self, kind: str, targets: tuple[Target, ...]
    ) -> list[Measure]:
        sizes = self._sizes
        results = []
        for number in range(sizes.rounds):
            click.echo(f"{kind}, round {number + 1} ...", err=True)
            load = WholeLoad(
                targets=targets,
                rate=sizes.rate,
                duration_s=sizes.seconds,
                seed=self._seed + number,
                pids=self._pids,
            )
            results.append(await run_whole(load))
        return list(whole_measures(kind, results))

    async def _measure_streams(
        self, prefix: str, streams: int, generators: int
    ) -> list[Measure]:
        sizes = self._sizes
        results = []
        for number in range(sizes.rounds):
            click.echo(f"{streams} streams, round {number + 1} ...", err=True)
            load = StreamLoad(
                target=self._stream_target(sizes.tokens),
                streams=streams // generators,
                warm_up_s=1.5,
                duration_s=sizes.seconds,
                pids=self._pids,
            )
            running = [run_streams(load) for _ in range(generators)]
            results.append(combine_results(await asyncio.gather(*running)))
        return list(stream_measures(prefix, results))

    async def _measure_held(self) -> Measure:
        steps = self._sizes.held
        click.echo(f"{steps} open streams ...", err=True)
        result = await run_held(
            HeldLoad(
                self._stream_target(_LONG_ANSWER_TOKENS),
                steps,
                2.0,
                self._host.pid,
            )
        )
        seen = ", ".join(f"{b / 1e6:.1f}" for b in result.resident_bytes)
        value = slope(result.streams, result.resident_bytes) / 1000
        note = f"{seen} MB at {steps} streams"
        return Measure("memory_per_open_stream", "KB", (value,), 1, note)

    def _model_targets(self) -> tuple[Target, ...]:
        body = _prompt(16, False)
        path = "/v1/chat/completions"
        engine = next(iter(self._fleet.upstreams))
        return (
            Target(
                HOST,
                self._fleet.callers_url(self._name) + path,
                headers("caseworkers", "lookup"),
                body,
            ),
            Target(DIRECT, self._fleet.upstream_url(engine) + path, {}, body),
        )

    def _service_targets(self) -> tuple[Target, ...]:
        service = next(n for n in self._fleet.upstreams if "service" in n)
        prefix = f"/v1/services/{SERVICE}"
        return (
            Target(
                HOST,
                self._fleet.callers_url(self._name) + prefix + "/quote",
                headers("caseworkers", "lookup"),
                QUOTE_BODY,
            ),
            Target(
                DIRECT,
                self._fleet.upstream_url(service) + "/quote",
                {},
                QUOTE_BODY,
            ),
        )

    def _stream_target(self, tokens: int) -> Target:
        url = self._fleet.callers_url(self._name) + "/v1/chat/completions"
        sent = headers("findings", "overnight")
        return Target(HOST, url, sent, _prompt(tokens, True))


def _prompt(tokens: int, streamed: bool) -> str:
    message = {"role": "user", "content": "a question of tariffs"}
    document = {
        "model": MODEL,
        "stream": streamed,
        "max_tokens": tokens,
        "messages": [message],
    }
    return orjson.dumps(document).decode()
