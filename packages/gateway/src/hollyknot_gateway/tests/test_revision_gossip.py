"""Tests when reports carry the directory revisions that were read."""

from hollyknot_gateway._revision_gossip import ANNOUNCEMENT_S, RevisionGossip
from hollyknot_state import ReadRevisions


class TestRevisionGossip:
    """Every report carries new revisions; later only complete ones do."""

    def test_change_is_reported_at_once_and_for_a_while(self) -> None:
        read = [ReadRevisions(5, 7)]
        gossip = RevisionGossip(lambda: read[0], lambda _: None)
        assert gossip.to_report(0.0, is_whole=False) == read[0]
        assert gossip.to_report(ANNOUNCEMENT_S - 0.1, is_whole=False) == read[0]
        assert gossip.to_report(ANNOUNCEMENT_S + 0.1, is_whole=False) is None
        read[0] = ReadRevisions(5, 9)
        assert gossip.to_report(ANNOUNCEMENT_S + 0.2, is_whole=False) == read[0]

    def test_complete_report_always_has_revisions(self) -> None:
        gossip = RevisionGossip(lambda: ReadRevisions(5, 7), lambda _: None)
        gossip.to_report(0.0, is_whole=False)
        late_s = 10 * ANNOUNCEMENT_S
        assert gossip.to_report(late_s, is_whole=True) == ReadRevisions(5, 7)

    def test_revisions_read_by_peer_are_passed_on(self) -> None:
        received: list[ReadRevisions] = []
        gossip = RevisionGossip(ReadRevisions, received.append)
        gossip.on_peer_read(ReadRevisions(1, 2))
        assert received == [ReadRevisions(1, 2)]
