"""Tests of load shedding among the least urgent streams."""

import random

import pytest

from hollyknot_coordination.forwarding import (
    Admission,
    Loads,
    Shed,
    Shedding,
    TooSlow,
)
from hollyknot_coordination.forwarding.refusals._shedding import ADMITTED_SHARE
from hollyknot_coordination.forwarding.tests._builders import upstream

POOL = [upstream(name) for name in ("a", "b", "c", "d", "e")]
SLOTS = sum(entry.slots for entry in POOL)
LEAST_URGENT = 6
TRIES = 1000


def _loads(urgent: int, least_urgent: int) -> Loads:
    """Returns loads with these numbers of requests, evenly distributed."""
    loads = Loads()
    for index in range(urgent):
        loads.begin(POOL[index % len(POOL)].incarnation, 100, 0)
    for index in range(least_urgent):
        loads.begin(POOL[index % len(POOL)].incarnation, 9000, LEAST_URGENT)
    return loads


def _refused(loads: Loads) -> int:
    """Returns how many of 1,000 of the least urgent streams are refused."""
    shedding = Shedding(loads, random.Random(1))
    return sum(
        isinstance(shedding.decide(POOL, LEAST_URGENT, 0.0), Shed)
        for _ in range(TRIES)
    )


class TestShedding:
    """Refusals by the number of requests in flight in 40 slots."""

    @pytest.mark.parametrize(
        ("urgent", "least_urgent"),
        [
            (0, 0),
            (0, 23),
            (20, 3),
            # Urgent requests alone fill all slots, so shedding does not help.
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
        """Guards against refused requests at engines with time to spare.

        Short prompts with long answers use two thirds of the slots of engines
        with few slots, and no prompt waits. Busy slots alone do not mean that
        prefill is behind.
        """
        assert _refused(_loads(20, 4)) == 0
        assert _refused(_loads(26, 3)) == 0
        assert _refused(_loads(26, 4)) > TRIES / 2

    @pytest.mark.parametrize(
        ("urgent", "least_urgent"), [(0, 24), (20, 6), (40, 1), (40, 60)]
    )
    def test_refuses_most_but_not_all(
        self, urgent: int, least_urgent: int
    ) -> None:
        """Guards against a burst in which most streams miss their targets.

        If all requests were admitted, long prompts would arrive faster than the
        engines prefill them beside the running streams. These would take three
        times as long, so that more run at once and urgent ones preempt others.
        """
        admitted = TRIES - _refused(_loads(urgent, least_urgent))
        expected = ADMITTED_SHARE * TRIES
        assert 0.7 * expected < admitted < 1.3 * expected

    @pytest.mark.parametrize("least_urgent", [0, 1, 60])
    def test_none_is_admitted_while_more_urgent_requests_wait_for_slots(
        self, least_urgent: int
    ) -> None:
        """Guards against urgent requests that expire while others begin."""
        assert _refused(_loads(60, least_urgent)) == TRIES

    def test_a_queue_at_one_upstream_counts_beside_free_slots(self) -> None:
        """Guards against streams that begin at one engine of an uneven few."""
        loads = _loads(30, 0)
        for _ in range(6):
            loads.begin(POOL[0].incarnation, 100, LEAST_URGENT - 1)
        assert _refused(loads) == TRIES

    def test_a_queue_of_the_least_urgent_refuses_not_all(self) -> None:
        loads = _loads(30, 0)
        for _ in range(6):
            loads.begin(POOL[0].incarnation, 9000, LEAST_URGENT)
        assert 0 < _refused(loads) < TRIES

    def test_refusal_names_requests_in_flight_and_slots(self) -> None:
        shedding = Shedding(_loads(30, 10), random.Random(1))
        found = {shedding.decide(POOL, LEAST_URGENT, 0.0) for _ in range(50)}
        assert found == {Admission.ADMITTED, Shed(40, SLOTS)}

    def test_service_without_upstreams_refuses_none(self) -> None:
        """A request without upstreams is refused elsewhere, not shed."""
        shedding = Shedding(_loads(30, 10), random.Random(1))
        found = {shedding.decide([], LEAST_URGENT, 0.0) for _ in range(50)}
        assert found == {Admission.ADMITTED}


class TestWeighing:
    """Refusals that depend on who sends the request."""

    @pytest.mark.parametrize(
        ("least_urgent", "share"), [(10, 0.0), (40, 1 - ADMITTED_SHARE)]
    )
    def test_weighing_gets_the_share_that_is_refused(
        self, least_urgent: int, share: float
    ) -> None:
        shares: list[float] = []

        def weigh(refused: float) -> float:
            shares.append(refused)
            return 0.0

        shedding = Shedding(_loads(0, least_urgent), random.Random(1))
        found = shedding.decide(POOL, LEAST_URGENT, 0.0, weigh)
        assert (found, shares) == (Admission.ADMITTED, [share])

    def test_a_share_of_a_customer_admits_none_before_more_urgent_ones(
        self,
    ) -> None:
        shares: list[float] = []

        def weigh(refused: float) -> float:
            shares.append(refused)
            return 0.0

        shedding = Shedding(_loads(60, 1), random.Random(1))
        found = shedding.decide(POOL, LEAST_URGENT, 0.0, weigh)
        assert (found, shares) == (Shed(61, SLOTS), [1 - ADMITTED_SHARE])

    def test_owed_refusals_are_drawn_while_there_is_room(self) -> None:
        shedding = Shedding(_loads(0, 10), random.Random(1))
        refused = sum(
            isinstance(
                shedding.decide(POOL, LEAST_URGENT, 0.0, lambda _: 0.5), Shed
            )
            for _ in range(TRIES)
        )
        assert 0.45 * TRIES < refused < 0.55 * TRIES

    def test_unweighed_requests_are_drawn_as_by_the_admitted_share(
        self,
    ) -> None:
        """Guards against other decisions where customers make no difference."""
        shedding = Shedding(_loads(0, 40), random.Random(1))
        draws = random.Random(1)
        for _ in range(TRIES):
            found = shedding.decide(POOL, LEAST_URGENT, 0.0)
            is_admitted = draws.random() < ADMITTED_SHARE
            assert (found is Admission.ADMITTED) == is_admitted


class TestSheddingByTime:
    """Refusals of answers that would probably time out."""

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
