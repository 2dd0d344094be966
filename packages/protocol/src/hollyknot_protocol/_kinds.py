"""The registry of message kinds: number, attrs class, thrift struct.

To add a kind, add its struct to a file below `idl/`, run `make generate`, and
add one line to `KINDS`. Numbers are never used again, not even for a kind that
no host sends any more: an older host would take one message for another.

1 to 99 are the link's own, 100 to 199 claims, 200 to 299 gossip.
"""

from typing import Any

import attrs

import hollyknot_state as state
from hollyknot_protocol import _peer
from hollyknot_protocol.gen.claims import ttypes as claims
from hollyknot_protocol.gen.gossip import ttypes as gossip
from hollyknot_protocol.gen.peer import ttypes as peer
from hollyknot_protocol.gen.report import ttypes as report


@attrs.frozen
class Kind:
    """One kind of message.

    Attributes:
        number: What `Envelope.kind` holds; 0 for the messages that are known
            by their place in the link.
        message: The attrs class.
        struct: The generated thrift struct with the same fields.
    """

    number: int
    message: type[Any]
    struct: type[Any]

    @property
    def name(self) -> str:
        """The kind's name in logs and measures."""
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
)
"""What travels without an envelope."""

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
"""What travels in an envelope."""
