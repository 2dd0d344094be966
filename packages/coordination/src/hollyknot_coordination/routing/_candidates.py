"""Determines which upstreams may be chosen for a request.

The first of these groups that has upstreams is used:

1. Usable upstreams of this data centre, below their limits. As long as one
   usable upstream exists here, even if it is full or excluded, no other group
   is used, except by rule 5.
2. Usable upstreams of other data centres, below their limits.
3. Upstreams that wait for a probe, first here and then elsewhere, with one
   request each.
4. Ejected upstreams, first here and then elsewhere, with one request each: if
   a host has ejected all upstreams, the host is more likely to be at fault
   than all upstreams are.
5. A host that suspects itself also uses groups 3 and 4 if group 1 or 2 is
   full.

Requests that may not run twice are never sent by rules 3 to 5: they could
needlessly end as "may have run". Draining and leaving upstreams never get
requests.
"""

from collections.abc import Iterable, Set

from hollyknot_coordination.routing._messages import (
    NoChoiceReason,
    UpstreamState,
)
from hollyknot_coordination.routing._pools import Pool
from hollyknot_coordination.routing._upstream import Upstream
from hollyknot_state import Nature, RequestInfo

Candidates = list[Upstream]


def candidates(
    pool: Pool, request: RequestInfo, exclude: Set[str], suspects_itself: bool
) -> Candidates | NoChoiceReason:
    """Returns the upstreams that may be chosen, or why there are none."""
    usable = usable_group(pool)
    available = [
        u for u in usable if u.has_room and _allows(u, request, exclude)
    ]
    if available:
        return available
    if request.nature is Nature.IDEMPOTENT and (not usable or suspects_itself):
        for group in _trial_groups(pool):
            available = [u for u in group if _allows(u, request, exclude)]
            if available:
                return available
    if usable:
        return NoChoiceReason.ALL_FULL
    return NoChoiceReason.ALL_EJECTED


def usable_group(pool: Pool) -> Candidates:
    """Returns the usable upstreams of this data centre, or of the others."""
    here = [u for u in pool.here if u.is_usable]
    return here or [u for u in pool.elsewhere if u.is_usable]


def free_slots(pool: Pool, suspects_itself: bool) -> int:
    """Returns how many requests that may run twice could be sent now.

    Trials of upstreams by rules 3 to 5 count as free slots. Otherwise a queue
    that waits for a free slot would never send the trial request.
    """
    usable = usable_group(pool)
    free = sum(max(0, u.limit.value - u.in_flight) for u in usable)
    if free or (usable and not suspects_itself):
        return free
    return sum(len(group) for group in _trial_groups(pool))


def _trial_groups(pool: Pool) -> Iterable[Candidates]:
    for state in (UpstreamState.CHECKING, UpstreamState.EJECTED):
        for members in (pool.here, pool.elsewhere):
            yield [u for u in members if u.state is state and not u.has_trial]


def _allows(
    upstream: Upstream, request: RequestInfo, exclude: Set[str]
) -> bool:
    if upstream.entry.name in exclude:
        return False
    return request.request_id not in upstream.flights
