"""Tests of the list of known failures, which CI skips."""

import importlib.util
import pathlib

import attrs
import pytest

_ROOT = pathlib.Path(__file__).parents[5]
_SPEC = importlib.util.spec_from_file_location("known", _ROOT / "conftest.py")
assert _SPEC is not None
assert _SPEC.loader is not None
_MODULE = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(_MODULE)


class TestReadKnownRed:
    """The list is short, and each line has all its fields."""

    def test_reads_lines(self) -> None:
        found = _MODULE.read_known_red("a::b | run it | fails | issue 2\n\n")
        assert [attrs.astuple(red) for red in found] == [
            ("a::b", "run it", "fails", "issue 2")
        ]

    @pytest.mark.parametrize(
        "text",
        ["a::b", "a::b | c | d", "a::b | c | | e", "a | b | c | d\n" * 4],
    )
    def test_refuses_malformed_or_too_many_lines(self, text: str) -> None:
        with pytest.raises(pytest.UsageError):
            _MODULE.read_known_red(text)
