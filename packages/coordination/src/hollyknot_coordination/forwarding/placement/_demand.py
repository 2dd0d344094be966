"""Sums up the prompt tokens and streams of all hosts, by service and lane.

Reports of peers tell their demand, but in a large fleet each peer's report
comes every few seconds, and a burst of one kind of request is over by then.
Answers of trackers tell the demand of the host that answers: a random sample of
hosts, some tens of them in each second, whatever the number of hosts.
"""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from hollyknot_coordination.forwarding.placement._demand_samples import (
    DemandSamples,
)
from hollyknot_state import LaneDemand

TIGHT_UTILISATION = 0.6
"""Utilisation of the tight lane's upstreams, relative to the loose lane's: a
tight stream misses its target by a single long gap, a long prompt only by the
sum of its delays."""

SMOOTHING_S = 4.0
"""Time constant in seconds of the average of demand: shorter than a burst, and
longer than the time between two long prompts at one host."""

_MIN_DEMAND = 1.0
"""Prompt tokens per second below which demand does not determine the lanes."""

_DEFAULT_LOOSE_SHARE = 0.5
"""Share of the loose lane below that demand."""


@attrs.define
class _Rate:
    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        self.value = self.at(now_s) + amount / SMOOTHING_S
        self.at_s = now_s

    def at(self, now_s: float) -> float:
        return self.value * math.exp(-(now_s - self.at_s) / SMOOTHING_S)


class Demand:
    """Prompt tokens and streams of all hosts, by service and lane."""

    def __init__(self) -> None:
        """Builds a demand of zero."""
        self._own: dict[tuple[str, bool], _Rate] = {}
        self._own_streams: Counter[tuple[str, bool]] = Counter()
        self._tokens: Counter[tuple[str, bool]] = Counter()
        self._streams: Counter[tuple[str, bool]] = Counter()
        self._heard_fraction = 1.0
        self._hosts = 1
        self._samples = DemandSamples()

    def begin(
        self, service: str, tokens: int, now_s: float, *, is_loose: bool
    ) -> None:
        """Records a stream that this host sends, with its tokens to prefill."""
        rate = self._own.setdefault((service, is_loose), _Rate(0.0, now_s))
        rate.add(tokens, now_s)
        self._own_streams[service, is_loose] += 1

    def end(self, service: str, *, is_loose: bool) -> None:
        """Records the end of a stream that this host sent."""
        self._own_streams[service, is_loose] -= 1

    def apply_answered(
        self, host: int, demands: Iterable[LaneDemand], now_s: float
    ) -> None:
        """Records the demand that a host told in an answer.

        Args:
            host: Incarnation of the host.
            demands: Its own demand by service.
            now_s: Current time in seconds.
        """
        self._samples.record(host, demands, now_s)

    def apply_reported(
        self,
        reported: Iterable[LaneDemand],
        heard_fraction: float = 1.0,
        hosts: int = 1,
    ) -> None:
        """Replaces the demand that peers reported before.

        Args:
            reported: Demand in the current reports of peers.
            heard_fraction: Share of all hosts that these reports and this host
                itself stand for, from 0 to 1.
            hosts: Number of all hosts, with this one.
        """
        self._heard_fraction = heard_fraction
        self._hosts = hosts
        tokens: Counter[tuple[str, bool]] = Counter()
        streams: Counter[tuple[str, bool]] = Counter()
        for demand in reported:
            loose, tight = (demand.pool, True), (demand.pool, False)
            tokens[loose] += demand.loose_tokens_s
            tokens[tight] += demand.tight_tokens_s
            streams[loose] += demand.loose_streams
            streams[tight] += demand.tight_streams
        self._tokens = tokens
        self._streams = streams

    def to_report(self, now_s: float) -> tuple[LaneDemand, ...]:
        """Returns this host's own demand, for its report."""
        services = sorted({service for service, _ in self._own})
        return tuple(
            LaneDemand(
                service,
                int(self._own_tokens(service, True, now_s)),
                int(self._own_tokens(service, False, now_s)),
                self._own_streams[service, True],
                self._own_streams[service, False],
            )
            for service in services
        )

    def is_sampled(self, now_s: float) -> bool:
        """Whether enough hosts told their demand in answers lately."""
        return self._samples.is_enough(now_s)

    def share_of_loose(self, service: str, now_s: float) -> float:
        """Returns the share of a service's upstreams that loose streams need.

        It follows from prompt tokens, from 0 to 1.
        """
        loose = self._tokens_per_s(service, True, now_s)
        tight = self._tokens_per_s(service, False, now_s) / TIGHT_UTILISATION
        if loose + tight < _MIN_DEMAND:
            return _DEFAULT_LOOSE_SHARE
        return loose / (loose + tight)

    def streams(self, service: str, now_s: float, *, is_loose: bool) -> float:
        """Returns how many streams of a lane are in flight at all hosts.

        Streams of hosts that told nothing are estimated from the others.
        """
        own = self._own_streams[service, is_loose]
        sample = self._samples.mean(service, now_s)
        if sample is not None:
            return own + sample.streams(is_loose) * (self._hosts - 1)
        counted = self._streams[service, is_loose] + own
        return counted / self._heard_fraction

    def _tokens_per_s(
        self, service: str, is_loose: bool, now_s: float
    ) -> float:
        own = self._own_tokens(service, is_loose, now_s)
        sample = self._samples.mean(service, now_s)
        if sample is not None:
            return own + sample.tokens_s(is_loose) * (self._hosts - 1)
        return own + self._tokens[service, is_loose]

    def _own_tokens(self, service: str, is_loose: bool, now_s: float) -> float:
        rate = self._own.get((service, is_loose))
        return rate.at(now_s) if rate is not None else 0.0
