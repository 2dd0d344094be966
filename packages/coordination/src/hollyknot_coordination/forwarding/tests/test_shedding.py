"""Tests of refusing the least urgent streams."""

import random

import pytest

from hollyknot_coordination.forwarding import (
    Admission,
    Loads,
    Shed,
    Shedding,
    TooSlow,
)
from hollyknot_coordination.forwarding._shedding import ADMITTED_SHARE
from hollyknot_coordination.forwarding.tests._builders import upstream

POOL = [upstream(name) for name in ("a", "b", "c", "d", "e")]
SLOTS = sum(entry.slots for entry in POOL)
LEAST_URGENT = 6
TRIES = 1000


def _loads(urgent: int, least_urgent: int) -> Loads:
    """Returns loads with so many requests in flight, evenly spread."""
    loads = Loads()
    for index in range(urgent):
        loads.begin(POOL[index % len(POOL)].incarnation, 100, 0)
    for index in range(least_urgent):
        loads.begin(POOL[index % len(POOL)].incarnation, 9000, LEAST_URGENT)
    return loads


def _refused(loads: Loads) -> int:
    """Returns how many of 1,000 streams are refused."""
    shedding = Shedding(loads, random.Random(1))
    return sum(
        isinstance(shedding.decide(POOL, LEAST_URGENT, 0.0), Shed)
        for _ in range(TRIES)
    )


class TestShedding:
    """What is refused, by what is in flight in 40 slots."""

    @pytest.mark.parametrize(
        ("urgent", "least_urgent"),
        [
            (0, 0),
            (0, 23),
            (20, 3),
            # Urgent ones alone fill all slots: refusing the others is no help.
            (40, 0),
        ],
    )
    def test_refuses_none_where_shedding_does_not_help(
        self, urgent: int, least_urgent: int
    ) -> None:
        assert _refused(_loads(urgent, least_urgent)) == 0

    def test_busy_slots_without_backlog_refuse_none(
        self,
    ) -> None:
        """Callers are turned away from engines that have time.

        Sequence: short prompts with long answers take two thirds of the slots
        of engines that have few; no prompt waits. Cause: slots taken were
        held for a sign that reading is behind, whatever waited.
        """
        assert _refused(_loads(20, 4)) == 0
        assert _refused(_loads(26, 3)) == 0
        assert _refused(_loads(26, 4)) > TRIES / 2

    @pytest.mark.parametrize(
        ("urgent", "least_urgent"), [(0, 24), (20, 6), (40, 1), (60, 60)]
    )
    def test_refuses_most_but_not_all(
        self, urgent: int, least_urgent: int
    ) -> None:
        """Most streams are late in a burst, and long ones time out.

        Sequence: long prompts come faster than the engines read them beside
        the streams that run; these take three times as long, more of them run
        at once, and urgent ones put others back. Cause: all were admitted.
        """
        admitted = TRIES - _refused(_loads(urgent, least_urgent))
        expected = ADMITTED_SHARE * TRIES
        assert 0.7 * expected < admitted < 1.3 * expected

    def test_refusal_names_requests_in_flight_and_slots(self) -> None:
        shedding = Shedding(_loads(30, 10), random.Random(1))
        found = {shedding.decide(POOL, LEAST_URGENT, 0.0) for _ in range(50)}
        assert found == {Admission.ADMITTED, Shed(40, SLOTS)}

    def test_service_without_upstreams_refuses_none(self) -> None:
        """A service without upstreams has an answer of its own."""
        shedding = Shedding(_loads(30, 10), random.Random(1))
        found = {shedding.decide([], LEAST_URGENT, 0.0) for _ in range(50)}
        assert found == {Admission.ADMITTED}


class TestSheddingByTime:
    """Answers that would hardly end in time."""

    @pytest.mark.parametrize(
        ("needed_s", "left_s", "least", "most"),
        [
            (0.1, 4.0, 0, 0),
            (2.3, 4.0, 0, 0),
            (3.6, 4.0, 420, 580),
            (9.0, 4.0, 850, 950),
            (1.0, 0.0, 850, 950),
        ],
    )
    def test_refused_share_grows_with_the_expected_duration(
        self, needed_s: float, left_s: float, least: int, most: int
    ) -> None:
        shedding = Shedding(Loads(), random.Random(1))
        refused = sum(
            isinstance(shedding.decide_by_time(needed_s, left_s), TooSlow)
            for _ in range(1000)
        )
        assert least <= refused <= most
