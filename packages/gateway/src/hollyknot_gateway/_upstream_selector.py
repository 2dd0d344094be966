"""Selects the upstream of each try, or says why and how long there is none."""

from collections import Counter
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding import (
    BRIEF_RESERVE,
    PLAIN_RESERVE,
    Choice,
    GiveUp,
    NoUpstream,
    runs_of,
)
from hollyknot_coordination.suspects import Sendable
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._answers import RETRY_AFTER_S
from hollyknot_gateway._exchange import Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import UpstreamEntry

MIN_HIDDEN = 2
"""Least upstreams of a data centre that show a network partition."""

MAX_PERMITS_REFUSED = 3
"""Refused permits after which a request avoids rate-limited upstreams: asking
for a permit may take tens of milliseconds."""


class UpstreamSelector:
    """Selects among the upstreams that may get requests now."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the selector from the flow's parts."""
        self._parts = parts

    async def ask(self, job: Job, gate: Sendable) -> None:
        """Queries the current loads of a few upstreams before the choice.

        If no loads are queried, the choice is among all upstreams: a small
        sample with loads as old as the last reports would not represent them.
        """
        parts = self._parts
        reserve = 0.0 if job.call.prompt else PLAIN_RESERVE
        if not parts.neighbours.should_query_trackers(reserve):
            job.asked = ()
            return
        now = parts.clock()
        usable = self._usable(job)
        excluded = self.unreachable(usable) | job.tried
        excluded |= self._doubtful(usable, now)
        excluded |= gate.exclude
        excluded |= self.blocked(job, usable, now)
        job.asked = parts.placement.shortlist(
            job.service,
            usable,
            job.call,
            excluded,
            now,
            is_loose=job.is_loose,
            is_brief=not parts.neighbours.should_query_trackers(BRIEF_RESERVE),
            limited=parts.permits.limited(usable),
        )
        job.asked += self._pick_cold(job, excluded, usable)
        is_known = await parts.neighbours.ask(
            job.asked, runs_of(job.call.prompt)
        )
        asked_s = parts.clock() - now
        job.asked_s += asked_s
        outcome = "known" if is_known else "old"
        parts.metrics.observe(metrics.ASKED_SECONDS, asked_s, outcome=outcome)

    def _pick_cold(
        self,
        job: Job,
        excluded: frozenset[str],
        usable: Sequence[UpstreamEntry],
    ) -> list[UpstreamEntry]:
        """Returns a random cold upstream that may get a request, if any."""
        parts = self._parts
        permitted = [
            entry
            for entry in parts.cold_starts.permitted(usable, parts.clock())
            if entry.incarnation not in excluded and entry not in job.asked
        ]
        return [parts.rng.choice(permitted)] if permitted else []

    def blocked(
        self, job: Job, entries: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that must not be sent a request now.

        These upstreams are cold without a permit for a request, are brittle and
        have no slot for this host, are of another version than the one that
        began or was to begin the stream, have used up their rate limit, or are
        rate-limited after `MAX_PERMITS_REFUSED` permits were refused.
        """
        parts = self._parts
        blocked = parts.cold_starts.blocked(entries, now_s)
        blocked |= parts.brittle.blocked(entries, now_s)
        blocked |= other_versions(job, entries)
        blocked |= parts.permits.blocked(
            entries, now_s, is_least_urgent=job.is_least_urgent
        )
        if job.permits_refused >= MAX_PERMITS_REFUSED:
            blocked |= {
                entry.incarnation
                for entry in entries
                if parts.permits.is_limited(entry)
            }
        return blocked | self._second_versions(job, entries, blocked)

    def _second_versions(
        self,
        job: Job,
        entries: Sequence[UpstreamEntry],
        blocked: frozenset[str],
    ) -> frozenset[str]:
        """Returns the upstreams of versions that a stream was not sent to.

        A request leaves the parts of its prompt at upstreams before its first
        event. Tries at one version keep these a proof of the version, so that
        others are used only if that one has no upstream left, and none if a run
        may have left a copy.
        """
        version = job.tried_version
        is_fixed = job.version is not None or version is None
        if not job.route.may_resume or is_fixed or not job.may_have_run:
            return frozenset()
        others = frozenset(
            entry.incarnation for entry in entries if entry.version != version
        )
        if not others:
            return others
        excluded = others | blocked | job.tried | self.unreachable(entries)
        is_left = any(e.incarnation not in excluded for e in entries)
        return others if is_left or job.is_copied else frozenset()

    def reaches_none(self, job: Job) -> bool:
        """Whether all upstreams that may get a request are unreachable.

        It is false if there is no such upstream: then a peer knows none either.
        """
        parts = self._parts
        now = parts.clock()
        usable = self._usable(job)
        excluded = job.tried | self.blocked(job, usable, now)
        left = [e for e in usable if e.incarnation not in excluded]
        return bool(left) and len(self.unreachable(left)) == len(left)

    def other_slot_owners(self, job: Job) -> frozenset[int]:
        """Returns the peers to ask for a slot if this host has none.

        Returns:
            The incarnations of the peers that own slots of the upstreams; none
            if this host has a free slot, or if the service is not brittle.
        """
        parts = self._parts
        now = parts.clock()
        usable = self._usable(job)
        blocked = parts.brittle.blocked(usable, now)
        if not blocked:
            return frozenset()
        unreachable = self.unreachable(usable)
        excluded = job.tried | unreachable | other_versions(job, usable)
        left = [e for e in usable if e.incarnation not in excluded]
        if any(entry.incarnation not in blocked for entry in left):
            return frozenset()
        return parts.brittle.other_owners(left)

    def no_upstream_result(self, job: Job) -> Result:
        """Returns the result of a request that no upstream can be sent."""
        parts = self._parts
        now = parts.clock()
        usable = self._usable(job)
        wait_s = parts.permits.shortest_wait_s(
            usable, now, is_least_urgent=job.is_least_urgent
        )
        if wait_s is None:
            is_rest = parts.in_force.registry.resting(job.service.name, now)
            reason = Reason.UPSTREAMS_RESTING if is_rest else Reason.NO_UPSTREAM
            return Result(Verdict(Outcome.NOT_RUN, reason))
        verdict = Verdict(
            Outcome.NOT_RUN,
            Reason.RATE_LIMITED,
            retry_after_s=max(wait_s, RETRY_AFTER_S),
        )
        return Result(verdict)

    def with_return_time(self, job: Job, step: GiveUp) -> GiveUp:
        """Adds to a refusal from when an upstream may take the request.

        This is known if all upstreams rest, or if those that turned the request
        away are excluded since then and there are others.
        """
        verdict = step.verdict
        is_limited = verdict.reason is Reason.RATE_LIMITED
        if self._usable(job) and not is_limited:
            if self._is_refused_by_excluded(job, verdict):
                return attrs.evolve(step, return_s=0.0)
            return step
        rest_left_s = self._shortest_rest_s(job)
        if rest_left_s is None:
            return step
        if is_limited and verdict.retry_after_s <= rest_left_s:
            return step
        return attrs.evolve(step, return_s=rest_left_s)

    def _usable(self, job: Job) -> list[UpstreamEntry]:
        parts = self._parts
        return parts.in_force.registry.usable(job.service.name, parts.clock())

    def unreachable(self, entries: Sequence[UpstreamEntry]) -> frozenset[str]:
        """Returns the incarnations that no request can be sent to.

        An upstream that refuses new connections can be sent one on an idle
        connection.
        """
        parts = self._parts
        return frozenset(
            incarnation
            for incarnation in parts.reachability.unreachable(entries)
            if not (
                parts.reachability.is_refusing(incarnation)
                and parts.pool.has_idle(incarnation)
            )
        )

    def are_hidden(self, service: str) -> bool:
        """Whether a network partition seems to hide upstreams of a service.

        All upstreams of a data centre then ignore connections. A single one
        that does so may have crashed.
        """
        parts = self._parts
        serving = parts.in_force.registry.all_serving(parts.clock())
        unreachable = parts.reachability.unreachable(serving)
        silent: Counter[str] = Counter()
        answering = set()
        for entry in serving:
            name = entry.incarnation
            if name in unreachable and not parts.reachability.is_refusing(name):
                silent[entry.data_centre] += 1
            else:
                answering.add(entry.data_centre)
        hidden = {
            data_centre
            for data_centre, count in silent.items()
            if data_centre not in answering and count >= MIN_HIDDEN
        }
        return any(
            entry.service == service and entry.data_centre in hidden
            for entry in serving
        )

    def _doubtful(
        self, usable: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that get requests only if no other can."""
        parts = self._parts
        return parts.health.ejected(usable, now_s) | parts.rests.on_trial(now_s)

    def _is_refused_by_excluded(self, job: Job, verdict: Verdict) -> bool:
        """Whether only upstreams refused it that get no more requests now."""
        if verdict.reason is not Reason.UPSTREAM_REFUSED:
            return False
        now = self._parts.clock()
        registry = self._parts.in_force.registry
        return not any(registry.is_usable(name, now) for name in job.tried)

    def _shortest_rest_s(self, job: Job) -> float | None:
        """Returns when the first upstream's rest ends; None if none rests."""
        parts = self._parts
        resting = parts.in_force.registry.resting(
            job.service.name, parts.clock()
        )
        return min(map(parts.notices.rest_left_s, resting), default=None)

    def choose(self, job: Job, gate: Sendable) -> Choice | NoUpstream:
        """Returns the upstream to send a request to next."""
        parts = self._parts
        now = parts.clock()
        usable = self._usable(job)
        unreachable = self.unreachable(usable) | gate.exclude
        doubtful = self._doubtful(usable, now)
        blocked = self.blocked(job, usable, now)
        limited = parts.permits.limited(usable)
        chosen: Choice | NoUpstream = NoUpstream.NONE_KNOWN
        # An upstream that fails often, has just rested or was unreachable
        # lately is better than none: the exclusions are relaxed step by step.
        avoidances = [unreachable | doubtful, unreachable, frozenset[str]()]
        if job.relayed_for:
            # Other peers may reach an upstream.
            avoidances.pop()
        for avoided in avoidances:
            chosen = parts.placement.choose(
                job.service,
                usable,
                job.call,
                job.tried | avoided | blocked,
                now,
                is_loose=job.is_loose,
                urgency=job.urgency,
                among=frozenset(entry.incarnation for entry in job.asked),
                limited=limited,
            )
            if isinstance(chosen, Choice):
                job.was_unreachable = chosen.entry.incarnation in unreachable
                break
        return chosen


def other_versions(
    job: Job, entries: Sequence[UpstreamEntry]
) -> frozenset[str]:
    """Returns the upstreams that can't go on with the stream of a request."""
    if job.version is None:
        return frozenset()
    return frozenset(
        entry.incarnation for entry in entries if entry.version != job.version
    )
