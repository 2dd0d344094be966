"""A measured slope: sizes, values and the line through them."""

import enum
from collections.abc import Sequence
from typing import Any

import attrs
import cattrs
import numpy as np
import orjson

MAX_LOG_RESIDUAL_FACTOR = 0.9
"""A logarithm is taken only if its residual is below this part of the line's.

It promises less growth than the line: in doubt the line is the safe one.
"""

ROUNDING_RESIDUAL = 1e-9
"""A residual below this is that of sums of floating-point numbers."""

_SIGNIFICANT_DIGITS = 6
MIN_SIZES = 5
MIN_RANGE = 16.0


class FitKind(enum.Enum):
    """The form of the curve through the points."""

    LINEAR = "linear"
    LOG = "log"
    """Linear in the binary logarithm of the size."""


@attrs.frozen
class Fit:
    """Least squares through the points.

    Attributes:
        kind: The form.
        slope: Of the line, or for each doubling of the size.
        intercept: At size 0, or at size 1 for a logarithm.
        residual: Root mean square of the residuals over the mean value.
    """

    kind: FitKind
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the fitted value at a size, not below 0."""
        x = size if self.kind is FitKind.LINEAR else float(np.log2(size))
        return max(0.0, self.intercept + self.slope * x)


@attrs.frozen
class Estimate:
    """A value at a size.

    Attributes:
        value: Measured, between two measured ones, or by the fit.
        factor: How far the size is beyond the largest measured one; 1 if it
            isn't.
        is_measured: Whether just this size was measured.
    """

    value: float
    factor: float
    is_measured: bool


@attrs.frozen
class Series:
    """One measure of one mechanism against one size.

    Attributes:
        mechanism: Such as `claims`.
        measure: What was measured, with its denominator.
        against: What the sizes count.
        unit: Of the values.
        sizes: Rising.
        values: One for each size.
        fit: The curve through them.
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
        """Names it within all slopes."""
        return f"{self.mechanism}/{self.measure}/{self.against}"

    def at(self, size: float) -> Estimate:
        """Returns the value at a size: by the fit beyond those measured."""
        first, last = self.sizes[0], self.sizes[-1]
        if first <= size <= last:
            value = float(np.interp(size, self.sizes, self.values))
            return Estimate(value, 1.0, size in self.sizes)
        # Beyond the measured sizes nothing is taken to become cheaper.
        falls = self.fit.slope < 0
        value = self.values[-1] if falls else self.fit.at(size)
        return Estimate(value, max(1.0, size / last), False)


@attrs.frozen
class Machine:
    """Where the slopes were measured.

    Attributes:
        cores: Logical cores.
        python: The interpreter's version.
    """

    cores: int
    python: str


@attrs.frozen
class Design:
    """Constants of the code that was measured.

    Attributes:
        slots: Of claims.
        holders: Of each slot.
        readers: Of each data centre.
        read_pause_s: Mean seconds between a reader's reads of one document.
        reports_s: Load reports that a host asks for a second.
        neighbours: That a host probes and gossips with.
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
        machine: Where.
        design: Of what.
        slopes: The slopes.
    """

    machine: Machine
    design: Design
    slopes: tuple[Series, ...]

    def find(self, name: str) -> Series:
        """Returns a slope by its name.

        Raises:
            KeyError: The run doesn't have it; run `make slopes` whole.
        """
        for one in self.slopes:
            if one.name == name:
                return one
        raise KeyError(f"{name}: not in the slopes; run 'make slopes' whole")


def make_series(
    mechanism: str,
    measure: str,
    against: str,
    unit: str,
    points: Sequence[tuple[float, float]],
) -> Series:
    """Returns a series with its fit.

    Raises:
        ValueError: There are too few sizes, or over too small a range.
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
    """Returns the line, or the logarithm where it is clearly better."""
    line = _fit(FitKind.LINEAR, np.asarray(sizes), values)
    log = _fit(FitKind.LOG, np.log2(np.asarray(sizes)), values)
    is_inexact = line.residual > ROUNDING_RESIDUAL
    if is_inexact and log.residual < line.residual * MAX_LOG_RESIDUAL_FACTOR:
        return log
    return line


def _fit(kind: FitKind, x: Any, values: Sequence[float]) -> Fit:
    y = np.asarray(values)
    slope, intercept = np.polyfit(x, y, 1)
    left = y - (intercept + slope * x)
    mean = float(np.abs(y).mean()) or 1.0
    residual = float(np.sqrt((left**2).mean())) / mean
    return Fit(
        kind,
        _round_to_digits(slope),
        _round_to_digits(intercept),
        _round_to_digits(residual),
    )


def _round_to_digits(value: float) -> float:
    return float(f"{float(value):.{_SIGNIFICANT_DIGITS}g}")


def series_line(series: Series) -> bytes:
    """Returns the JSON object of a slope, on one line."""
    return orjson.dumps(cattrs.unstructure(series))


def write_slopes(slopes: Slopes) -> bytes:
    """Returns the file of slopes: JSON with one slope a line."""
    machine = orjson.dumps(cattrs.unstructure(slopes.machine))
    design = orjson.dumps(cattrs.unstructure(slopes.design))
    lines = b",\n".join(series_line(s) for s in slopes.slopes)
    head = b'{"machine":%b,\n"design":%b,\n"slopes":[' % (machine, design)
    return b"%b\n%b\n]}\n" % (head, lines)


def read_slopes(data: bytes) -> Slopes:
    """Returns what `write_slopes` wrote."""
    return cattrs.structure(orjson.loads(data), Slopes)
