"""Chooses the upstream that each request is sent to."""

import enum
import random
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from hollyknot_coordination.forwarding.placement._cached_parts import (
    MIN_REPORTED_TOKENS,
    CacheCoverage,
    CachedParts,
    preferred,
    runs_of,
)
from hollyknot_coordination.forwarding.placement._demand import Demand
from hollyknot_coordination.forwarding.placement._lane_shares import LaneShares
from hollyknot_coordination.forwarding.placement._lanes import Lanes, LaneSize
from hollyknot_coordination.forwarding.placement._loads import Load, Loads
from hollyknot_coordination.forwarding.speeds import Speeds
from hollyknot_state.routes import CallTraits, Service, UpstreamEntry

MISSING_TOKEN_WEIGHT = 1.0
"""Cost of each token that is cached elsewhere but not here, beside prefill.

A session moves away from its cached parts only if their upstream is busier by
this many tokens for each of them. Missing parts are mostly fetched from another
upstream's cache, but they then take memory at both."""

RUNNING_STREAM_TOKENS = 100
"""Cost of a running stream, in prompt tokens: each one makes every step of its
engine a little longer."""

TIGHT_OVERFLOW_TOKENS = 5_000
"""Extra cost at the tight lane, in tokens, above which a tight stream overflows
into the loose lane: that of 50 running streams. Where a lane of few upstreams
fills its slots, streams preempt each other, which makes longer inter-token gaps
than a prefill beside them does."""

LOOSE_OVERFLOW_TOKENS = 200_000
"""Extra cost at the loose lane, in tokens, above which a loose stream overflows
into the tight lane. Each long prompt makes most of the streams beside it miss
their targets, so that loose streams wait for seconds before they overflow."""

QUEUED_REQUEST_TOKENS = 40_000
"""Cost of each request in flight beyond an upstream's slots, in tokens: the new
request waits for another one to end. Less urgent requests are left out, since
the engine preempts them for it."""


NEW_CONNECTION_TOKENS = 200
"""Cost of opening a connection, in tokens: as many as an engine prefills in one
or two round trips."""

OWN_LANE_SHORTLIST = 3
"""Upstreams of a request's own lane whose trackers are asked for their load
before it is placed: the least busy of a few is nearly as good as the least busy
of all."""

OTHER_LANE_SHORTLIST = 1
"""Upstreams of the other lane that are asked as well, since the request goes
there if its own lane is full."""


class NoUpstream(enum.Enum):
    """Why no upstream can take a request."""

    NONE_KNOWN = "no-upstream"


def _not_connected(_: str) -> bool:
    return False


@attrs.frozen
class Choice:
    """The upstream chosen for a request.

    Attributes:
        entry: The upstream.
        tokens: Prompt tokens that the upstream is expected to prefill.
        ahead: Load at the upstream at the time of the choice: in tokens for
            an engine, in requests for a plain service.
        source: Upstream from which it can fetch cached parts of the prompt
            that are missing there; None if there is none.
        queued_tokens: Prompt tokens of other requests that the upstream is
            expected to prefill before.
    """

    entry: UpstreamEntry
    tokens: int
    ahead: int
    source: UpstreamEntry | None = None
    queued_tokens: int = 0


@attrs.define
class PlacedRequest:
    """One request in flight at one upstream.

    Attributes:
        entry: The upstream.
        tokens: Prompt tokens to prefill before the first event.
        urgency: Urgency of the request, from 0, the most urgent.
        is_loose: Whether its stream tolerates long inter-token gaps.
        has_started: Whether its first event has arrived.
    """

    entry: UpstreamEntry
    tokens: int
    urgency: int
    is_loose: bool
    has_started: bool = False


@attrs.frozen
class _CostedChoice:
    cost: float
    choice: Choice


@attrs.frozen
class _PlacementRequest:
    """A request to place at an engine, with the limits on the choice."""

    call: CallTraits
    excluded: frozenset[str]
    now_s: float
    urgency: int
    limited: Collection[str]


class Placement:
    """Places requests at upstreams and keeps the loads up to date.

    For engines the cheapest upstream wins: its load, the prompt tokens that it
    has to prefill, and the cached parts missing there count towards its cost,
    all in tokens. For plain services the one with the fewest requests per slot
    wins.
    """

    def __init__(
        self,
        loads: Loads,
        demand: Demand,
        cached: CachedParts,
        data_centre: str,
        rng: random.Random,
        is_connected: Callable[[str], bool] = _not_connected,
        speeds: Speeds | None = None,
        lane_shares: LaneShares | None = None,
    ) -> None:
        """Builds the placement of one host.

        Args:
            loads: Work in flight at each upstream.
            demand: Prompt tokens and streams sent, by lane.
            cached: Parts of prompts that each upstream is believed to cache.
            data_centre: Data centre of this host, preferred between upstreams
                of a plain service that are equally busy.
            rng: Source of random choices and tie-breaks, so that hosts do not
                all choose the same upstream.
            is_connected: Returns whether an idle connection to an incarnation
                is kept open.
            speeds: Speeds of upstreams; without them all count as equal.
            lane_shares: Sizes of lanes that hosts agree on; without them this
                host sizes the lanes by its own estimate.
        """
        self._speeds = speeds if speeds is not None else Speeds()
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._is_connected = is_connected
        self._demand = demand
        self._lanes = Lanes(demand, lane_shares or LaneShares(0))
        self._cached = cached

    @property
    def lane_sizes(self) -> Mapping[str, LaneSize]:
        """Sizes of the lanes in use, by service."""
        return self._lanes.sizes

    def refresh_lanes(self, now_s: float) -> None:
        """Sizes the lanes again; to be called several times a second."""
        self._lanes.refresh(now_s)

    def choose(
        self,
        service: Service,
        candidates: Sequence[UpstreamEntry],
        call: CallTraits,
        excluded: frozenset[str],
        now_s: float,
        *,
        is_loose: bool,
        urgency: int,
        among: Collection[str] = (),
        limited: Collection[str] = (),
    ) -> Choice | NoUpstream:
        """Returns the upstream that a request is to be sent to.

        Args:
            service: Service that the request is for.
            candidates: Upstreams of the service that may get work, in an order
                that is the same at all hosts.
            call: The request.
            excluded: Incarnations that must not be chosen.
            now_s: Current time in seconds.
            is_loose: Whether its stream tolerates long inter-token gaps.
            urgency: Urgency of the request, on a scale that all hosts share;
                0 is the most urgent.
            among: Incarnations on the shortlist, whose loads were asked for;
                empty for none. Others are chosen only if none of these may be.
            limited: Incarnations under a rate limit. They belong to both lanes
                and do not count towards the size of either.
        """
        if service.engine is None or not call.prompt or not candidates:
            return self._choose_plain(candidates, excluded, among, now_s)
        request = _PlacementRequest(call, excluded, now_s, urgency, limited)
        if among:
            others = frozenset(c.incarnation for c in candidates) - set(among)
            narrow = attrs.evolve(request, excluded=excluded | others)
            found = self._choose_engine(
                service.name, candidates, narrow, is_loose
            )
            if isinstance(found, Choice):
                return found
        return self._choose_engine(service.name, candidates, request, is_loose)

    def shortlist(
        self,
        service: Service,
        candidates: Sequence[UpstreamEntry],
        call: CallTraits,
        excluded: frozenset[str],
        now_s: float,
        *,
        is_loose: bool,
        is_brief: bool = False,
        limited: Collection[str] = (),
    ) -> list[UpstreamEntry]:
        """Returns the upstreams whose load is asked for before placement.

        These are the ones that all hosts prefer for its shared parts, so that
        the parts are cached at few upstreams; where little is shared, some are
        drawn at random. Choosing the least busy of a few with a fresh load is
        nearly as good as knowing all loads, and requests do not crowd on the
        one upstream that seemed idle a moment ago.

        Args:
            service: Service that the request is for.
            candidates: Upstreams of the service that may get work, in an order
                that is the same at all hosts.
            call: The request.
            excluded: Incarnations that must not be chosen.
            now_s: Current time in seconds.
            is_loose: Whether its stream tolerates long inter-token gaps.
            is_brief: Whether to leave out the least useful, since few bytes are
                left to ask: loose streams hardly ever leave their lane.
            limited: Incarnations under a rate limit, as for `choose`.
        """
        own_count = OWN_LANE_SHORTLIST - is_brief
        if service.engine is None or not call.prompt:
            usable = [c for c in candidates if c.incarnation not in excluded]
            return self._rng.sample(usable, min(own_count, len(usable)))
        counts = {is_loose: own_count}
        if not (is_brief and is_loose):
            counts[not is_loose] = OTHER_LANE_SHORTLIST
        found: list[UpstreamEntry] = []
        for loose, count in counts.items():
            entries = [
                entry
                for entry in self._lane(
                    service.name, candidates, limited, now_s, is_loose=loose
                )
                if entry.incarnation not in excluded and entry not in found
            ]
            found += self._select(entries, call, count)
        return found

    def _select(
        self, entries: list[UpstreamEntry], call: CallTraits, count: int
    ) -> list[UpstreamEntry]:
        if len(entries) <= count:
            return entries
        shared = sum(part.tokens for part in call.prompt[:-1])
        if shared < MIN_REPORTED_TOKENS:
            return self._sample(entries, count)
        return preferred(entries, runs_of(call.prompt)[-1], count)

    def _sample(
        self, entries: list[UpstreamEntry], count: int
    ) -> list[UpstreamEntry]:
        """Returns a random sample: all but one with an idle connection.

        In a large fleet each host sends to any one upstream so seldom that its
        idle connection is closed before it is used again, unless the host
        prefers upstreams that it has used lately. The last one is drawn from
        all others, as are those that too few idle connections leave open.
        """
        kept = [e for e in entries if self._is_connected(e.incarnation)]
        found = self._rng.sample(kept, min(count - 1, len(kept)))
        others = [entry for entry in entries if entry not in found]
        return found + self._rng.sample(others, count - len(found))

    def begin(
        self,
        choice: Choice,
        call: CallTraits,
        now_s: float,
        *,
        is_loose: bool,
        urgency: int,
    ) -> PlacedRequest:
        """Records that a request was sent and returns it."""
        incarnation = choice.entry.incarnation
        if choice.tokens:
            self._demand.begin(
                choice.entry.service, choice.tokens, now_s, is_loose=is_loose
            )
        work = PlacedRequest(choice.entry, choice.tokens, urgency, is_loose)
        self._loads.begin(incarnation, work.tokens, urgency)
        self._cached.note(incarnation, call.prompt, now_s)
        return work

    def start(self, work: PlacedRequest) -> None:
        """Records that the first event of a request has arrived."""
        if not work.has_started:
            work.has_started = True
            self._loads.start(work.entry.incarnation, work.tokens, work.urgency)

    def end(self, work: PlacedRequest) -> None:
        """Records that a request has ended."""
        entry = work.entry
        self._loads.end(
            entry.incarnation,
            work.tokens,
            work.urgency,
            has_started=work.has_started,
        )
        if work.tokens:
            self._demand.end(entry.service, is_loose=work.is_loose)

    def _choose_plain(
        self,
        candidates: Sequence[UpstreamEntry],
        excluded: frozenset[str],
        among: Collection[str],
        now_s: float,
    ) -> Choice | NoUpstream:
        open_ones = [c for c in candidates if c.incarnation not in excluded]
        if not open_ones:
            return NoUpstream.NONE_KNOWN
        shortlisted = [c for c in open_ones if c.incarnation in among]
        free = [
            c
            for c in shortlisted
            if self._loads.at(c.incarnation, now_s).requests < c.slots
        ]
        open_ones = free or open_ones

        def cost(entry: UpstreamEntry) -> tuple[float, bool, float]:
            load = self._loads.at(entry.incarnation, now_s)
            is_remote = entry.data_centre != self._data_centre
            busy = load.requests / max(1, entry.slots)
            return busy, is_remote, self._rng.random()

        best = min(open_ones, key=cost)
        return Choice(best, 0, self._loads.at(best.incarnation, now_s).requests)

    def _lane(
        self,
        service: str,
        candidates: Sequence[UpstreamEntry],
        limited: Collection[str],
        now_s: float,
        *,
        is_loose: bool,
    ) -> Sequence[UpstreamEntry]:
        """Returns the upstreams of one lane, followed by all limited ones.

        Limited upstreams do not count towards a lane's size: a lane whose
        upstreams had all used up their rate limits would send its streams to
        the other lane.
        """
        if not limited:
            return self._lanes.of(service, candidates, now_s, is_loose=is_loose)
        free = [c for c in candidates if c.incarnation not in limited]
        limited_entries = [c for c in candidates if c.incarnation in limited]
        if not free:
            return limited_entries
        lane = self._lanes.of(service, free, now_s, is_loose=is_loose)
        return [*lane, *limited_entries]

    def _choose_engine(
        self,
        service: str,
        candidates: Sequence[UpstreamEntry],
        request: _PlacementRequest,
        is_loose: bool,
    ) -> Choice | NoUpstream:
        coverage = self._cached.missing(
            candidates, request.call.prompt, request.now_s
        )

        def cheapest(is_loose: bool) -> _CostedChoice | None:
            entries = self._lane(
                service,
                candidates,
                request.limited,
                request.now_s,
                is_loose=is_loose,
            )
            return self._cheapest(entries, request, coverage)

        own = cheapest(is_loose)
        other = cheapest(not is_loose)
        if own is None or other is None:
            found = own or other
            return found.choice if found is not None else NoUpstream.NONE_KNOWN
        overflow = LOOSE_OVERFLOW_TOKENS if is_loose else TIGHT_OVERFLOW_TOKENS
        return other.choice if own.cost > other.cost + overflow else own.choice

    def _cheapest(
        self,
        entries: Sequence[UpstreamEntry],
        request: _PlacementRequest,
        coverage: CacheCoverage,
    ) -> _CostedChoice | None:
        last = request.call.prompt[-1].tokens
        preferred_entry = coverage.preferred_entry(entries)
        slowness = self._speeds.slowness(entries, request.now_s)
        best: _CostedChoice | None = None
        for entry in entries:
            if entry.incarnation in request.excluded:
                continue
            missing_tokens = (
                0
                if entry is preferred_entry
                else coverage.missing_tokens[entry.incarnation]
            )
            tokens = last + min(missing_tokens, coverage.uncached_tokens)
            load = self._loads.at(entry.incarnation, request.now_s)
            queued = _queued_tokens(load, request.urgency)
            ahead = queued + _occupation_cost(load, request.urgency, entry)
            own_cost = (tokens + ahead) * slowness.get(entry.incarnation, 1.0)
            cost = own_cost + missing_tokens * MISSING_TOKEN_WEIGHT
            if not self._is_connected(entry.incarnation):
                cost += NEW_CONNECTION_TOKENS
            if best is None or cost < best.cost:
                source = coverage.source(
                    entry, preferred_entry, request.excluded
                )
                choice = Choice(entry, tokens, ahead, source, queued)
                best = _CostedChoice(cost, choice)
        return best


def _queued_tokens(load: Load, urgency: int) -> int:
    """Returns the prompt tokens that are prefilled before a new request's.

    Less urgent prompts that wait are prefilled after it, except for the one
    whose prefill has begun.
    """
    return load.tokens_ahead_of(urgency) + load.tokens_in_prefill(urgency)


def _occupation_cost(load: Load, urgency: int, entry: UpstreamEntry) -> int:
    """Returns the cost of running streams and of missing slots, in tokens."""
    beyond = load.requests_ahead_of(urgency) + 1 - entry.slots
    full = max(0, beyond) * QUEUED_REQUEST_TOKENS
    return load.running * RUNNING_STREAM_TOKENS + full
