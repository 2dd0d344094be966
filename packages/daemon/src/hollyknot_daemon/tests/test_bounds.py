"""Tests of limits that are set in one layer and relied on in another."""

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
    """Idle connections whose state a device on the way has dropped."""

    @pytest.mark.parametrize(
        ("target", "nature"), list(itertools.product(_TARGETS, Nature))
    )
    def test_idle_connections_expire_before_silence_is_noticed(
        self, target: Target, nature: Nature
    ) -> None:
        """Idle connections are closed sooner than a request notices silence.

        All idle connections to an upstream go silent. If they were kept for
        longer than it takes to notice the first, request after request would
        time out on another of them.
        """
        bounds = timeouts(target, nature)
        noticed_s = min(bounds.first_byte_s, bounds.between_bytes_s)
        assert noticed_s > IDLE_CONNECTION_S
