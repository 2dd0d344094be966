"""Messages with which hosts exchange documents, liveness and signals.

Safety does not depend on them: they may be lost, duplicated, delayed or
reordered. A host announces only versions that it holds and never forwards the
announcements of others, so that a version is forgotten once no host can send
it.
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
    """A version of a document that the sender holds and can send.

    Attributes:
        document: The document.
        version: The document's version or revision; 0 if the sender holds none.
        digest: Digest of the records, 63 bits, which distinguishes different
            bodies of the same version.
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
    """The changes between two versions of a document.

    Attributes:
        base: The version to which the delta applies.
        target: The resulting version, whose digest verifies the result.
        changed: Records that are new or have a new body.
        removed: Paths of removed records.
    """

    base: DocumentVersion
    target: DocumentVersion
    changed: tuple[DocumentRecord, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class FetchDocument:
    """Asks a host for a newer version, as a delta or in pages.

    Attributes:
        document: The document.
        bases: Versions to which the sender can apply a delta, newest first;
            empty to ask for the whole document.
        version: For a page above 0, the version of which the sender already has
            the pages before.
        page: Page that is asked for; with 0 the receiver answers a delta or the
            first page, whichever suits.
    """

    document: DocumentKind
    bases: tuple[DocumentVersion, ...] = ()
    version: int = attrs.field(default=0, validator=_not_negative)
    page: int = attrs.field(default=0, validator=_not_negative)


@attrs.frozen
class DocumentPage:
    """One page of a whole document.

    Attributes:
        version: The version to which the pages belong.
        page: Number of this page, from 0.
        pages: Number of pages, at least 1.
        body: Content of the page, compressed by zlib.
    """

    version: DocumentVersion
    page: int = attrs.field(validator=_not_negative)
    pages: int = attrs.field(validator=validators.ge(1))
    body: bytes


class MemberState(enum.Enum):
    """Liveness of a peer in the same data centre, as a host judges it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class MemberUpdate:
    """A belief about a host, ordered by incarnation, then by state.

    Attributes:
        host: The host's name in the host list.
        state: The host's liveness, as the sender judges it.
        incarnation: Number that only the host itself raises, to refute a
            suspicion.
    """

    host: str
    state: MemberState
    incarnation: int = attrs.field(validator=_not_negative)


@attrs.frozen
class Probe:
    """Asks a peer whether it is alive.

    Attributes:
        sequence: Number that the acknowledgement returns.
    """

    sequence: int


@attrs.frozen
class ProbeAck:
    """Answers a `Probe` or, on behalf of its target, an `IndirectProbe`.

    Attributes:
        sequence: Sequence number of the message that it answers.
    """

    sequence: int


@attrs.frozen
class IndirectProbe:
    """Asks a peer to probe another host, which the sender cannot reach.

    Attributes:
        sequence: Number that the acknowledgement returns.
        target: Name of the host to probe.
    """

    sequence: int
    target: str


@attrs.frozen
class Gossip:
    """A message to a peer, sent in a round, on a change or as an answer.

    Attributes:
        reply: Whether the receiver has to answer with a `Gossip` in any case.
        versions: Versions of documents that the sender holds.
        members: Liveness of hosts of the sender's data centre.
        pressures: Tiers that were short of capacity.
        signs: Health signs of upstreams.
        suspects: Evidence against requests that may crash upstreams.
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
"""All messages of this module that are sent on their own."""
