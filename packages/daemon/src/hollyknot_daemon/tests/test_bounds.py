"""Tests of bounds that two layers must keep to together."""

import itertools

import pytest

from hollyknot_coordination.routing import timeouts
from hollyknot_state import Nature, Target
from hollyknot_transport import IDLE_CONNECTION_S

_TARGETS = (
    Target(first_token_ms=1, between_tokens_ms=1),
    Target(first_token_ms=1100, between_tokens_ms=68),
    Target(whole_answer_ms=1),
)


class TestSilentConnections:
    """Kept connections of which something between has forgotten all."""

    @pytest.mark.parametrize(
        ("target", "nature"), list(itertools.product(_TARGETS, Nature))
    )
    def test_idle_connections_expire_before_silence_is_noticed(
        self, target: Target, nature: Nature
    ) -> None:
        """Symptom: request after request waits, each on a dead connection.

        Sequence: all kept connections to an upstream go silent; a request on
        one ends as silent; the next is sent on another of them. Cause: they
        were kept for longer than it takes to notice the first.
        """
        bounds = timeouts(target, nature)
        noticed_s = min(bounds.first_byte_s, bounds.between_bytes_s)
        assert noticed_s > IDLE_CONNECTION_S
