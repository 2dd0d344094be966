"""Bounds the requests that wait in a host, by number and by bytes of input.

Each tier has a small reserve. Requests beyond the reserves share one bound, and
the lowest tier that exceeds its reserve is shed first. The reserves keep some
requests of each tier for its floor: without them a host full of tier 1 would
refuse each request of tier 3 on arrival, so that the floor of tier 3 would
never find a request to admit. A reserve takes nothing from higher tiers, as it
is added to the shared bound.
"""

import collections

import attrs

from hollyknot_coordination.admission._fair import Entry, Flow
from hollyknot_coordination.admission._options import AdmissionOptions
from hollyknot_state import TIERS


@attrs.define
class _TierUsage:
    """The waiting requests of one tier.

    Attributes:
        count: Number of waiting requests.
        input_size: Total input of the waiting requests, in bytes.
        late: Late requests by ID, in the order in which they became late.
        by_units: Flows by the part of the queue that they fill, as returned by
            `_units_of`.
        max_units: Upper bound on the keys of `by_units` that have flows.
    """

    count: int = 0
    input_size: int = 0
    late: "collections.OrderedDict[str, Entry]" = attrs.field(
        factory=collections.OrderedDict
    )
    by_units: "dict[int, dict[Flow, None]]" = attrs.field(factory=dict)
    max_units: int = 0


class QueueBound:
    """Counts the waiting requests by tier and selects those to be shed."""

    def __init__(self, options: AdmissionOptions) -> None:
        """Builds a bound on an empty queue.

        Args:
            options: Sizes of the reserves and of the shared bound.
        """
        self._options = options
        self._tiers = {tier: _TierUsage() for tier in TIERS}
        self._units: dict[Flow, int] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether more requests wait than the shared bound allows."""
        options = self._options
        tiers = self._tiers.values()
        count = sum(max(0, t.count - options.reserved_requests) for t in tiers)
        size = sum(max(0, t.input_size - options.reserved_bytes) for t in tiers)
        return count > options.max_waiting or size > options.max_waiting_bytes

    def add(self, entry: Entry) -> None:
        """Counts a request that has been added to its flow."""
        usage = self._tiers[entry.request.tier]
        usage.count += 1
        usage.input_size += entry.request.input_size
        self._reindex(usage, entry.flow)

    def remove(self, entry: Entry) -> None:
        """Stops counting a request that has been removed from its flow."""
        usage = self._tiers[entry.request.tier]
        usage.count -= 1
        usage.input_size -= entry.request.input_size
        usage.late.pop(entry.request.request_id, None)
        self._reindex(usage, entry.flow)

    def mark_late(self, entry: Entry) -> None:
        """Records that a request can no longer meet its target."""
        usage = self._tiers[entry.request.tier]
        usage.late[entry.request.request_id] = entry

    def victim(self) -> Entry:
        """Returns the request to shed.

        The request belongs to the lowest tier that exceeds its reserve. Within
        that tier it is the one that has been late for longest, since its answer
        is of least use. If none is late, it is the newest request of the
        customer that fills most of the queue.
        """
        usage = self._lowest_beyond_room()
        if usage.late:
            return next(iter(usage.late.values()))
        while not usage.by_units.get(usage.max_units):
            usage.by_units.pop(usage.max_units, None)
            usage.max_units -= 1
        flow = next(iter(usage.by_units[usage.max_units]))
        return next(reversed(flow.entries.values()))

    def _lowest_beyond_room(self) -> _TierUsage:
        options = self._options
        for tier in reversed(TIERS):
            usage = self._tiers[tier]
            if usage.count > options.reserved_requests:
                return usage
            if usage.input_size > options.reserved_bytes:
                return usage
        raise AssertionError(
            "victim() was called though the bound is not exceeded"
        )

    def _reindex(self, usage: _TierUsage, flow: Flow) -> None:
        """Indexes a flow by the part of the queue that it fills now."""
        earlier = self._units.pop(flow, 0)
        if earlier:
            del usage.by_units[earlier][flow]
        units = self._units_of(flow)
        if units == 0:
            return
        self._units[flow] = units
        usage.by_units.setdefault(units, {})[flow] = None
        usage.max_units = max(usage.max_units, units)

    def _units_of(self, flow: Flow) -> int:
        """Returns the part of the queue that a flow fills, in requests.

        Its bytes count as the number of requests that fill the same fraction of
        the bound; the larger of both numbers is returned.
        """
        options = self._options
        by_size = flow.input_size * options.max_waiting
        return max(len(flow.entries), by_size // options.max_waiting_bytes)
