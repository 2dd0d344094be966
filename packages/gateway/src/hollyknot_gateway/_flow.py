"""Handles one request from its arrival to its verdict."""

import asyncio

import attrs

from hollyknot_coordination.forwarding import (
    SHED_RETRY_AFTER_S,
    Choice,
    GiveUp,
    NoOwner,
    NoRoute,
    RouteIndex,
    TooSlow,
    TryAnother,
    TryState,
    give_up,
    is_number,
    next_step,
)
from hollyknot_coordination.suspects import Refuse, Sendable
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._answers import Answers
from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._copy_tries import CopyTries
from hollyknot_gateway._customer_refusals import refusal_by_load
from hollyknot_gateway._exchange import Result
from hollyknot_gateway._flow_parts import FlowParts
from hollyknot_gateway._job import Job, identify
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._relay_sender import RelaySender
from hollyknot_gateway._reply import Reply
from hollyknot_gateway._suspect_gate import SuspectGate
from hollyknot_gateway._take_ups import UNKNOWN_RETRY_S
from hollyknot_gateway._tries import Tries
from hollyknot_gateway._upstream_selector import UpstreamSelector
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import (
    CallTraits,
    KeyOwner,
    Route,
    RouteKind,
    Service,
)

_NOT_FOUND = 404
_UNAUTHORISED = 401
_UNAVAILABLE = 503

UNREACHABLE_RETRY_S = 5.0
"""Mean Retry-After in seconds while a network partition hides upstreams that
may have begun a stream. It mostly lasts longer than a search, and callers come
back a few times only."""

_UNREACHABLE = "upstreams that may have begun the stream are unreachable"
_NOT_RESUMABLE = "streams of the route may not be resumed"
_MADE_UP = "no run has made the event that the caller names"
_LOST = frozenset({Reason.UPSTREAM_LOST, Reason.TRUNCATED})
"""Reasons of tries that were lost with their upstream or its connection."""


@attrs.frozen
class _Found:
    """What the head of a request that is accepted names."""

    index: RouteIndex
    route: Route
    owner: KeyOwner | NoOwner
    limit_s: float


class Flow:
    """Routes requests to upstreams and gives each exactly one answer."""

    def __init__(self, parts: FlowParts) -> None:
        """Builds the flow from its parts."""
        self._parts = parts
        self._selector = UpstreamSelector(parts)
        self._tries = Tries(parts, self._selector)
        self._copies = CopyTries(parts, self._selector, self._tries)
        self._relay = RelaySender(parts, self._selector)
        self._answers = Answers(parts)
        self._suspect_gate = SuspectGate(parts)

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Handles one request until it is answered, late or cancelled."""
        call = self._parts.dialect.read_call(request.fields)
        found = self._find(request, call)
        if isinstance(found, GiveUp):
            self._answers.refuse(reply, call, found, None)
            return
        job = self._job(request, reply, call, found)
        await self.serve(job)
        took_s = self._parts.clock() - request.arrived_s
        self._parts.metrics.observe(
            metrics.ANSWER_SECONDS, took_s, route=job.route.name
        )

    def check(self, head: CallerRequest) -> float | GiveUp:
        """Decides on a request whose body is still arriving.

        Returns:
            Its time limit in seconds, or why it is refused whatever its body.
        """
        call = self._parts.dialect.read_call(head.fields)
        found = self._find(head, call)
        return found if isinstance(found, GiveUp) else found.limit_s

    def refuse(
        self, head: CallerRequest, reply: Reply, refusal: GiveUp
    ) -> None:
        """Answers a request whose body won't be read to its end."""
        call = self._parts.dialect.read_call(head.fields)
        self._answers.refuse(reply, call, refusal, None)

    async def serve(self, job: Job) -> None:
        """Runs a request until it is answered, late or cancelled."""
        grace = self._parts.grace
        end_s = grace.end_s(job.deadline_s)
        if self._parts.clock() >= end_s:
            # The timeout below ends it at its first wait only.
            self._answers.time_out(job)
            return
        limit = asyncio.timeout_at(end_s)
        grace.add(limit)
        try:
            async with limit:
                await self._run(job)
        except TimeoutError:
            self._answers.time_out(job)
        except asyncio.CancelledError:
            self._answers.caller_gone(job)
            raise
        finally:
            grace.discard(limit)

    def _find(
        self, request: CallerRequest, call: CallTraits
    ) -> _Found | GiveUp:
        """Returns what a request's head names, or why it is refused."""
        index = self._parts.in_force.index
        if index is None or not self._parts.in_force.has_upstreams:
            return _not_run(_UNAVAILABLE, Reason.NOT_READY)
        host = request.fields.get("Host", "")
        route = index.find(host, request.target)
        if isinstance(route, NoRoute):
            return _not_run(_NOT_FOUND, Reason.UNKNOWN_SERVICE)
        owner = index.owner(route, call.key)
        if owner is NoOwner.UNKNOWN:
            return _not_run(_UNAUTHORISED, Reason.BAD_KEY)
        limit_s = route.timeout_s
        if call.budget_s is not None:
            limit_s = min(limit_s, call.budget_s)
        return _Found(index, route, owner, limit_s)

    def _job(
        self,
        request: CallerRequest,
        reply: Reply,
        call: CallTraits,
        found: _Found,
    ) -> Job:
        index, route, owner = found.index, found.route, found.owner
        service = self._service(route, index.table.services)
        return Job(
            request=request,
            reply=reply,
            call=call,
            route=route,
            service=service,
            owner=owner,
            identity=identify(request, call, service),
            urgency=index.urgency(route, owner),
            is_loose=index.is_loose(route, service.name),
            shed_from_urgency=index.shed_from_urgency(service.name),
            deadline_s=request.arrived_s + found.limit_s,
        )

    def _service(self, route: Route, services: dict[str, Service]) -> Service:
        shares = route.shares
        share = shares[0]
        if len(shares) > 1:
            weights = [s.weight for s in shares]
            share = self._parts.rng.choices(shares, weights)[0]
        return services.get(share.service) or Service(share.service)

    async def _run(self, job: Job) -> None:
        parts = self._parts
        refusal = await self._find_place(job)
        if not job.relayed_for:
            parts.budget.on_first_try(job.service.name, parts.clock())
        if refusal is not None:
            self._answers.give_up(job, Result(refusal.verdict), refusal)
            return
        if job.call.prompt:
            parts.forecasts.note_request(job.route.name, job.call.answer_tokens)
        result = Result(Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
        while True:
            step = await self._attempt(job, result)
            if isinstance(step, GiveUp):
                self._answers.give_up(job, result, step)
                return
            result = step
            job.was_lost = result.verdict.reason in _LOST
            if self._answers.answer_if_settled(job, result):
                return
            following = self._following(job, result)
            if isinstance(following, GiveUp):
                if following.is_budget_spent:
                    self._log_retry(job, is_sent=False)
                refusal = self._selector.with_return_time(job, following)
                self._answers.give_up(job, result, refusal)
                return
            if following.is_retry:
                parts.budget.spend(job.service.name, parts.clock())
                self._log_retry(job, is_sent=True)

    async def _find_place(self, job: Job) -> GiveUp | None:
        """Has a request go on at the service that began its stream, if any.

        Returns:
            The refusal of a request that must not be sent.
        """
        fault = self._place_fault(job)
        if fault:
            verdict = Verdict(
                Outcome.NOT_RUN,
                Reason.VERSION_UNKNOWN,
                fault,
                retry_after_s=UNKNOWN_RETRY_S,
            )
            return give_up(verdict, self._try_state(job))
        if not job.route.may_resume:
            # Elsewhere the header names no place in a stream.
            job.call = attrs.evolve(job.call, last_event_id="")
        services = job.route.services
        if not job.is_take_up or job.relayed_for or len(services) == 1:
            return None
        take_ups = self._parts.neighbours.take_ups
        found = await take_ups.find_service(job, services)
        if isinstance(found, Verdict):
            return self._give_up_unknown(job, found)
        if found != job.service.name:
            self._move(job, found)
        return None

    def _place_fault(self, job: Job) -> str:
        """Returns why no run goes on after the event that a caller names."""
        after = job.call.last_event_id
        if not after or job.route.kind is not RouteKind.STREAM:
            return ""
        if not job.route.may_resume:
            return _NOT_RESUMABLE
        is_promised = self._parts.dialect.numbers_events
        return _MADE_UP if is_promised and not is_number(after) else ""

    def _move(self, job: Job, name: str) -> None:
        """Gives a request to another service of its route."""
        index = self._parts.in_force.index
        services = index.table.services if index is not None else {}
        job.service = services.get(name) or Service(name)
        job.identity = identify(job.request, job.call, job.service)
        if index is not None:
            job.is_loose = index.is_loose(job.route, name)
            job.shed_from_urgency = index.shed_from_urgency(name)

    async def _attempt(self, job: Job, last: Result) -> Result | GiveUp:
        """Makes one try, through a peer if this host reaches no upstream.

        Args:
            job: The request.
            last: The result of the try before.

        Returns:
            The result of the last try, or the refusal of a request that must
            not be sent.
        """
        job.is_without_slot = False
        if self._parts.grace.is_too_late(job):
            return self._too_late(job, last)
        gate = self._suspect_gate.check(job)
        if isinstance(gate, Refuse):
            return give_up(gate.verdict, self._try_state(job))
        unknown = await self._resolve_version(job)
        if unknown is not None:
            result = await self._resume_copy(job, gate)
            return result or self._give_up_unknown(job, unknown)
        peer = self._relay.peer_for(job)
        if peer is not None:
            refusal = await self._refusal(job, gate)
            return refusal or await self._relay.run(job, peer)
        choice = await self._choose(job, gate)
        if not isinstance(choice, Choice):
            return choice or self._without_choice(job, last)
        refusal = await self._refusal(job, gate)
        return refusal or await self._tries.run(job, choice)

    async def _resume_copy(
        self, job: Job, gate: Sendable
    ) -> Result | GiveUp | None:
        """Goes on with a stream of unknown version from a copy, if any."""
        if not self._copies.may_exist(job):
            return None
        refusal = await self._refusal(job, gate)
        return refusal or await self._copies.run(job, gate)

    def _give_up_unknown(self, job: Job, unknown: Verdict) -> GiveUp:
        """Refuses to go on with a stream of unknown version."""
        if self._selector.are_hidden(job.service.name):
            unknown = attrs.evolve(
                unknown,
                detail=_UNREACHABLE,
                retry_after_s=UNREACHABLE_RETRY_S,
            )
        return give_up(unknown, self._try_state(job))

    async def _refusal(self, job: Job, gate: Sendable) -> GiveUp | None:
        """Returns why a suspect must not be tried now, or None if it may be."""
        denied = await self._suspect_gate.ask(job, gate)
        if denied is None:
            return None
        return give_up(denied.verdict, self._try_state(job))

    async def _choose(self, job: Job, gate: Sendable) -> Choice | GiveUp | None:
        """Chooses an upstream and admits the request.

        Returns:
            The upstream; the refusal of a request that is not admitted; None if
            there is no upstream.
        """
        await self._selector.ask(job, gate)
        # Admission is decided once: an admitted request is not shed later
        # because its first upstream could not be connected to.
        refusal = None if job.is_admitted else self._shed_by_load(job)
        if refusal is not None:
            return refusal
        choice = self._selector.choose(job, gate)
        if not isinstance(choice, Choice):
            return None
        too_slow = None if job.is_admitted else self._shed_by_time(job, choice)
        if too_slow is not None:
            return too_slow
        job.is_admitted = True
        return choice

    async def _resolve_version(self, job: Job) -> Verdict | None:
        """Returns why a request must not go on with its stream, if so."""
        parts = self._parts
        if not job.route.may_resume:
            return None
        by_service = parts.in_force.registry.by_service(parts.clock())
        parts.neighbours.versions.on_listed(by_service)
        if not job.is_take_up or job.relayed_for or job.version is not None:
            return None
        return await parts.neighbours.take_ups.resolve(job)

    def _without_choice(self, job: Job, result: Result) -> Result | GiveUp:
        """Returns the result of a try for which there is no upstream."""
        if not job.sent:
            result = self._selector.no_upstream_result(job)
        if job.relayed_for:
            # The upstreams that are left are unreachable from here too.
            return give_up(result.verdict, self._try_state(job))
        return result

    def _following(self, job: Job, result: Result) -> TryAnother | GiveUp:
        """Returns what follows a try without an answer for the caller."""
        state = self._try_state(job)
        verdict = result.verdict
        if self._parts.grace.is_too_late(job):
            return self._too_late(job, result)
        if job.is_refused_by_peer:
            step = give_up(verdict, state)
            return attrs.evolve(step, return_s=verdict.retry_after_s or None)
        if not job.may_go_on:
            return give_up(verdict, state)
        is_timeout = verdict.detail == ConnectFailure.TIMEOUT.value
        if job.was_unreachable and is_timeout and not job.sent:
            # The others are known to be unreachable too.
            return give_up(verdict, state)
        if job.relayed_for and job.sent:
            # The host whose caller sent it decides on further tries.
            return give_up(verdict, state)
        if job.is_without_slot:
            # Another peer may have a free slot.
            state = attrs.evolve(state, candidates=max(1, state.candidates))
        return next_step(job.route, verdict, state)

    def _too_late(self, job: Job, last: Result) -> GiveUp:
        """Refuses a try that would end after this host does."""
        verdict = last.verdict
        if not job.may_have_run:
            verdict = self._parts.grace.refusal(job)
        return give_up(verdict, self._try_state(job))

    def _log_retry(self, job: Job, *, is_sent: bool) -> None:
        """Logs a sent or denied retry with the state of its retry budget."""
        parts = self._parts
        account = parts.budget.account(job.service.name, parts.clock())
        parts.log.line(
            "retry" if is_sent else "retry_denied",
            request=job.call.attempt_id,
            service=job.service.name,
            spent=account.spent,
            allowed=round(account.allowed, 2),
            hosts=account.hosts,
            heard=parts.neighbours.count + 1,
        )
        parts.metrics.count(
            metrics.RETRIES,
            service=job.service.name,
            outcome="sent" if is_sent else "denied",
        )

    def _shed_by_load(self, job: Job) -> GiveUp | None:
        """Sheds one of the least urgent requests while engines are overloaded.

        If loads were queried for this request, the decision uses only the
        upstreams queried: they are a random sample, and the loads known of
        the others are out of date.

        Returns:
            The refusal, or None if the request may be sent.
        """
        parts = self._parts
        if not job.call.prompt or not job.is_least_urgent:
            return None
        now = parts.clock()
        usable = parts.in_force.registry.usable(job.service.name, now)
        unreachable = parts.reachability.unreachable(usable)
        entries = job.asked or [
            e for e in usable if e.incarnation not in unreachable
        ]
        # Free slots of a rate-limited upstream don't relieve the others.
        unlimited = [e for e in entries if not parts.permits.is_limited(e)]
        detail = refusal_by_load(parts, job, list(unlimited or entries), now)
        return None if detail is None else _shed(detail)

    def _shed_by_time(self, job: Job, choice: Choice) -> GiveUp | None:
        """Sheds a request whose answer is unlikely to end before its deadline.

        Returns:
            The refusal, or None if the request may be sent.
        """
        parts = self._parts
        if not job.call.prompt or not job.is_least_urgent:
            return None
        now = parts.clock()
        needed_s = parts.forecasts.duration_s(
            choice.entry.incarnation, job.route.name, now
        )
        if needed_s is None:
            return None
        left_s = job.deadline_s - now - job.route.target_s
        decision = parts.shedding.decide_by_time(needed_s, left_s)
        if not isinstance(decision, TooSlow):
            return None
        return _shed(f"needs {needed_s:.2f} s, {left_s:.2f} s left")

    def _try_state(self, job: Job) -> TryState:
        parts = self._parts
        now = parts.clock()
        usable = parts.in_force.registry.usable(job.service.name, now)
        excluded = job.tried | self._selector.blocked(job, usable, now)
        return TryState(
            sent=job.sent,
            may_have_run=job.may_have_run,
            left_s=job.deadline_s - now,
            budget_left=parts.budget.remaining(job.service.name, now),
            candidates=sum(e.incarnation not in excluded for e in usable),
        )


def _shed(detail: str) -> GiveUp:
    verdict = Verdict(
        Outcome.NOT_RUN, Reason.SHED, detail, retry_after_s=SHED_RETRY_AFTER_S
    )
    return GiveUp(_UNAVAILABLE, verdict)


def _not_run(status: int, reason: Reason) -> GiveUp:
    return GiveUp(status, Verdict(Outcome.NOT_RUN, reason))
