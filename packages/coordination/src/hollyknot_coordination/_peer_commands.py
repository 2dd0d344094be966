"""Commands that `PeerState` returns for the host's task to execute.

They are executed in order, and none waits for the result of another.
"""

import attrs

from hollyknot_state import (
    DocumentKind,
    LeftOut,
    MemberState,
    PeerMessage,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)


@attrs.frozen
class Send:
    """Send a one-way message; drop it if the peer can't be reached at once.

    Attributes:
        peer: Name of the receiving host in the host list in force.
        message: Message to send.
    """

    peer: str
    message: PeerMessage


@attrs.frozen
class Apply:
    """Put a newer version of a document in force.

    Attributes:
        document: Document that changes.
        version: New version, higher than any that was in force before.
        value: Parsed document, as the check returned it.
    """

    document: DocumentKind
    version: int
    value: object


@attrs.frozen
class Reject:
    """Log that a newer version is invalid; the version in force stays.

    Attributes:
        document: Document that was checked.
        version: Rejected version.
        problems: Description of the faults, for an operator.
    """

    document: DocumentKind
    version: int
    problems: str


@attrs.frozen
class ReportLeftOut:
    """Log that parts of a version in force are unusable and left out.

    Attributes:
        document: Document that was checked.
        version: Version in force.
        left_out: The parts that this version adds to those known before.
    """

    document: DocumentKind
    version: int
    left_out: tuple[LeftOut, ...]


@attrs.frozen
class ReportConflict:
    """Log that a peer holds another body under the version in force.

    The platform published one version number twice. No host can know which
    body was intended, so each keeps its own until a higher version arrives.

    Attributes:
        document: Document in conflict.
        version: Version number that two bodies share.
        peer: Host that holds the other body.
    """

    document: DocumentKind
    version: int
    peer: str


@attrs.frozen
class StartPolling:
    """Read a document from the platform at intervals until `StopPolling`.

    Each read asks for a version above `PeerState.read_after(document)`, taken
    at that moment, and returns at once if there is none.

    Attributes:
        document: Document to read.
        pause_s: Mean seconds between reads; each pause varies at random by
            up to half of it.
    """

    document: DocumentKind
    pause_s: float


@attrs.frozen
class StopPolling:
    """Stop reading a document from the platform.

    Attributes:
        document: Document to read no longer.
    """

    document: DocumentKind


@attrs.frozen
class ReportMember:
    """Record for the log and the metrics that a peer changed its state.

    Attributes:
        host: Name of the peer.
        state: New state of the peer as this host sees it.
    """

    host: str
    state: MemberState


@attrs.frozen
class ReportSignals:
    """Handle signals that a peer gossiped and that are new to this host.

    Attributes:
        pressures: Tiers that are short of capacity.
        signs: Health signs of upstreams.
        suspects: Records of requests that are suspected of crashing upstreams.
    """

    pressures: tuple[TierPressure, ...] = ()
    signs: tuple[UpstreamSign, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()


PeerCommand = (
    Send
    | Apply
    | Reject
    | ReportConflict
    | ReportLeftOut
    | StartPolling
    | StopPolling
    | ReportMember
    | ReportSignals
)
"""Any command that `PeerState` returns."""
