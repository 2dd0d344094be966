"""Fair queueing between the customers of one tier of one pool.

Start-time fair queueing: each customer has a tag that rises by the expected
cost of what is admitted for it, and the waiting customer with the least tag is
next. A customer that comes back after a pause starts at the present virtual
time: what it used while nobody else wanted the capacity isn't held against it.
An operation costs O(log customers), whatever the number that waits.
"""

import collections
import heapq
import itertools

import attrs

from hollyknot_state import RequestInfo

_MIN_COST_S = 1e-3
"""The least that an admission counts, so that each one raises the tag."""


@attrs.define(eq=False)
class Flow:
    """A customer's requests in one tier of one pool.

    Attributes:
        customer: Its name.
        finish_tag: The virtual time at which its last admission is used up.
        debt_s: By how much its ended requests cost more than was expected.
        entries: All that wait, in the order of arrival.
        input_size: Bytes of their input.
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
    """A request in the queue or on a slot.

    Attributes:
        request: The request.
        flow: Its customer's flow.
        cost_s: Its expected service time.
        latest_start_s: When it must have started to meet its target.
        is_late: Whether it was found to have missed that.
    """

    request: RequestInfo
    flow: Flow
    cost_s: float
    latest_start_s: float
    is_late: bool = False


@attrs.define
class VirtualClock:
    """The virtual time that the queues of a tier share.

    Attributes:
        now: The start tag of the last admission.
    """

    now: float = 0.0

    def charge(self, entry: Entry) -> None:
        """Raises a flow's tag by an admission's cost and earlier debt."""
        flow = entry.flow
        self.now = max(self.now, flow.finish_tag)
        due_s = entry.cost_s + flow.debt_s
        cost_s = max(_MIN_COST_S, due_s)
        flow.debt_s = due_s - cost_s
        flow.finish_tag = self.now + cost_s


class FairQueue:
    """Requests of several customers, served fairly."""

    def __init__(self, clock: VirtualClock) -> None:
        """Makes an empty queue.

        Args:
            clock: Shared by the queues between which customers must be fair.
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
        """The expected service time of all that waits."""
        return self._backlog_s

    @property
    def oldest(self) -> Entry | None:
        """What has waited longest."""
        return next(iter(self._order.values()), None)

    def push(self, entry: Entry) -> None:
        """Appends a request to its customer's."""
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
        """Takes a request out, wherever it stands."""
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
        """Returns the request whose turn it is."""
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
        """Returns the most service time that goes before a new request.

        Each customer gets at most as much as this one until its turn, so that
        a customer that crowds the queue doesn't lengthen another's wait.
        """
        own = self._by_customer.get(customer)
        turns = len(own) + 1 if own else 1
        fair_s = turns * cost_s * (self._active + (not own))
        return min(self._backlog_s, fair_s)
