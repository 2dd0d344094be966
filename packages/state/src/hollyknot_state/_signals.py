"""Signals that hosts gossip; safety does not depend on them.

They may be late or lost.

Times are ages in milliseconds at the moment of sending, never clock readings,
since the clocks of hosts differ. The receiver converts an age to its own
monotonic time and drops a signal that is too old.
"""

import enum
from typing import Self

import attrs
from attrs import validators

_not_negative = validators.ge(0)


@attrs.frozen
class TierPressure:
    """Says that a host of the data centre had too little capacity for a tier.

    Of several hosts' signals only the newest is kept, so that the cost does not
    grow with the number of hosts.

    Attributes:
        pool: The model or service that was short of capacity.
        tier: The tier whose requests had to wait or were shed.
        age_ms: Milliseconds since the shortage.
    """

    pool: str
    tier: int
    age_ms: int


class SignKind(enum.Enum):
    """Kinds of signs of an upstream's state that a host itself observed."""

    DRAINING = "draining"
    REFUSED_CONNECTION = "refused-connection"
    SILENT = "silent"
    LOST = "lost"
    HEALTHY = "healthy"


@attrs.frozen
class UpstreamSign:
    """A health sign of an upstream, observed by one host and gossiped.

    Attributes:
        upstream: The upstream's name in the host list.
        kind: Kind of sign that the host observed.
        age_ms: Milliseconds since the observation.
    """

    upstream: str
    kind: SignKind
    age_ms: int


@attrs.frozen
class SuspectRecord:
    """Evidence that a request crashes upstreams.

    Attributes:
        fingerprint: Fingerprint of the request, unsigned 64 bits.
        upstream: The upstream that was lost while it ran the request.
        companions: Number of other requests that were lost with it.
        age_ms: Milliseconds since the loss.
    """

    fingerprint: int
    upstream: str
    companions: int
    age_ms: int


@attrs.frozen
class LossNews:
    """Requests that were lost together at one upstream.

    Attributes:
        upstream: The upstream.
        age_ms: Milliseconds since the loss.
        is_crash: Whether the upstream has crashed. While the verdict is
            pending, it may also be behind a network partition.
        companions: Number of other requests that were lost with each of them;
            0 while the verdict is pending.
        fingerprints: Fingerprints of the requests, unsigned 64 bits each.
    """

    upstream: str
    age_ms: int = attrs.field(validator=_not_negative)
    is_crash: bool
    companions: int = attrs.field(validator=_not_negative)
    fingerprints: tuple[int, ...]


@attrs.frozen
class CrashingPart:
    """A part of prompts that has crashed an upstream in a trial of its own.

    Attributes:
        identity: The part, unsigned 64 bits.
        age_ms: Milliseconds since that crash.
    """

    identity: int
    age_ms: int = attrs.field(validator=_not_negative)


@attrs.frozen
class SuspectNews:
    """News of suspects, which each host forwards to others when it learns them.

    Attributes:
        suspects: Evidence against requests of so many crashes that they may be
            refused, for hosts that don't know the other fields. It is in
            `losses` too. Without a default it is sent if it is empty, as these
            hosts require it.
        losses: New losses and verdicts.
        cleared: Fingerprints of suspects that upstreams have answered.
        cleared_age_ms: Milliseconds since the first of these answers.
        part_losses: New losses and verdicts of parts of prompts.
        cleared_parts: Suspected parts that upstreams have answered.
        cleared_parts_age_ms: Milliseconds since the first of these answers.
        crashing_parts: Parts that have crashed an upstream in a trial.
    """

    suspects: tuple[SuspectRecord, ...]
    losses: tuple[LossNews, ...] = ()
    cleared: tuple[int, ...] = ()
    cleared_age_ms: int = attrs.field(default=0, validator=_not_negative)
    part_losses: tuple[LossNews, ...] = ()
    cleared_parts: tuple[int, ...] = ()
    cleared_parts_age_ms: int = attrs.field(default=0, validator=_not_negative)
    crashing_parts: tuple[CrashingPart, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not any(
            (
                self.suspects,
                self.losses,
                self.cleared,
                self.part_losses,
                self.cleared_parts,
                self.crashing_parts,
            )
        )

    @classmethod
    def of_parts(cls, news: Self) -> Self:
        """Returns news of a register of parts as such, in place of requests."""
        return cls(
            (),
            part_losses=news.losses,
            cleared_parts=news.cleared,
            cleared_parts_age_ms=news.cleared_age_ms,
            crashing_parts=news.crashing_parts,
        )

    @property
    def parts(self) -> Self:
        """The news of parts as a register of parts takes them."""
        return attrs.evolve(
            self,
            suspects=(),
            losses=self.part_losses,
            cleared=self.cleared_parts,
            cleared_age_ms=self.cleared_parts_age_ms,
            part_losses=(),
            cleared_parts=(),
            cleared_parts_age_ms=0,
        )


@attrs.frozen
class LoadReport:
    """The load that an engine reports about itself, with a delay.

    Attributes:
        running: Requests in the engine's batch.
        queued: Requests in the engine's own queue.
        slots: Requests that fit into the batch; 0 if the engine does not say.
        draining: Whether the engine refuses new work.
        measured_ms_ago: Milliseconds from the measurement to the sending.
    """

    running: int
    queued: int
    slots: int
    draining: bool
    measured_ms_ago: int
