"""Tests that hosts learn where streams begin and how their numbers go up."""

import random

import pytest

from hollyknot_coordination.forwarding import StreamPlaces, TryNumbers
from hollyknot_coordination.forwarding.streams._stream_places import MIN_STREAMS


def numbers(first: int, step: int, after: int | None = None) -> TryNumbers:
    """Returns the numbers of ten even events."""
    return TryNumbers(after, first, first + 8 * step, 10)


def furthest(
    places: StreamPlaces, after: int | None, *, has_no_gaps: bool = False
) -> int | None:
    """Returns what is expected of a service's streams."""
    return places.furthest("s", "v", after, has_no_gaps=has_no_gaps)


class TestStreamPlaces:
    """What is expected of the first event of a try."""

    @pytest.mark.parametrize(("first", "step"), [(0, 1), (1, 1), (5, 5)])
    def test_knows_even_streams(self, first: int, step: int) -> None:
        places = StreamPlaces()
        for _ in range(MIN_STREAMS):
            assert furthest(places, None) is None
            places.note("s", "v", numbers(first, step))
        assert furthest(places, None) == first
        assert furthest(places, 20) == 20 + step
        assert places.furthest("s", "w", 20, has_no_gaps=False) is None

    def test_expects_nothing_of_events_that_hold_several_tokens(self) -> None:
        """Guards against sound streams that are refused as having gaps."""
        places, rng = StreamPlaces(), random.Random(1)
        for _ in range(500):
            first = rng.randint(1, 9)
            last = first + sum(rng.randint(1, 9) for _ in range(8))
            places.note("s", "v", TryNumbers(None, first, last, 10))
        assert furthest(places, None) is None
        assert furthest(places, 20, has_no_gaps=True) is None

    def test_a_service_may_change_its_steps(self) -> None:
        """Guards against a service that is refused for good."""
        places = StreamPlaces()
        for _ in range(500):
            places.note("s", "v", numbers(1, 1))
        changed = 0
        while (known := furthest(places, 20)) is not None and known < 25:
            places.note("s", "v", numbers(1, 5))
            changed += 1
        assert 1 < changed < 100

    def test_gaps_of_resumed_streams_teach_no_steps(self) -> None:
        """Guards against upstreams that leave events out until it passes."""
        places = StreamPlaces()
        for _ in range(MIN_STREAMS):
            places.note("s", "v", numbers(1, 1))
        for _ in range(500):
            places.note("s", "v", TryNumbers(20, 22, 23, 3))
        assert furthest(places, 20) == 21

    def test_believes_the_stream_itself_until_another_has_gaps(self) -> None:
        places = StreamPlaces()
        assert furthest(places, 20, has_no_gaps=True) == 21
        places.note("s", "v", TryNumbers(None, 1, 12, 10))
        assert furthest(places, 20, has_no_gaps=True) is None
