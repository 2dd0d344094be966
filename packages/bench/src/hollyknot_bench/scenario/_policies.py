"""What the scenario compares: this policy, and a naive one."""

import enum
import math

from hollyknot_coordination.admission import AdmissionCommand, Admit
from hollyknot_state import RequestInfo, TierPressure


class Policy(enum.Enum):
    """The policies that the scenario plays."""

    HOLLYKNOT = "hollyknot"
    """Admission as the hosts run it, engines by least in flight."""

    NO_SIGNALS = "no-signals"
    """The same with every host cut off from its peers' signals."""

    NAIVE = "naive"
    """Round robin, first come first served, retry always."""


class NaiveAdmission:
    """Sends everything on at once; engines queue it as it comes."""

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits the request."""
        del now_s
        return (Admit(request.request_id),)

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Does nothing: nothing waits here."""
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
        """Reports nothing."""
        del now_s
        return ()

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Does nothing."""
        del now_s
        return ()

    def next_deadline(self) -> float:
        """Returns infinity."""
        return math.inf
