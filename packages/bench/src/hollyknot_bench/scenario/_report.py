"""Renders the measures of runs as tables and as JSON."""

import attrs
import orjson

from hollyknot_bench.scenario._measures import ClassMeasures, RunMeasures

_HEADER = (
    f"{'class':18} {'arrivals':>8} {'attained':>8} {'in burst':>8}"
    f" {'goodput':>8} {'discard':>8} {'duplic.':>8} {'late':>8} {'refused':>8}"
)


def render(runs: tuple[RunMeasures, ...]) -> str:
    """Renders a table for each run."""
    return "\n\n".join(_render_run(run) for run in runs)


def to_json(seed: int, runs: tuple[RunMeasures, ...]) -> str:
    """Encodes the measures of all runs as one JSON document."""
    document = {"seed": seed, "runs": [attrs.asdict(run) for run in runs]}
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


def _render_run(run: RunMeasures) -> str:
    rows = [_render_class(c) for c in run.classes]
    refused = ", ".join(
        f"tier {tier}: {count}"
        for tier, count in enumerate(run.refused_by_tier, start=1)
    )
    broken = ", ".join(f"{k}: {n}" for k, n in run.violations.items())
    recovery = f"{run.recovery_s:.0f} s" if run.is_recovered else "not in run"
    return "\n".join(
        (
            f"policy {run.policy}",
            _HEADER,
            *rows,
            f"refused             {refused}",
            f"violations          {broken or 'none'}",
            f"Jain index          {run.jain_index:.3f}",
            f"recovery            {recovery}",
            f"tier 3 while a peer refused tier 1: "
            f"{run.lower_starts_while_shed} starts in"
            f" {run.seconds_while_shed:.0f} host seconds;"
            f" else {run.lower_starts_otherwise}",
            f"service time        mean {run.service_mean_s:.2f} s,"
            f" error {run.service_error_s:.2f} s",
        )
    )


def _render_class(row: ClassMeasures) -> str:
    return (
        f"{row.name:18} {row.arrivals:8d} {row.attainment:8.3f}"
        f" {row.burst_attainment:8.3f} {row.goodput:8.1f}"
        f" {row.discarded:8.3f} {row.duplicated:8.3f} {row.late:8.3f}"
        f" {row.refusals:8d}"
    )
