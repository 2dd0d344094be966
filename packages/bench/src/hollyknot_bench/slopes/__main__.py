"""Command `make slopes`: measures all slopes and writes the capacity page.

It prints one JSON object per line; progress goes to standard error.
"""

import concurrent.futures
import os
import pathlib
import platform
from collections.abc import Iterator

import click

from hollyknot_bench.slopes import (
    _admission,
    _centres,
    _claims,
    _gossip,
    _real_data_path,
    _real_hosts,
    _real_links,
    _reports,
    _routing,
    _signals,
    _suspects,
    _whole_documents,
)
from hollyknot_bench.slopes._measure import Measurement
from hollyknot_bench.slopes._page import render_page
from hollyknot_bench.slopes._plots import plot
from hollyknot_bench.slopes._series import (
    Design,
    Machine,
    Series,
    Slopes,
    read_slopes,
    series_line,
    write_slopes,
)
from hollyknot_coordination.claims import GROUP_SIZE, SLOTS
from hollyknot_coordination.membership import READERS
from hollyknot_coordination.membership._neighbours import (
    RANDOM_NEIGHBOURS,
    SUCCESSORS,
)
from hollyknot_coordination.spread import READ_PAUSE_S
from hollyknot_daemon._probes import REPORTS_PER_S

IN_PARALLEL: dict[str, Measurement] = {
    "hosts": _real_hosts.measure,
    "gossip": _gossip.measure,
    "centres": _centres.measure,
    "documents": _whole_documents.measure,
    "claims": _claims.measure,
    "signals": _signals.measure,
    "suspects": _suspects.measure,
    "routing": _routing.measure,
    "admission": _admission.measure,
}
"""Idle hosts and code under a virtual clock; each runs in its own process."""

IN_SEQUENCE: dict[str, Measurement] = {
    "links": _real_links.measure,
    "reports": _reports.measure,
    "data-path": _real_data_path.measure,
}
"""Measurements that load sockets; they run one by one after the others."""

WORKERS = 4
"""Processes at a time; more would evict each other's processor caches."""

_FILE = pathlib.Path
_SLOPES = pathlib.Path("docs/capacity/slopes.json")
_PAGE = pathlib.Path("docs/CAPACITY.md")


@click.group(invoke_without_command=True)
@click.option(
    "--quick", is_flag=True, help="Smaller sizes; writes no file but the plots."
)
@click.option(
    "--only",
    type=click.Choice(("all", *IN_PARALLEL, *IN_SEQUENCE)),
    default="all",
    show_default=True,
    help="What to measure; a part alone writes no file but the plots.",
)
@click.option(
    "--out",
    type=click.Path(path_type=_FILE),
    default="out/slopes",
    show_default=True,
    help="Where the plots go.",
)
@click.pass_context
def main(
    context: click.Context, quick: bool, only: str, out: pathlib.Path
) -> None:
    """Measures how costs grow and prints a JSON object for each slope.

    A whole run from the repository's root also writes
    docs/capacity/slopes.json and the figures of docs/CAPACITY.md.

    Example: python -m hollyknot_bench.slopes --only claims
    """
    if context.invoked_subcommand:
        return
    out.mkdir(parents=True, exist_ok=True)
    found = []
    for series in _measure(only, quick):
        found.append(series)
        click.echo(series_line(series).decode())
        plot(series, out)
    if only == "all" and not quick:
        machine = Machine(os.cpu_count() or 1, platform.python_version())
        slopes = Slopes(machine, _design(), tuple(found))
        _SLOPES.write_bytes(write_slopes(slopes))
        _write_page()


@main.command()
def page() -> None:
    """Writes the figures of docs/CAPACITY.md from the committed slopes."""
    _write_page()


def _measure(only: str, is_quick: bool) -> Iterator[Series]:
    names = [n for n in IN_PARALLEL if only in ("all", n)]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        running = [pool.submit(IN_PARALLEL[n], is_quick) for n in names]
        for one in running:
            yield from one.result()
    for name, measure in IN_SEQUENCE.items():
        if only in ("all", name):
            yield from measure(is_quick)


def _design() -> Design:
    return Design(
        slots=SLOTS,
        holders=GROUP_SIZE,
        readers=READERS,
        read_pause_s=READ_PAUSE_S,
        reports_s=REPORTS_PER_S,
        neighbours=SUCCESSORS + RANDOM_NEIGHBOURS,
    )


def _write_page() -> None:
    slopes = read_slopes(_SLOPES.read_bytes())
    old = _PAGE.read_text("utf-8")
    _PAGE.write_text(render_page(old, slopes), "utf-8")


if __name__ == "__main__":
    main()
