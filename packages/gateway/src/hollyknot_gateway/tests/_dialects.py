"""Builds dialects for the tests of answers."""

from typing import Any, cast

from hollyknot_gateway._ports import Dialect
from hollyknot_state.routes import AnswerTraits


def sealed_dialect(*, is_event_stream: bool) -> Dialect:
    """Returns a dialect that reads each answer as one with proof of origin."""
    traits = AnswerTraits(
        attempt_id="",
        is_refusal=False,
        is_other_upstream=False,
        is_sealed=True,
        is_event_stream=is_event_stream,
        keeps_s=0.0,
    )
    return Dialect(
        read_call=cast(Any, None),
        upstream_headers=cast(Any, None),
        read_answer=lambda *_: traits,
        attempt_header=b"",
    )
