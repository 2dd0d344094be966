"""Commands of the modules by which hosts come to know things.

The host's task executes them in order; none waits for another.
"""

import attrs

from hollyknot_state import (
    DocumentKind,
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
        peer: The host's name in the host list in force.
        message: What to send.
    """

    peer: str
    message: PeerMessage


@attrs.frozen
class Apply:
    """A newer version of a document is in force from now on.

    Attributes:
        document: Which document.
        version: Above each version that was in force before.
        value: What the check made of it.
    """

    document: DocumentKind
    version: int
    value: object


@attrs.frozen
class Reject:
    """A newer version is invalid; what was in force stays so. For the log.

    Attributes:
        document: Which document.
        version: The refused version.
        problems: What is wrong, for an operator.
    """

    document: DocumentKind
    version: int
    problems: str


@attrs.frozen
class ReportConflict:
    """A peer holds another body under the version in force. For the log.

    The platform published one number twice; no host can tell which body was
    meant, and each keeps its own until a higher version ends it.

    Attributes:
        document: Which document.
        version: The version that stands for two bodies.
        peer: Who holds the other one.
    """

    document: DocumentKind
    version: int
    peer: str


@attrs.frozen
class StartPolling:
    """Read a document from the platform, again and again.

    Each read asks after `PeerState.read_after(document)` at that moment and
    does not wait at the platform.

    Attributes:
        document: Which document.
        pause_s: Mean seconds between reads; spread them at random by half.
    """

    document: DocumentKind
    pause_s: float


@attrs.frozen
class StopPolling:
    """Stop reading a document from the platform.

    Attributes:
        document: Which document.
    """

    document: DocumentKind


@attrs.frozen
class ReportMember:
    """A belief about a peer changed. For the log and the metrics.

    Attributes:
        host: The peer.
        state: What is believed from now on.
    """

    host: str
    state: MemberState


@attrs.frozen
class ReportSignals:
    """Signals that a peer told and that were news to this host.

    Attributes:
        pressures: Of tiers.
        signs: Of upstreams.
        suspects: Of requests.
    """

    pressures: tuple[TierPressure, ...] = ()
    signs: tuple[UpstreamSign, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()


PeerCommand = (
    Send
    | Apply
    | Reject
    | ReportConflict
    | StartPolling
    | StopPolling
    | ReportMember
    | ReportSignals
)
"""All commands of `PeerState`."""
