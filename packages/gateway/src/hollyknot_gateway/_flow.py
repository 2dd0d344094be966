"""One request, from its head to its verdict."""

import asyncio
import hashlib
import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    Choice,
    GiveUp,
    Health,
    Loads,
    NoOwner,
    NoPlace,
    NoRoute,
    Paces,
    Placement,
    Reachability,
    RetryBudget,
    TryState,
    Work,
    give_up,
    next_step,
)
from hollyknot_coordination.suspects import (
    Clear,
    Isolate,
    Refuse,
    SuspectRegister,
)
from hollyknot_gateway import _metrics as metrics
from hollyknot_gateway._caller_connection import CallerRequest, Reply
from hollyknot_gateway._exchange import Exchange, Result, StreamState
from hollyknot_gateway._headers import CONTENT_LENGTH, end_to_end, write_head
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._losses import Losses
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._ports import Dialect
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._stalls import Stalls
from hollyknot_gateway._upstream_connection import UpstreamConnection
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import (
    CallTraits,
    Dispatch,
    KeyOwner,
    Route,
    RouteKind,
    Service,
    UpstreamEntry,
)

RETRY_AFTER_S = 0.5
"""When a refused caller is told to come back, on the mean: long enough for a
replica to be tried again, short against every time limit met so far."""

_NOT_FOUND = 404
_UNAUTHORISED = 401
_UNAVAILABLE = 503
_TIMEOUT = 504
_OK = 200
_CUT = 0
"""Counted as the status of an answer that was broken off."""

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_CALLER_GONE = Verdict(Outcome.MAY_HAVE_RUN, Reason.CALLER_GONE)


@attrs.define
class Job:
    """A request whose route and customer are known, and its tries so far.

    Attributes:
        request: As the caller sent it.
        reply: Its answer.
        call: What its headers say.
        route: Where it goes.
        service: The service that this request was given to.
        owner: Whose it is.
        fingerprint: Of its method, target, customer and body.
        urgency: The same at all hosts; 0 is the first.
        is_loose: Whether its stream bears long pauses.
        deadline_s: When it times out, on the loop's clock.
        stream: What the caller has got of a stream.
        sent: Upstreams that it was sent to.
        sent_before: The same without the try in work.
        may_have_run: Whether one of them may have run it.
        ran_before: The same without the try in work.
        tried: Those upstreams, and those that could not be connected to.
    """

    request: CallerRequest
    reply: Reply
    call: CallTraits
    route: Route
    service: Service
    owner: KeyOwner | NoOwner
    fingerprint: int
    urgency: int
    is_loose: bool
    deadline_s: float
    stream: StreamState = attrs.Factory(StreamState)
    sent: int = 0
    sent_before: int = 0
    may_have_run: bool = False
    ran_before: bool = False
    tried: frozenset[str] = frozenset()


@attrs.frozen
class FlowParts:
    """What the flow is made of.

    Attributes:
        dialect: Reads and writes headers.
        in_force: Routes and upstreams.
        placement: Chooses upstreams.
        loads: Work in flight.
        paces: Learns how fast upstreams are.
        reachability: Knows which upstreams can't be connected to.
        health: Knows which upstreams fail much of their work.
        prober: Finds that out by new connections.
        suspects: Knows which requests may crash upstreams.
        losses: Tells it how tries ended.
        stalls: Ends tries that hang.
        budget: Bounds retries.
        pool: Connections to upstreams.
        log: Takes a line for each decision.
        metrics: Counts ends and times.
        rng: Spreads times to come back and the shares of a split.
        clock: The loop's monotonic clock, in seconds.
    """

    dialect: Dialect
    in_force: InForce
    placement: Placement
    loads: Loads
    paces: Paces
    reachability: Reachability
    health: Health
    prober: Prober
    suspects: SuspectRegister
    losses: Losses
    stalls: Stalls
    budget: RetryBudget
    pool: Pool
    log: Log
    metrics: metrics.Metrics
    rng: random.Random
    clock: Callable[[], float]


class Flow:
    """Answers each request once."""

    def __init__(self, parts: FlowParts) -> None:
        """Wires the parts."""
        self._parts = parts
        self._detached: set[asyncio.Task[None]] = set()

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Takes one request to its end."""
        call = self._parts.dialect.read_call(request.fields)
        job = self._admit(request, reply, call)
        if isinstance(job, GiveUp):
            self._refuse(reply, call, job, "")
            return
        try:
            async with asyncio.timeout_at(job.deadline_s):
                await self._run(job)
        except TimeoutError:
            self._time_out(job)
        self._observe(job)

    def _observe(self, job: Job) -> None:
        took_s = self._parts.clock() - job.request.arrived_s
        self._parts.metrics.observe(metrics.WHOLE, took_s, route=job.route.name)

    def _admit(
        self, request: CallerRequest, reply: Reply, call: CallTraits
    ) -> Job | GiveUp:
        index = self._parts.in_force.index
        if index is None or not self._parts.in_force.has_fleet:
            return _not_run(_UNAVAILABLE, Reason.NOT_READY)
        host = request.fields.get("Host", "")
        route = index.find(host, request.target)
        if isinstance(route, NoRoute):
            return _not_run(_NOT_FOUND, Reason.UNKNOWN_SERVICE)
        owner = index.owner(route, call.key)
        if owner is NoOwner.UNKNOWN:
            return _not_run(_UNAUTHORISED, Reason.BAD_KEY)
        service = self._service(route, index.table.services)
        limit_s = route.timeout_s
        if call.budget_s:
            limit_s = min(limit_s, call.budget_s)
        return Job(
            request=request,
            reply=reply,
            call=call,
            route=route,
            service=service,
            owner=owner,
            fingerprint=_fingerprint(request, call),
            urgency=index.urgency(route, owner),
            is_loose=index.is_loose(route, service.name),
            deadline_s=request.arrived_s + limit_s,
        )

    def _service(self, route: Route, services: dict[str, Service]) -> Service:
        shares = route.shares
        share = shares[0]
        if len(shares) > 1:
            weights = [s.weight for s in shares]
            share = self._parts.rng.choices(shares, weights)[0]
        return services.get(share.service) or Service(share.service, 0)

    async def _run(self, job: Job) -> None:
        parts = self._parts
        parts.budget.on_first_try(job.service.name, parts.clock())
        result = Result(Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
        while True:
            gate = parts.suspects.gate(job.fingerprint, parts.clock())
            if isinstance(gate, Refuse):
                verdict = gate.verdict
                self._give_up(job, result, give_up(verdict, self._state(job)))
                return
            choice = self._choose(job, gate)
            if isinstance(choice, Choice):
                result = await self._try(job, choice)
                self._note(job, choice, result)
                if self._is_answered(job, result):
                    self._count(job.route.name, result.verdict, _OK)
                    return
            step = next_step(job.route, result.verdict, self._state(job))
            if isinstance(step, GiveUp):
                self._give_up(job, result, step)
                return
            if step.is_retry:
                parts.budget.spend(job.service.name, parts.clock())

    def _choose(self, job: Job, gate: Clear | Isolate) -> Choice | NoPlace:
        parts = self._parts
        now = parts.clock()
        usable = parts.in_force.fleet.usable(job.service.name, now)
        away = parts.reachability.away(usable)
        if isinstance(gate, Isolate):
            away |= gate.exclude
        ejected = parts.health.ejected(usable, now)
        found: Choice | NoPlace = NoPlace.NONE_KNOWN
        # One that fails often, or could not be reached lately, is better than
        # none at all.
        for kept_away in (away | ejected, away, frozenset[str]()):
            found = parts.placement.choose(
                job.service,
                usable,
                job.call,
                job.tried | kept_away,
                now,
                is_loose=job.is_loose,
            )
            if isinstance(found, Choice):
                break
        return found

    def _state(self, job: Job) -> TryState:
        parts = self._parts
        now = parts.clock()
        usable = parts.in_force.fleet.usable(job.service.name, now)
        return TryState(
            sent=job.sent,
            may_have_run=job.may_have_run,
            has_begun=job.reply.has_begun,
            left_s=job.deadline_s - now,
            budget_left=parts.budget.left(job.service.name, now),
            candidates=sum(e.incarnation not in job.tried for e in usable),
        )

    async def _try(self, job: Job, choice: Choice) -> Result:
        parts = self._parts
        entry = choice.entry
        work = parts.placement.begin(
            choice, job.call, parts.clock(), is_loose=job.is_loose
        )
        is_detached = False
        try:
            left_s = job.deadline_s - parts.clock()
            connection = await parts.pool.take(
                entry.incarnation, entry.address, left_s
            )
            if isinstance(connection, ConnectFailure):
                parts.prober.failed(entry, connection)
                verdict = Verdict(
                    Outcome.NOT_RUN, Reason.CONNECT_FAILED, connection.value
                )
                return Result(verdict)
            if not parts.in_force.fleet.is_usable(
                entry.incarnation, parts.clock()
            ):
                # It has begun to leave while the connection was made.
                connection.close()
                return Result(Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM))
            exchange = self._send(job, entry, connection, work)
            parts.stalls.add(exchange, entry.incarnation, job.route)
            try:
                result = await asyncio.shield(exchange.done)
            except asyncio.CancelledError:
                is_detached = self._leave(
                    job, choice, work, connection, exchange
                )
                raise
            finally:
                parts.stalls.discard(exchange)
            parts.pool.give_back(entry.incarnation, connection)
            if not connection.is_reusable:
                connection.abandon()
            return result
        finally:
            if not is_detached:
                parts.placement.end(work)

    def _send(
        self,
        job: Job,
        entry: UpstreamEntry,
        connection: UpstreamConnection,
        work: Work,
    ) -> Exchange:
        parts = self._parts
        stream = job.stream
        stream.cutter.drop_torn()
        stream.resumes_after = stream.cutter.last_id or job.call.last_event_id
        exchange = Exchange(
            parts.dialect,
            job.call.attempt_id,
            job.reply,
            stream,
            connection,
            parts.clock,
            lambda: parts.placement.start(work),
            lambda interval_s: parts.paces.note(
                entry.incarnation, interval_s, parts.loads.at(entry.incarnation)
            ),
        )
        data = self._request_bytes(job, entry)
        if not job.sent:
            parts.metrics.observe(
                metrics.ADDED, parts.clock() - job.request.arrived_s
            )
        job.sent += 1
        parts.suspects.on_dispatch(job.fingerprint, entry.incarnation)
        # From here on the request may run, whatever happens to this task.
        job.may_have_run = True
        is_head = job.request.method == "HEAD"
        connection.send(data, exchange, is_head=is_head)
        return exchange

    def _request_bytes(self, job: Job, entry: UpstreamEntry) -> bytes:
        request = job.request
        owner = job.owner
        dispatch = Dispatch(
            incarnation=entry.incarnation,
            left_s=job.deadline_s - self._parts.clock(),
            customer=owner.name if isinstance(owner, KeyOwner) else "",
            urgency=job.urgency,
            last_event_id=job.stream.resumes_after,
            is_engine=job.service.engine is not None,
        )
        headers = self._parts.dialect.upstream_headers(
            end_to_end(request.headers), dispatch
        )
        if request.has_body or request.method in _BODY_METHODS:
            headers.append((CONTENT_LENGTH.title(), b"%d" % len(request.body)))
        line = f"{request.method} {request.target} HTTP/1.1"
        return write_head(line.encode("latin-1"), headers) + request.body

    def _leave(
        self,
        job: Job,
        choice: Choice,
        work: Work,
        connection: UpstreamConnection,
        exchange: Exchange,
    ) -> bool:
        """Ends a try whose caller has gone or whose time is up.

        Returns:
            Whether the work goes on upstream and is counted until its end.
        """
        is_call = job.route.kind is RouteKind.NON_IDEMPOTENT
        if not is_call or self._parts.clock() >= job.deadline_s:
            connection.abandon()
            self._parts.losses.ended(
                choice.entry, job.fingerprint, _CALLER_GONE
            )
            return False
        # What can't be repeated is not broken off half-way either: its end is
        # awaited, so that the upstream's slot is counted as taken.
        task = asyncio.ensure_future(
            self._await_end(job, choice, work, connection, exchange)
        )
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return True

    async def _await_end(
        self,
        job: Job,
        choice: Choice,
        work: Work,
        connection: UpstreamConnection,
        exchange: Exchange,
    ) -> None:
        verdict = _CALLER_GONE
        try:
            async with asyncio.timeout_at(job.deadline_s):
                verdict = (await exchange.done).verdict
            self._parts.pool.give_back(work.incarnation, connection)
        except TimeoutError:
            connection.abandon()
        finally:
            self._parts.placement.end(work)
            self._parts.losses.ended(choice.entry, job.fingerprint, verdict)

    def _note(self, job: Job, choice: Choice, result: Result) -> None:
        entry = choice.entry
        verdict = result.verdict
        self._note_health(entry, verdict)
        if job.sent > job.sent_before:
            job.sent_before = job.sent
            self._parts.losses.ended(entry, job.fingerprint, verdict)
        job.tried |= {entry.incarnation}
        if verdict.is_proved_not_run:
            job.may_have_run = job.ran_before
        else:
            job.ran_before = True
        if result.is_other_upstream:
            self._parts.in_force.fleet.mark_gone(entry.incarnation)
            self._parts.pool.drop(entry.incarnation)
        self._observe_try(job, result)
        self._parts.log.line(
            "try",
            request=job.call.attempt_id,
            route=job.route.name,
            upstream=entry.incarnation,
            sent=job.sent,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
            status=verdict.upstream_status,
            detail=verdict.detail,
            first_ms=_ms(result.first_s),
            gap_ms=_ms(result.gap_s),
            tokens=job.call.prompt_tokens,
            read=choice.tokens,
            ahead=choice.ahead,
            loose=job.is_loose,
        )

    def _observe_try(self, job: Job, result: Result) -> None:
        parts = self._parts
        verdict = result.verdict
        parts.metrics.count(
            metrics.TRIES,
            service=job.service.name,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
        )
        if result.first_s:
            parts.metrics.observe(
                metrics.FIRST, result.first_s, route=job.route.name
            )
        if result.gap_s:
            parts.metrics.observe(
                metrics.GAP, result.gap_s, route=job.route.name
            )

    def _note_health(self, entry: UpstreamEntry, verdict: Verdict) -> None:
        parts = self._parts
        if verdict.reason in (Reason.CONNECT_FAILED, Reason.NO_UPSTREAM):
            return
        now = parts.clock()
        usable = parts.in_force.fleet.usable(entry.service, now)
        is_good = verdict.outcome is Outcome.COMPLETE
        if parts.health.note(entry, usable, now, is_good=is_good):
            parts.log.line(
                "ejected",
                upstream=entry.incarnation,
                reason=verdict.reason.value,
            )

    def _is_answered(self, job: Job, result: Result) -> bool:
        """Answers the caller if this try has settled its request."""
        if job.reply.has_ended:
            return True
        verdict = result.verdict
        if not verdict.is_complete or result.answer is None:
            return False
        answer = result.answer
        job.reply.whole(answer.status, answer.headers, answer.body)
        return True

    def _give_up(self, job: Job, result: Result, step: GiveUp) -> None:
        if job.reply.has_begun:
            job.reply.cut()
            self._count(job.route.name, step.verdict, _CUT)
        elif result.answer is not None:
            answer = result.answer
            job.reply.whole(answer.status, answer.headers, answer.body)
            self._count(job.route.name, result.verdict, answer.status)
        else:
            self._refuse(job.reply, job.call, step, job.route.name)

    def _time_out(self, job: Job) -> None:
        if job.reply.has_begun:
            job.reply.cut()
            verdict = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
            self._count(job.route.name, verdict, _CUT)
            return
        late = "the time that the route or the caller gives is over"
        if job.may_have_run:
            verdict = Verdict(
                Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT, late
            )
        else:
            verdict = Verdict(Outcome.NOT_RUN, Reason.NO_UPSTREAM, late)
        status = _TIMEOUT if job.may_have_run else _UNAVAILABLE
        self._refuse(
            job.reply, job.call, GiveUp(status, verdict), job.route.name
        )

    def _count(self, route: str, verdict: Verdict, status: int) -> None:
        self._parts.metrics.count(
            metrics.REQUESTS,
            route=route,
            status=str(status),
            reason=verdict.reason.value,
        )

    def _refuse(
        self, reply: Reply, call: CallTraits, step: GiveUp, route: str
    ) -> None:
        verdict = step.verdict
        headers = [(b"Content-Type", b"text/plain")]
        if call.attempt_id:
            name = self._parts.dialect.attempt_header
            headers.append((name, call.attempt_id.encode("latin-1")))
        if step.status == _UNAVAILABLE:
            after_s = RETRY_AFTER_S * self._parts.rng.uniform(0.5, 1.5)
            headers.append((b"Retry-After", b"%.2f" % after_s))
        reply.whole(step.status, headers, verdict.reason.value.encode() + b"\n")
        self._count(route, verdict, step.status)
        self._parts.log.line(
            "refused",
            request=call.attempt_id,
            route=route,
            status=step.status,
            outcome=verdict.outcome.value,
            reason=verdict.reason.value,
            detail=verdict.detail,
        )


def _fingerprint(request: CallerRequest, call: CallTraits) -> int:
    """Returns what is equal when a request comes again, at any host."""
    head = f"{request.method} {request.target} {call.key}\n"
    digest = hashlib.blake2b(head.encode("utf-8", "replace"), digest_size=8)
    digest.update(request.body)
    return int.from_bytes(digest.digest(), "big")


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _not_run(status: int, reason: Reason) -> GiveUp:
    return GiveUp(status, Verdict(Outcome.NOT_RUN, reason))
