"""Tests that the operators' page covers what the code has."""

import pathlib
import re

from hollyknot_ctl._main import cli
from hollyknot_state import Outcome, Reason

_PAGE = pathlib.Path(__file__).parents[5] / "docs" / "OPERATORS.md"


class TestOperatorsPage:
    """The page docs/OPERATORS.md."""

    def test_names_every_reason_and_outcome(self) -> None:
        named = set(re.findall(r"`([a-z-]+)`", _PAGE.read_text("utf-8")))
        unanswered = {Reason.NONE.value, Reason.CALLER_GONE.value}
        reasons = {reason.value for reason in Reason} - unanswered
        assert reasons | {outcome.value for outcome in Outcome} <= named

    def test_names_only_existing_commands(self) -> None:
        used = re.findall(r"hollyknotctl ([a-z-]+)", _PAGE.read_text("utf-8"))
        assert used
        assert set(used) <= set(cli.commands)
