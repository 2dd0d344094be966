"""Simulates a scenario's callers, hosts and engines under a virtual clock.

So that runs differ by admission alone, the rest is idealised: hosts know the
free slots of all engines exactly and without delay, engines do not fail, and
links between hosts lose nothing.
"""

import random
from collections.abc import Callable

import attrs

from hollyknot_bench.scenario._clock import VirtualClock
from hollyknot_bench.scenario._load import Arrival, Scenario, arrivals
from hollyknot_bench.scenario._policies import NaiveAdmission, Policy
from hollyknot_bench.scenario._records import (
    CallRecord,
    RunRecord,
    StartRecord,
)
from hollyknot_bench.scenario._upstream import Job, Upstream
from hollyknot_coordination.admission import (
    Admission,
    AdmissionCommand,
    AdmissionOptions,
    AdmissionQueue,
    Admit,
    Admitted,
    CheckedAdmission,
    Offered,
    RunChecker,
    SlotsOffered,
)
from hollyknot_state import Nature, RequestInfo, TargetKind, TierPressure

_POOL = "model"
_RESEND_DELAY_S = 5.0
"""Delay before a caller whose wait timed out sends its request again."""

Route = Callable[[list[Upstream]], Upstream]
"""Chooses the engine for a request."""


@attrs.define(eq=False)
class _Try:
    """One try of a caller's request."""

    call: CallRecord
    request: RequestInfo
    host: int
    job: Job | None = None
    upstream: Upstream | None = None
    first_token_s: float = -1.0
    is_open: bool = True


@attrs.define(eq=False)
class _Host:
    admission: Admission
    checker: RunChecker
    queue: AdmissionQueue | None


def least_in_flight(upstreams: list[Upstream]) -> Upstream:
    """Returns the engine with the fewest requests in flight."""
    return min(upstreams, key=lambda upstream: upstream.in_flight)


def round_robin() -> Route:
    """Returns a route that chooses the engines in turn."""
    turn = 0

    def route(upstreams: list[Upstream]) -> Upstream:
        nonlocal turn
        turn += 1
        return upstreams[turn % len(upstreams)]

    return route


class Play:
    """One simulated run of a policy on a seeded load."""

    def __init__(
        self,
        scenario: Scenario,
        policy: Policy,
        seed: int,
        route: Route = least_in_flight,
    ) -> None:
        """Builds the hosts and engines.

        Args:
            scenario: Sizes, times and load.
            policy: Admission policy of the hosts.
            seed: Seed of the load and of random choices; the same seed gives
                the same run.
            route: Chooses engines; the naive policy uses round robin instead.
        """
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        is_naive = policy is Policy.NAIVE
        self._route = round_robin() if is_naive else route
        self._clock = VirtualClock()
        self._balancer = random.Random(f"{seed} balancer")
        self._hosts = [self._build_host(i) for i in range(scenario.hosts)]
        self._upstreams = [
            self._build_upstream(i) for i in range(scenario.upstreams)
        ]
        self._calls: list[CallRecord] = []
        self._tries: dict[str, _Try] = {}
        self._starts: list[StartRecord] = []
        self._refusals: list[StartRecord] = []

    def run(self) -> RunRecord:
        """Runs the whole scenario and returns its record."""
        for arrival in arrivals(self._scenario, self._seed):
            self._clock.call_at(arrival.at_s, self._arrive(arrival))
        if self._policy is not Policy.NAIVE:
            self._gossip()
        self._clock.run(self._scenario.horizon_s)
        mean_s, error_s = self._service_error()
        return RunRecord(
            calls=tuple(self._calls),
            starts=tuple(self._starts),
            refusals=tuple(self._refusals),
            violations=tuple(
                v for host in self._hosts for v in host.checker.violations
            ),
            service_mean_s=mean_s,
            service_error_s=error_s,
        )

    def _build_host(self, index: int) -> _Host:
        options = AdmissionOptions()
        if self._policy is Policy.NAIVE:
            return _Host(NaiveAdmission(), RunChecker(options), None)
        rng = random.Random(f"{self._seed} host {index}")
        queue = AdmissionQueue(options, rng)
        checked = CheckedAdmission(queue, options)
        return _Host(checked, checked.checker, queue)

    def _build_upstream(self, index: int) -> Upstream:
        scenario = self._scenario
        is_straggler = index == scenario.upstreams - 1
        share = scenario.straggler_rate if is_straggler else 1.0
        return Upstream(
            self._clock,
            scenario.slots,
            share * scenario.token_rate,
            scenario.batch_slowdown,
        )

    def _service_error(self) -> tuple[float, float]:
        errors = [h.queue.estimate_error for h in self._hosts if h.queue]
        count = max(1, sum(e.observations for e in errors))
        mean_s = sum(e.mean_s * e.observations for e in errors) / count
        error_s = sum(e.absolute_s * e.observations for e in errors) / count
        return mean_s, error_s

    def _arrive(self, arrival: Arrival) -> Callable[[], None]:
        def arrive() -> None:
            call = CallRecord(arrival)
            self._calls.append(call)
            self._send(call)

        return arrive

    def _send(self, call: CallRecord) -> None:
        now_s = self._clock.now_s
        call.tries += 1
        load = call.arrival.load
        request = RequestInfo(
            request_id=f"{call.arrival.key}.{call.tries}",
            customer=call.arrival.customer,
            request_class=load.name,
            tier=load.tier,
            nature=Nature.IDEMPOTENT,
            pool=_POOL,
            arrived_s=now_s,
            budget_s=load.budget_s,
            input_size=1000,
            target_kind=load.target_kind,
        )
        attempt = _Try(call, request, self._choose_host(load.first_host_share))
        self._tries[request.request_id] = attempt
        timeout_s = now_s + load.resend_after_s
        self._clock.call_at(timeout_s, lambda: self._on_caller_timeout(attempt))
        host = self._hosts[attempt.host]
        if self._policy is Policy.NAIVE:
            host.checker.observe(Offered(request, now_s))
        self._execute(host.admission.offer(request, now_s))
        self._offer_slots(attempt.host)

    def _choose_host(self, first_share: float) -> int:
        others = len(self._hosts) - 1
        if others == 0 or self._balancer.random() < first_share:
            return 0
        return 1 + self._balancer.randrange(others)

    def _execute(self, commands: tuple[AdmissionCommand, ...]) -> None:
        for command in commands:
            attempt = self._tries[command.request_id]
            if isinstance(command, Admit):
                self._dispatch(attempt)
                continue
            attempt.is_open = False
            call = attempt.call
            call.refusals += 1
            self._refusals.append(self._start_record(attempt))
            self._send_again(call, command.verdict.retry_after_s)

    def _send_again(self, call: CallRecord, after_s: float) -> None:
        at_s = self._clock.now_s + after_s
        self._clock.call_at(at_s, lambda: self._send(call))

    def _start_record(self, attempt: _Try) -> StartRecord:
        now_s = self._clock.now_s
        return StartRecord(now_s, attempt.host, attempt.request.tier)

    def _dispatch(self, attempt: _Try) -> None:
        arrival = attempt.call.arrival
        attempt.job = Job(
            prompt_cost=arrival.load.prompt_cost,
            tokens=arrival.tokens,
            on_start=lambda: self._on_start(attempt),
            on_first_token=lambda: self._on_first_token(attempt),
            on_end=lambda: self._on_end(attempt),
        )
        free = [u for u in self._upstreams if u.free_slots > 0]
        is_naive = self._policy is Policy.NAIVE
        attempt.upstream = self._route(self._upstreams if is_naive else free)
        attempt.upstream.submit(attempt.job)

    def _on_start(self, attempt: _Try) -> None:
        self._starts.append(self._start_record(attempt))
        if self._policy is Policy.NAIVE:
            now_s = self._clock.now_s
            checker = self._hosts[attempt.host].checker
            checker.observe(SlotsOffered(_POOL, 1, now_s))
            checker.observe(Admitted(attempt.request.request_id, now_s))

    def _on_first_token(self, attempt: _Try) -> None:
        attempt.first_token_s = self._clock.now_s

    def _on_end(self, attempt: _Try) -> None:
        now_s = self._clock.now_s
        call = attempt.call
        call.full_runs += 1
        if attempt.is_open:
            attempt.is_open = False
            call.first_token_s = attempt.first_token_s
            call.ended_s = now_s
        job = attempt.job
        service_s = now_s - job.started_s if job else 0.0
        self._hosts[attempt.host].admission.on_finished(
            attempt.request.request_id,
            service_s,
            int(call.arrival.tokens),
            now_s,
        )
        self._offer_slots_to_all(attempt.host)

    def _on_caller_timeout(self, attempt: _Try) -> None:
        """Ends a try whose caller timed out; the caller sends again later.

        A caller of a stream waits on once it has the first token.
        """
        is_stream = attempt.request.target_kind is TargetKind.FIRST_TOKEN
        if not attempt.is_open or (is_stream and attempt.first_token_s >= 0):
            return
        attempt.is_open = False
        self._send_again(attempt.call, _RESEND_DELAY_S)
        if self._policy is Policy.NAIVE:
            return
        host = self._hosts[attempt.host]
        host.admission.withdraw(attempt.request.request_id, self._clock.now_s)
        if attempt.job is not None and attempt.upstream is not None:
            attempt.call.cancelled_tokens += attempt.upstream.cancel(
                attempt.job
            )
            self._offer_slots_to_all(attempt.host)

    def _offer_slots(self, index: int) -> None:
        free = sum(u.free_slots for u in self._upstreams)
        if free <= 0:
            return
        admission = self._hosts[index].admission
        self._execute(admission.on_capacity(_POOL, free, self._clock.now_s))

    def _offer_slots_to_all(self, first: int) -> None:
        for step in range(len(self._hosts)):
            self._offer_slots((first + step) % len(self._hosts))

    def _gossip(self) -> None:
        """Sends each host's pressure to its peers and offers free slots.

        Slots are offered at each interval because time alone can make a waiting
        request admissible.
        """
        now_s = self._clock.now_s
        if self._policy is Policy.HOLLYKNOT:
            for index, host in enumerate(self._hosts):
                pressures = host.admission.local_pressure(now_s)
                if pressures:
                    self._send_pressures(index, pressures)
        self._offer_slots_to_all(0)
        self._clock.call_at(
            now_s + self._scenario.gossip_interval_s, self._gossip
        )

    def _send_pressures(
        self, index: int, pressures: tuple[TierPressure, ...]
    ) -> None:
        def deliver() -> None:
            for other, host in enumerate(self._hosts):
                if other != index:
                    now_s = self._clock.now_s
                    host.admission.on_peer_pressure(pressures, now_s)

        at_s = self._clock.now_s + self._scenario.link_latency_s
        self._clock.call_at(at_s, deliver)


def play(scenario: Scenario, policy: Policy, seed: int) -> RunRecord:
    """Simulates one run of a scenario."""
    return Play(scenario, policy, seed).run()
