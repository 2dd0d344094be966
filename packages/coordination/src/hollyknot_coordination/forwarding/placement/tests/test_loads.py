"""Tests that work in flight is counted."""

from hollyknot_coordination.forwarding import Loads
from hollyknot_coordination.forwarding.placement._loads import Load, merged_uses
from hollyknot_coordination.forwarding.tests._builders import report


class TestLoads:
    """A host's own work and the work that its peers report."""

    def test_request_is_counted_until_it_ends(self) -> None:
        loads = Loads()
        loads.begin("i-1", 500, 2)
        assert loads.at("i-1").waiting_tokens == 500
        loads.start("i-1", 500, 2)
        assert loads.at("i-1").running == 1
        assert loads.at("i-1").requests_ahead_of(2) == 1
        loads.end("i-1", 500, 2, has_started=True)
        assert loads.at("i-1") == Load()
        assert loads.uses() == ()

    def test_peers_work_is_added_at_its_urgency(self) -> None:
        own, peer = Loads(), Loads()
        own.begin("i-1", 100, 0)
        peer.begin("i-1", 300, 0)
        peer.begin("i-1", 400, 7)
        own.replace_reports([report("b", uses=peer.uses())])
        load = own.at("i-1")
        assert (load.waiting_tokens, load.requests) == (800, 3)
        assert [load.requests_ahead_of(u) for u in (0, 6, 7, 9)] == [2, 2, 3, 3]
        ahead = [load.tokens_ahead_of(u) for u in (0, 6, 7)]
        assert ahead == [400, 400, 800]

    def test_half_of_one_less_urgent_prompt_counts_as_in_prefill(self) -> None:
        loads = Loads()
        for tokens in (8000, 2000):
            loads.begin("i-1", tokens, 7)
        load = loads.at("i-1")
        assert [load.tokens_in_prefill(u) for u in (0, 6, 7)] == [2500, 2500, 0]

    def test_peer_without_a_report_no_longer_counts(self) -> None:
        own, peer = Loads(), Loads()
        peer.begin("i-1", 300, 0)
        own.replace_reports([report("b", uses=peer.uses())])
        own.replace_reports([])
        assert own.at("i-1") == Load()

    def test_reported_counts_are_capped_at_one_byte(self) -> None:
        peer = Loads()
        for _ in range(300):
            peer.begin("i-1", 1, 1)
        (use,) = peer.uses()
        assert use.urgencies == bytes([0, 255])


class TestMergedUses:
    """Partial use reports, which list only upstreams where prompts wait."""

    def test_prompts_missing_from_a_partial_report_count_as_running(
        self,
    ) -> None:
        """Guards against an upstream that looks busy after all its prefills.

        A full report lists prompts that wait there, and the partial reports
        after it omit the upstream. What they omit must not count as
        unchanged.
        """
        peer, own = Loads(), Loads()
        peer.begin("i-1", 900, 1)
        peer.begin("i-2", 500, 1)
        before = peer.uses()
        peer.start("i-1", 900, 1)
        waiting = tuple(use for use in peer.uses() if use.waiting)
        merged = merged_uses(before, waiting)
        own.replace_reports([report("b", uses=merged)])
        first, second = own.at("i-1"), own.at("i-2")
        assert (first.waiting_tokens, first.running) == (0, 1)
        assert (second.waiting_tokens, second.waiting) == (500, 1)
        assert first.requests_ahead_of(1) == 1

    def test_upstream_first_named_in_a_partial_report_is_added(self) -> None:
        peer = Loads()
        peer.begin("i-1", 900, 0)
        assert merged_uses((), peer.uses()) == peer.uses()
