"""Keeps the newest demand of each host that told it in an answer."""

from collections.abc import Iterable

import attrs

from hollyknot_state import LaneDemand

FRESH_S = 2.0
"""Seconds for which the demand that a host told counts."""

MIN_HOSTS = 12
"""Hosts with a fresh answer from which their mean stands for all hosts. One
host may have twice the demand of another."""


@attrs.frozen
class MeanDemand:
    """The demand of a host on the mean.

    Attributes:
        loose_tokens_s: Prompt tokens per second that it sends to the loose
            lane.
        tight_tokens_s: Likewise to the tight lane.
        loose_streams: Its streams in flight in the loose lane.
        tight_streams: Likewise in the tight lane.
    """

    loose_tokens_s: float
    tight_tokens_s: float
    loose_streams: float
    tight_streams: float

    def tokens_s(self, is_loose: bool) -> float:
        """Returns the prompt tokens per second of a lane."""
        return self.loose_tokens_s if is_loose else self.tight_tokens_s

    def streams(self, is_loose: bool) -> float:
        """Returns the streams in flight of a lane."""
        return self.loose_streams if is_loose else self.tight_streams


@attrs.frozen
class _Answer:
    at_s: float
    demands: dict[str, LaneDemand]


class DemandSamples:
    """The newest demand of hosts that answered lately."""

    def __init__(self) -> None:
        """Creates samples without any answer."""
        # The host that answered longest ago comes first.
        self._answers: dict[int, _Answer] = {}
        self._means: dict[str, MeanDemand | None] = {}

    def record(
        self, host: int, demands: Iterable[LaneDemand], now_s: float
    ) -> None:
        """Records what a host told; it replaces what it told before.

        Args:
            host: Incarnation of the host.
            demands: Its own demand by service.
            now_s: Current time in seconds.
        """
        self._answers.pop(host, None)
        by_service = {demand.pool: demand for demand in demands}
        self._answers[host] = _Answer(now_s, by_service)
        self._means.clear()

    def is_enough(self, now_s: float) -> bool:
        """Whether enough hosts answered lately to stand for all."""
        self._forget_old(now_s)
        return len(self._answers) >= MIN_HOSTS

    def mean(self, service: str, now_s: float) -> MeanDemand | None:
        """Returns the mean demand of the hosts that answered lately.

        Returns:
            The mean; None if too few hosts answered.
        """
        self._forget_old(now_s)
        if service not in self._means:
            self._means[service] = self._compute_mean(service)
        return self._means[service]

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - FRESH_S
        while self._answers:
            host, answer = next(iter(self._answers.items()))
            if answer.at_s >= oldest_s:
                return
            del self._answers[host]
            self._means.clear()

    def _compute_mean(self, service: str) -> MeanDemand | None:
        count = len(self._answers)
        if count < MIN_HOSTS:
            return None
        idle = LaneDemand(service, 0, 0)
        told = [
            answer.demands.get(service, idle)
            for answer in self._answers.values()
        ]
        return MeanDemand(
            sum(demand.loose_tokens_s for demand in told) / count,
            sum(demand.tight_tokens_s for demand in told) / count,
            sum(demand.loose_streams for demand in told) / count,
            sum(demand.tight_streams for demand in told) / count,
        )
