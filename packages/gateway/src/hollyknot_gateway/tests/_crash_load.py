"""Describes what a simulation of crashing upstreams plays and observes."""

from collections import defaultdict

import attrs

CONTACT_S = 3.0
MAX_CRASHES = 3
"""Sends later than `CONTACT_S` after this many crashes are late."""


@attrs.frozen
class Load:
    """What callers send and what fails in one simulation.

    Attributes:
        hosts: Number of hosts.
        seed: Seed of all random choices.
        engines: Number of upstreams of the service that crashes.
        plain: Number of upstreams of another service.
        seconds: Seconds for which callers send.
        rate: Innocent requests per second.
        culprits_per_s: Rate of each request that crashes upstreams.
        culprits: Number of such requests.
        downtime_s: Seconds until a successor of a crashed upstream listens.
        crash_interval_s: Mean seconds between crashes for other reasons; 0 for
            none.
        cuts: Start and length, in seconds, of partitions that cut off the
            first data centre. Connections across them are reset and refused.
        ends: Times in seconds at which all upstreams of the last data centre
            crash together.
        shared_crashes: Number of crashes of each culprit in which the same
            other request is lost too, whose caller does not repeat it.
        is_busy: Whether load queries use up their part of the byte budget.
        rolls: Times that all hosts are stopped and started in turn.
        roll_gap_s: Seconds between two hosts of a roll; the next roll begins in
            the middle of the one before.
        drain_s: Seconds for which a stopping host still talks to its peers.
        down_s: Seconds from the end of a host to its next start.
        kills: Time in seconds and share of the hosts that are killed then.
    """

    hosts: int = 8
    seed: int = 1
    engines: int = 12
    plain: int = 3
    seconds: float = 25.0
    rate: float = 60.0
    culprits_per_s: float = 3.0
    culprits: int = 2
    downtime_s: float = 3.0
    crash_interval_s: float = 0.0
    cuts: tuple[tuple[float, float], ...] = ()
    ends: tuple[float, ...] = ()
    shared_crashes: int = 0
    is_busy: bool = False
    rolls: int = 0
    roll_gap_s: float = 1.5
    drain_s: float = 3.5
    down_s: float = 4.0
    kills: tuple[tuple[float, float], ...] = ()


@attrs.define
class Report:
    """What was observed in one simulation.

    Attributes:
        crashes: Times of the crashes of each culprit, in seconds.
        sends: Times at which each culprit was sent to an upstream.
        refused_s: For each innocent request that was refused, seconds from its
            first refusal until it was sent again.
        lost: Innocent requests that lost an answer.
    """

    crashes: dict[int, list[float]] = attrs.Factory(lambda: defaultdict(list))
    sends: dict[int, list[float]] = attrs.Factory(lambda: defaultdict(list))
    refused_s: list[float] = attrs.Factory(list)
    lost: int = 0

    @property
    def crash_counts(self) -> list[int]:
        """Number of upstreams that each culprit crashed."""
        return [len(times) for _, times in sorted(self.crashes.items())]

    @property
    def late_counts(self) -> list[int]:
        """Late sends of each culprit."""
        return [
            sum(s > times[MAX_CRASHES - 1] + CONTACT_S for s in self.sends[f])
            for f, times in sorted(self.crashes.items())
            if len(times) >= MAX_CRASHES
        ]

    @property
    def longest_refusal_s(self) -> float:
        """Longest time for which an innocent request was refused."""
        return max(self.refused_s, default=0.0)
