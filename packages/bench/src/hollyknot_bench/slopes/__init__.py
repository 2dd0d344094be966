"""`make slopes`: how the cost of each mechanism grows, and what follows.

The measures run this project's own code. `docs/capacity/slopes.json` keeps
them; the tables of `docs/CAPACITY.md` are worked out from that file alone.
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
