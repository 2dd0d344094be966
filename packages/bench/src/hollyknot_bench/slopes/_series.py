"""Slopes: values measured at several sizes, and the curve through them."""

import enum
from collections.abc import Sequence
from typing import Any

import attrs
import cattrs
import numpy as np
import orjson

MAX_LOG_RESIDUAL_FACTOR = 0.9
"""Largest residual of a logarithmic fit, as a fraction of the line's.

Otherwise the line is used. A logarithm predicts less growth than a line, so
that the line is the safe choice where both fit about equally well.
"""

ROUNDING_RESIDUAL = 1e-9
"""Residuals up to this size are rounding errors of floating-point sums."""

_SIGNIFICANT_DIGITS = 6
MIN_SIZES = 5
"""Fewest sizes of a series."""

MIN_RANGE = 16.0
"""Least ratio of the largest size to the smallest."""


class FitKind(enum.Enum):
    """Form of the curve through the points."""

    LINEAR = "linear"
    LOG = "log"
    """Linear in the binary logarithm of the size."""


@attrs.frozen
class Fit:
    """A curve fitted to the points by least squares.

    Attributes:
        kind: Form of the curve.
        slope: Increase of the value per unit of size; for a logarithm, per
            doubling of the size.
        intercept: Value at size 0; for a logarithm, at size 1.
        residual: Root mean square of the residuals, as a fraction of the
            mean absolute value.
    """

    kind: FitKind
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the fitted value at a size, or 0 where it is negative."""
        x = size if self.kind is FitKind.LINEAR else float(np.log2(size))
        return max(0.0, self.intercept + self.slope * x)


@attrs.frozen
class Estimate:
    """A value at a size that may not have been measured.

    Attributes:
        value: Measured value, or one interpolated between two measured
            sizes, or beyond these one extrapolated by the fit.
        factor: Ratio of the size to the largest measured one, at least 1.
        is_measured: Whether exactly this size was measured.
    """

    value: float
    factor: float
    is_measured: bool


@attrs.frozen
class Series:
    """One measure of a mechanism at several sizes.

    Attributes:
        mechanism: Name of the mechanism, such as `claims`.
        measure: What is measured, such as `memory`.
        against: What the sizes count, such as `customers`.
        sizes: Sizes in rising order.
        values: Value at each size, in `unit`.
        unit: Unit of the values, such as `bytes/s a host`.
        fit: Curve through the points.
    """

    mechanism: str
    measure: str
    against: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    unit: str
    fit: Fit

    @property
    def name(self) -> str:
        """Name of the series, unique among all slopes."""
        return f"{self.mechanism}/{self.measure}/{self.against}"

    def at(self, size: float) -> Estimate:
        """Estimates the value at a size.

        Interpolates within the measured sizes and uses the fit beyond them.
        """
        first, last = self.sizes[0], self.sizes[-1]
        if first <= size <= last:
            value = float(np.interp(size, self.sizes, self.values))
            return Estimate(value, 1.0, size in self.sizes)
        # A falling line is not continued: beyond the measured sizes the
        # cost is assumed to fall no further.
        falls = self.fit.slope < 0
        value = self.values[-1] if falls else self.fit.at(size)
        return Estimate(value, max(1.0, size / last), False)


@attrs.frozen
class Machine:
    """Machine that measured the slopes.

    Attributes:
        cores: Number of logical cores.
        python: Version of the Python interpreter.
    """

    cores: int
    python: str


@attrs.frozen
class Design:
    """Constants of the measured code.

    Attributes:
        slots: Slots that the claims are divided into.
        holders: Hosts that store the claims of each slot.
        readers: Hosts of each data centre that read the platform's documents.
        read_pause_s: Mean seconds between a reader's reads of one document.
        reports_s: Load reports that a host requests per second.
        neighbours: Peers that a host probes and gossips with.
    """

    slots: int
    holders: int
    readers: int
    read_pause_s: float
    reports_s: int
    neighbours: int


@attrs.frozen
class Slopes:
    """All slopes of one run.

    Attributes:
        machine: Machine that measured them.
        design: Constants of the measured code.
        slopes: Measured series.
    """

    machine: Machine
    design: Design
    slopes: tuple[Series, ...]

    def find(self, name: str) -> Series:
        """Returns a slope by its name.

        Raises:
            KeyError: No slope has the name; `make slopes` measures all.
        """
        for series in self.slopes:
            if series.name == name:
                return series
        raise KeyError(
            f"{name}: not in the slopes; run 'make slopes' to measure all"
        )


def make_series(
    mechanism: str,
    measure: str,
    against: str,
    unit: str,
    points: Sequence[tuple[float, float]],
) -> Series:
    """Builds a series of `(size, value)` points, with its fit.

    Raises:
        ValueError: There are fewer than `MIN_SIZES` sizes, or they span less
            than a factor of `MIN_RANGE`.
    """
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(_round_to_digits(value) for _, value in points)
    if len(sizes) < MIN_SIZES or sizes[-1] < MIN_RANGE * sizes[0]:
        raise ValueError(
            f"{mechanism}/{measure}: sizes {sizes}; measure {MIN_SIZES} or more"
            f" over a range of {MIN_RANGE:g} or more"
        )
    fit = best_fit(sizes, values)
    return Series(mechanism, measure, against, sizes, values, unit, fit)


def best_fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Returns the fitted line, or a logarithm that fits clearly better."""
    line = _fit(FitKind.LINEAR, np.asarray(sizes), values)
    log = _fit(FitKind.LOG, np.log2(np.asarray(sizes)), values)
    is_inexact = line.residual > ROUNDING_RESIDUAL
    if is_inexact and log.residual < line.residual * MAX_LOG_RESIDUAL_FACTOR:
        return log
    return line


def _fit(kind: FitKind, x: Any, values: Sequence[float]) -> Fit:
    y = np.asarray(values)
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (intercept + slope * x)
    mean = float(np.abs(y).mean()) or 1.0
    residual = float(np.sqrt((residuals**2).mean())) / mean
    return Fit(
        kind,
        _round_to_digits(slope),
        _round_to_digits(intercept),
        _round_to_digits(residual),
    )


def _round_to_digits(value: float) -> float:
    """Rounds to the digits that are worth keeping in the file."""
    return float(f"{float(value):.{_SIGNIFICANT_DIGITS}g}")


def series_line(series: Series) -> bytes:
    """Returns a series as a JSON object on one line."""
    return orjson.dumps(cattrs.unstructure(series))


def write_slopes(slopes: Slopes) -> bytes:
    """Returns the content of the slopes file: JSON with a slope per line."""
    machine = orjson.dumps(cattrs.unstructure(slopes.machine))
    design = orjson.dumps(cattrs.unstructure(slopes.design))
    lines = b",\n".join(series_line(s) for s in slopes.slopes)
    head = b'{"machine":%b,\n"design":%b,\n"slopes":[' % (machine, design)
    return b"%b\n%b\n]}\n" % (head, lines)


def read_slopes(data: bytes) -> Slopes:
    """Parses the content of a file that `write_slopes` made."""
    return cattrs.structure(orjson.loads(data), Slopes)
