"""Looks up fitted values and tracks how far they were extrapolated."""

import attrs

from hollyknot_bench.slopes._series import Design, Slopes

_MAX_ROUNDING_FACTOR = 1.005


@attrs.define
class Lookup:
    """Evaluates fits at a given size and states the basis of the values.

    Attributes:
        slopes: All slopes of one run.
    """

    slopes: Slopes
    _factor: float = 1.0
    _is_used: bool = False
    _is_multiplied: bool = False
    _is_interpolated: bool = False

    @property
    def design(self) -> Design:
        """Constants of the measured code."""
        return self.slopes.design

    def at(self, name: str, size: float) -> float:
        """Returns the fitted value of a slope at a size."""
        found = self.slopes.find(name).at(size)
        self._factor = max(self._factor, found.factor)
        self._is_used = True
        if not found.is_measured:
            self._is_interpolated = True
        return found.value

    def slope(self, name: str) -> float:
        """Returns the cost of one more unit of a slope's size."""
        self._is_used = self._is_multiplied = True
        return self.slopes.find(name).fit.slope

    def pop_basis(self, assumed: str = "") -> str:
        """Returns the basis of the values since the last call and resets it.

        Args:
            assumed: Assumptions to append to the basis.
        """
        if not self._is_used:
            basis = "not measured"
        elif self._factor > _MAX_ROUNDING_FACTOR:
            basis = f"extrapolated x {self._factor:.3g}"
        elif self._is_multiplied:
            basis = "measured for one, multiplied"
        elif self._is_interpolated:
            basis = "measured on both sides"
        else:
            basis = "measured at this size"
        self._factor = 1.0
        self._is_used = self._is_multiplied = self._is_interpolated = False
        return f"{basis}; assumed: {assumed}" if assumed else basis
