"""Models the crashes that one request causes with and without the register.

Hosts send requests to upstreams under a virtual clock. One request, the
culprit, crashes each upstream that runs it, and its caller resends it through
any host, without end. Hosts exchange evidence at a fixed interval. All
randomness comes from a seed; times are seconds.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from hollyknot_coordination.suspects import (
    Clear,
    Isolate,
    Refuse,
    SuspectOptions,
    SuspectRegister,
    Trial,
    TrialOwner,
)
from hollyknot_state import Outcome, Reason, Verdict

CULPRIT = 1
UPSTREAMS = 8
COMPLETE = Verdict(Outcome.COMPLETE)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)


@attrs.frozen
class SuspectsScenario:
    """Parameters of one run of the model.

    Attributes:
        hosts: Number of hosts, which share evidence.
        upstreams: Number of upstreams, which all hosts use.
        batch: Mean number of requests that an upstream runs at once.
        uses_register: Whether hosts use the register.
        max_per_upstream: Maximum number of suspects of one crash that run at
            one upstream.
        seed: Seed of all randomness in the run.
        length_s: Mean time that a request runs, in seconds.
        crash_after_s: Time from the start of the culprit to the crash of its
            upstream, in seconds.
        restart_s: Time until a crashed upstream runs again, in seconds.
        gossip_interval_s: Interval at which hosts exchange evidence, in
            seconds.
        resend_after_s: Least time after which a caller resends a lost request,
            in seconds.
        duration_s: Length of the run, in seconds.
    """

    hosts: int
    upstreams: int
    batch: int
    uses_register: bool
    max_per_upstream: int
    seed: int
    length_s: float = 2.0
    crash_after_s: float = 0.3
    restart_s: float = 20.0
    gossip_interval_s: float = 1.0
    resend_after_s: float = 1.0
    duration_s: float = 60.0


@attrs.frozen
class SuspectsResult:
    """Results of one run of the model.

    Attributes:
        crashes: Number of crashes that the culprit caused.
        last_crash_s: Time of the last crash, in seconds.
        lost: Number of times that a crash ended an innocent request.
        refused: Number of refusals of innocent requests that asked for a retry
            after more than one second.
        delayed: Number of innocent requests that were resent after a loss or
            had to wait as suspects.
        delay_max_s: Longest time from the loss of a request to its completion,
            in seconds.
        completed: Number of innocent requests that completed.
    """

    crashes: int
    last_crash_s: float
    lost: int
    refused: int
    delayed: int
    delay_max_s: float
    completed: int


@attrs.define
class _Run:
    scenario: SuspectsScenario
    rng: random.Random
    now_s: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    order: Iterator[int] = attrs.Factory(itertools.count)
    registers: list[SuspectRegister] = attrs.Factory(list)
    owner: TrialOwner = attrs.Factory(TrialOwner)
    running: list[dict[int, int]] = attrs.Factory(list)
    down_until_s: list[float] = attrs.Factory(list)
    lost_s: dict[int, float] = attrs.Factory(dict)
    delayed: set[int] = attrs.Factory(set)
    next_fingerprint: int = CULPRIT
    crashes: int = 0
    last_crash_s: float = 0.0
    lost: int = 0
    refused: int = 0
    delay_max_s: float = 0.0
    completed: int = 0

    def at(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.order), event)
        )

    def arrive(self) -> None:
        scenario = self.scenario
        self.next_fingerprint += 1
        self.send(self.next_fingerprint)
        # By Little's law, this rate keeps `batch` requests running at each
        # upstream.
        rate = scenario.upstreams * scenario.batch / scenario.length_s
        self.at(self.rng.expovariate(rate), self.arrive)

    def send(self, fingerprint: int) -> None:
        host = self.rng.randrange(self.scenario.hosts)
        exclude: frozenset[str] = frozenset()
        if self.scenario.uses_register:
            gate = self.registers[host].gate(fingerprint, self.now_s)
            if isinstance(gate, Refuse):
                self.on_refused(fingerprint, gate.verdict.retry_after_s)
                return
            if isinstance(gate, Trial):
                wait_s = self.owner.decide(
                    fingerprint, gate.crashes, self.now_s, is_alone=True
                )
                if wait_s:
                    self.on_refused(fingerprint, wait_s)
                    return
            if isinstance(gate, Isolate | Trial):
                exclude = gate.exclude
            else:
                assert isinstance(gate, Clear)
        up = [
            u
            for u in range(self.scenario.upstreams)
            if self.down_until_s[u] <= self.now_s
            and str(u) not in exclude
            and len(self.running[u]) < 2 * self.scenario.batch
        ]
        if not up:
            self.schedule_retry(fingerprint, 0.1)
            return
        upstream = min(
            self.rng.sample(up, min(2, len(up))),
            key=lambda u: len(self.running[u]),
        )
        self.start(fingerprint, host, upstream)

    def start(self, fingerprint: int, host: int, upstream: int) -> None:
        if self.scenario.uses_register:
            self.registers[host].on_dispatch(fingerprint, str(upstream))
        batch = self.running[upstream]
        batch[fingerprint] = host
        if fingerprint == CULPRIT:
            self.at(self.scenario.crash_after_s, lambda: self.crash(upstream))
        else:
            length_s = self.scenario.length_s * self.rng.uniform(0.5, 1.5)
            self.at(length_s, lambda: self.finish(fingerprint, upstream, batch))

    def finish(
        self, fingerprint: int, upstream: int, batch: dict[int, int]
    ) -> None:
        # A crash replaces the batch; requests of the old one do not complete.
        if self.running[upstream] is not batch:
            return
        host = batch.pop(fingerprint)
        self.completed += 1
        if fingerprint in self.lost_s:
            delay_s = self.now_s - self.lost_s.pop(fingerprint)
            self.delay_max_s = max(self.delay_max_s, delay_s)
        self.owner.clear(fingerprint)
        self.end(fingerprint, host, upstream, COMPLETE)

    def crash(self, upstream: int) -> None:
        batch = self.running[upstream]
        if CULPRIT not in batch:
            return
        self.crashes += 1
        self.last_crash_s = self.now_s
        self.lost += len(batch) - 1
        self.running[upstream] = {}
        self.down_until_s[upstream] = self.now_s + self.scenario.restart_s
        for fingerprint, host in batch.items():
            self.end(fingerprint, host, upstream, LOST)
            self.lost_s.setdefault(fingerprint, self.now_s)
            self.schedule_retry(fingerprint, self.scenario.resend_after_s)

    def end(
        self, fingerprint: int, host: int, upstream: int, verdict: Verdict
    ) -> None:
        if self.scenario.uses_register:
            self.registers[host].on_end(
                fingerprint, str(upstream), verdict, self.now_s
            )

    def on_refused(self, fingerprint: int, retry_after_s: float) -> None:
        if fingerprint != CULPRIT:
            if retry_after_s > 1.0:
                self.refused += 1
            else:
                self.delayed.add(fingerprint)
        self.schedule_retry(fingerprint, retry_after_s)

    def schedule_retry(self, fingerprint: int, delay_s: float) -> None:
        if fingerprint in self.lost_s and fingerprint != CULPRIT:
            self.delayed.add(fingerprint)
        spread_s = delay_s * (1.0 + self.rng.random())
        self.at(spread_s, lambda: self.send(fingerprint))

    def gossip(self) -> None:
        sent_records = [r.records(self.now_s) for r in self.registers]
        for reporter, records in enumerate(sent_records):
            for receiver, register in enumerate(self.registers):
                if receiver != reporter:
                    register.on_records(records, self.now_s)
        self.at(self.scenario.gossip_interval_s, self.gossip)


def run_suspects(scenario: SuspectsScenario) -> SuspectsResult:
    """Simulates one scenario and returns the results."""
    run = _Run(scenario, random.Random(scenario.seed))
    run.registers = [
        SuspectRegister(
            SuspectOptions(max_per_upstream=scenario.max_per_upstream)
        )
        for _ in range(scenario.hosts)
    ]
    run.running = [{} for _ in range(scenario.upstreams)]
    run.down_until_s = [0.0] * scenario.upstreams
    run.arrive()
    if scenario.uses_register:
        run.gossip()
    run.at(scenario.length_s * 2, lambda: run.send(CULPRIT))
    while run.events and run.now_s < scenario.duration_s:
        run.now_s, _, event = heapq.heappop(run.events)
        event()
    return SuspectsResult(
        crashes=run.crashes,
        last_crash_s=run.last_crash_s,
        lost=run.lost,
        refused=run.refused,
        delayed=len(run.delayed),
        delay_max_s=run.delay_max_s,
        completed=run.completed,
    )


def main() -> None:
    """Prints a table of results by batch size, host count, limit and seed."""
    print("batch hosts defence crashes last_s lost refused delayed max_delay_s")
    for batch, hosts in itertools.product((8, 64), (1, 4, 8)):
        for max_per_upstream in (0, 1, 8):
            for seed in (1, 2, 3):
                _print_run(batch, hosts, max_per_upstream, seed)


def _print_run(
    batch: int, hosts: int, max_per_upstream: int, seed: int
) -> None:
    uses_register = max_per_upstream > 0
    scenario = SuspectsScenario(
        hosts, UPSTREAMS, batch, uses_register, max_per_upstream, seed
    )
    result = run_suspects(scenario)
    print(
        batch,
        hosts,
        f"together={max_per_upstream}" if uses_register else "none",
        result.crashes,
        f"{result.last_crash_s:.1f}",
        result.lost,
        result.refused,
        result.delayed,
        f"{result.delay_max_s:.1f}",
    )


if __name__ == "__main__":
    main()
