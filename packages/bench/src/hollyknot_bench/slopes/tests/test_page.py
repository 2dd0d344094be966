"""Tests that the page's figures are those of the committed slopes."""

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
    """Compares `docs/CAPACITY.md` with `docs/capacity/slopes.json`."""

    def test_page_has_the_figures_of_the_slopes(self) -> None:
        """Guards against figures on the page that no measurement gave.

        Page and slopes are separate files: they differ if the slopes are
        measured again or the page is edited by hand.
        """
        page = (_DOCS / "CAPACITY.md").read_text("utf-8")
        remedy = "run 'python -m hollyknot_bench.slopes page'"
        assert render_page(page, _committed()) == page, remedy

    def test_page_without_markers_of_a_table_is_refused(self) -> None:
        with pytest.raises(ValueError, match="write the markers"):
            render_page("# Capacity\n", _committed())


class TestSlopes:
    """Tests the committed file of slopes."""

    def test_all_fits_follow_from_their_values(self) -> None:
        """Guards against a slope whose fit was edited apart from its points."""
        for series in _committed().slopes:
            points = list(zip(series.sizes, series.values, strict=True))
            again = make_series(
                series.mechanism,
                series.measure,
                series.against,
                series.unit,
                points,
            )
            assert again.fit.kind is series.fit.kind, series.name
            assert again.fit.slope == pytest.approx(
                series.fit.slope, rel=1e-3, abs=1e-9
            ), series.name

    def test_file_keeps_its_bytes_when_read_and_written(self) -> None:
        assert write_slopes(_committed()) == _SLOPES


class TestFit:
    """Tests which curve is fitted."""

    @pytest.mark.parametrize(
        ("values", "kind", "at_32"),
        [
            ((3.0, 5.0, 9.0, 17.0, 33.0), FitKind.LINEAR, 65.0),
            ((1.0, 2.0, 3.0, 4.0, 5.0), FitKind.LOG, 6.0),
            ((7.0, 7.0, 7.0, 7.0, 7.0), FitKind.LINEAR, 7.0),
            ((33.0, 32.0, 30.0, 26.0, 18.0), FitKind.LINEAR, 18.0),
        ],
    )
    def test_logarithm_is_fitted_only_where_it_is_better(
        self, values: tuple[float, ...], kind: FitKind, at_32: float
    ) -> None:
        """Guards against extrapolation by the wrong curve.

        The last case is a falling line, which is not continued.
        """
        points = list(zip((1.0, 2.0, 4.0, 8.0, 16.0), values, strict=True))
        series = make_series("m", "x", "n", "s", points)
        assert series.fit.kind is kind
        assert series.at(32).value == pytest.approx(at_32)
        assert series.at(32).factor == pytest.approx(2.0)

    @pytest.mark.parametrize("sizes", [(1, 2, 4, 16), (1, 2, 3, 4, 5)])
    def test_too_few_sizes_or_too_small_a_range_are_refused(
        self, sizes: tuple[int, ...]
    ) -> None:
        with pytest.raises(ValueError, match="measure 5 or more"):
            make_series("m", "x", "n", "s", [(n, 1.0) for n in sizes])
