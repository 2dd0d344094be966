"""Admits, queues and refuses the requests of one host."""

import itertools
import math
import random

from hollyknot_coordination.admission._commands import (
    AdmissionCommand,
    Admit,
    Refuse,
)
from hollyknot_coordination.admission._estimates import (
    EstimateError,
    ServiceEstimator,
)
from hollyknot_coordination.admission._fair import Entry
from hollyknot_coordination.admission._options import (
    RESERVE_ERRORS,
    AdmissionOptions,
)
from hollyknot_coordination.admission._pool import PoolQueue
from hollyknot_coordination.admission._queue_bound import QueueBound
from hollyknot_coordination.admission._retry_schedule import RetrySchedule
from hollyknot_state import (
    TIERS,
    Outcome,
    Reason,
    RequestInfo,
    TargetKind,
    TierPressure,
    Verdict,
)

_MS_PER_S = 1000


class AdmissionQueue:
    """The requests of one host that wait for a slot or hold one.

    The owner calls `offer` for each request, `on_capacity` after that and
    whenever a slot becomes free, and finally either `on_finished` or `withdraw`
    for the request.
    """

    def __init__(self, options: AdmissionOptions, rng: random.Random) -> None:
        """Builds an empty queue.

        Args:
            options: Sizes and times of the queue.
            rng: Source of the jitter of retry times.
        """
        self._options = options
        self._rng = rng
        self._queue_bound = QueueBound(options)
        self._estimator = ServiceEstimator(options.max_estimated_customers)
        self._pools: dict[str, PoolQueue] = {}
        self._retry_schedules: dict[tuple[str, int], RetrySchedule] = {}
        self._waiting: dict[str, Entry] = {}
        self._in_flight: dict[str, Entry] = {}
        self._now_s = 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def estimate_error(self) -> EstimateError:
        """The error of the expected service times since the start."""
        return self._estimator.measured_error

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Queues a request, or refuses it or another one at once.

        Args:
            request: A request whose ID was not offered before.
            now_s: Current time in seconds.

        Returns:
            The refusals, if any. Admissions are returned by `on_capacity`.

        Raises:
            ValueError: A request with this ID is waiting or running already.
        """
        self._now_s = now_s
        self._check_new(request)
        pool = self._pool(request.pool)
        tier = pool.tier(request.tier)
        tier.expire(now_s)
        estimate = self._estimator.expect(request)
        reserve_s = estimate.mean_s + RESERVE_ERRORS * estimate.error_s
        latest_s = _latest_start_s(request, reserve_s)
        wait_s = pool.predicted_wait_s(request, estimate.mean_s, latest_s)
        if wait_s > 0 and now_s + wait_s > latest_s:
            return (self._refuse_unreachable(request, wait_s, now_s),)
        flow = tier.flow(request.customer)
        entry = Entry(request, flow, estimate.mean_s, latest_s)
        self._waiting[request.request_id] = entry
        tier.push(entry)
        self._queue_bound.add(entry)
        return self._shed_excess(now_s)

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits the requests that may start on a pool's free slots.

        Args:
            pool: Name of the pool.
            free_slots: Total number of requests that the pool's upstreams can
                take now.
            now_s: Current time in seconds.
        """
        self._now_s = now_s
        queue = self._pool(pool)
        queue.set_free_slots(free_slots)
        return self._admit_some(queue, now_s)

    def withdraw(self, request_id: str, now_s: float) -> None:
        """Removes a waiting or admitted request that needs no answer."""
        self._now_s = now_s
        entry = self._waiting.get(request_id)
        if entry is not None:
            self._remove(entry)
            return
        entry = self._in_flight.pop(request_id, None)
        if entry is not None:
            self._pool(entry.request.pool).release()

    def on_finished(
        self,
        request_id: str,
        service_time_s: float,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Frees the slot of a request that has ended and updates estimates.

        Args:
            request_id: ID of the request. An unknown ID is ignored, since the
                caller may have disconnected just before.
            service_time_s: Seconds for which the request held its slot.
            output_tokens: Number of tokens of the answer.
            now_s: Current time in seconds.
        """
        # Other requests wait for the time on the slot, which includes the time
        # of the output tokens; counting the tokens too would count it twice.
        del output_tokens
        self._now_s = now_s
        entry = self._in_flight.pop(request_id, None)
        if entry is None:
            return
        self._pool(entry.request.pool).release()
        entry.flow.debt_s += service_time_s - entry.cost_s
        self._estimator.observe(entry.request, service_time_s, entry.cost_s)

    def on_peer_pressure(
        self, pressures: tuple[TierPressure, ...], now_s: float
    ) -> None:
        """Records the pressure that hosts of the data centre report."""
        self._now_s = now_s
        for pressure in pressures:
            at_s = now_s - pressure.age_ms / _MS_PER_S
            self._pool(pressure.pool).record_peer_pressure(pressure.tier, at_s)

    def local_pressure(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns where this host lacks capacity or recently lacked it."""
        self._now_s = now_s
        pressed: list[TierPressure] = []
        for name, tier in itertools.product(self._pools, TIERS):
            age_s = self._pools[name].pressure_age_s(tier, now_s)
            if age_s < self._options.pressure_ttl_s:
                age_ms = int(age_s * _MS_PER_S)
                pressed.append(TierPressure(name, tier, age_ms))
        return tuple(pressed)

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Admits requests that have become due, on slots offered earlier."""
        self._now_s = now_s
        admitted: list[AdmissionCommand] = []
        for pool in self._pools.values():
            admitted.extend(self._admit_some(pool, now_s))
        return tuple(admitted)

    def next_deadline(self) -> float:
        """Returns the time of the next `tick` that is needed, or infinity."""
        pools = self._pools.values()
        due_s = (pool.next_due_s(self._now_s) for pool in pools)
        return min(due_s, default=math.inf)

    def _check_new(self, request: RequestInfo) -> None:
        request_id = request.request_id
        if request_id in self._waiting or request_id in self._in_flight:
            raise ValueError(
                f"request {request_id} was offered before and has not ended:"
                " withdraw it first, or give the new request its own ID"
            )

    def _pool(self, name: str) -> PoolQueue:
        pool = self._pools.get(name)
        if pool is None:
            pool = PoolQueue(self._options, self._queue_bound.mark_late)
            self._pools[name] = pool
        return pool

    def _admit_some(
        self, pool: PoolQueue, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        admitted: list[AdmissionCommand] = []
        while pool.free_slots > 0:
            entry = pool.next_entry(now_s)
            if entry is None:
                break
            request_id = entry.request.request_id
            pool.admit(entry, now_s)
            self._queue_bound.remove(entry)
            del self._waiting[request_id]
            self._in_flight[request_id] = entry
            admitted.append(Admit(request_id))
        return tuple(admitted)

    def _shed_excess(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        refused: list[AdmissionCommand] = []
        while self._queue_bound.is_exceeded:
            entry = self._queue_bound.victim()
            self._remove(entry)
            refused.append(self._refuse_shed(entry, now_s))
        return tuple(refused)

    def _remove(self, entry: Entry) -> None:
        request = entry.request
        self._pool(request.pool).tier(request.tier).remove(entry)
        self._queue_bound.remove(entry)
        del self._waiting[request.request_id]

    def _refuse_unreachable(
        self, request: RequestInfo, wait_s: float, now_s: float
    ) -> Refuse:
        detail = (
            f"the wait would be {wait_s:.1f} s, longer than the target of"
            f" class {request.request_class} allows"
        )
        reason = Reason.TARGET_UNREACHABLE
        return self._refuse(request, reason, detail, wait_s, now_s)

    def _refuse_shed(self, entry: Entry, now_s: float) -> Refuse:
        request = entry.request
        pool = self._pool(request.pool)
        wait_s = pool.predicted_wait_s(request, entry.cost_s, math.inf)
        detail = f"too many requests of tier {request.tier} or above wait"
        return self._refuse(request, Reason.SHED, detail, wait_s, now_s)

    def _refuse(
        self,
        request: RequestInfo,
        reason: Reason,
        detail: str,
        wait_s: float,
        now_s: float,
    ) -> Refuse:
        pool = self._pool(request.pool)
        pool.record_local_pressure(request.tier, now_s)
        key = (request.pool, request.tier)
        schedule = self._retry_schedules.get(key)
        if schedule is None:
            schedule = RetrySchedule(self._options, self._rng)
            self._retry_schedules[key] = schedule
        cost_s = self._estimator.expect(request).mean_s
        step_s = cost_s / max(1, pool.in_flight)
        after_s = schedule.retry_after_s(wait_s, step_s, now_s)
        verdict = Verdict(Outcome.NOT_RUN, reason, detail, after_s)
        return Refuse(request.request_id, verdict)


def _latest_start_s(request: RequestInfo, reserve_s: float) -> float:
    """Returns the latest time at which a request can start and be on time.

    The budget of a whole answer includes its own service time, so `reserve_s`
    of it must remain at the start. At most half of the budget is reserved. With
    more, a class whose answers were long for a while would be late on arrival
    and never start on time again, so that its estimate, which causes this,
    would never be corrected.

    Args:
        request: The request.
        reserve_s: Seconds that a whole answer is expected to take at most.
    """
    if request.budget_s <= 0:
        return math.inf
    deadline_s = request.arrived_s + request.budget_s
    if request.target_kind is not TargetKind.WHOLE_ANSWER:
        return deadline_s
    return deadline_s - min(reserve_s, request.budget_s / 2)
