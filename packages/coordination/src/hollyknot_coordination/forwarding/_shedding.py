"""Refuses some of the least urgent streams while engines are nearly full.

The more of an engine's time goes into reading prompts, the fewer steps are left
for the streams that run: they end later, so that more run at once, until urgent
ones put back others, whose prompts then are read in again. Past that point most
streams are late, urgent ones too, and long ones time out when nearly done. One
notices it by streams that take three times as long as usual and by requests put
back. A stream refused in time is told when to come back, and spares the others.

Only the least urgent routes of a service are refused, never all of their
requests: all others are left to the engines, which sort them by urgency. So no
request is refused for one of a less urgent route, and no route starves. Among
requests of the least urgent routes chance decides, not the customer's priority.
"""

import enum
import random
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding._loads import Loads
from hollyknot_state.routes import UpstreamEntry

BACKLOG_SHARE = 0.6
"""Of all slots, the part in flight from which the least urgent are refused
where prompts pile up."""

NO_BACKLOG_SHARE = 0.75
"""The same where they don't: engines with few slots fill them on any day, and
are as fast then. The rest is for more urgent ones, which would else put back
others that are then read in again."""

BACKLOG_TOKENS = 10_000
"""Prompt tokens that wait at an upstream, on the mean, from which they pile up:
the prompts of one or two long requests, which one engine reads in a sixth of a
second. More means that reading, and not slots, is short."""

ADMITTED_SHARE = 0.1
"""Of the least urgent, what is admitted all the same, so that none starves."""

MIN_SHED_SHARE = 0.02
"""Of all slots, what the least urgent may hold in any case: refusing a route
that holds less would help nobody."""

SLOW_FROM = 0.6
SLOW_UNTIL = 1.2
"""Of the time that a request has left after its first event, the part that its
answer is expected to take from which some of the least urgent are refused, and
up to which ever more of them. Lengths vary, so that at 0.6 some would time out
and at 1.2 some would not."""

SHED_RETRY_AFTER_S = 3.0
"""When a refused caller is told to come back, on the mean: bursts last a few
seconds, and streams that run take about as long to end."""


class Admission(enum.Enum):
    """A request may be sent."""

    ADMITTED = "admitted"


@attrs.frozen
class Shed:
    """A request is refused, so that others are served.

    Attributes:
        taken: Requests in flight at the service's upstreams.
        slots: What the upstreams can run at once.
    """

    in_flight: int
    slots: int


@attrs.frozen
class TooSlow:
    """A request is refused, since its answer would hardly end in time.

    Attributes:
        needed_s: From its first event to its end, as expected.
        left_s: From its first event to its time limit.
    """

    needed_s: float
    left_s: float


class Shedding:
    """Decides which streams are refused."""

    def __init__(self, loads: Loads, rng: random.Random) -> None:
        """Follows the loads.

        Args:
            loads: Work in flight, of all hosts that are heard.
            rng: Chooses which of the least urgent are admitted.
        """
        self._loads = loads
        self._rng = rng

    def decide(
        self, entries: Sequence[UpstreamEntry], sheds_from: int, now_s: float
    ) -> Admission | Shed:
        """Returns whether one of the least urgent streams may be sent.

        Args:
            entries: The upstreams that it could go to.
            sheds_from: The urgency from which streams are the least urgent.
            now_s: The time.
        """
        loads = [self._loads.at(e.incarnation, now_s) for e in entries]
        slots = sum(entry.slots for entry in entries)
        in_flight = sum(load.requests for load in loads)
        waiting = sum(load.waiting_tokens for load in loads)
        has_backlog = waiting >= BACKLOG_TOKENS * len(loads)
        share = BACKLOG_SHARE if has_backlog else NO_BACKLOG_SHARE
        least_urgent = sum(load.behind(sheds_from) for load in loads)
        if in_flight < share * slots or least_urgent <= MIN_SHED_SHARE * slots:
            return Admission.ADMITTED
        if self._rng.random() < ADMITTED_SHARE:
            return Admission.ADMITTED
        return Shed(in_flight, slots)

    def decide_by_time(
        self, needed_s: float, left_s: float
    ) -> Admission | TooSlow:
        """Returns whether one of the least urgent streams may be sent.

        Args:
            needed_s: How long its answer is expected to take.
            left_s: How long it may take.
        """
        share = needed_s / left_s if left_s > 0 else SLOW_UNTIL
        chance = (share - SLOW_FROM) / (SLOW_UNTIL - SLOW_FROM)
        if self._rng.random() < min(chance, 1 - ADMITTED_SHARE):
            return TooSlow(needed_s, left_s)
        return Admission.ADMITTED
