"""Soft signals between hosts: cheap, late, and never needed for safety.

Times are ages in milliseconds at the moment of sending, never clock readings:
hosts' clocks differ, ages do not. The receiver turns an age into its own
monotonic time, and forgets a signal that is too old.
"""

import enum

import attrs


@attrs.frozen
class TierPressure:
    """That some host of the data centre had too little capacity for a tier.

    Merged by the least age, so that its cost does not grow with the hosts.

    Attributes:
        pool: The model or service that was short.
        tier: The tier that had to wait or was shed.
        age_ms: How long ago.
    """

    pool: str
    tier: int
    age_ms: int


class SignKind(enum.Enum):
    """What a host saw of an upstream by itself."""

    DRAINING = "draining"
    REFUSED_CONNECTION = "refused-connection"
    SILENT = "silent"
    LOST = "lost"
    HEALTHY = "healthy"


@attrs.frozen
class UpstreamSign:
    """A sign of an upstream, seen by one host and told to its peers.

    Attributes:
        upstream: The upstream's name in the host list.
        kind: What was seen.
        age_ms: How long ago.
    """

    upstream: str
    kind: SignKind
    age_ms: int


@attrs.frozen
class SuspectRecord:
    """Evidence that a request crashes upstreams.

    Attributes:
        fingerprint: Of the request (unsigned 64 bits).
        upstream: The upstream that was lost while it ran there.
        companions: How many other requests were lost with it.
        age_ms: How long ago.
    """

    fingerprint: int
    upstream: str
    companions: int
    age_ms: int


@attrs.frozen
class SuspectNews:
    """Evidence that its sender has just learnt, passed on from host to host.

    Attributes:
        suspects: The evidence.
    """

    suspects: tuple[SuspectRecord, ...]


@attrs.frozen
class LoadReport:
    """What an engine says of its load, with a lag.

    Attributes:
        running: Requests in its batch.
        queued: Requests that wait inside it.
        slots: Requests that it can batch; 0 if it does not say.
        draining: Whether it refuses new work.
        measured_ms_ago: Age of the figures when they were sent.
    """

    running: int
    queued: int
    slots: int
    draining: bool
    measured_ms_ago: int
