"""Tests the retry budget, alone and summed over hosts that share no state."""

import math
import random
from collections import deque
from collections.abc import Callable

import attrs
import pytest

from hollyknot_coordination.forwarding import HostCount, RetryBudget
from hollyknot_coordination.forwarding.peers._host_count import PEAK_RETENTION_S
from hollyknot_state.routes import Bounds

BOUNDS = Bounds(retry_share=0.2, retry_window_s=10.0, retry_slack=206.0)
SERVICE = "s"
DATA_CENTRES = 3
STEP_S = 0.5

MIN_USED_FRACTION = 0.6
"""Fraction of the allowed retries that has to be usable if all hosts know each
other, so that callers get their second try."""


def _alone(bounds: Bounds) -> RetryBudget:
    size = HostCount(-math.inf, is_alone=True)
    return RetryBudget(bounds, size, random.Random(1))


def _spend_all(started_s: float) -> int:
    """Returns how often a lone host may retry its only request."""
    size = HostCount(started_s, is_alone=True)
    budget = RetryBudget(BOUNDS, size, random.Random(1))
    budget.on_first_try(SERVICE, 0.0)
    spent = 0
    while budget.remaining(SERVICE, 0.0) >= 1.0:
        budget.spend(SERVICE, 0.0)
        spent += 1
    return spent


@attrs.define
class _Host:
    """A simulated host.

    Attributes:
        size: Its count of the hosts.
        budget: Its retry budget.
        paused_until_s: Time until which it is suspended, in seconds.
    """

    size: HostCount
    budget: RetryBudget
    paused_until_s: float = 0.0


@attrs.define
class _Fleet:
    """Simulated hosts that retry each failed request once if they may.

    Attributes:
        count: Number of hosts.
        rng: Source of all random choices.
        hosts: The hosts.
        requests: Time of each step, and the requests sent in it.
        retries: Time of each step, and the retries sent in it.
    """

    count: int
    rng: random.Random
    hosts: list[_Host] = attrs.Factory(list)
    requests: deque[tuple[float, int]] = attrs.Factory(deque)
    retries: deque[tuple[float, int]] = attrs.Factory(deque)

    def start(self, now_s: float) -> _Host:
        """Returns a host that has just started."""
        size = HostCount(now_s, is_alone=False, data_centres=DATA_CENTRES)
        return _Host(size, RetryBudget(BOUNDS, size, self.rng))

    def step(self, now_s: float, a_second: float) -> tuple[float, float]:
        """Sends the requests of one step, all of which fail.

        Returns:
            The retries in the window that ends now, as a fraction of those
            allowed, and as a fraction of those allowed or of the requests,
            whichever is less.
        """
        wanted = a_second * STEP_S
        count = int(wanted) + (self.rng.random() < wanted % 1)
        sent = 0
        for host in self.rng.choices(self.hosts, k=count):
            if now_s < host.paused_until_s:
                continue
            host.budget.on_first_try(SERVICE, now_s)
            if host.budget.remaining(SERVICE, now_s) >= 1.0:
                host.budget.spend(SERVICE, now_s)
                sent += 1
        self.requests.append((now_s, count))
        self.retries.append((now_s, sent))
        window_s = BOUNDS.retry_window_s
        asked = max(
            _sum(self.requests, now_s - back * window_s)
            for back in (0.0, 0.5, 1.0)
        )
        allowed = BOUNDS.retry_share * asked + BOUNDS.retry_slack
        spent = _sum(self.retries, now_s)
        wanted_now = max(1, _sum(self.requests, now_s))
        return spent / allowed, spent / min(allowed, wanted_now)


def _sum(counts: deque[tuple[float, int]], until_s: float) -> int:
    since_s = until_s - BOUNDS.retry_window_s
    return sum(n for at_s, n in counts if since_s < at_s <= until_s)


State = Callable[[_Fleet, float], None]


def _all_hear_all(fleet: _Fleet, now_s: float) -> None:
    for host in fleet.hosts:
        host.size.set(
            fleet.count, fleet.count, now_s, _by_data_centre(fleet.count)
        )


def _none_hears_another(fleet: _Fleet, now_s: float) -> None:
    for host in fleet.hosts:
        host.size.set(1, 1, now_s, (1,))


def _data_centres_partitioned(fleet: _Fleet, now_s: float) -> None:
    near = fleet.count // DATA_CENTRES
    for host in fleet.hosts:
        host.size.set(near, near, now_s, (near,))


def _restarted_again_and_again(fleet: _Fleet, now_s: float) -> None:
    """Restarts all hosts every seven seconds; each then finds its peers."""
    since_s = now_s % 7.0
    if since_s == 0.0:
        fleet.hosts = [fleet.start(now_s) for _ in fleet.hosts]
    for host in fleet.hosts:
        heard = 1 + round((fleet.count - 1) * fleet.rng.random() * since_s / 7)
        host.size.set(heard, heard, now_s, _by_data_centre(heard))


def _paused_and_resumed(fleet: _Fleet, now_s: float) -> None:
    """Suspends most hosts for a while; then they know no peers."""
    if now_s % 20.0 == 0.0:
        for host in fleet.rng.sample(fleet.hosts, round(fleet.count * 0.8)):
            host.paused_until_s = now_s + 5.0
    for host in fleet.hosts:
        if now_s >= host.paused_until_s:
            is_back = now_s < host.paused_until_s + 2.0
            heard = 1 if is_back and now_s > 0.0 else fleet.count
            host.size.set(heard, heard, now_s, _by_data_centre(heard))


def _alone_for_long(fleet: _Fleet, now_s: float) -> None:
    """Isolates all hosts until the peak expires; then each finds a few."""
    is_apart = now_s < PEAK_RETENTION_S + 5.0
    heard = 1 if is_apart else min(3, fleet.count)
    for host in fleet.hosts:
        host.size.set(heard, heard, now_s, _by_data_centre(heard))


def _by_data_centre(count: int) -> tuple[int, ...]:
    parts = (count // 3, (count + 1) // 3, (count + 2) // 3)
    return tuple(filter(None, parts))


def _busiest(
    count: int, state: State, a_second: float, seconds: float
) -> tuple[float, float]:
    """Returns the largest and last fractions that the steps returned.

    The first is the largest fraction of the allowed retries that was sent in
    any window; the second is that of the last window, by the allowed retries
    or the requests, whichever were less.
    """
    fleet = _Fleet(count, random.Random(count))
    fleet.hosts = [fleet.start(-30.0) for _ in range(count)]
    busiest = used = 0.0
    for step in range(int(seconds / STEP_S)):
        state(fleet, step * STEP_S)
        part, used = fleet.step(step * STEP_S, a_second)
        busiest = max(busiest, part)
    return busiest, used


SIZES = (8, 83, 300, 2500)
RATES = (5.0, 40.0, 353.0, 2000.0)
"""Requests per second of all hosts together. Few requests test the slack, many
test the share."""

RATES_OF_A_HOST = (1.1, 4.3, 12.0)
"""Requests per second of one host to a service: a small service and the engines
of the larger deployments, and a busier host."""


class TestSumOverHosts:
    """The retries of all hosts together, by what each host knows."""

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize(
        "state",
        [
            _all_hear_all,
            _none_hears_another,
            _data_centres_partitioned,
            _restarted_again_and_again,
            _paused_and_resumed,
        ],
    )
    def test_is_never_more_than_allowed(self, count: int, state: State) -> None:
        """Hosts that know few others each use the slack of all hosts."""
        for a_second in RATES:
            busiest, _ = _busiest(count, state, a_second, 42.0)
            assert busiest <= 1.0, a_second

    @pytest.mark.parametrize("count", SIZES)
    def test_is_never_more_after_a_long_partition(self, count: int) -> None:
        """Too many retries, as long isolated hosts count only themselves."""
        busiest, _ = _busiest(
            count, _alone_for_long, RATES[1], PEAK_RETENTION_S + 10.0
        )
        assert busiest <= 1.0

    @pytest.mark.parametrize("count", SIZES)
    def test_most_of_the_budget_is_usable_where_all_hear_all(
        self, count: int
    ) -> None:
        """Callers get no retry since each host's allowance is below one."""
        for of_a_host in RATES_OF_A_HOST:
            _, used = _busiest(count, _all_hear_all, count * of_a_host, 30.0)
            assert used >= MIN_USED_FRACTION, of_a_host


class TestRetryBudget:
    """The retry budget of one host."""

    def test_the_window_slides(self) -> None:
        budget = _alone(Bounds(retry_share=0.5, retry_slack=0.0))
        for _ in range(10):
            budget.on_first_try(SERVICE, 0.0)
        assert budget.account(SERVICE, 9.0).allowed == 4.0
        assert budget.account(SERVICE, 10.1).allowed == 0.0

    def test_a_host_spends_what_it_is_allowed(self) -> None:
        budget = _alone(Bounds(retry_share=0.5, retry_slack=0.0))
        for _ in range(10):
            budget.on_first_try(SERVICE, 0.0)
        spent = 0
        while budget.remaining(SERVICE, 0.0) >= 1.0:
            budget.spend(SERVICE, 0.0)
            spent += 1
        assert spent == budget.account(SERVICE, 0.0).spent == 4

    def test_lone_host_may_retry_right_after_its_start(self) -> None:
        """A lone host can't retry its first requests for lack of peers."""
        spent = [_spend_all(started_s) for started_s in (-60.0, 0.0)]
        assert spent[1] >= 1
        # The process before the restart and the new one share a window.
        assert sum(spent) <= BOUNDS.retry_slack + BOUNDS.retry_share

    def test_services_have_separate_budgets(self) -> None:
        budget = _alone(Bounds(retry_share=0.5))
        for _ in range(10):
            budget.on_first_try(SERVICE, 0.0)
        assert budget.account("other", 0.0).allowed == 0.0
