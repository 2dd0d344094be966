"""Implements the command `python -m hollyknot_bench.experiment LOAD`."""

import concurrent.futures
import os
import pathlib
import statistics
import sys
from collections import Counter

import attrs
import click

from hollyknot_bench.experiment._load import Load, read_load
from hollyknot_bench.experiment._outcome import Outcome
from hollyknot_bench.experiment._play import play
from hollyknot_state import Problem

_BIN_S = 2.0
"""Width of a column in the printed row of worth by time, in seconds."""


@click.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@click.option("--seeds", default=5, show_default=True, help="Number of seeds.")
@click.option("--first-seed", default=1, show_default=True)
@click.option(
    "--jobs",
    default=max(1, (os.cpu_count() or 2) // 2),
    show_default=True,
    help="Number of processes.",
)
@click.option(
    "--shared",
    is_flag=True,
    help="All hosts share their knowledge: the bound of what more could gain.",
)
@click.option(
    "--asks/--no-asks", default=True, help="Whether hosts query trackers."
)
@click.option(
    "--hosts",
    default=0,
    help="Number of hosts, instead of the load's; 0 for the load's.",
)
def main(
    file: pathlib.Path,
    seeds: int,
    first_seed: int,
    jobs: int,
    shared: bool,
    asks: bool,
    hosts: int,
) -> None:
    """Simulate a load on several seeds and print what callers got."""
    load = read_load(file)
    if isinstance(load, Problem):
        click.echo(f"{file}: {load}", err=True)
        sys.exit(2)
    if hosts:
        load = attrs.evolve(load, hosts=hosts)
    numbers = range(first_seed, first_seed + seeds)
    worths = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        played = [
            pool.submit(play, load, number, is_shared=shared, asks=asks)
            for number in numbers
        ]
        for number, future in zip(numbers, played, strict=True):
            outcome = future.result()
            worths.append(outcome.worth)
            click.echo(f"seed {number}: {_row(outcome)}")
            click.echo(f"    by {_BIN_S:g} s: {_by_time(load, outcome)}")
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    click.echo(f"mean {statistics.mean(worths):.3f}, deviation {spread:.3f}")


def _row(outcome: Outcome) -> str:
    counts: Counter[str] = Counter()
    for ended in outcome.ended:
        end = "in-time" if ended.is_in_time else "late"
        if not ended.is_whole:
            end = "refused" if ended.refusals else "failed"
        counts[f"{ended.request.kind.name}-{end}"] += 1
    ends = " ".join(f"{name}={n}" for name, n in sorted(counts.items()))
    return (
        f"worth={outcome.worth:.3f} {ends} read={outcome.tokens_read}"
        f" again={outcome.tokens_read_again} put-back={outcome.preemptions}"
        f" reading={outcome.reading:.2f}"
    )


def _by_time(load: Load, outcome: Outcome) -> str:
    shares = []
    for number in range(int(load.length_s / _BIN_S)):
        inside = [
            ended
            for ended in outcome.ended
            if int(ended.request.at_s / _BIN_S) == number
        ]
        owed = sum(ended.request.kind.worth for ended in inside)
        got = sum(ended.credit for ended in inside)
        shares.append(f"{got / owed:.2f}" if owed else "-")
    return " ".join(shares)


if __name__ == "__main__":
    main()
