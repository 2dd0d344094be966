"""Orders the waiting requests of one tier of one pool.

Classes are ordered by the latest time at which their next request can start and
meet its target. Late requests, which have missed that time, wait in a queue of
their own. They go after the requests that are on time, except for a fixed share
of the admissions.
"""

from collections.abc import Callable

from hollyknot_coordination.admission._fair import (
    Entry,
    FairQueue,
    Flow,
    VirtualClock,
)
from hollyknot_coordination.admission._options import FULL_CREDIT, LATE_CREDIT
from hollyknot_state import RequestInfo

_SWEEP_MIN = 1024
"""Number of flows from which idle flows are searched for and dropped."""


class TierQueue:
    """The waiting requests of one tier of one pool."""

    def __init__(self, on_late: Callable[[Entry], None]) -> None:
        """Builds an empty queue.

        Args:
            on_late: Callback for each request that can no longer meet its
                target.
        """
        self._on_late = on_late
        self._clock = VirtualClock()
        self._classes: dict[str, FairQueue] = {}
        self._late = FairQueue(self._clock)
        self._late_credit = 0
        self._flows: dict[str, Flow] = {}
        self._sweep_at = _SWEEP_MIN
        self._count = 0

    def __len__(self) -> int:
        return self._count

    @property
    def backlog_s(self) -> float:
        """The expected service time of all waiting requests, in seconds."""
        on_time_s = sum(q.backlog_s for q in self._classes.values())
        return on_time_s + self._late.backlog_s

    @property
    def mean_cost_s(self) -> float:
        """The mean expected service time of a waiting request, in seconds."""
        return self.backlog_s / max(1, self._count)

    def flow(self, customer: str) -> Flow:
        """Returns a customer's flow, which is created if it doesn't exist."""
        flow = self._flows.get(customer)
        if flow is None:
            self._sweep()
            flow = Flow(customer)
            self._flows[customer] = flow
        return flow

    def push(self, entry: Entry) -> None:
        """Adds a request."""
        name = entry.request.request_class
        queue = self._classes.get(name)
        if queue is None:
            queue = FairQueue(self._clock)
            self._classes[name] = queue
        queue.push(entry)
        entry.flow.entries[entry.request.request_id] = entry
        entry.flow.input_size += entry.request.input_size
        self._count += 1

    def remove(self, entry: Entry) -> None:
        """Removes a request without admitting it."""
        self._queue_of(entry).remove(entry)
        del entry.flow.entries[entry.request.request_id]
        entry.flow.input_size -= entry.request.input_size
        self._count -= 1

    def admit(self, entry: Entry) -> None:
        """Removes a request and charges its customer for the admission."""
        if not len(self._late):
            self._late_credit = 0
        elif entry.is_late:
            self._late_credit = max(0, self._late_credit - FULL_CREDIT)
        else:
            earned = self._late_credit + LATE_CREDIT
            self._late_credit = min(FULL_CREDIT, earned)
        self._clock.charge(entry)
        self.remove(entry)

    def head(self, now_s: float) -> Entry | None:
        """Returns the request that is next, if any."""
        self.expire(now_s)
        on_time = self._on_time_head()
        while on_time is not None and on_time.latest_start_s < now_s:
            # If the budget of a class was shortened, late requests may wait
            # behind older ones that are on time; `expire` stops at the older.
            self._mark_late(self._queue_of(on_time), on_time)
            on_time = self._on_time_head()
        if on_time is not None and self._late_credit < FULL_CREDIT:
            return on_time
        return self._late.head() or on_time

    def expire(self, now_s: float) -> None:
        """Marks the requests that can no longer meet their target as late."""
        for queue in self._classes.values():
            oldest = queue.oldest
            while oldest is not None and oldest.latest_start_s < now_s:
                self._mark_late(queue, oldest)
                oldest = queue.oldest

    def ahead_s(
        self, request: RequestInfo, cost_s: float, by_s: float
    ) -> float:
        """Returns the seconds of service time ahead of a new request.

        Args:
            request: The request, not yet in the queue.
            cost_s: Expected service time of the request, in seconds.
            by_s: Time by which the request must start. Classes whose next
                request may start later than that don't go before it.
        """
        total_s = 0.0
        for name, queue in self._classes.items():
            head = queue.head()
            if head is None:
                continue
            if name == request.request_class or head.latest_start_s <= by_s:
                total_s += queue.ahead_s(request.customer, cost_s)
        if len(self._late):
            total_s *= FULL_CREDIT / (FULL_CREDIT - LATE_CREDIT)
        return total_s

    def is_pressed(self, now_s: float, fraction: float) -> bool:
        """Returns whether the tier is short of capacity here.

        It is if a request is late or has waited too long.

        Args:
            now_s: Current time in seconds.
            fraction: Fraction of its budget after which a request has waited
                too long.
        """
        if len(self._late):
            return True
        for queue in self._classes.values():
            oldest = queue.oldest
            if oldest is None or oldest.request.budget_s <= 0:
                continue
            waited_s = now_s - oldest.request.arrived_s
            if waited_s >= fraction * oldest.request.budget_s:
                return True
        return False

    def _queue_of(self, entry: Entry) -> FairQueue:
        if entry.is_late:
            return self._late
        return self._classes[entry.request.request_class]

    def _on_time_head(self) -> Entry | None:
        best: Entry | None = None
        for queue in self._classes.values():
            head = queue.head()
            if head is None:
                continue
            if best is None or head.latest_start_s < best.latest_start_s:
                best = head
        return best

    def _mark_late(self, queue: FairQueue, entry: Entry) -> None:
        queue.remove(entry)
        entry.is_late = True
        self._late.push(entry)
        self._on_late(entry)

    def _sweep(self) -> None:
        """Drops idle flows whose finish tag has passed.

        Otherwise a host would keep a flow for each customer that it ever saw,
        in each pool and tier, and its memory use would grow without bound. The
        next sweep waits until the number of flows has doubled, so that the
        cost per new flow stays constant.
        """
        if len(self._flows) < self._sweep_at:
            return
        now = self._clock.now
        self._flows = {
            c: f
            for c, f in self._flows.items()
            if f.entries or f.finish_tag > now
        }
        self._sweep_at = max(_SWEEP_MIN, 2 * len(self._flows))
