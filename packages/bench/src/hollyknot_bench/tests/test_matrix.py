"""Tests of the fault matrix."""

import subprocess
import sys

import pytest

from hollyknot_bench._matrix_cells import FAULTS, NOT_APPLICABLE, STEPS
from hollyknot_bench.matrix import Proof, State, render


def _proof(**fields: object) -> Proof:
    given = {"fault": FAULTS[0], "step": STEPS[4], "rule": "r", "test": "a::b"}
    return Proof(**(given | fields))  # type: ignore[arg-type]


class TestPage:
    """Tests of the committed page and of its rendering."""

    def test_committed_page_is_the_generated_one(self) -> None:
        command = [sys.executable, "-m", "hollyknot_bench.matrix", "--check"]
        found = subprocess.run(command, capture_output=True, check=False)
        assert found.returncode == 0, found.stdout + found.stderr

    @pytest.mark.parametrize(
        ("proof", "state"),
        [
            (_proof(), State.TESTED),
            (_proof(seen_failing="x"), State.PROVED),
            (_proof(seen_failing="x", is_known_red=True), State.FAILING),
        ],
    )
    def test_states(self, proof: Proof, state: State) -> None:
        assert proof.state is state
        assert f"1 {state.value}," in render([proof])

    def test_one_unproved_test_makes_a_cell_unproved(self) -> None:
        page = render([_proof(seen_failing="x"), _proof(test="a::c")])
        assert f"0 {State.PROVED.value}," in page

    @pytest.mark.parametrize("field", ["fault", "step"])
    def test_unknown_cells_are_refused(self, field: str) -> None:
        with pytest.raises(ValueError, match=field):
            _proof(**{field: "sunshine"})

    def test_cells_that_dont_apply_exist(self) -> None:
        for fault, step in NOT_APPLICABLE:
            assert fault in FAULTS
            assert step in STEPS
