"""Runs load generators and prints measures over several rounds."""

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
        name: Name of the measure.
        unit: Unit of its values.
        rounds: Value of each round.
        digits: Number of decimal places that are printed.
        note: Additional text, such as which process was the bottleneck.
    """

    name: str
    unit: str
    rounds: tuple[float, ...]
    digits: int = 2
    note: str = ""

    def line(self) -> str:
        """Returns the measure as one line of JSON."""
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
    """A load generator ended without a result, or without enough answers."""


async def run_whole(load: WholeLoad) -> WholeResult:
    """Runs a load of requests for unstreamed answers.

    Raises:
        LoadError: There is no result, or a target answered no request.
    """
    result = from_json(await _run("whole", to_json(load)), WholeResult)
    if not all(latency.count for latency in result.latencies.values()):
        raise LoadError(
            f"a target answered no request: {result}; see the hosts' logs"
        )
    return result


async def run_streams(load: StreamLoad) -> StreamResult:
    """Runs a load of streams.

    Raises:
        LoadError: There is no result, or no token was received.
    """
    result = from_json(await _run("streams", to_json(load)), StreamResult)
    if not result.tokens:
        raise LoadError(
            f"streams delivered no token: {result}; see the hosts' logs"
        )
    return result


async def run_held(load: HeldLoad) -> HeldResult:
    """Runs a load of streams that are held open.

    Raises:
        LoadError: There is no result, or a stream could not be opened; the
            memory per stream would then be computed from too many streams.
    """
    result = from_json(await _run("held", to_json(load)), HeldResult)
    if result.failed:
        raise LoadError(
            f"{result.failed} of {result.streams[-1]} streams could not be"
            " opened; see the hosts' logs"
        )
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
        raise LoadError(
            f"load generator `{command}` exited with {process.returncode};"
            " see its standard error"
        )
    return output.decode().splitlines()[-1]


def slope(x: Sequence[float], y: Sequence[float]) -> float:
    """Returns the slope of the least-squares line through points."""
    return statistics.linear_regression(x, y).slope


def busiest(shares: dict[str, float]) -> str:
    """Returns a note that names the process with the highest CPU use.

    Args:
        shares: Mean cores in use, by process.
    """
    name = max(shares, key=lambda n: shares[n])
    return f"busiest: {name}, {shares[name]:.2f} of a core"
