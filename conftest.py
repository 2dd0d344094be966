"""Passes over the tests that KNOWN-RED.txt lists, and prints them.

Each line is `test id | command and seed | what was seen | issue`. At most three
may stand there, and each must name a test that exists, so that the list can
neither grow nor go stale unseen.
"""

import pathlib

import attrs
import pytest

_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_MAX_LINES = 3


@attrs.frozen
class KnownRed:
    """A test that fails for a real fault.

    Attributes:
        test: Its id in pytest.
        command: How to run it, with its seed where it has one.
        seen: How it fails.
        issue: Where the fault is followed.
    """

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Reads the list.

    Raises:
        pytest.UsageError: A line has other than four parts, or there are more
            than three lines.
    """
    found = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(attrs.fields(KnownRed)) or not all(parts):
            raise pytest.UsageError(
                f"KNOWN-RED.txt: {line!r}: write"
                " 'test | command | seen | issue'"
            )
        found.append(KnownRed(*parts))
    if len(found) > _MAX_LINES:
        raise pytest.UsageError(f"KNOWN-RED.txt: at most {_MAX_LINES} lines")
    return tuple(found)


def _known_red() -> tuple[KnownRed, ...]:
    return read_known_red(_FILE.read_text()) if _FILE.exists() else ()


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Takes the listed tests out of the run."""
    listed = {red.test for red in _known_red()}
    deselected = [item for item in items if item.nodeid in listed]
    names = {item.nodeid for item in deselected}
    is_full_run = config.args in ([], ["packages", "platform"])
    if is_full_run and listed != names:
        missing = ", ".join(sorted(listed - names))
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {missing}")
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that were passed over."""
    for red in _known_red():
        terminalreporter.line(
            f"KNOWN RED, not run: {red.test}: {red.seen} ({red.issue})"
        )
