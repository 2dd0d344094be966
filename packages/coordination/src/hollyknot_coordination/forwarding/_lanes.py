"""Keeps streams that bear long pauses and those that don't on upstreams apart.

An engine reads a long prompt in pieces between the tokens of all that run
beside it. Each piece takes as long as many tokens, so that streams beside it
pause for longer than their callers accept. Routes say which pause a stream may
have: those that may have long ones get upstreams of their own, and with them
the long prompts that they send.

Which routes those are follows from the routes alone. How many upstreams they
get follows from the prompt tokens that all hosts send, smoothed, so that hosts
that hear each other come to the same number, and a burst shifts it. A lane gets
no fewer than its streams need slots: short prompts with long answers ask for
little reading, and where engines have few slots they would fill a lane that was
measured by reading, and go beside long prompts after all.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_state import LaneDemand
from hollyknot_state.routes import Route, RouteKind, UpstreamEntry

TIGHT_GAP_RATIO = 1.4
"""How much longer than the shortest accepted pause another one may be for its
streams to share upstreams with those. Streams that bear half as much again bear
an engine that reads prompts all the time, if those prompts are short or wait
behind theirs; with them gone, the shortest pauses are kept even in a burst."""

TIGHT_UTILISATION = 0.6
"""How busy upstreams of tight streams are to be, as a share of how busy the
others are: a stream is late by one pause, a long prompt only by its sum."""

SMOOTHING_S = 4.0
"""Over which demand is averaged: shorter than a burst, longer than the gap
between two long prompts at one host."""

SLOT_UTILISATION = 0.6
"""Of a lane's slots, the part that its streams may take on the mean before it
gets more upstreams: a burst takes some at once, and one stream in the wrong
lane is late, or makes others late."""

MIN_LOOSE_SHARE = 0.4
"""Of the upstreams, the part that loose streams keep where slots are short: it
is the tight ones that are late as soon as they are beside the others."""

HYSTERESIS = 0.6
"""How far, in upstreams, the wanted number has to be from the present one: at
each change streams with short pauses meet long prompts that still run, and
sessions are moved."""

_ROUNDING_ERROR = 0.5
"""How far a number of upstreams may be from the wanted one, being whole."""

_MIN_DEMAND = 1.0
"""Prompt tokens a second below which nothing can be said of the lanes."""

_DEFAULT_LOOSE_SHARE = 0.5
"""The part of loose streams then."""


class GapTolerance:
    """From which accepted pause on a route's streams are loose."""

    def __init__(self, routes: Iterable[Route], service: str) -> None:
        """Finds the pauses that are much longer than the shortest."""
        targets_s = {
            route.gap_target_s
            for route in routes
            if route.kind is RouteKind.STREAM
            and route.gap_target_s > 0
            and any(share.service == service for share in route.shares)
        }
        self._loose_from_s = min(targets_s, default=math.inf) * TIGHT_GAP_RATIO

    def is_loose(self, route: Route) -> bool:
        """Whether a route's streams bear long pauses."""
        return (
            not route.gap_target_s or route.gap_target_s >= self._loose_from_s
        )


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
    """What streams ask of upstreams by service and lane, of all hosts."""

    def __init__(self) -> None:
        """Nothing was asked for yet."""
        self._own: dict[tuple[str, bool], _Rate] = {}
        self._own_streams: Counter[tuple[str, bool]] = Counter()
        self._tokens: Counter[tuple[str, bool]] = Counter()
        self._streams: Counter[tuple[str, bool]] = Counter()
        self._heard_part = 1.0

    def begin(
        self, service: str, tokens: int, now_s: float, *, is_loose: bool
    ) -> None:
        """Notes a stream that this host sends, with tokens to be read in."""
        rate = self._own.setdefault((service, is_loose), _Rate(0.0, now_s))
        rate.add(tokens, now_s)
        self._own_streams[service, is_loose] += 1

    def end(self, service: str, *, is_loose: bool) -> None:
        """Notes the end of one."""
        self._own_streams[service, is_loose] -= 1

    def take(
        self, reported: Iterable[LaneDemand], heard_part: float = 1.0
    ) -> None:
        """Replaces what peers told before.

        Args:
            reported: What they tell now.
            heard_part: Of all hosts, those whose word this is, this one
                included.
        """
        self._heard_part = heard_part
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

    def told(self, now_s: float) -> tuple[LaneDemand, ...]:
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
        """Returns the part of a service's upstreams that loose streams need."""
        loose = self._tokens_per_s(service, True, now_s)
        tight = self._tokens_per_s(service, False, now_s) / TIGHT_UTILISATION
        if loose + tight < _MIN_DEMAND:
            return _DEFAULT_LOOSE_SHARE
        return loose / (loose + tight)

    def streams(self, service: str, *, is_loose: bool) -> float:
        """Returns how many streams of a lane have not ended, at all hosts."""
        lane = (service, is_loose)
        counted = self._streams[lane] + self._own_streams[lane]
        return counted / self._heard_part

    def _tokens_per_s(
        self, service: str, is_loose: bool, now_s: float
    ) -> float:
        told = self._tokens[service, is_loose]
        return told + self._own_tokens(service, is_loose, now_s)

    def _own_tokens(self, service: str, is_loose: bool, now_s: float) -> float:
        rate = self._own.get((service, is_loose))
        return rate.at(now_s) if rate is not None else 0.0


class Lanes:
    """How the upstreams of each service are divided."""

    def __init__(self, demand: Demand) -> None:
        """Divides by demand."""
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

        Args:
            service: The service.
            entries: Its upstreams, in an order that all hosts share.
            now_s: The time.
            is_loose: Which lane.
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
        """Returns how many upstreams loose streams are to have."""
        count = len(entries)
        by_prefill = count * self._demand.share_of_loose(service, now_s)
        used_slots = (
            SLOT_UTILISATION * sum(entry.slots for entry in entries) / count
        )
        loose = self._demand.streams(service, is_loose=True) / used_slots
        tight = self._demand.streams(service, is_loose=False) / used_slots
        if loose + tight > count:
            # The tight ones first: loose streams wait, or are refused.
            return max(count - tight, count * MIN_LOOSE_SHARE)
        return min(max(by_prefill, loose), count - tight)
