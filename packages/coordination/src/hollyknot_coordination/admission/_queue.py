"""The admission queue of one host."""

import math
import random
from collections import deque

from hollyknot_state import (
    TIERS,
    Outcome,
    Reason,
    RequestInfo,
    TierPressure,
    Verdict,
)

from hollyknot_coordination.admission._commands import (
    AdmissionCommand,
    Admit,
    Refuse,
)
from hollyknot_coordination.admission._options import AdmissionOptions


class AdmissionQueue:
    """Requests that wait for a slot, by pool and tier."""

    def __init__(self, options: AdmissionOptions, rng: random.Random) -> None:
        """Makes an empty queue.

        Args:
            options: Sizes and times.
            rng: Spreads the times to come back.
        """
        self._options = options
        self._rng = rng
        self._waiting: dict[str, RequestInfo] = {}
        self._by_tier: dict[tuple[str, int], deque[str]] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def offer(
        self, request: RequestInfo, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Takes a request in, or refuses it or a lower one at once."""
        del now_s
        if len(self._waiting) >= self._options.max_waiting:
            after_s = self._options.retry_min_s * self._rng.uniform(1, 2)
            verdict = Verdict(
                Outcome.NOT_RUN, Reason.SHED, "too many wait", after_s
            )
            return (Refuse(request.request_id, verdict),)
        self._waiting[request.request_id] = request
        key = (request.pool, request.tier)
        self._by_tier.setdefault(key, deque()).append(request.request_id)
        return ()

    def on_capacity(
        self, pool: str, free_slots: int, now_s: float
    ) -> tuple[AdmissionCommand, ...]:
        """Admits what may start on a pool's free slots."""
        del now_s
        admitted: list[AdmissionCommand] = []
        for tier in TIERS:
            queue = self._by_tier.get((pool, tier), deque())
            while queue and len(admitted) < free_slots:
                request_id = queue.popleft()
                if self._waiting.pop(request_id, None) is not None:
                    admitted.append(Admit(request_id))
        return tuple(admitted)

    def withdraw(self, request_id: str, now_s: float) -> None:
        """Forgets a request, waiting or admitted, that needs no answer."""
        del now_s
        self._waiting.pop(request_id, None)

    def on_finished(
        self,
        request_id: str,
        service_time_s: float,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Learns from an admitted request that has ended."""

    def on_peer_pressure(
        self, pressures: tuple[TierPressure, ...], now_s: float
    ) -> None:
        """Takes peers' pressure in."""

    def local_pressure(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns the tiers that are short of capacity here."""
        del now_s
        return ()

    def tick(self, now_s: float) -> tuple[AdmissionCommand, ...]:
        """Admits what has become due by time."""
        del now_s
        return ()

    def next_deadline(self) -> float:
        """Returns when `tick` has something to do; infinity for never."""
        return math.inf
