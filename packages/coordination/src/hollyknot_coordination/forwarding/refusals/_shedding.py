"""Sheds some of the least urgent streams while engines are nearly full.

The more of an engine's time goes into prefill, the fewer steps are left for the
streams that run. They end later, so that more run at once, until urgent ones
preempt others, whose prompts then need prefill again. Past that point most
streams miss their targets, urgent ones too, and long ones time out when nearly
done. The signs are streams that take three times as long as usual, and
preempted requests. A stream refused early gets a time to retry after, and its
engine time goes to the others.

Only the least urgent routes of a service are refused; all others are left to
the engines, which order them by urgency. So no request is refused in favour of
a less urgent route. A part of the least urgent requests is admitted under any
load, so that no route starves, except while more urgent requests wait for slots
of their engines: each engine orders only its own queue, and less urgent streams
would begin at one engine while more urgent ones expire at another. Among
requests of the least urgent routes the choice is random and does not depend on
the customer's priority. It may depend on the customer's share of the work
(`customers`), which leaves the total refused as it is.
"""

import enum
import random
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.forwarding.placement._loads import Loads
from hollyknot_state.routes import UpstreamEntry

BACKLOG_SHARE = 0.6
"""Requests in flight, as a share of all slots, from which the least urgent are
refused while prompts wait for prefill in a backlog."""

NO_BACKLOG_SHARE = 0.75
"""The same share without a backlog: engines with few slots fill them under
normal load and are as fast then. The remaining slots are for more urgent
requests, which would otherwise preempt others that then need prefill again."""

BACKLOG_TOKENS = 10_000
"""Mean number of waiting prompt tokens per upstream from which there is a
backlog: the prompts of one or two long requests, which an engine prefills in a
sixth of a second. With more, the bottleneck is prefill, not slots."""

ADMITTED_SHARE = 0.1
"""Share of the least urgent requests that is admitted even if engines are
nearly full, so that no route starves."""

MAX_QUEUED_SHARE = 0.05
"""Number of more urgent requests that wait for slots, as a share of all slots,
above which none of the least urgent is admitted: the last of them waits for
about this part of a stream's duration."""

MIN_SHED_SHARE = 0.02
"""Share of all slots up to which the least urgent requests are never refused:
to refuse a route that holds less would free too little to help others."""

SLOW_FROM = 0.6
SLOW_UNTIL = 1.2
"""Bounds of the ratio of an answer's expected duration to the time left after
its first event. Between them the share of the least urgent requests that is
refused rises from none to nearly all. Lengths vary, so that at a ratio of 0.6
some would time out and at 1.2 some would not."""

SHED_RETRY_AFTER_S = 3.0
"""Mean time in seconds after which a refused caller is asked to retry: bursts
last a few seconds, and running streams take about as long to end."""


class Admission(enum.Enum):
    """A request may be sent."""

    ADMITTED = "admitted"


@attrs.frozen
class Shed:
    """A request is refused so that others are served in time.

    Attributes:
        in_flight: Requests in flight at the service's upstreams.
        slots: Requests that these upstreams can run at once.
    """

    in_flight: int
    slots: int


@attrs.frozen
class TooSlow:
    """A request is refused since its answer would probably time out.

    Attributes:
        needed_s: Expected seconds from its first event to its end.
        left_s: Seconds from its first event to its timeout.
    """

    needed_s: float
    left_s: float


class Shedding:
    """Decides which streams are refused."""

    def __init__(self, loads: Loads, rng: random.Random) -> None:
        """Builds load shedding that follows the loads.

        Args:
            loads: Work in flight of this host and of its reporting peers.
            rng: Source of the random choice of requests to admit.
        """
        self._loads = loads
        self._rng = rng

    def decide(
        self,
        entries: Sequence[UpstreamEntry],
        shed_from_urgency: int,
        now_s: float,
        weigh: Callable[[float], float] = lambda share: share,
    ) -> Admission | Shed:
        """Decides by load whether one of the least urgent streams may be sent.

        Args:
            entries: Upstreams that it could be sent to.
            shed_from_urgency: Urgency from which streams count as the least
                urgent.
            now_s: Current time in seconds.
            weigh: Turns the share of such streams that is refused now into
                the probability with which this one is. While more urgent
                requests wait for slots, it is called but does not count.
        """
        loads = [self._loads.at(e.incarnation, now_s) for e in entries]
        slots = sum(entry.slots for entry in entries)
        in_flight = sum(load.requests for load in loads)
        waiting = sum(load.waiting_tokens for load in loads)
        has_backlog = waiting >= BACKLOG_TOKENS * len(loads)
        share = BACKLOG_SHARE if has_backlog else NO_BACKLOG_SHARE
        least_urgent = sum(load.behind(shed_from_urgency) for load in loads)
        has_room = in_flight < share * slots
        queued = sum(
            max(0, load.requests_ahead_of(shed_from_urgency - 1) - entry.slots)
            for entry, load in zip(entries, loads, strict=True)
        )
        must_yield = not has_room and queued > MAX_QUEUED_SHARE * slots
        is_little = least_urgent <= MIN_SHED_SHARE * slots and not must_yield
        # Weighing also counts the request as offered.
        refused = weigh(0.0 if has_room or is_little else 1 - ADMITTED_SHARE)
        if must_yield or (refused and self._rng.random() > 1 - refused):
            return Shed(in_flight, slots)
        return Admission.ADMITTED

    def decide_by_time(
        self, needed_s: float, left_s: float
    ) -> Admission | TooSlow:
        """Decides by time whether one of the least urgent streams may be sent.

        Args:
            needed_s: Expected seconds from its first event to its end.
            left_s: Seconds from its first event to its timeout.
        """
        share = needed_s / left_s if left_s > 0 else SLOW_UNTIL
        chance = (share - SLOW_FROM) / (SLOW_UNTIL - SLOW_FROM)
        if self._rng.random() < min(chance, 1 - ADMITTED_SHARE):
            return TooSlow(needed_s, left_s)
        return Admission.ADMITTED
