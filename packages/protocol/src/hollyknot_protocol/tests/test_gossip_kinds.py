"""Tests that gossip messages are unchanged by encoding and decoding."""

import pytest

from hollyknot_protocol import decode, encode, kind_of
from hollyknot_state import (
    DocumentDelta,
    DocumentKind,
    DocumentPage,
    DocumentRecord,
    DocumentVersion,
    FetchDocument,
    Gossip,
    IndirectProbe,
    MemberState,
    MemberUpdate,
    PeerMessage,
    Probe,
    ProbeAck,
    SignKind,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)

VERSIONS = tuple(DocumentVersion(d, 5, (1 << 63) - 1) for d in DocumentKind)
MESSAGES: tuple[PeerMessage, ...] = (
    Gossip(
        True,
        VERSIONS,
        tuple(MemberUpdate("h", state, 3) for state in MemberState),
        (TierPressure("pool", 2, 1_500),),
        tuple(UpstreamSign("u", kind, 7) for kind in SignKind),
        (SuspectRecord((1 << 64) - 1, "u", 30, 9),),
    ),
    Gossip(),
    FetchDocument(DocumentKind.HOSTS, VERSIONS, 4, 2),
    DocumentDelta(
        VERSIONS[0], VERSIONS[1], (DocumentRecord("s/k", b"\x00"),), ("s/q",)
    ),
    DocumentPage(VERSIONS[0], 1, 2, b"\xff"),
    Probe(1),
    ProbeAck(2),
    IndirectProbe(3, "h"),
)


class TestGossipKinds:
    """Tests of the registered structs of `gossip.thrift`."""

    @pytest.mark.parametrize("message", MESSAGES, ids=repr)
    def test_a_message_comes_back_equal(self, message: PeerMessage) -> None:
        assert decode(kind_of(message).number, encode(message)) == message
