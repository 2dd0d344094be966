"""Messages by which hosts tell each other documents, liveness and signals.

None is needed for safety: each may be lost, doubled, late or out of order.
Versions are told only by hosts that hold them, never by hearsay, so that a
version which nobody can give any more is forgotten with its last witness.
"""

import enum

import attrs
from attrs import validators

from hollyknot_state._signals import SuspectRecord, TierPressure, UpstreamSign

_not_negative = validators.ge(0)


class DocumentKind(enum.Enum):
    """The two versioned documents of the platform."""

    DECLARATIONS = "declarations"
    HOSTS = "hosts"


@attrs.frozen
class DocumentVersion:
    """A version of a document that the sender holds and can give.

    Attributes:
        document: Which document.
        version: Its version or revision; 0 if the sender holds none.
        digest: Of the records, 63 bits; tells bodies of one version apart.
    """

    document: DocumentKind
    version: int = attrs.field(validator=_not_negative)
    digest: int = attrs.field(validator=_not_negative)


@attrs.frozen
class DocumentRecord:
    """One record of a document.

    Attributes:
        path: `section/key`, or `section` where a section is not an object.
        body: The record as JSON with sorted keys.
    """

    path: str
    body: bytes


@attrs.frozen
class DocumentDelta:
    """What changed between two versions of a document.

    Attributes:
        base: The version that it applies to.
        target: The version that it leads to; its digest checks the result.
        changed: Records that are new or have a new body.
        removed: Paths of records that are gone.
    """

    base: DocumentVersion
    target: DocumentVersion
    changed: tuple[DocumentRecord, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class FetchDocument:
    """Asks a host for a newer version, as a delta or in pages.

    Attributes:
        document: Which document.
        bases: Versions that the sender can apply a delta to, newest first;
            empty to ask for the whole.
        version: For a page above 0, the version whose pages were begun.
        page: 0 for whatever is best: a delta or the first page.
    """

    document: DocumentKind
    bases: tuple[DocumentVersion, ...] = ()
    version: int = attrs.field(default=0, validator=_not_negative)
    page: int = attrs.field(default=0, validator=_not_negative)


@attrs.frozen
class DocumentPage:
    """One page of a whole document.

    Attributes:
        version: The version that the pages make up.
        page: This page, from 0.
        pages: How many there are; at least 1.
        body: The page, compressed by zlib.
    """

    version: DocumentVersion
    page: int = attrs.field(validator=_not_negative)
    pages: int = attrs.field(validator=validators.ge(1))
    body: bytes


class MemberState(enum.Enum):
    """What a host believes of a peer of its data centre."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class MemberUpdate:
    """A belief about a host, ordered by incarnation, then by state.

    Attributes:
        host: The host's name in the host list.
        state: What is believed of it.
        incarnation: Raised by that host alone, to refute a suspicion.
    """

    host: str
    state: MemberState
    incarnation: int = attrs.field(validator=_not_negative)


@attrs.frozen
class Probe:
    """Asks a peer whether it is alive.

    Attributes:
        sequence: Given back in the acknowledgement.
    """

    sequence: int


@attrs.frozen
class ProbeAck:
    """Answers a `Probe` or, on behalf of its target, an `IndirectProbe`.

    Attributes:
        sequence: Of the message that it answers.
    """

    sequence: int


@attrs.frozen
class IndirectProbe:
    """Asks a peer to probe another, which the sender cannot reach.

    Attributes:
        sequence: Given back in the acknowledgement.
        target: The name of the host to probe.
    """

    sequence: int
    target: str


@attrs.frozen
class Gossip:
    """What one host tells another at a round, on news or as an answer.

    Attributes:
        reply: Whether the sender wants a `Gossip` back in any case.
        versions: The versions that the sender holds.
        members: Liveness of hosts of the sender's data centre.
        pressures: Soft signals of tiers that were short of capacity.
        signs: Soft signals of upstreams.
        suspects: Evidence about requests that crash upstreams.
    """

    reply: bool = False
    versions: tuple[DocumentVersion, ...] = ()
    members: tuple[MemberUpdate, ...] = ()
    pressures: tuple[TierPressure, ...] = ()
    signs: tuple[UpstreamSign, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()


PeerMessage = (
    Gossip
    | FetchDocument
    | DocumentDelta
    | DocumentPage
    | Probe
    | ProbeAck
    | IndirectProbe
)
"""Every message of this module that travels by itself."""
