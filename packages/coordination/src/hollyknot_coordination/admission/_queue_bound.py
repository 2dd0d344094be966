"""The bound on what waits in a host, by count and by bytes of input.

Each tier has a small room of its own; what a tier has beyond it shares one
bound, and the lowest tier with any beyond its room gives way first. The rooms
keep some work of each tier at hand for its floor: without them a host full of
tier 1 would refuse every request of tier 3 as it came, so that its floor would
never find one to admit. They take nothing from a higher tier, which could not
have used them were there no lower tier at all.
"""

import collections

import attrs

from hollyknot_coordination.admission._fair import Entry, Flow
from hollyknot_coordination.admission._options import AdmissionOptions
from hollyknot_state import TIERS


@attrs.define
class _TierUsage:
    count: int = 0
    input_size: int = 0
    late: "collections.OrderedDict[str, Entry]" = attrs.field(
        factory=collections.OrderedDict
    )
    by_units: "dict[int, dict[Flow, None]]" = attrs.field(factory=dict)
    max_units: int = 0


class QueueBound:
    """What waits, by tier, and who has to give way."""

    def __init__(self, options: AdmissionOptions) -> None:
        """Makes an empty room."""
        self._options = options
        self._tiers = {tier: _TierUsage() for tier in TIERS}
        self._units: dict[Flow, int] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether more waits than the shared bound allows."""
        options = self._options
        tiers = self._tiers.values()
        count = sum(max(0, t.count - options.reserved_requests) for t in tiers)
        size = sum(max(0, t.input_size - options.reserved_bytes) for t in tiers)
        return count > options.max_waiting or size > options.max_waiting_bytes

    def add(self, entry: Entry) -> None:
        """Counts a request that its flow already holds."""
        usage = self._tiers[entry.request.tier]
        usage.count += 1
        usage.input_size += entry.request.input_size
        self._reindex(usage, entry.flow)

    def remove(self, entry: Entry) -> None:
        """Counts a request no more that its flow has let go."""
        usage = self._tiers[entry.request.tier]
        usage.count -= 1
        usage.input_size -= entry.request.input_size
        usage.late.pop(entry.request.request_id, None)
        self._reindex(usage, entry.flow)

    def mark_late(self, entry: Entry) -> None:
        """Notes that a request has missed its target."""
        usage = self._tiers[entry.request.tier]
        usage.late[entry.request.request_id] = entry

    def victim(self) -> Entry:
        """Returns the request that has to give way.

        It is of the lowest tier beyond its room. Within that tier it is the
        one that has been late longest, as it is worth least; with none late,
        the newest of the customer that fills most of the queue.
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
        raise AssertionError("victim() was called with is_over false")

    def _reindex(self, usage: _TierUsage, flow: Flow) -> None:
        """Files a flow under the share of the queue that it now fills."""
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
        """Returns the larger of a flow's shares of count and bytes."""
        options = self._options
        by_size = flow.input_size * options.max_waiting
        return max(len(flow.entries), by_size // options.max_waiting_bytes)
