"""Runs load generators and condenses rounds into measures."""

import asyncio
import contextlib
import statistics
import sys
from collections.abc import Sequence

import attrs
import orjson

from hollyknot_bench._cost_messages import (
    HeldLoad,
    HeldResult,
    StreamLoad,
    StreamResult,
    WholeLoad,
    WholeResult,
    from_json,
    to_json,
)


@attrs.frozen
class Measure:
    """One printed line: the median of the rounds and their spread.

    Attributes:
        name: What was measured.
        unit: Its unit.
        rounds: The value of each round.
        digits: Digits after the point that are printed.
        note: Said besides, such as what the bottleneck was.
    """

    name: str
    unit: str
    rounds: tuple[float, ...]
    digits: int = 2
    note: str = ""

    def line(self) -> str:
        """Returns the JSON object of the measure."""
        document: dict[str, object] = {
            "measure": self.name,
            "value": round(statistics.median(self.rounds), self.digits),
            "unit": self.unit,
        }
        if len(self.rounds) > 1:
            spread = (min(self.rounds), max(self.rounds))
            document["spread"] = [round(v, self.digits) for v in spread]
            document["rounds"] = len(self.rounds)
        if self.note:
            document["note"] = self.note
        return orjson.dumps(document).decode()


class LoadError(Exception):
    """A load generator ended without a result, or most of its load failed."""


async def run_whole(load: WholeLoad) -> WholeResult:
    """Runs a load of whole requests.

    Raises:
        LoadError: There is no result, or nothing was answered.
    """
    result = from_json(await _run("whole", to_json(load)), WholeResult)
    if not all(latency.count for latency in result.latencies.values()):
        raise LoadError(f"no answers: {result}; see the hosts' logs")
    return result


async def run_streams(load: StreamLoad) -> StreamResult:
    """Runs a load of streams.

    Raises:
        LoadError: There is no result, or no token came.
    """
    result = from_json(await _run("streams", to_json(load)), StreamResult)
    if not result.tokens:
        raise LoadError(f"no tokens: {result}; see the hosts' logs")
    return result


async def run_held(load: HeldLoad) -> HeldResult:
    """Runs a load of streams that are held open.

    Raises:
        LoadError: There is no result, or a stream could not be held: the
            memory would be divided by too many.
    """
    result = from_json(await _run("held", to_json(load)), HeldResult)
    if result.failed:
        raise LoadError(f"{result.failed} streams were refused or failed")
    return result


async def _run(command: str, load: str) -> str:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hollyknot_bench._cost_load",
        command,
        load,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    if process.returncode:
        raise LoadError(f"the load generator ended with {process.returncode}")
    return output.decode().splitlines()[-1]


def slope(x: Sequence[float], y: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through points."""
    return statistics.linear_regression(x, y).slope


def busiest(shares: dict[str, float]) -> str:
    """Returns the process with the highest core share, for a note."""
    name = max(shares, key=lambda n: shares[n])
    return f"busiest: {name}, {shares[name]:.2f} of a core"
