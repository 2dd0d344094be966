"""Divides a service's upstreams into lanes for loose and for tight streams.

An engine prefills a long prompt in chunks, between steps of the streams that
run beside it. Each chunk takes as long as many tokens, so that the inter-token
gaps of those streams become longer than their callers accept. Each route has a
target for the inter-token gap. Streams that tolerate long gaps ("loose") get
upstreams of their own, and their long prompts go there with them; the others
("tight") share the rest.

Which routes are loose follows from the routes alone. How many upstreams the
loose lane gets follows from the prompt tokens that all hosts send, smoothed, so
that hosts that get each other's reports compute the same number and a burst
changes it. Each lane also gets the slots that its streams need: short prompts
with long answers need little prefill, and where engines have few slots they
would fill a lane that is sized by prefill alone and overflow to engines with
long prompts.
"""

from collections.abc import Mapping, Sequence

import attrs

from hollyknot_coordination.forwarding.placement._demand import Demand
from hollyknot_coordination.forwarding.placement._lane_shares import (
    LaneShares,
)
from hollyknot_state.routes import UpstreamEntry

SLOT_UTILISATION = 0.6
"""Mean share of a lane's slots in use above which it gets more upstreams: a
burst takes some slots at once, and a stream in the wrong lane misses its target
or makes others miss theirs."""

MIN_LOOSE_SHARE = 0.4
"""Least share of the upstreams that the loose lane keeps where slots are short.
The tight lane gets the rest, since tight streams miss their targets as soon as
they run beside loose ones."""

HYSTERESIS = 0.6
"""Change in the wanted number of upstreams, beyond rounding, below which a lane
keeps its size: at each change tight streams meet long prompts that still run,
and sessions are moved."""

_ROUNDING_ERROR = 0.5
"""Largest distance of a whole number of upstreams from the wanted number."""


@attrs.frozen
class LaneSize:
    """How a service's upstreams are divided.

    Attributes:
        loose: Number of upstreams in the loose lane.
        count: Number of upstreams in both lanes.
        is_told: Whether another host sized the lanes.
    """

    loose: int
    count: int
    is_told: bool


class Lanes:
    """Assigns the upstreams of each service to the two lanes."""

    def __init__(self, demand: Demand, shares: LaneShares) -> None:
        """Builds lanes.

        Args:
            demand: Demand by which this host sizes them.
            shares: Sizes that other hosts have computed.
        """
        self._demand = demand
        self._shares = shares
        self._loose_count: dict[str, int] = {}
        self._sizes: dict[str, LaneSize] = {}
        self._entries: dict[str, Sequence[UpstreamEntry]] = {}

    @property
    def sizes(self) -> Mapping[str, LaneSize]:
        """Sizes in use by service."""
        return self._sizes

    def refresh(self, now_s: float) -> None:
        """Sizes the lanes again, as a sizer without requests has to do too."""
        if not self._demand.is_sampled(now_s):
            return
        for service, entries in self._entries.items():
            self._size(service, entries, now_s)

    def of(
        self,
        service: str,
        entries: Sequence[UpstreamEntry],
        now_s: float,
        *,
        is_loose: bool,
    ) -> Sequence[UpstreamEntry]:
        """Returns the upstreams of one lane.

        A single upstream belongs to both lanes.

        Args:
            service: Name of the service.
            entries: Upstreams of the service, in an order that all hosts share.
            now_s: Current time in seconds.
            is_loose: Whether to return the loose lane or the tight one.
        """
        count = len(entries)
        if count == 1:
            return entries
        self._entries[service] = entries
        loose = self._size(service, entries, now_s).loose
        return entries[:loose] if is_loose else entries[loose:]

    def _size(
        self, service: str, entries: Sequence[UpstreamEntry], now_s: float
    ) -> LaneSize:
        count = len(entries)
        can_size = self._demand.is_sampled(now_s)
        share = self._shares.from_others(service, now_s, can_size=can_size)
        if share is None:
            loose = self._own_size(service, entries, now_s)
        else:
            loose = min(max(round(share * count), 1), count - 1)
        size = LaneSize(loose, count, is_told=share is not None)
        self._sizes[service] = size
        return size

    def _own_size(
        self, service: str, entries: Sequence[UpstreamEntry], now_s: float
    ) -> int:
        """Returns how many upstreams the loose lane gets by own estimate."""
        count = len(entries)
        wanted = self._wanted(service, entries, now_s)
        known = self._loose_count.get(service)
        if known is None or abs(wanted - known) > _ROUNDING_ERROR + HYSTERESIS:
            known = round(wanted)
        known = min(max(known, 1), count - 1)
        self._loose_count[service] = known
        if self._demand.is_sampled(now_s):
            self._shares.publish(service, known / count, now_s)
        return known

    def _wanted(
        self, service: str, entries: Sequence[UpstreamEntry], now_s: float
    ) -> float:
        """Returns how many upstreams the loose lane should have."""
        count = len(entries)
        by_prefill = count * self._demand.share_of_loose(service, now_s)
        used_slots = (
            SLOT_UTILISATION * sum(entry.slots for entry in entries) / count
        )
        loose = self._demand.streams(service, now_s, is_loose=True) / used_slots
        tight = (
            self._demand.streams(service, now_s, is_loose=False) / used_slots
        )
        if loose + tight > count:
            # Tight streams first: loose ones can wait or be refused.
            return max(count - tight, count * MIN_LOOSE_SHARE)
        return min(max(by_prefill, loose), count - tight)
