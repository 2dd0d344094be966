"""Implements `make cost`: measures a host's cost in processes on loopback.

Prints one JSON object per line; progress goes to standard error.
"""

import asyncio

import click

from hollyknot_bench._cost_control import measure_control
from hollyknot_bench._cost_data_path import measure_data_path
from hollyknot_bench._cost_sizes import FULL, QUICK, Sizes


async def _measure_all(sizes: Sizes, seed: int, only: str) -> None:
    if only in ("all", "data"):
        async for found in measure_data_path(sizes, seed):
            click.echo(found.line())
    if only in ("all", "control"):
        for found in await measure_control(sizes, seed):
            click.echo(found.line())


@click.command()
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the arrivals."
)
@click.option("--quick", is_flag=True, help="Run one short round of each load.")
@click.option(
    "--only",
    type=click.Choice(("all", "data", "control")),
    default="all",
    show_default=True,
    help="Which part to measure.",
)
def main(seed: int, quick: bool, only: str) -> None:
    """Measures what a host costs and prints one JSON object per line.

    Each value is the median of several rounds, with their spread. All
    processes share this machine, so other work on it makes values too high.

    Example: python -m hollyknot_bench.cost --quick --only data
    """
    asyncio.run(_measure_all(QUICK if quick else FULL, seed, only))


if __name__ == "__main__":
    main()
