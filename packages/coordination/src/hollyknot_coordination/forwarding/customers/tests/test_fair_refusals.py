"""Tests how refusals are divided between customers."""

import pytest

from hollyknot_coordination.forwarding.customers import fair_refusals
from hollyknot_coordination.forwarding.refusals._shedding import ADMITTED_SHARE

CROWD = 10
WORK = dict.fromkeys(range(CROWD), 1000.0) | {CROWD: 10_000.0}
USUAL = 0
UNKNOWN = 99


def _admitted(shed_share: float) -> dict[int, float]:
    """Returns what each customer gets in the mean."""
    found = fair_refusals(WORK, 0.0, shed_share)
    assert found is not None
    return {
        customer: work * (1.0 - shed_share * found.multiplier(customer))
        for customer, work in WORK.items()
    }


class TestFairRefusals:
    """Ten equal customers, and one that offers ten times as much."""

    @pytest.mark.parametrize("shed_share", [0.05, 0.3, 0.45, 0.6, 0.9])
    def test_total_refused_stays_the_same(self, shed_share: float) -> None:
        admitted = sum(_admitted(shed_share).values())
        assert admitted == pytest.approx((1 - shed_share) * 20_000, rel=0.001)

    def test_usual_customers_lose_nothing_while_there_is_room(self) -> None:
        """Guards against customers that pay for the crowd of another one."""
        admitted = _admitted(0.4)
        assert admitted[USUAL] == pytest.approx(1000.0)
        assert admitted[CROWD] == pytest.approx(2000.0, rel=0.001)

    def test_all_get_as_much_if_room_is_shorter(self) -> None:
        admitted = _admitted(0.67)
        assert admitted[USUAL] == pytest.approx(600.0, rel=0.001)
        assert admitted[CROWD] == pytest.approx(600.0, rel=0.001)

    def test_no_customer_is_refused_entirely(self) -> None:
        """Guards against a customer that starves while others are served."""
        least = ADMITTED_SHARE / 2 * WORK[CROWD]
        assert _admitted(0.9)[CROWD] >= 0.999 * least

    def test_customers_that_are_not_named_share_the_rest(self) -> None:
        found = fair_refusals({1: 1000.0, CROWD: 10_000.0}, 9000.0, 0.4)
        assert found is not None
        assert found.multiplier(UNKNOWN) == 0.0
        assert found.over_share(UNKNOWN) < 1.0 < found.over_share(CROWD)

    @pytest.mark.parametrize(
        ("work", "rest"),
        [
            ({}, 0.0),
            ({}, 900.0),
            ({1: 900.0}, 0.0),
            ({1: 900.0, 2: 1000.0, 3: 2000.0}, 500.0),
        ],
    )
    def test_refusals_are_alike_without_a_crowd(
        self, work: dict[int, float], rest: float
    ) -> None:
        assert fair_refusals(work, rest, 0.4) is None
