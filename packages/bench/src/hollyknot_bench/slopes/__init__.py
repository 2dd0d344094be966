"""Capacity model: how each mechanism's cost grows with the system's size.

`make slopes` runs this project's own code at several sizes and stores the
results in `docs/capacity/slopes.json`. The tables of `docs/CAPACITY.md` are
computed from that file alone.
"""

from hollyknot_bench.slopes._page import render_page
from hollyknot_bench.slopes._series import (
    Design,
    Estimate,
    Fit,
    FitKind,
    Machine,
    Series,
    Slopes,
    read_slopes,
    write_slopes,
)

__all__ = [
    "Design",
    "Estimate",
    "Fit",
    "FitKind",
    "Machine",
    "Series",
    "Slopes",
    "read_slopes",
    "render_page",
    "write_slopes",
]
