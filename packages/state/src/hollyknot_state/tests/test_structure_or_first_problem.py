"""Tests of building a typed value up to its first problem."""

import enum
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollyknot_state import Problem, structure_or_first_problem
from hollyknot_state._validators import is_between


class _Kind(enum.Enum):
    ONE = "one"


@attrs.frozen
class _Part:
    weight: int = attrs.field(validator=is_between(1, 9))


@attrs.frozen
class _Value:
    name: str
    share: float
    kind: _Kind
    parts: tuple[_Part, ...] = ()
    more: dict[str, int] = attrs.Factory(dict)
    limit: int | None = None


_GOOD: dict[str, Any] = {"name": "a", "share": 1, "kind": "one"}

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


class TestStructureOrFirstProblem:
    """Untrusted values are built or refused, and never raise."""

    def test_valid_value_is_built(self) -> None:
        parts = [{"weight": 2}, {"weight": 3, "other": 1}]
        found = structure_or_first_problem(
            {**_GOOD, "parts": parts, "more": {"x": 1}, "new": []}, _Value
        )
        assert found == _Value(
            "a", 1.0, _Kind.ONE, (_Part(2), _Part(3)), {"x": 1}
        )

    @pytest.mark.parametrize(
        ("change", "path", "problem"),
        [
            ({"name": 5}, "name", "5 is not a string"),
            ({"share": True}, "share", "true is not a number"),
            ({"kind": "two"}, "kind", '"two" is unknown'),
            ({"limit": "1"}, "limit", '"1" is not an integer'),
            ({"parts": {}}, "parts", "an object is not an array"),
            ({"parts": [{"weight": 1}, 7]}, "parts[1]", "7 is not an object"),
            ({"parts": [{}]}, "parts[0].weight", "is missing"),
            (
                {"parts": [{"weight": 0}]},
                "parts[0].weight",
                "0 is out of range",
            ),
            ({"more": {"x": 1.5}}, "more.x", "1.5 is not an integer"),
        ],
    )
    def test_first_problem_is_returned_with_its_path(
        self, change: dict[str, Any], path: str, problem: str
    ) -> None:
        found = structure_or_first_problem({**_GOOD, **change}, _Value)
        assert isinstance(found, Problem)
        assert (found.path, found.problem) == (path, problem)
        assert found.remedy

    def test_missing_field_is_reported(self) -> None:
        found = structure_or_first_problem({"name": "a", "share": 1}, _Value)
        assert isinstance(found, Problem)
        assert (found.path, found.problem) == ("kind", "is missing")

    @given(_JSON)
    def test_arbitrary_json_never_raises(self, value: Any) -> None:
        assert isinstance(structure_or_first_problem(value, _Value), Problem)

    @given(st.sampled_from(sorted(_GOOD)), _JSON)
    def test_arbitrary_field_value_never_raises(
        self, name: str, value: Any
    ) -> None:
        structure_or_first_problem({**_GOOD, name: value}, _Value)
