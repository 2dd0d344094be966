"""Defines the admission policies that the scenario compares."""

import enum
import math

from hollyknot_coordination.admission import AdmissionCommand, Admit
from hollyknot_state import RequestInfo, TierPressure


class Policy(enum.Enum):
    """Admission policies of the scenario."""

    HOLLYKNOT = "hollyknot"
    """Hosts' admission; requests go to the engine with fewest in flight."""

    NO_SIGNALS = "no-signals"
    """The same, but hosts receive no pressure from peers."""

    NAIVE = "naive"
    """No admission control: round robin, queues at engines, no retry limit."""


class NaiveAdmission:
    """Admits each request at once, so that engines queue them in order."""

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits the request."""
        del now_s
        return (Admit(request.request_id),)

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits nothing, since no request waits here."""
        del pool, free_slots, now_s
        return ()

    def withdraw(self, request_id: str, now_s: float) -> None:
        """Does nothing."""

    def on_finished(
        self,
        request_id: str,
        service_time_s: float,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Does nothing."""

    def on_peer_pressure(
        self, pressures: tuple[TierPressure, ...], now_s: float
    ) -> None:
        """Does nothing."""

    def local_pressure(self, now_s: float) -> tuple[TierPressure, ...]:
        """Reports no pressure."""
        del now_s
        return ()

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Does nothing."""
        del now_s
        return ()

    def next_deadline(self) -> float:
        """Returns infinity, since no request waits here."""
        return math.inf
