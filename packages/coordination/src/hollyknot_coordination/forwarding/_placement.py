"""Chooses an upstream among those that may get work."""

import enum
import random
from collections.abc import Callable, Collection, Sequence

import attrs

from hollyknot_coordination.forwarding._cached_parts import (
    MIN_REPORTED_TOKENS,
    CacheCoverage,
    CachedParts,
    preferred,
    runs_of,
)
from hollyknot_coordination.forwarding._lanes import Demand, Lanes
from hollyknot_coordination.forwarding._loads import Loads
from hollyknot_state.routes import CallTraits, Service, UpstreamEntry

MISSING_TOKEN_WEIGHT = 1.0
"""What a token costs that an upstream lacks although another one has it cached,
beside the time to read it: an upstream has to be busier by this many tokens
before a session is moved. Mostly what lacks is fetched, but it then takes
memory at both."""

RUNNING_STREAM_TOKENS = 100
"""What a running stream counts, in tokens to be read in: each makes each step
of its engine a little longer."""

TIGHT_OVERFLOW_TOKENS = 5_000
"""How much more work the lane of tight streams has to have before one goes to
the other lane: that of 50 more running streams. Where a lane of few upstreams
fills its slots, streams put each other back and pause for longer than beside a
prompt."""

LOOSE_OVERFLOW_TOKENS = 200_000
"""The same for loose streams. Each of their long prompts makes most streams
late that it is put beside, so that they wait for seconds rather."""

QUEUED_REQUEST_TOKENS = 40_000
"""What each request beyond an upstream's slots counts: it waits for another
one to end. Less urgent ones do not count, since they are put back for it."""


NEW_CONNECTION_TOKENS = 200
"""What a connection that is to be made first counts: an engine reads so many
tokens in a round trip or two."""

OWN_LANE_SHORTLIST = 3
"""Upstreams of a request's lane whose trackers are asked before it is placed:
the least busy of a few is nearly as good as that of all."""

OTHER_LANE_SHORTLIST = 1
"""The same of the other lane, where the request goes if its own is full."""


class NoUpstream(enum.Enum):
    """No upstream can take a request."""

    NONE_KNOWN = "no-upstream"


def _not_connected(_: str) -> bool:
    return False


@attrs.frozen
class Choice:
    """Where a request is to go.

    Attributes:
        entry: The upstream.
        tokens: Of its prompt, those that are likely to be read in there.
        ahead: What was in flight there, in tokens.
        source: From which upstream it can fetch cached parts of the prompt
            that it lacks; None for none.
    """

    entry: UpstreamEntry
    tokens: int
    ahead: int
    source: UpstreamEntry | None = None


@attrs.define
class PlacedRequest:
    """One request at one upstream.

    Attributes:
        entry: The upstream.
        tokens: To be read in before its first event.
        urgency: Its urgency.
        is_loose: Whether its stream bears long pauses.
        has_started: Whether its first event is out.
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
    """A request that looks for a place at an engine."""

    call: CallTraits
    excluded: frozenset[str]
    now_s: float
    urgency: int
    limited: Collection[str]


class Placement:
    """The choice of an upstream, and the loads that it follows from."""

    def __init__(
        self,
        loads: Loads,
        demand: Demand,
        cached: CachedParts,
        data_centre: str,
        rng: random.Random,
        is_connected: Callable[[str], bool] = _not_connected,
    ) -> None:
        """Starts with nothing learnt.

        Args:
            loads: Work in flight.
            demand: Prompt tokens that are sent, by lane.
            cached: Which upstream has which parts of prompts.
            data_centre: This host's; preferred where nothing else decides.
            rng: Breaks ties, so that hosts do not all choose the same.
            is_connected: Whether a connection is kept to an incarnation, over
                which a request can be sent at once.
        """
        self._loads = loads
        self._data_centre = data_centre
        self._rng = rng
        self._is_connected = is_connected
        self._demand = demand
        self._lanes = Lanes(demand)
        self._cached = cached

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
        """Returns where a request is to go.

        Args:
            service: The service.
            candidates: Its upstreams that may get work, in an order that is
                the same at all hosts.
            call: The request.
            excluded: Incarnations that it was sent to before.
            now_s: The time.
            is_loose: Whether its stream bears long pauses.
            urgency: The same at all hosts; 0 is the first.
            among: Incarnations whose loads were asked for; empty for none. Only
                if none of them may be chosen, any other one is.
            limited: Incarnations that take few requests only. They belong to
                both lanes and to the size of neither.
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
        limited: Collection[str] = (),
    ) -> list[UpstreamEntry]:
        """Returns upstreams to ask for before a request is placed.

        Those that all hosts prefer for its shared parts, so that these are
        cached at a few; where little is shared, some at random. Choosing the
        least busy of a few that are known is nearly as good as knowing all,
        and no two requests crowd on the one that seemed idle a moment ago.

        Args:
            service: The service.
            candidates: Its upstreams that may get work, in an order that is
                the same at all hosts.
            call: The request.
            excluded: Incarnations that it is not to go to.
            now_s: The time.
            is_loose: Whether its stream bears long pauses.
            limited: As of `choose`.
        """
        if service.engine is None or not call.prompt:
            usable = [c for c in candidates if c.incarnation not in excluded]
            return self._rng.sample(
                usable, min(OWN_LANE_SHORTLIST, len(usable))
            )
        found: list[UpstreamEntry] = []
        for loose, count in (
            (is_loose, OWN_LANE_SHORTLIST),
            (not is_loose, OTHER_LANE_SHORTLIST),
        ):
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
        """Returns some by chance: most with a kept connection, one of all.

        One of many hosts sends to an upstream so seldom that a connection
        that is kept for it is closed before it is used again, unless the host
        goes back to where it has just been.
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
        """Notes that a request was sent."""
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
        """Notes that its first event is out."""
        if not work.has_started:
            work.has_started = True
            self._loads.start(work.entry.incarnation, work.tokens, work.urgency)

    def end(self, work: PlacedRequest) -> None:
        """Notes that it has ended."""
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
        request = [c for c in open_ones if c.incarnation in among]
        free = [
            c
            for c in request
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
        """Returns the upstreams of one lane, and those with a limit.

        A lane whose upstreams have used up their limits would send its streams
        to the other one.
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
            ahead = self._load_cost(entry, request.urgency, request.now_s)
            cost = tokens + ahead + missing_tokens * MISSING_TOKEN_WEIGHT
            if not self._is_connected(entry.incarnation):
                cost += NEW_CONNECTION_TOKENS
            if best is None or cost < best.cost:
                source = coverage.source(
                    entry, preferred_entry, request.excluded
                )
                best = _CostedChoice(cost, Choice(entry, tokens, ahead, source))
        return best

    def _load_cost(
        self, entry: UpstreamEntry, urgency: int, now_s: float
    ) -> int:
        """Returns what is in flight at an upstream, in tokens.

        Less urgent prompts that wait there are read in later, but for one.
        """
        load = self._loads.at(entry.incarnation, now_s)
        beyond = load.requests_ahead_of(urgency) + 1 - entry.slots
        full = max(0, beyond) * QUEUED_REQUEST_TOKENS
        running = load.running * RUNNING_STREAM_TOKENS
        prefilling = load.tokens_in_prefill(urgency)
        return load.tokens_ahead_of(urgency) + prefilling + running + full
