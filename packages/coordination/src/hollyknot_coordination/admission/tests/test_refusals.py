"""Tests which requests are refused, why, and when they should retry."""

import pytest

from hollyknot_coordination.admission import (
    AdmissionOptions,
    Admitted,
    Offered,
    PressureReceived,
    Refused,
    Rule,
    RunEvent,
    SlotsOffered,
    check_run,
    floor_gap,
)
from hollyknot_coordination.admission.tests._builders import (
    POOL,
    Host,
    build_request,
)
from hollyknot_state import Outcome, Reason, TierPressure, Verdict

_SMALL = AdmissionOptions(
    max_waiting=4,
    max_waiting_bytes=4000,
    reserved_requests=1,
    reserved_bytes=1000,
)


class TestBound:
    """Tests of the bound on waiting requests."""

    @pytest.mark.fault(
        fault="burst",
        step="accepted",
        rule="a higher tier is never shed to serve a lower one",
    )
    @pytest.mark.parametrize(
        ("offered", "refused"),
        [
            ((3, 3, 3, 3, 3), []),
            ((3, 3, 3, 3, 3, 3), [3]),
            ((3, 3, 3, 3, 3, 1), []),
            ((3, 3, 3, 3, 3, 1, 1), [3]),
            ((3, 2, 1, 1, 1, 1, 1, 1), [1]),
            ((3, 3, 2, 2, 1, 1, 1, 1), [3]),
            ((1, 1, 1, 1, 1, 3, 3), [3]),
            ((1, 1, 1, 1, 1, 2, 3, 2), [2]),
        ],
    )
    def test_lowest_tier_beyond_its_reserve_is_shed(
        self, offered: tuple[int, ...], refused: list[int]
    ) -> None:
        host = Host(_SMALL)
        for tier in offered:
            host.offer(build_request(tier, budget_s=0))
        assert [r.tier for r in host.refused] == refused
        assert host.queue.checker.violations == ()

    def test_bound_in_bytes_sheds_lowest_tier(self) -> None:
        host = Host(_SMALL)
        small = [host.offer(build_request(3, size=900)) for _ in range(2)]
        host.offer(build_request(1, size=4000))
        assert host.refused == []
        host.offer(build_request(2, "large", size=2000))
        assert host.refused == [small[1]]

    def test_largest_customer_is_shed(self) -> None:
        host = Host(_SMALL)
        for customer in "aaab":
            host.offer(build_request(customer=customer, budget_s=0))
        host.offer(build_request(customer="c", budget_s=0))
        host.offer(build_request(customer="c", budget_s=0))
        assert [r.customer for r in host.refused] == ["a"]

    def test_late_request_is_shed_first(self) -> None:
        """Late requests fill the queue under lasting overload.

        This happens if the newest request is shed, which is the only one that
        could still meet its target: all running requests are then late.
        """
        host = Host(_SMALL)
        late = [host.offer(build_request(budget_s=1)) for _ in range(5)]
        fresh = build_request(at_s=2.0, customer="b", budget_s=1)
        host.offer(fresh, 2.0)
        assert host.refused == [late[0]]


class TestUnreachableTarget:
    """Tests of refusals because the predicted wait is too long."""

    def _build_busy_host(self, service_s: float) -> Host:
        """Builds a host with ten running requests and known service times."""
        host = Host()
        for tier in (1, 3):
            for _ in range(20):
                host.offer(build_request(tier, budget_s=0))
                host.offer_slots(1)
                host.finish(service_s)
        for _ in range(10):
            host.offer(build_request(1, budget_s=0))
        host.offer_slots(10)
        return host

    @pytest.mark.parametrize(
        ("ahead", "budget_s", "is_refused"),
        [(19, 2.0, False), (21, 2.0, True), (21, 2.2, False), (99, 0, False)],
    )
    def test_refused_by_predicted_wait(
        self, ahead: int, budget_s: float, is_refused: bool
    ) -> None:
        host = self._build_busy_host(1.0)
        for _ in range(ahead):
            host.offer(build_request(1, budget_s=0))
        request = host.offer(build_request(1, budget_s=budget_s))
        assert (request in host.refused) is is_refused
        if is_refused:
            verdict = host.refusals[0].verdict
            assert verdict.outcome is Outcome.NOT_RUN
            assert verdict.reason is Reason.TARGET_UNREACHABLE
            assert verdict.retry_after_s >= 1.0

    def test_waiting_lower_tiers_cause_no_refusal(self) -> None:
        """A request of tier 1 is refused while only tier 3 waits.

        This happens if the predicted wait counts requests that don't go before
        the new one.
        """
        host = self._build_busy_host(1.0)
        for _ in range(500):
            host.offer(build_request(3, budget_s=0))
        host.offer(build_request(1, budget_s=0.1))
        assert host.refusals == []

    def test_burst_of_one_customer_gets_only_it_refused(self) -> None:
        host = self._build_busy_host(1.0)
        for _ in range(100):
            host.offer(build_request(customer="large", budget_s=5.0))
        other = host.offer(build_request(customer="other", budget_s=5.0))
        assert {r.customer for r in host.refused} == {"large"}
        assert other not in host.refused

    def test_estimate_recovers_after_long_answers(self) -> None:
        """A class is refused or late for ever after a few long answers.

        This happens if an estimate that exceeds the budget refuses all requests
        of the class, as only requests that run correct the estimate.
        """
        host = self._build_busy_host(500.0)
        host.finish(500.0)
        for _ in range(200):
            request = host.offer(build_request(1, budget_s=1.0))
            assert host.offer_slots(1) == [request]
            host.finish(0.1)
        assert host.refusals == []


class TestRetryAfter:
    """Tests that the retry times of refusals are spread."""

    def test_refused_callers_do_not_retry_together(self) -> None:
        """A burst repeats itself when its refused callers retry.

        This happens if all of them get about the same retry time, and shows as
        waves of refusals.
        """
        host = Host(_SMALL)
        for _ in range(20):
            host.offer(build_request(budget_s=0))
            host.offer_slots(1)
            host.finish(1.0)
        for _ in range(1000):
            host.offer(build_request(budget_s=0))
        times = [int(r.verdict.retry_after_s) for r in host.refusals]
        assert len(times) > 900
        assert max(times.count(t) for t in set(times)) < 50


def _offers(*tiers: int) -> list[RunEvent]:
    return [Offered(build_request(t, budget_s=0), 0.0) for t in tiers]


def _admit(events: list[RunEvent], *indices: int) -> list[RunEvent]:
    slots = SlotsOffered(POOL, len(indices), 0.0)
    ids = [e.request.request_id for e in events if isinstance(e, Offered)]
    return [*events, slots, *(Admitted(ids[i], 0.0) for i in indices)]


def _refuse(
    events: list[RunEvent],
    index: int,
    reason: Reason,
    at_s: float = 0.0,
    retry_s: float = 1.0,
) -> list[RunEvent]:
    ids = [e.request.request_id for e in events if isinstance(e, Offered)]
    verdict = Verdict(Outcome.NOT_RUN, reason, "", retry_s)
    return [*events, Refused(ids[index], verdict, at_s)]


_END = SlotsOffered(POOL, 0, 0.0)
_PEER_PRESSURE = PressureReceived((TierPressure(POOL, 1, 0),), 0.0)
_OVER_FLOOR_GAP = floor_gap(3) + 1


class TestPredicates:
    """Tests that each rule is reported for a run that breaks it."""

    @pytest.mark.parametrize(
        ("events", "broken"),
        [
            (_admit(_offers(1, 2, 3), 0, 1, 2), set()),
            (_admit(_offers(1), 0, 0), {Rule.ONE_ANSWER}),
            (_admit(_offers(1, 3, 3), 1, 2, 0), {Rule.TIER_ORDER}),
            (_admit(_offers(1, 3, 3), 1, 0, 2), set()),
            (
                _refuse(_offers(3, 3, 3, 1), 3, Reason.SHED),
                {Rule.NO_LOWER_KEPT},
            ),
            (_refuse(_offers(1, 3), 0, Reason.SHED), {Rule.NO_LOWER_KEPT}),
            (_refuse(_offers(3, 1), 0, Reason.SHED), set()),
            (
                _refuse(_offers(3, 1), 1, Reason.TARGET_UNREACHABLE),
                {Rule.HONEST_REFUSAL},
            ),
            (
                _refuse(_offers(1, 1), 0, Reason.TARGET_UNREACHABLE),
                {Rule.IMMEDIATE},
            ),
            (_refuse(_offers(1, 1), 1, Reason.SHED, 9.0), {Rule.IMMEDIATE}),
            (
                _admit(
                    _offers(3, *(1,) * _OVER_FLOOR_GAP),
                    *range(1, _OVER_FLOOR_GAP + 1),
                ),
                {Rule.FLOOR},
            ),
            (
                _admit(
                    _offers(3, *(1,) * _OVER_FLOOR_GAP),
                    *range(1, _OVER_FLOOR_GAP),
                ),
                set(),
            ),
            ([*_offers(1), SlotsOffered(POOL, 1, 0.0)], {Rule.WORK_CONSERVING}),
            (_offers(*(1,) * 6), {Rule.BOUNDED}),
            (_admit([*_offers(3, 3), _PEER_PRESSURE], 0, 1), set()),
            (
                _admit([*_offers(3, 3, 3), _PEER_PRESSURE], 0, 1, 2),
                {Rule.FLOOR_CAP},
            ),
            (
                [*_offers(1), Refused("r", Verdict(Outcome.FAILED), 0.0)],
                {Rule.ONE_ANSWER},
            ),
            (
                _refuse(_offers(1, 1), 1, Reason.SHED, 0.0, 0.0),
                {Rule.HONEST_REFUSAL},
            ),
        ],
    )
    def test_finds_broken_rule(
        self, events: list[RunEvent], broken: set[Rule]
    ) -> None:
        options = _SMALL
        if len(events) > 100:
            options = AdmissionOptions()
        found = check_run((*events, _END), options)
        assert {v.rule for v in found} == broken
