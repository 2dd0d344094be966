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

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_state import LaneDemand
from hollyknot_state.routes import UpstreamEntry

TIGHT_UTILISATION = 0.6
"""Utilisation of the tight lane's upstreams, relative to the loose lane's: a
tight stream misses its target by a single long gap, a long prompt only by the
sum of its delays."""

SMOOTHING_S = 4.0
"""Time constant in seconds of the average of demand: shorter than a burst, and
longer than the time between two long prompts at one host."""

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

_MIN_DEMAND = 1.0
"""Prompt tokens per second below which demand does not determine the lanes."""

_DEFAULT_LOOSE_SHARE = 0.5
"""Share of the loose lane below that demand."""


@attrs.define
class _Rate:
    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self.value = self.at(now_s) + amount / SMOOTHING_S
        self.at_s = now_s

    def at(self, now_s: float) -> float:
        return self.value * math.exp(-(now_s - self.at_s) / SMOOTHING_S)


class Demand:
    """Prompt tokens and streams of all hosts, by service and lane."""

    def __init__(self) -> None:
        """Builds a demand of zero."""
        self._own: dict[tuple[str, bool], _Rate] = {}
        self._own_streams: Counter[tuple[str, bool]] = Counter()
        self._tokens: Counter[tuple[str, bool]] = Counter()
        self._streams: Counter[tuple[str, bool]] = Counter()
        self._heard_fraction = 1.0

    def begin(
        self, service: str, tokens: int, now_s: float, *, is_loose: bool
    ) -> None:
        """Records a stream that this host sends, with its tokens to prefill."""
        rate = self._own.setdefault((service, is_loose), _Rate(0.0, now_s))
        rate.add(tokens, now_s)
        self._own_streams[service, is_loose] += 1

    def end(self, service: str, *, is_loose: bool) -> None:
        """Records the end of a stream that this host sent."""
        self._own_streams[service, is_loose] -= 1

    def apply_reported(
        self, reported: Iterable[LaneDemand], heard_fraction: float = 1.0
    ) -> None:
        """Replaces the demand that peers reported before.

        Args:
            reported: Demand in the current reports of peers.
            heard_fraction: Share of all hosts that these reports and this host
                itself stand for, from 0 to 1.
        """
        self._heard_fraction = heard_fraction
        tokens: Counter[tuple[str, bool]] = Counter()
        streams: Counter[tuple[str, bool]] = Counter()
        for demand in reported:
            loose, tight = (demand.pool, True), (demand.pool, False)
            tokens[loose] += demand.loose_tokens_s
            tokens[tight] += demand.tight_tokens_s
            streams[loose] += demand.loose_streams
            streams[tight] += demand.tight_streams
        self._tokens = tokens
        self._streams = streams

    def to_report(self, now_s: float) -> tuple[LaneDemand, ...]:
        """Returns this host's own demand, for its report."""
        services = sorted({service for service, _ in self._own})
        return tuple(
            LaneDemand(
                service,
                int(self._own_tokens(service, True, now_s)),
                int(self._own_tokens(service, False, now_s)),
                self._own_streams[service, True],
                self._own_streams[service, False],
            )
            for service in services
        )

    def share_of_loose(self, service: str, now_s: float) -> float:
        """Returns the share of a service's upstreams that loose streams need.

        It follows from prompt tokens, from 0 to 1.
        """
        loose = self._tokens_per_s(service, True, now_s)
        tight = self._tokens_per_s(service, False, now_s) / TIGHT_UTILISATION
        if loose + tight < _MIN_DEMAND:
            return _DEFAULT_LOOSE_SHARE
        return loose / (loose + tight)

    def streams(self, service: str, *, is_loose: bool) -> float:
        """Returns how many streams of a lane are in flight at all hosts.

        Streams of hosts without reports are estimated from the others.
        """
        lane = (service, is_loose)
        counted = self._streams[lane] + self._own_streams[lane]
        return counted / self._heard_fraction

    def _tokens_per_s(
        self, service: str, is_loose: bool, now_s: float
    ) -> float:
        reported = self._tokens[service, is_loose]
        return reported + self._own_tokens(service, is_loose, now_s)

    def _own_tokens(self, service: str, is_loose: bool, now_s: float) -> float:
        rate = self._own.get((service, is_loose))
        return rate.at(now_s) if rate is not None else 0.0


class Lanes:
    """Assigns the upstreams of each service to the two lanes."""

    def __init__(self, demand: Demand) -> None:
        """Builds lanes that are sized by a demand."""
        self._demand = demand
        self._loose_count: dict[str, int] = {}

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
        wanted = self._wanted(service, entries, now_s)
        known = self._loose_count.get(service)
        if known is None or abs(wanted - known) > _ROUNDING_ERROR + HYSTERESIS:
            known = round(wanted)
        known = min(max(known, 1), count - 1)
        self._loose_count[service] = known
        return entries[:known] if is_loose else entries[known:]

    def _wanted(
        self, service: str, entries: Sequence[UpstreamEntry], now_s: float
    ) -> float:
        """Returns how many upstreams the loose lane should have."""
        count = len(entries)
        by_prefill = count * self._demand.share_of_loose(service, now_s)
        used_slots = (
            SLOT_UTILISATION * sum(entry.slots for entry in entries) / count
        )
        loose = self._demand.streams(service, is_loose=True) / used_slots
        tight = self._demand.streams(service, is_loose=False) / used_slots
        if loose + tight > count:
            # Tight streams first: loose ones can wait or be refused.
            return max(count - tight, count * MIN_LOOSE_SHARE)
        return min(max(by_prefill, loose), count - tight)
