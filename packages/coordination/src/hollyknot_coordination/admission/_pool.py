"""Orders the waiting requests of one pool by tier, with a floor per tier.

A free slot goes to the highest tier that waits, with two exceptions. A lower
tier earns credit from the admissions of other tiers while it waits, and is next
when its credit is full; this minimum share is its floor. And while a peer
reports pressure, which means that a higher tier is short of capacity in this
pool, the tiers below that one are throttled to their floors.
"""

import math
from collections.abc import Callable

from hollyknot_coordination.admission._fair import Entry
from hollyknot_coordination.admission._options import (
    COST_RATIO_MAX,
    FLOOR_CREDITS,
    FLOOR_SLOT_FRACTION,
    FULL_CREDIT,
    AdmissionOptions,
)
from hollyknot_coordination.admission._tier import TierQueue
from hollyknot_state import TIERS, RequestInfo


class PoolQueue:
    """The waiting requests of one pool."""

    def __init__(
        self, options: AdmissionOptions, on_late: Callable[[Entry], None]
    ) -> None:
        """Builds an empty queue.

        Args:
            options: Sizes and times of the host's admission.
            on_late: Callback for each request that can no longer meet its
                target.
        """
        self._options = options
        self._tiers = {tier: TierQueue(on_late) for tier in TIERS}
        self._credit = dict.fromkeys(FLOOR_CREDITS, 0)
        self._admitted_s = dict.fromkeys(TIERS, -math.inf)
        self._pressed_s = dict.fromkeys(TIERS, -math.inf)
        self._peer_pressed_s = dict.fromkeys(TIERS, -math.inf)
        self._in_flight = 0
        self._free_slots = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._tiers.values())

    @property
    def free_slots(self) -> int:
        """Slots that remain of those set by `set_free_slots`."""
        return self._free_slots

    @property
    def in_flight(self) -> int:
        """Number of requests of this host that hold a slot."""
        return self._in_flight

    def tier(self, tier: int) -> TierQueue:
        """Returns the queue of a tier."""
        return self._tiers[tier]

    def set_free_slots(self, free_slots: int) -> None:
        """Sets how many requests the pool's upstreams can take now."""
        self._free_slots = free_slots

    def record_peer_pressure(self, tier: int, at_s: float) -> None:
        """Records that a peer was short of capacity for a tier at a time."""
        self._peer_pressed_s[tier] = max(self._peer_pressed_s[tier], at_s)

    def record_local_pressure(self, tier: int, now_s: float) -> None:
        """Records that this host is short of capacity for a tier now."""
        self._pressed_s[tier] = now_s

    def pressure_age_s(self, tier: int, now_s: float) -> float:
        """Returns the seconds since a tier was last under pressure here."""
        fraction = self._options.pressure_wait_fraction
        if self._tiers[tier].is_pressed(now_s, fraction):
            self._pressed_s[tier] = now_s
        return now_s - self._pressed_s[tier]

    def predicted_wait_s(
        self, request: RequestInfo, cost_s: float, by_s: float
    ) -> float:
        """Returns the seconds that a request would wait without lower tiers.

        The floors of lower tiers and the slots that they hold do not count: a
        request of a higher tier must not be refused because of a wait that is
        too long only through them.

        Args:
            request: The request, not yet in the queue.
            cost_s: Expected service time of the request, in seconds.
            by_s: Time by which the request must start to meet its target.
        """
        if self._in_flight == 0:
            return 0.0
        ahead_s = self._tiers[request.tier].ahead_s(request, cost_s, by_s)
        for tier in TIERS:
            if tier < request.tier:
                ahead_s += self._tiers[tier].backlog_s
        return ahead_s / self._in_flight

    def next_entry(self, now_s: float) -> Entry | None:
        """Returns the request that gets the next free slot, if any."""
        waiting = [t for t in TIERS if len(self._tiers[t])]
        if not waiting:
            return None
        lowest_unthrottled = self._lowest_unthrottled(now_s)
        for tier in waiting:
            is_throttled = tier > min(waiting[0], lowest_unthrottled)
            if is_throttled and self._credit[tier] >= FULL_CREDIT:
                return self._tiers[tier].head(now_s)
        if waiting[0] <= lowest_unthrottled:
            return self._tiers[waiting[0]].head(now_s)
        tier = min(waiting, key=self._due_s)
        if self._due_s(tier) <= now_s:
            return self._tiers[tier].head(now_s)
        return None

    def admit(self, entry: Entry, now_s: float) -> None:
        """Gives a slot to a request that `next_entry` returned."""
        admitted = entry.request.tier
        waiting = [t for t in TIERS if len(self._tiers[t])]
        top = min(waiting[0], self._lowest_unthrottled(now_s))
        if admitted > top and self._credit[admitted] >= FULL_CREDIT:
            self._credit[admitted] -= FULL_CREDIT
        self._add_credit(admitted, entry.cost_s)
        self._tiers[admitted].admit(entry)
        self._admitted_s[admitted] = now_s
        self._free_slots -= 1
        self._in_flight += 1

    def release(self) -> None:
        """Records that an admitted request no longer holds its slot."""
        self._in_flight -= 1

    def next_due_s(self, now_s: float) -> float:
        """Returns the earliest time at which a request may get a free slot."""
        waiting = [t for t in TIERS if len(self._tiers[t])]
        if not waiting or self._free_slots <= 0:
            return math.inf
        if waiting[0] <= self._lowest_unthrottled(now_s):
            return now_s
        ttl_s = self._options.pressure_ttl_s
        ends_s = (at_s + ttl_s for at_s in self._peer_pressed_s.values())
        next_end_s = min((e for e in ends_s if e > now_s), default=math.inf)
        return min(next_end_s, *(self._due_s(tier) for tier in waiting))

    def _lowest_unthrottled(self, now_s: float) -> int:
        """Returns the lowest tier that peers' pressure does not throttle."""
        oldest_s = now_s - self._options.pressure_ttl_s
        for tier in TIERS:
            if self._peer_pressed_s[tier] > oldest_s:
                return tier
        return TIERS[-1]

    def _due_s(self, tier: int) -> float:
        """Returns when a tier that only peers' pressure throttles is due."""
        options = self._options
        interval_s = self._tiers[tier].mean_cost_s / FLOOR_SLOT_FRACTION
        interval_s = max(interval_s, options.floor_interval_min_s)
        interval_s = min(interval_s, options.floor_interval_max_s)
        return self._admitted_s[tier] + interval_s

    def _add_credit(self, admitted: int, cost_s: float) -> None:
        """Adds credit to the lower tiers that wait during an admission."""
        for tier, full in FLOOR_CREDITS.items():
            queue = self._tiers[tier]
            if tier == admitted or not len(queue):
                continue
            ratio = cost_s / max(queue.mean_cost_s, 1e-9)
            ratio = min(1.0, max(ratio, 1 / COST_RATIO_MAX))
            earned = self._credit[tier] + int(full * ratio)
            self._credit[tier] = min(FULL_CREDIT, earned)
