"""Tests of what peers say of tries in the headers of their answers."""

import pytest
from multidict import CIMultiDict

from hollyknot_gateway._relay_messages import read_peer_headers
from hollyknot_state import Outcome, Reason


class TestVerdicts:
    """Verdicts of tries that a peer could not complete."""

    def _read(self, outcome: str, reason: str, retry_after: str) -> Outcome:
        verdict = read_peer_headers(
            CIMultiDict(
                {
                    "Hollyknot-Outcome": outcome,
                    "Hollyknot-Reason": reason,
                    "Retry-After": retry_after,
                }
            )
        ).verdict
        assert verdict is not None
        return verdict.outcome

    @pytest.mark.parametrize(
        ("outcome", "reason", "retry_after"),
        [
            ("complete", "none", "0"),
            ("not-run", "no-reason", "0"),
            ("not-run", Reason.NO_UPSTREAM.value, "nan"),
            ("not-run", Reason.NO_UPSTREAM.value, "inf"),
            ("not-run", Reason.NO_UPSTREAM.value, "-1"),
            ("not-run, answered", Reason.NO_UPSTREAM.value, "0"),
        ],
    )
    def test_garbled_ones_prove_nothing(
        self, outcome: str, reason: str, retry_after: str
    ) -> None:
        """Guards against requests that run twice, and against endless waits."""
        found = self._read(outcome, reason, retry_after)
        assert found is Outcome.MAY_HAVE_RUN

    def test_sound_ones_are_read(self) -> None:
        found = self._read("not-run", Reason.NO_UPSTREAM.value, "0.5")
        assert found is Outcome.NOT_RUN
