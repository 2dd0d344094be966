"""Deselects the tests that KNOWN-RED.txt lists, and prints them.

Each line is `test id | command and seed | what was seen | issue`. There may be
at most three lines, and each must name an existing test, so that the list can
neither grow nor become outdated unnoticed.
"""

import pathlib

import attrs
import pytest

_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_MAX_LINES = 3


@attrs.frozen
class KnownRed:
    """A test that fails because of a known, real fault.

    Attributes:
        test: Identifier of the test in pytest.
        command: Command that runs the test, with its seed if it has one.
        seen: Description of the failure.
        issue: Issue that tracks the fault.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Parses the list of tests that are known to fail.

    Raises:
        pytest.UsageError: A line doesn't have four non-empty parts, or there
            are more than three lines.
    """
    found = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(attrs.fields(KnownRed)) or not all(parts):
            raise pytest.UsageError(
                f"KNOWN-RED.txt: {line!r} does not have four parts: write"
                " 'test | command | seen | issue'"
            )
        found.append(KnownRed(*parts))
    if len(found) > _MAX_LINES:
        raise pytest.UsageError(
            f"KNOWN-RED.txt has {len(found)} lines: keep to {_MAX_LINES}"
        )
    return tuple(found)


def _known_red() -> tuple[KnownRed, ...]:
    return read_known_red(_FILE.read_text()) if _FILE.exists() else ()


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects the listed tests."""
    listed = {red.test for red in _known_red()}
    deselected = [item for item in items if item.nodeid in listed]
    names = {item.nodeid for item in deselected}
    is_full_run = config.args in ([], ["packages", "platform"])
    if is_full_run and listed != names:
        missing = ", ".join(sorted(listed - names))
        raise pytest.UsageError(
            f"KNOWN-RED.txt lists tests that don't exist: {missing}; remove"
            " their lines"
        )
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that were deselected."""
    for red in _known_red():
        terminalreporter.line(
            f"KNOWN RED, not run: {red.test}: {red.seen} ({red.issue})"
        )
