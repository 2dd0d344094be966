"""The operators' page names what the code has."""

import pathlib
import re

from hollyknot_ctl._main import cli
from hollyknot_state import Outcome, Reason

_PAGE = pathlib.Path(__file__).parents[5] / "docs" / "OPERATORS.md"


class TestOperatorsPage:
    """docs/OPERATORS.md."""

    def test_tells_every_reason_and_verdict(self) -> None:
        named = set(re.findall(r"`([a-z-]+)`", _PAGE.read_text("utf-8")))
        unanswered = {Reason.NONE.value, Reason.CALLER_GONE.value}
        reasons = {reason.value for reason in Reason} - unanswered
        assert reasons | {outcome.value for outcome in Outcome} <= named

    def test_names_only_commands_that_there_are(self) -> None:
        used = re.findall(r"hollyknotctl ([a-z-]+)", _PAGE.read_text("utf-8"))
        assert used
        assert set(used) <= set(cli.commands)
