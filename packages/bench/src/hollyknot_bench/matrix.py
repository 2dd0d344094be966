"""Writes docs/FAULT_MATRIX.md from the markers of the tests (`make matrix`).

A test names its cell by `@pytest.mark.fault(fault=..., step=..., rule=...)`.
`seen_failing="..."` says which change to the code made the test fail; a cell
counts as proved only if all its tests state it.
"""

import enum
import pathlib
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator

import attrs
import click
import pytest

from hollyknot_bench._matrix_cells import FAULTS, NOT_APPLICABLE, STEPS

_ROOT = pathlib.Path(__file__).parents[4]
_PAGE = _ROOT / "docs" / "FAULT_MATRIX.md"
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_MARKER = "fault"
_COLLECT = ("--collect-only", "-qq", "--no-summary")


class State(enum.Enum):
    """Test coverage of a cell."""

    PROVED = "proved"
    TESTED = "tested, not seen failing"
    FAILING = "failing"
    NOT_APPLICABLE = "n/a"
    NOT_DONE = "not done"


@attrs.frozen
class Proof:
    """A test that covers a cell.

    Attributes:
        fault: Fault that the test causes, the row of the cell.
        step: Step of a request's life, the column of the cell.
        rule: Rule that the fault could break.
        test: Node id of the test, without its parameters.
        seen_failing: Change to the code that made the test fail; empty if the
            test was never seen failing.
        is_known_red: Whether KNOWN-RED.txt lists the test as failing.
    """

    fault: str = attrs.field(validator=attrs.validators.in_(FAULTS))
    step: str = attrs.field(validator=attrs.validators.in_(STEPS))
    rule: str
    test: str
    seen_failing: str = ""
    is_known_red: bool = False

    @property
    def state(self) -> State:
        """State that this test alone gives its cell."""
        if self.is_known_red:
            return State.FAILING
        return State.PROVED if self.seen_failing else State.TESTED


class _Collector:
    """Pytest plugin that collects the `fault` markers of all tests."""

    def __init__(self, known_red: frozenset[str]) -> None:
        self._known_red = known_red
        self.proofs: dict[tuple[str, str, str], Proof] = {}

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        """Records the markers of a test, before any test is deselected."""
        test = item.nodeid.partition("[")[0]
        for mark in item.iter_markers(_MARKER):
            is_known_red = item.nodeid in self._known_red
            found = Proof(test=test, is_known_red=is_known_red, **mark.kwargs)
            key = (test, found.fault, found.step)
            if key not in self.proofs or is_known_red:
                self.proofs[key] = found


def collect() -> list[Proof]:
    """Collects the proofs of all tests, in the order of rows and columns.

    Raises:
        click.ClickException: Pytest could not collect the tests.
    """
    collector = _Collector(_known_red())
    code = pytest.main(
        [*_COLLECT, f"--rootdir={_ROOT}", str(_ROOT / "packages")],
        plugins=[collector],
    )
    if code is not pytest.ExitCode.OK:
        raise click.ClickException(
            f"pytest could not collect the tests: {code};"
            " run 'pytest --collect-only packages' to see why"
        )
    return sorted(
        collector.proofs.values(),
        key=lambda p: (FAULTS.index(p.fault), STEPS.index(p.step), p.test),
    )


def _known_red() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text().splitlines()
    return frozenset(line.partition("|")[0].strip() for line in lines)


def render(proofs: Iterable[Proof]) -> str:
    """Returns the page as Markdown text."""
    cells: dict[tuple[str, str], list[Proof]] = defaultdict(list)
    for proof in proofs:
        cells[proof.fault, proof.step].append(proof)
    lines = [
        "# The fault matrix",
        "",
        "Made by `make matrix` from the markers of the tests; don't edit it.",
        "**Proved**: a test passes that was seen failing on broken code.",
        "**Tested**: a test passes that was not seen failing. **Failing**: its",
        "test is listed in `KNOWN-RED.txt`. **n/a**: the fault has nothing to",
        "act on, for the reason given below. **Not done**: no test.",
        "",
        *_counts(cells),
        *_grid(cells),
        *_proofs(cells),
        *_reasons(cells),
    ]
    return "\n".join(lines) + "\n"


def _state(
    cell: tuple[str, str], cells: dict[tuple[str, str], list[Proof]]
) -> State:
    """Returns the state of a cell, which is the worst among its tests."""
    found = {proof.state for proof in cells.get(cell, [])}
    for state in (State.FAILING, State.TESTED, State.PROVED):
        if state in found:
            return state
    if cell in NOT_APPLICABLE:
        return State.NOT_APPLICABLE
    return State.NOT_DONE


def _counts(cells: dict[tuple[str, str], list[Proof]]) -> Iterator[str]:
    all_states = [_state((f, s), cells) for f in FAULTS for s in STEPS]
    texts = [f"{all_states.count(state)} {state.value}" for state in State]
    yield f"{len(all_states)} cells: {', '.join(texts)}."
    yield ""


def _grid(cells: dict[tuple[str, str], list[Proof]]) -> Iterator[str]:
    yield "| fault | " + " | ".join(STEPS) + " |"
    yield "| --- |" + " --- |" * len(STEPS)
    for fault in FAULTS:
        states = [_state((fault, step), cells) for step in STEPS]
        texts = [state.value.partition(",")[0] for state in states]
        yield f"| {fault} | " + " | ".join(texts) + " |"
    yield ""


def _proofs(cells: dict[tuple[str, str], list[Proof]]) -> Iterator[str]:
    yield "## Tests"
    yield ""
    yield "| fault, step | rule that could break | test | state |"
    yield "| --- | --- | --- | --- |"
    for (fault, step), proofs in cells.items():
        for proof in proofs:
            state = proof.state.value
            if proof.seen_failing:
                state += f"; failed when {proof.seen_failing}"
            path, _, name = proof.test.partition("::")
            place = f"`{name}` in `{pathlib.Path(path).name}`"
            yield f"| {fault}, {step} | {proof.rule} | {place} | {state} |"
    yield ""


def _reasons(cells: dict[tuple[str, str], list[Proof]]) -> Iterator[str]:
    reasons: dict[tuple[str, str], list[str]] = defaultdict(list)
    for (fault, step), reason in NOT_APPLICABLE.items():
        if (fault, step) not in cells:
            reasons[fault, reason].append(step)
    yield "## Cells that don't apply"
    yield ""
    yield "| fault | steps | reason |"
    yield "| --- | --- | --- |"
    for fault, reason in sorted(reasons, key=lambda k: FAULTS.index(k[0])):
        steps = ", ".join(sorted(reasons[fault, reason], key=STEPS.index))
        yield f"| {fault} | {steps} | {reason} |"


@click.command()
@click.option("--check", is_flag=True, help="Only compare the page.")
def main(check: bool) -> None:
    """Writes the page; with --check exits 1 if the page is out of date."""
    page = render(collect())
    if not check:
        _PAGE.write_text(page)
    elif not _PAGE.exists() or _PAGE.read_text() != page:
        click.echo(f"{_PAGE}: is out of date; run 'make matrix'", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
