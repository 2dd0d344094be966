"""Tests of what peers say of tries in the headers of their answers."""

import pytest
from multidict import CIMultiDict

from hollyknot_gateway._relay_messages import read_peer_headers
from hollyknot_state import Outcome


@pytest.mark.parametrize(
    ("outcome", "reason", "retry_after", "wanted"),
    [
        ("complete", "none", "0", Outcome.MAY_HAVE_RUN),
        ("not-run", "no-reason", "0", Outcome.MAY_HAVE_RUN),
        ("not-run", "no-upstream", "nan", Outcome.MAY_HAVE_RUN),
        ("not-run", "no-upstream", "inf", Outcome.MAY_HAVE_RUN),
        ("not-run", "no-upstream", "-1", Outcome.MAY_HAVE_RUN),
        ("not-run, answered", "no-upstream", "0", Outcome.MAY_HAVE_RUN),
        ("not-run", "no-upstream", "0.5", Outcome.NOT_RUN),
    ],
)
def test_garbled_verdicts_prove_nothing(
    outcome: str, reason: str, retry_after: str, wanted: Outcome
) -> None:
    """Guards against requests that run twice, and against endless waits."""
    headers = CIMultiDict(
        {
            "Hollyknot-Outcome": outcome,
            "Hollyknot-Reason": reason,
            "Retry-After": retry_after,
        }
    )
    verdict = read_peer_headers(headers).verdict
    assert verdict is not None
    assert verdict.outcome is wanted
