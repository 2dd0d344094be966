"""Queries trackers for loads before a request is placed, and sends them notes.

A note reports the in-flight work of this host to a tracker.
This module decides what is sent to which tracker; the caller sends the messages
and keeps the time. If a tracker does not answer in time, the request is placed
by the loads in the reports of peers.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding.peers._tracked_loads import (
    RENEW_S,
    TrackedLoads,
)
from hollyknot_coordination.forwarding.peers._trackers import Tracker, Trackers
from hollyknot_coordination.forwarding.placement._cached_parts import (
    CachedParts,
)
from hollyknot_coordination.forwarding.placement._demand import Demand
from hollyknot_coordination.forwarding.placement._forecasts import Forecasts
from hollyknot_coordination.forwarding.placement._lane_shares import LaneShares
from hollyknot_coordination.forwarding.placement._loads import Loads
from hollyknot_coordination.forwarding.speeds import Speeds
from hollyknot_state import (
    LoadAnswer,
    LoadNote,
    LoadQuery,
    ServiceWork,
    short_name,
)
from hollyknot_state.routes import UpstreamEntry

MIN_INTERVAL_TO_QUERY_S = 0.4
"""Usual time in seconds between two reports of a peer from which trackers are
queried. Below it, reports that cover all upstreams are worth more than answers
about the four of a shortlist. About ten hosts get reports of each other several
times a second, hundreds of hosts every few seconds."""

MIN_INTERVAL_TO_NOTE_S = MIN_INTERVAL_TO_QUERY_S / 2
"""Usual time in seconds between two reports of a peer from which trackers are
sent notes. It is lower than the one for queries since hosts measure different
intervals, and a host that queries relies on the notes of all hosts."""

ANSWER_TIMEOUT_S = 0.01
"""Longest wait for answers in seconds: three round trips between data centres
of a region. Callers accept a few hundred milliseconds until the first event."""

PLAIN_RESERVE = 0.5
"""Fraction of the bytes for queries that requests without a prompt leave to the
others: any upstream of a plain service takes about as long as the next."""

SIZER_RESERVE = -1.0
"""The same of the host that sizes the lanes for all: it needs answers most when
all hosts have spent their bytes, and it is one host."""

BRIEF_RESERVE = 0.5
"""Fraction of the bytes for queries below which requests ask about fewer
upstreams: two fresh loads are worth more than none for some requests."""

FULL_ANSWER_EVERY = 4
"""One in this many answers tells what seldom changes. A host gets some tens of
answers a second, and each byte more means fewer queries."""

Tell = Callable[[float], tuple[ServiceWork, ...]]
"""Returns what an answer tells of customers' work at a time in seconds."""

Hear = Callable[[int, tuple[ServiceWork, ...], float], None]
"""Takes what an answer told: the host's incarnation, the work, the time."""

_MAX_QUERY_NUMBER = 2**31 - 1
"""Largest number of a query; the next query has the number 1."""


@attrs.define(eq=False)
class Inquiry:
    """Queries to the trackers of some upstreams, for one request.

    Attributes:
        sent: Queries to send, each with its tracker.
        on_done: Called when all trackers have answered; set by the caller that
            waits for it.
    """

    sent: list[tuple[Tracker, LoadQuery]] = attrs.Factory(list)
    on_done: Callable[[], None] = lambda: None


@attrs.frozen
class _Waiting:
    """A query that its tracker has not answered yet."""

    tracker: Tracker
    query: LoadQuery
    inquiry: Inquiry


class Inquiries:
    """One host's queries and notes to trackers, and its answers as one."""

    def __init__(
        self,
        incarnation: int,
        trackers: Trackers,
        loads: Loads,
        cached: CachedParts,
        forecasts: Forecasts,
        demand: Demand,
        speeds: Speeds,
        lane_shares: LaneShares,
        *,
        tell: Tell = lambda _: (),
        hear: Hear = lambda *_: None,
    ) -> None:
        """Creates the state of a host that has not queried any tracker.

        Args:
            incarnation: Incarnation of this process.
            trackers: Finds the tracker of each upstream.
            loads: This host's in-flight work, which notes report; answers add
                the work of other hosts to it.
            cached: Prompt prefixes that upstreams have cached, reported and
                completed likewise.
            forecasts: Pace of upstreams' streams, reported and completed
                likewise.
            demand: Demand by lane; answers to a sizer of lanes tell this
                host's own, and those to this host are added.
            speeds: Speeds of upstreams, reported and completed likewise.
            lane_shares: Sizes of lanes, told and completed in answers.
            tell: Returns the work of customers that an answer tells now.
            hear: Takes the work that another host's answer tells.
        """
        self._incarnation = incarnation
        self._trackers = trackers
        self._loads = loads
        self._cached = cached
        self._forecasts = forecasts
        self._demand = demand
        self._speeds = speeds
        self._lane_shares = lane_shares
        self._tell = tell
        self._hear = hear
        self._tracked = TrackedLoads(cached)
        self._number = 0
        self._sequence = 0
        self._answers = 0
        self._waiting: dict[int, _Waiting] = {}
        self._last_renewal_s = float("-inf")

    def ask(
        self,
        entries: Sequence[UpstreamEntry],
        runs: tuple[int, ...],
        now_s: float,
    ) -> Inquiry:
        """Returns queries for the loads of some upstreams.

        Loads of upstreams that this host tracks itself are applied at once.

        Args:
            entries: The upstreams.
            runs: Short names of the shared prefixes of the request's prompt.
            now_s: The time.
        """
        inquiry = Inquiry()
        for tracker, upstreams in self._by_tracker(entries, now_s):
            names = tuple(short_name(e.incarnation) for e in upstreams)
            self._number = self._number % _MAX_QUERY_NUMBER + 1
            query = LoadQuery(
                self._incarnation,
                self._number,
                names,
                runs,
                self._lane_shares.is_sizer(now_s),
            )
            if tracker is None:
                self._apply(self._tracked.answer(query, now_s), now_s)
                continue
            inquiry.sent.append((tracker, query))
            self._waiting[query.number] = _Waiting(tracker, query, inquiry)
        return inquiry

    def answer(self, query: LoadQuery, now_s: float) -> LoadAnswer:
        """Answers the query of another host, as a tracker."""
        self._answers += 1
        is_full = self._answers % FULL_ANSWER_EVERY == 0
        answer = self._tracked.answer(query, now_s)
        demands = self._demand.to_report(now_s) if query.wants_demands else ()
        return attrs.evolve(
            answer,
            demands=demands,
            speeds=answer.speeds if is_full else (),
            lane_shares=self._lane_shares.to_tell(now_s, only_news=not is_full),
            work=self._tell(now_s),
        )

    def handle_answer(self, answer: LoadAnswer, now_s: float) -> None:
        """Applies an answer; one that is late still serves later requests."""
        self._apply(answer, now_s)
        waiting = self._waiting.pop(answer.number, None)
        if waiting is None:
            return
        host = waiting.tracker.incarnation
        self._trackers.answered(waiting.tracker)
        if waiting.query.wants_demands:
            self._demand.apply_answered(host, answer.demands, now_s)
        self._hear(host, answer.work, now_s)
        inquiry = waiting.inquiry
        if not any(w.inquiry is inquiry for w in self._waiting.values()):
            inquiry.on_done()

    def give_up(self, inquiry: Inquiry, now_s: float) -> list[Tracker]:
        """Ends an inquiry; each tracker that has not answered counts as a miss.

        Returns:
            Trackers that are skipped from now on, for a while.
        """
        silent = []
        for tracker, query in inquiry.sent:
            if self._waiting.pop(query.number, None) is None:
                continue
            if self._trackers.missed(tracker, now_s):
                silent.append(tracker)
        return silent

    def handle_note(self, note: LoadNote, now_s: float) -> None:
        """Applies a host's note, as a tracker."""
        self._tracked.apply_note(note, now_s)

    def notes(
        self,
        entry_of: Callable[[str], UpstreamEntry | None],
        now_s: float,
    ) -> list[tuple[Tracker, LoadNote]]:
        """Returns the notes to send to trackers now.

        They hold the work that has changed since the last call, and every
        `RENEW_S` all of it.

        Args:
            entry_of: Returns a known upstream by its incarnation.
            now_s: The time.
        """
        names = self._loads.pop_changed()
        if now_s - self._last_renewal_s >= RENEW_S:
            self._last_renewal_s = now_s
            names |= set(self._loads.busy)
            self._tracked.expire(now_s)
        found = (entry_of(name) for name in sorted(names))
        entries = [entry for entry in found if entry is not None]
        return self._notes_of(entries, now_s)

    def _notes_of(
        self, entries: Iterable[UpstreamEntry], now_s: float
    ) -> list[tuple[Tracker, LoadNote]]:
        self._sequence += 1
        notes = []
        for tracker, upstreams in self._by_tracker(entries, now_s):
            names = [entry.incarnation for entry in upstreams]
            uses = tuple(self._loads.use_of(name) for name in names)
            paces = (self._forecasts.pace(name, now_s) for name in names)
            speeds = (self._speeds.pop_unsent(use.upstream) for use in uses)
            held = tuple(
                held
                for use in uses
                for held in self._cached.pop_untracked(use.upstream)
            )
            note = LoadNote(
                self._incarnation,
                self._sequence,
                uses,
                held,
                tuple(pace for pace in paces if pace is not None),
                tuple(speed for speed in speeds if speed is not None),
            )
            if tracker is None:
                self._tracked.apply_note(note, now_s)
            else:
                notes.append((tracker, note))
        return notes

    def _by_tracker(
        self, entries: Iterable[UpstreamEntry], now_s: float
    ) -> Iterable[tuple[Tracker | None, list[UpstreamEntry]]]:
        found: dict[int, tuple[Tracker | None, list[UpstreamEntry]]] = {}
        for entry in entries:
            tracker = self._trackers.of(entry, now_s)
            key = tracker.incarnation if tracker else self._incarnation
            found.setdefault(key, (tracker, []))[1].append(entry)
        return found.values()

    def _apply(self, answer: LoadAnswer, now_s: float) -> None:
        self._loads.add_tracked(answer.uses, now_s)
        self._forecasts.apply_reported(answer.paces, now_s)
        self._speeds.apply_answered(answer.speeds, now_s)
        self._lane_shares.apply_told(answer.lane_shares, now_s)
        self._cached.apply_reported(answer.held, now_s)
