"""Registers the number, attrs class and thrift struct of each message kind.

To add a kind, add its struct to a file below `idl/`, run `make generate`, and
add one line to `KINDS`. Never reuse a number, not even that of a kind that no
host sends any more: an older host would mistake one message for another.

Numbers 1 to 99 are for messages of the link itself, 100 to 199 for claims, 200
to 299 for gossip.
"""

from typing import Any

import attrs

import hollyknot_state as state
from hollyknot_protocol import _peer
from hollyknot_protocol.gen.claims import ttypes as claims
from hollyknot_protocol.gen.gossip import ttypes as gossip
from hollyknot_protocol.gen.peer import ttypes as peer
from hollyknot_protocol.gen.report import ttypes as report
from hollyknot_state import routes


@attrs.frozen
class Kind:
    """One kind of message.

    Attributes:
        number: Number that `Envelope.kind` holds; 0 for messages that are sent
            without an envelope.
        message: The attrs class of the message.
        struct: The generated thrift struct with the same fields.
    """

    number: int
    message: type[Any]
    struct: type[Any]

    @property
    def name(self) -> str:
        """Name of the kind in logs and metrics."""
        return self.message.__name__


UNENVELOPED = (
    Kind(0, _peer.Hello, peer.Hello),
    Kind(0, _peer.Proof, peer.Proof),
    Kind(0, _peer.Envelope, peer.Envelope),
    Kind(0, state.HostReport, report.HostReport),
    Kind(0, state.UseReport, report.UseReport),
    Kind(0, state.LoadNote, report.LoadNote),
    Kind(0, state.LoadQuery, report.LoadQuery),
    Kind(0, state.LoadAnswer, report.LoadAnswer),
    Kind(0, state.SuspectNews, report.SuspectNews),
    Kind(0, state.PermitQuery, report.PermitQuery),
    Kind(0, state.PermitAnswer, report.PermitAnswer),
    Kind(0, state.VersionNote, report.VersionNote),
    Kind(0, state.VersionQuery, report.VersionQuery),
    Kind(0, state.VersionAnswer, report.VersionAnswer),
    Kind(0, state.CacheSearch, report.CacheSearch),
    Kind(0, state.CachedNote, report.CachedNote),
    Kind(0, state.HostsQuery, report.HostsQuery),
    Kind(0, state.HostsNote, report.HostsNote),
    Kind(0, state.EvidenceQuery, report.EvidenceQuery),
    Kind(0, state.EvidenceAnswer, report.EvidenceAnswer),
    Kind(0, state.TrialQuery, report.TrialQuery),
    Kind(0, state.TrialAnswer, report.TrialAnswer),
    Kind(0, routes.RelayedRequest, report.RelayedRequest),
)
"""Messages that are sent without an envelope.

The receiver knows their class from their position on the link, from the first
byte of the datagram, or from the path of the HTTP request.
"""

KINDS = (
    Kind(1, _peer.Ping, peer.Ping),
    Kind(2, _peer.Pong, peer.Pong),
    Kind(3, _peer.CallRefusal, peer.CallRefusal),
    Kind(100, state.GrantClaim, claims.GrantClaim),
    Kind(101, state.CancelClaim, claims.CancelClaim),
    Kind(102, state.ReleaseClaim, claims.ReleaseClaim),
    Kind(103, state.RecordClaim, claims.RecordClaim),
    Kind(104, state.ClaimAnswer, claims.ClaimAnswer),
    Kind(105, state.LearnSlots, claims.LearnSlots),
    Kind(106, state.SlotAnswers, claims.SlotAnswers),
    Kind(200, state.Gossip, gossip.Gossip),
    Kind(201, state.FetchDocument, gossip.FetchDocument),
    Kind(202, state.DocumentDelta, gossip.DocumentDelta),
    Kind(203, state.DocumentPage, gossip.DocumentPage),
    Kind(204, state.Probe, gossip.Probe),
    Kind(205, state.ProbeAck, gossip.ProbeAck),
    Kind(206, state.IndirectProbe, gossip.IndirectProbe),
)
"""Messages that are sent in an envelope."""
