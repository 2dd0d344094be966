"""Checks each call of an admission queue against the rules of admission."""

from typing import Protocol

from hollyknot_coordination.admission._commands import AdmissionCommand, Admit
from hollyknot_coordination.admission._events import (
    Admitted,
    Offered,
    PressureReceived,
    Refused,
    SlotsOffered,
    Withdrawn,
)
from hollyknot_coordination.admission._options import AdmissionOptions
from hollyknot_coordination.admission._predicates import RunChecker
from hollyknot_state import RequestInfo, TierPressure


class Admission(Protocol):
    """The interface of `AdmissionQueue` and of policies compared with it."""

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Queues a request, or refuses it or another one at once."""

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits the requests that may start on a pool's free slots."""

    def withdraw(self, request_id: str, now_s: float) -> None:
        """Removes a request that is waiting or admitted."""

    def on_finished(
        self,
        request_id: str,
        service_time_s: float,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Records the service time of an admitted request that has ended."""

    def on_peer_pressure(
        self, pressures: tuple[TierPressure, ...], now_s: float
    ) -> None:
        """Records the pressure that peers report."""

    def local_pressure(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns the pools and tiers for which this host lacks capacity."""

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Admits the requests that have become due by time."""

    def next_deadline(self) -> float:
        """Returns the time of the next call of `tick` that is needed."""


class CheckedAdmission:
    """Forwards calls to a queue and has a checker observe them."""

    def __init__(self, queue: Admission, options: AdmissionOptions) -> None:
        """Builds a wrapper around an empty queue.

        Args:
            queue: Queue to which calls are forwarded.
            options: Sizes and times that the rules refer to.
        """
        self._queue = queue
        self._checker = RunChecker(options)
        self._pools: dict[str, str] = {}
        self._free_slots: dict[str, int] = {}

    @property
    def checker(self) -> RunChecker:
        """The checker, which holds the violations found so far."""
        return self._checker

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Queues a request, or refuses it or another one at once."""
        self._pools[request.request_id] = request.pool
        self._checker.observe(Offered(request, now_s))
        return self._record_commands(self._queue.offer(request, now_s), now_s)

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits the requests that may start on a pool's free slots."""
        self._free_slots[pool] = free_slots
        commands = self._queue.on_capacity(pool, free_slots, now_s)
        return self._record_slots(pool, commands, now_s)

    def withdraw(self, request_id: str, now_s: float) -> None:
        """Removes a request that is waiting or admitted."""
        self._checker.observe(Withdrawn(request_id, now_s))
        self._queue.withdraw(request_id, now_s)

    def on_finished(
        self,
        request_id: str,
        service_time_s: float,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Records the service time of an admitted request that has ended."""
        self._queue.on_finished(
            request_id, service_time_s, output_tokens, now_s
        )

    def on_peer_pressure(
        self, pressures: tuple[TierPressure, ...], now_s: float
    ) -> None:
        """Records the pressure that peers report."""
        self._checker.observe(PressureReceived(pressures, now_s))
        self._queue.on_peer_pressure(pressures, now_s)

    def local_pressure(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns the pools and tiers for which this host lacks capacity."""
        return self._queue.local_pressure(now_s)

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Admits the requests that have become due by time."""
        commands = self._queue.tick(now_s)
        for pool in tuple(self._free_slots):
            self._record_slots(pool, commands, now_s)
        return commands

    def next_deadline(self) -> float:
        """Returns the time of the next call of `tick` that is needed."""
        return self._queue.next_deadline()

    def _record_slots(
        self, pool: str, commands: tuple[AdmissionCommand, ...], now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        own = tuple(c for c in commands if self._pools[c.request_id] == pool)
        self._checker.observe(SlotsOffered(pool, self._free_slots[pool], now_s))
        self._free_slots[pool] -= len(own)
        self._record_commands(own, now_s)
        return commands

    def _record_commands(
        self, commands: tuple[AdmissionCommand, ...], now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        for command in commands:
            request_id = command.request_id
            if isinstance(command, Admit):
                self._checker.observe(Admitted(request_id, now_s))
            else:
                refused = Refused(request_id, command.verdict, now_s)
                self._checker.observe(refused)
        return commands
