"""Tests that hosts learn by which step the numbers of streams go up."""

import random

import pytest

from hollyknot_coordination.forwarding import StreamSteps, TryNumbers
from hollyknot_coordination.forwarding.streams._stream_steps import MIN_STREAMS


def furthest(steps: StreamSteps, *, has_no_gaps: bool = False) -> int | None:
    """Returns what is expected of a try that goes on after event 20."""
    return steps.furthest("s", "v", 20, has_no_gaps=has_no_gaps)


class TestStreamSteps:
    """What is expected of the first event of a try."""

    @pytest.mark.parametrize("step", [1, 5])
    def test_knows_even_streams(self, step: int) -> None:
        steps = StreamSteps()
        for _ in range(MIN_STREAMS):
            assert furthest(steps) is None
            steps.note("s", "v", step)
        assert furthest(steps) == 20 + step
        assert steps.furthest("s", "w", 20, has_no_gaps=False) is None

    @pytest.mark.parametrize("share", [0.005, 0.05, 0.5])
    def test_expects_nothing_once_events_held_several_tokens(
        self, share: float
    ) -> None:
        """Guards against sound streams that are refused as having gaps."""
        steps, rng = StreamSteps(), random.Random(1)
        for _ in range(1000):
            last = 1 + sum(1 + (rng.random() < share) for _ in range(10))
            steps.note("s", "v", TryNumbers(1, last, 12).step)
        assert furthest(steps, has_no_gaps=True) is None

    def test_believes_the_stream_itself_until_another_has_gaps(self) -> None:
        steps = StreamSteps()
        assert furthest(steps, has_no_gaps=True) == 21
        steps.note("s", "v", 1)
        assert furthest(steps, has_no_gaps=True) == 21
        steps.note("s", "v", None)
        assert furthest(steps, has_no_gaps=True) is None
