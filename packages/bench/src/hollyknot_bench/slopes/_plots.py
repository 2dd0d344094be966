"""Draws each slope: its measured points and the fitted curve."""

import pathlib
import re

import matplotlib as mpl
import numpy as np

from hollyknot_bench.slopes._series import FitKind, Series

mpl.use("Agg")

from matplotlib import pyplot as plt

_CURVE_POINTS = 100


def plot(series: Series, directory: pathlib.Path) -> pathlib.Path:
    """Writes a PNG of the points and the fit, and returns its path."""
    figure, axes = plt.subplots(figsize=(6, 4))
    axes.plot(series.sizes, series.values, "o", label="measured")
    sizes = np.linspace(series.sizes[0], series.sizes[-1], _CURVE_POINTS)
    fit = series.fit
    axes.plot(
        sizes,
        [fit.at(float(size)) for size in sizes],
        label=f"{fit.kind.value}, residual {fit.residual:.1%}",
    )
    if fit.kind is FitKind.LOG:
        axes.set_xscale("log", base=2)
    axes.set_xlabel(series.against)
    axes.set_ylabel(series.unit)
    axes.set_title(f"{series.mechanism}: {series.measure}")
    axes.legend()
    name = re.sub(r"[^a-z0-9]+", "-", series.name.lower()).strip("-")
    path = directory / f"{name}.png"
    figure.savefig(path, dpi=100, bbox_inches="tight")
    plt.close(figure)
    return path
