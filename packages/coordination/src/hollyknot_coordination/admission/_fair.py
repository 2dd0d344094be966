"""Shares the slots fairly between the customers of one tier of one pool.

The algorithm is start-time fair queueing. Each customer has a tag that rises by
the expected cost of each request admitted for it, and the waiting customer with
the lowest tag is next. A customer that returns after a pause starts at the
current virtual time, so that capacity which it used while nobody else wanted it
does not delay it later. An operation costs O(log customers), whatever the
number of waiting requests.
"""

import collections
import heapq
import itertools

import attrs

from hollyknot_state import RequestInfo

_MIN_COST_S = 1e-3
"""Minimum cost of an admission in seconds, so that each one raises the tag."""


@attrs.define(eq=False)
class Flow:
    """A customer's requests in one tier of one pool.

    Attributes:
        customer: Name of the customer.
        finish_tag: Virtual time at which the customer has used up the cost of
            its last admission.
        debt_s: Seconds that its ended requests took beyond their expected
            cost and that no admission has been charged for yet; negative if
            they took less.
        entries: Waiting requests by ID, in the order of arrival.
        input_size: Total input of the waiting requests, in bytes.
    """

    customer: str
    finish_tag: float = 0.0
    debt_s: float = 0.0
    entries: "collections.OrderedDict[str, Entry]" = attrs.field(
        factory=collections.OrderedDict
    )
    input_size: int = 0


@attrs.define(eq=False)
class Entry:
    """A request that waits in the queue or holds a slot.

    Attributes:
        request: The request.
        flow: Flow of its customer.
        cost_s: Expected service time in seconds.
        latest_start_s: Latest time at which it can start and meet its target.
        is_late: Whether the queue has found that this time has passed.
    """

    request: RequestInfo
    flow: Flow
    cost_s: float
    latest_start_s: float
    is_late: bool = False


@attrs.define
class VirtualClock:
    """The virtual time that the queues of one tier share.

    Attributes:
        now: Start tag of the last admission.
    """

    now: float = 0.0

    def charge(self, entry: Entry) -> None:
        """Raises a flow's tag by the cost of an admission and its debt."""
        flow = entry.flow
        self.now = max(self.now, flow.finish_tag)
        due_s = entry.cost_s + flow.debt_s
        cost_s = max(_MIN_COST_S, due_s)
        flow.debt_s = due_s - cost_s
        flow.finish_tag = self.now + cost_s


class FairQueue:
    """Waiting requests of several customers, served in fair order."""

    def __init__(self, clock: VirtualClock) -> None:
        """Builds an empty queue.

        Args:
            clock: Virtual clock, shared by all queues over which the shares of
                the customers are balanced.
        """
        self._clock = clock
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, str]] = []
        self._active = 0
        self._by_customer: dict[str, collections.OrderedDict[str, Entry]] = {}
        self._order: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._backlog_s = 0.0

    def __len__(self) -> int:
        return len(self._order)

    @property
    def backlog_s(self) -> float:
        """The expected service time of all waiting requests, in seconds."""
        return self._backlog_s

    @property
    def oldest(self) -> Entry | None:
        """The request that has waited longest, if any."""
        return next(iter(self._order.values()), None)

    def push(self, entry: Entry) -> None:
        """Appends a request to those of its customer."""
        flow = entry.flow
        own = self._by_customer.get(flow.customer)
        if own is None:
            own = collections.OrderedDict()
            self._by_customer[flow.customer] = own
            tag = max(self._clock.now, flow.finish_tag)
            item = (tag, next(self._sequence), flow.customer)
            heapq.heappush(self._heap, item)
        if not own:
            self._active += 1
        own[entry.request.request_id] = entry
        self._order[entry.request.request_id] = entry
        self._backlog_s += entry.cost_s

    def remove(self, entry: Entry) -> None:
        """Removes a request from any position."""
        request_id = entry.request.request_id
        own = self._by_customer[entry.flow.customer]
        del own[request_id]
        if not own:
            self._active -= 1
        del self._order[request_id]
        self._backlog_s -= entry.cost_s
        if not self._order:
            self._backlog_s = 0.0

    def head(self) -> Entry | None:
        """Returns the request that is next, if any."""
        while self._heap:
            tag, _, customer = self._heap[0]
            own = self._by_customer[customer]
            if not own:
                heapq.heappop(self._heap)
                del self._by_customer[customer]
                continue
            entry = next(iter(own.values()))
            if entry.flow.finish_tag <= tag:
                return entry
            item = (entry.flow.finish_tag, next(self._sequence), customer)
            heapq.heapreplace(self._heap, item)
        return None

    def ahead_s(self, customer: str, cost_s: float) -> float:
        """Returns an upper bound on the service time ahead of a new request.

        Until the request is next, each other customer is served at most as
        much as this one, so the burst of one customer doesn't lengthen the
        wait of another.

        Args:
            customer: Name of the customer that sends the request.
            cost_s: Expected service time of the request, in seconds.
        """
        own = self._by_customer.get(customer)
        turns = len(own) + 1 if own else 1
        fair_s = turns * cost_s * (self._active + (not own))
        return min(self._backlog_s, fair_s)
