"""Tests that the queue keeps its rules under random sequences of calls."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from hollyknot_coordination.admission import (
    AdmissionOptions,
    AdmissionQueue,
    Admit,
    CheckedAdmission,
)
from hollyknot_coordination.admission.tests._builders import build_request
from hollyknot_state import TargetKind, TierPressure

_OPTIONS = AdmissionOptions(
    max_waiting=6,
    max_waiting_bytes=4000,
    reserved_requests=2,
    reserved_bytes=1000,
)
_POOLS = ("finder", "drafter")


class AdmissionMachine(RuleBasedStateMachine):
    """Makes calls of all kinds and advances the time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        queue = AdmissionQueue(_OPTIONS, random.Random(7))
        self._inner = queue
        self._queue = CheckedAdmission(queue, _OPTIONS)
        self._now_s = 0.0
        self._waiting: list[str] = []
        self._running: list[str] = []

    @rule(
        tier=st.integers(1, 3),
        customer=st.sampled_from("abc"),
        pool=st.sampled_from(_POOLS),
        budget_s=st.sampled_from((0.0, 0.5, 5.0, 3600.0)),
        size=st.sampled_from((0, 300, 1500)),
        kind=st.sampled_from(TargetKind),
        copies=st.integers(1, 4),
    )
    def offer(
        self,
        tier: int,
        customer: str,
        pool: str,
        budget_s: float,
        size: int,
        kind: TargetKind,
        copies: int,
    ) -> None:
        for _ in range(copies):
            request = build_request(
                tier,
                customer,
                self._now_s,
                budget_s,
                f"class-{tier}-{budget_s}",
                pool,
                size,
                kind,
            )
            self._waiting.append(request.request_id)
            commands = self._queue.offer(request, self._now_s)
            for command in commands:
                self._waiting.remove(command.request_id)

    @rule(pool=st.sampled_from(_POOLS), slots=st.integers(0, 5))
    def offer_slots(self, pool: str, slots: int) -> None:
        for command in self._queue.on_capacity(pool, slots, self._now_s):
            self._start(command.request_id, isinstance(command, Admit))

    @rule()
    def tick(self) -> None:
        for command in self._queue.tick(self._now_s):
            self._start(command.request_id, isinstance(command, Admit))

    @precondition(lambda self: self._running)
    @rule(index=st.integers(0, 99), service_s=st.sampled_from((0.01, 1, 40)))
    def finish(self, index: int, service_s: float) -> None:
        request_id = self._running.pop(index % len(self._running))
        self._queue.on_finished(request_id, service_s, 10, self._now_s)

    @precondition(lambda self: self._waiting)
    @rule(index=st.integers(0, 99))
    def withdraw_waiting(self, index: int) -> None:
        request_id = self._waiting.pop(index % len(self._waiting))
        self._queue.withdraw(request_id, self._now_s)

    @precondition(lambda self: self._running)
    @rule(index=st.integers(0, 99))
    def withdraw_running(self, index: int) -> None:
        request_id = self._running.pop(index % len(self._running))
        self._queue.withdraw(request_id, self._now_s)

    @rule(
        pool=st.sampled_from(_POOLS),
        tier=st.integers(1, 3),
        age_ms=st.sampled_from((0, 1000, 4000)),
    )
    def receive_pressure(self, pool: str, tier: int, age_ms: int) -> None:
        pressure = TierPressure(pool, tier, age_ms)
        self._queue.on_peer_pressure((pressure,), self._now_s)

    @rule(step_s=st.sampled_from((0.1, 1.0, 3.0, 70.0)))
    def wait(self, step_s: float) -> None:
        self._now_s += step_s

    @invariant()
    def keeps_the_rules(self) -> None:
        assert self._queue.checker.violations == ()

    @invariant()
    def loses_nothing(self) -> None:
        assert self._inner.waiting == len(self._waiting)
        assert self._queue.checker.waiting == len(self._waiting)

    def teardown(self) -> None:
        """Checks that all waiting requests start, given slots and time."""
        for _ in range(20 + 2 * len(self._waiting)):
            self._now_s += _OPTIONS.floor_interval_max_s
            for pool in _POOLS:
                self.offer_slots(pool, 1)
        assert self._waiting == []
        self.keeps_the_rules()

    def _start(self, request_id: str, is_admitted: bool) -> None:
        assert is_admitted
        self._waiting.remove(request_id)
        self._running.append(request_id)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=80,
    stateful_step_count=60,
)
