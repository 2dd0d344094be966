"""Tests that the reference pages agree with the types."""

import json
import pathlib

import attrs
import pytest

from hollyknot_ctl.reference import (
    DECLARATIONS_EXAMPLE,
    SETTINGS_EXAMPLE,
    render_pages,
)
from hollyknot_ctl.reference._types import describe_fields
from hollyknot_state import (
    Declarations,
    Settings,
    parse_declarations,
    parse_settings,
)

_FOLDER = pathlib.Path(__file__).parents[5] / "docs" / "reference"


class TestPages:
    """The committed reference pages."""

    @pytest.mark.parametrize("name", sorted(render_pages()))
    def test_committed_pages_are_up_to_date(self, name: str) -> None:
        committed = (_FOLDER / name).read_text(encoding="utf-8")
        assert committed == render_pages()[name], "run `make docs`"

    def test_examples_are_valid(self) -> None:
        declared = parse_declarations(json.dumps(DECLARATIONS_EXAMPLE), 1)
        settings = parse_settings(json.dumps(SETTINGS_EXAMPLE))
        assert isinstance(declared, Declarations)
        assert isinstance(settings, Settings)


class TestDescribe:
    """Descriptions of the fields of a class."""

    def test_undocumented_field_is_rejected(self) -> None:
        @attrs.frozen
        class Undocumented:
            """A class.

            Attributes:
                other: A name that is no field.
            """

            field: int

        with pytest.raises(KeyError, match="field"):
            list(describe_fields(Undocumented))
