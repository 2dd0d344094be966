"""Tests the order of admission by tier, customer, class and lateness."""

import collections

import pytest

from hollyknot_coordination.admission import floor_gap
from hollyknot_coordination.admission.tests._builders import (
    POOL,
    Host,
    build_request,
)
from hollyknot_state import RequestInfo, TargetKind, TierPressure


def _tiers(requests: list[RequestInfo]) -> list[int]:
    return [r.tier for r in requests]


class TestTiers:
    """Tests of the order of tiers and of their floors."""

    @pytest.mark.fault(
        fault="burst",
        step="queued",
        rule="a higher tier goes before a lower one",
    )
    def test_higher_tier_goes_first(self) -> None:
        host = Host()
        for tier in (3, 2, 1, 3, 2, 1):
            host.offer(build_request(tier))
        assert _tiers(host.offer_slots(4)) == [1, 1, 2, 2]

    @pytest.mark.fault(
        fault="burst",
        step="queued",
        rule="no class starves",
    )
    @pytest.mark.parametrize(
        ("tier", "high_s", "low_s", "every"),
        [
            (2, 1.0, 1.0, 10),
            (3, 1.0, 1.0, 20),
            (3, 1.0, 4.0, 80),
            (3, 1.0, 1000.0, 400),
            (2, 1.0, 1000.0, 200),
            (3, 30.0, 1.0, 20),
        ],
    )
    def test_floor_is_scaled_by_cost(
        self, tier: int, high_s: float, low_s: float, every: int
    ) -> None:
        """A lower tier starves, or its long requests take too many slots."""
        host = Host()
        for filled_tier, service_s in ((1, high_s), (tier, low_s)):
            for _ in range(30):
                host.offer(build_request(filled_tier, budget_s=0))
                host.offer_slots(1)
                host.finish(service_s)
        for _ in range(1000):
            host.offer(build_request(1, budget_s=0))
        host.offer(build_request(tier, budget_s=0))
        host.offer(build_request(tier, budget_s=0))
        admitted = _tiers(host.offer_slots(1002))
        first = admitted.index(tier)
        second = admitted.index(tier, first + 1)
        assert second - first == every + 1
        assert first <= floor_gap(tier)


class TestCustomers:
    """Tests of the shares of customers within a tier."""

    def test_burst_of_one_customer_does_not_delay_others(self) -> None:
        """The burst of one customer delays the few requests of others.

        This happens if all customers share one queue in the order of arrival.
        """
        host = Host()
        for customer, count in (("large", 1000), ("b", 50), ("c", 50)):
            for _ in range(count):
                host.offer(build_request(customer=customer, budget_s=0))
        counts = collections.Counter(r.customer for r in host.offer_slots(90))
        assert counts == {"large": 30, "b": 30, "c": 30}

    def test_past_use_does_not_delay_returning_customer(self) -> None:
        host = Host()
        for _ in range(100):
            host.offer(build_request(customer="early"))
            host.offer_slots(1)
        for customer in ("early", "other") * 10:
            host.offer(build_request(customer=customer))
        counts = collections.Counter(r.customer for r in host.offer_slots(10))
        assert counts == {"early": 5, "other": 5}

    def test_long_answers_count_for_more(self) -> None:
        host = Host()
        for customer, service_s in (("long", 3.0), ("short", 1.0)):
            for _ in range(200):
                host.offer(build_request(customer=customer, budget_s=0))
                host.offer_slots(1)
                host.finish(service_s)
        for customer in ("long", "short") * 100:
            host.offer(build_request(customer=customer, budget_s=0))
        counts = collections.Counter(r.customer for r in host.offer_slots(100))
        assert counts["short"] == pytest.approx(75, abs=3)

    def test_underestimated_cost_is_charged_later(self) -> None:
        """A new customer with long answers takes most of the slots' time.

        This happens if only the expected cost of a request is charged, and
        never the time that it used.
        """
        host = Host()
        for customer in ("long", "short") * 40:
            host.offer(build_request(customer=customer, budget_s=0))
        used = {"long": 0.0, "short": 0.0}
        for _ in range(22):
            (request,) = host.offer_slots(1)
            service_s = 9.0 if request.customer == "long" else 1.0
            used[request.customer] += service_s
            host.finish(service_s)
        assert abs(used["long"] - used["short"]) <= 9.0

    def test_returning_customer_gets_no_extra_share_after_sweep(self) -> None:
        """A returning customer is always served before the others.

        This happens if its idle flow is dropped while many other customers
        arrive, and the queue still reads the tag of the dropped flow, which no
        admission raises.
        """
        host = Host()
        back = host.offer(build_request(customer="back"))
        host.offer(build_request(customer="other"))
        host.queue.withdraw(back.request_id, 0.0)
        for index in range(2000):
            host.offer(build_request(customer=f"c{index}", budget_s=0.01))
        for customer in ("back", "other") * 20:
            host.offer(build_request(customer=customer, at_s=5.0), 5.0)
        counts = collections.Counter(
            r.customer for r in host.offer_slots(24, 5.0)
        )
        assert abs(counts["back"] - counts["other"]) <= 2


class TestClasses:
    """Tests of the order of classes by the time left to meet their target."""

    def test_least_slack_first(self) -> None:
        host = Host()
        for name, budget_s in (("night", 3600.0), ("desk", 5.0), ("kiosk", 2)):
            request = build_request(budget_s=budget_s, request_class=name)
            host.offer(request)
        names = [r.request_class for r in host.offer_slots(3)]
        assert names == ["kiosk", "desk", "night"]

    def test_start_of_whole_answer_leaves_time_for_service(self) -> None:
        host = Host()
        whole = {"request_class": "whole", "kind": TargetKind.WHOLE_ANSWER}
        for _ in range(20):
            host.offer(build_request(budget_s=10, **whole))  # type: ignore[arg-type]
            host.offer_slots(1)
            host.finish(3.0)
        host.offer(build_request(budget_s=9, request_class="token"))
        host.offer(build_request(budget_s=10, **whole))  # type: ignore[arg-type]
        assert [r.request_class for r in host.offer_slots(2)] == [
            "whole",
            "token",
        ]

    def test_class_that_once_ran_long_is_not_late_on_arrival(self) -> None:
        """A class of whole answers goes last for ever after long answers.

        This happens if the expected service time exceeds the budget: the latest
        start then lies before the arrival, and the estimate is never updated.
        """
        host = Host()
        whole = {"request_class": "whole", "kind": TargetKind.WHOLE_ANSWER}
        for _ in range(20):
            host.offer(build_request(budget_s=10, **whole))  # type: ignore[arg-type]
            host.offer_slots(1)
            host.finish(500.0)
        host.offer(build_request(budget_s=6, request_class="token"))
        host.offer(build_request(budget_s=10, **whole))  # type: ignore[arg-type]
        assert [r.request_class for r in host.offer_slots(2)] == [
            "whole",
            "token",
        ]


class TestLateWork:
    """Tests of requests that have missed their target."""

    def test_late_request_goes_after_on_time_requests(self) -> None:
        """Nearly all answers are late under overload.

        This happens if late requests start before new ones, which could still
        meet their target.
        """
        host = Host()
        late = [host.offer(build_request(budget_s=1)) for _ in range(20)]
        for _ in range(20):
            host.offer(build_request(at_s=5.0, budget_s=1), 5.0)
        started = host.offer_slots(18, 5.0)
        assert sum(r in late for r in started) == 2

    def test_late_request_goes_before_lower_tier(self) -> None:
        host = Host()
        host.offer(build_request(1, budget_s=1))
        host.offer(build_request(2, budget_s=60))
        assert _tiers(host.offer_slots(1, 5.0)) == [1]

    def test_late_request_behind_longer_budget_is_found(self) -> None:
        """A late request starts before one that is on time.

        This happens if only the oldest request of a class is checked: after an
        operator shortens the target of the class, late requests wait behind
        older ones with a longer budget.
        """
        host = Host()
        host.offer(build_request(customer="a", budget_s=600))
        host.offer_slots(1)
        host.offer(build_request(customer="a", budget_s=600))
        late = host.offer(build_request(customer="b", budget_s=1))
        fresh = build_request(customer="c", at_s=5.0, budget_s=1)
        host.offer(fresh, 5.0)
        assert host.offer_slots(3, 5.0)[-1] is late


class TestPressure:
    """Tests of the pressure that peers report and that this host reports."""

    def test_peer_pressure_of_tier_1_throttles_tier_3(self) -> None:
        """A host runs tier 3 while a peer sheds requests of tier 1.

        This happens if a host without waiting requests of tier 1 ignores the
        pressure that the peer reports.
        """
        host = Host()
        for _ in range(100):
            host.offer(build_request(3, budget_s=3600))
        pressure = (TierPressure(POOL, 1, 0),)
        for second in range(20):
            host.queue.on_peer_pressure(pressure, second)
            host.offer_slots(10, second)
        assert len(host.running) == 10
        assert len(host.offer_slots(30, 30.0)) == 30

    @pytest.mark.parametrize(
        ("tier", "age_ms", "after_s", "admitted"),
        [
            (2, 0, 0.0, 1),
            (2, 2900, 0.0, 1),
            (2, 3000, 0.0, 5),
            (2, 0, 3.0, 5),
            (1, 0, 0.0, 5),
        ],
    )
    def test_peer_pressure_expires(
        self, tier: int, age_ms: int, after_s: float, admitted: int
    ) -> None:
        host = Host()
        for _ in range(5):
            host.offer(build_request(tier, budget_s=0))
        pressure = (TierPressure(POOL, 1, age_ms),)
        host.queue.on_peer_pressure(pressure, 0.0)
        assert len(host.offer_slots(5, after_s)) == admitted

    def test_tick_admits_at_next_deadline(self) -> None:
        host = Host()
        host.queue.on_peer_pressure((TierPressure(POOL, 1, 0),), 0.0)
        for _ in range(5):
            host.offer(build_request(2, budget_s=0))
        assert len(host.offer_slots(4)) == 1
        assert host.queue.next_deadline() == pytest.approx(2.0)
        assert host.queue.tick(1.9) == ()
        assert len(host.queue.tick(2.0)) == 1
        assert host.queue.next_deadline() == pytest.approx(3.0)
        assert len(host.queue.tick(3.0)) == 2

    def test_next_deadline_is_the_first_signal_to_expire(self) -> None:
        """Tier 2 waits at free slots after the pressure of tier 1 has expired.

        This happens if the deadline is set to the expiry of the newest report,
        here that of tier 2, and not to the first expiry.
        """
        host = Host()
        ages = (TierPressure(POOL, 1, 2500), TierPressure(POOL, 2, 0))
        host.queue.on_peer_pressure(ages, 0.0)
        for _ in range(3):
            host.offer(build_request(2, budget_s=0))
        assert len(host.offer_slots(3)) == 1
        assert host.queue.next_deadline() == pytest.approx(0.5)

    @pytest.mark.parametrize(
        ("budget_s", "now_s", "is_pressed"),
        [(10, 4.9, False), (10, 5.0, True), (10, 99.0, True), (0, 99.0, False)],
    )
    def test_local_pressure_from_time_waited(
        self, budget_s: float, now_s: float, is_pressed: bool
    ) -> None:
        host = Host()
        host.offer(build_request(1, budget_s=budget_s))
        expected = (TierPressure(POOL, 1, 0),) if is_pressed else ()
        assert host.queue.local_pressure(now_s) == expected
