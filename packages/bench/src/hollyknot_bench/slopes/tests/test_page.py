"""The page's figures are those of the committed slopes."""

import pathlib

import pytest

from hollyknot_bench.slopes import (
    FitKind,
    Slopes,
    read_slopes,
    render_page,
    write_slopes,
)
from hollyknot_bench.slopes._series import make_series

_DOCS = pathlib.Path(__file__).parents[6] / "docs"
_SLOPES = (_DOCS / "capacity" / "slopes.json").read_bytes()


def _committed() -> Slopes:
    return read_slopes(_SLOPES)


class TestPage:
    """`docs/CAPACITY.md` against `docs/capacity/slopes.json`."""

    def test_page_has_the_figures_of_the_slopes(self) -> None:
        """The page promises what no run gave.

        Symptom: a figure of the page can't be found in any measurement.
        Sequence: slopes are measured anew, or a digit is edited by hand.
        Cause: page and slopes are kept apart.
        """
        page = (_DOCS / "CAPACITY.md").read_text("utf-8")
        remedy = "run 'python -m hollyknot_bench.slopes page'"
        assert render_page(page, _committed()) == page, remedy

    def test_page_without_a_table_is_refused(self) -> None:
        with pytest.raises(ValueError, match="write the markers"):
            render_page("# Capacity\n", _committed())


class TestSlopes:
    """The committed slopes."""

    def test_all_fits_follow_from_their_values(self) -> None:
        """A slope was edited: its line no longer goes through its points."""
        for one in _committed().slopes:
            points = list(zip(one.sizes, one.values, strict=True))
            again = make_series(
                one.mechanism, one.measure, one.against, one.unit, points
            )
            assert again.fit.kind is one.fit.kind, one.name
            assert again.fit.slope == pytest.approx(
                one.fit.slope, rel=1e-3, abs=1e-9
            ), one.name

    def test_file_is_read_as_it_was_written(self) -> None:
        assert write_slopes(_committed()) == _SLOPES


class TestFit:
    """Which curve is taken."""

    @pytest.mark.parametrize(
        ("values", "kind", "at_32"),
        [
            ((3.0, 5.0, 9.0, 17.0, 33.0), FitKind.LINEAR, 65.0),
            ((1.0, 2.0, 3.0, 4.0, 5.0), FitKind.LOG, 6.0),
            ((7.0, 7.0, 7.0, 7.0, 7.0), FitKind.LINEAR, 7.0),
            ((33.0, 32.0, 30.0, 26.0, 18.0), FitKind.LINEAR, 18.0),
        ],
    )
    def test_kind(
        self, values: tuple[float, ...], kind: FitKind, at_32: float
    ) -> None:
        points = list(zip((1.0, 2.0, 4.0, 8.0, 16.0), values, strict=True))
        series = make_series("m", "x", "n", "s", points)
        assert series.fit.kind is kind
        assert series.at(32).value == pytest.approx(at_32)
        assert series.at(32).factor == pytest.approx(2.0)

    @pytest.mark.parametrize("sizes", [(1, 2, 4, 16), (1, 2, 3, 4, 5)])
    def test_too_few_sizes_are_refused(self, sizes: tuple[int, ...]) -> None:
        with pytest.raises(ValueError, match="measure 5 or more"):
            make_series("m", "x", "n", "s", [(n, 1.0) for n in sizes])
