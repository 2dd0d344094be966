"""Tests transfers of full documents in pages and of changes as deltas."""

import random
import tracemalloc

import orjson

from hollyknot_coordination.spread import Candidate, PeerState, Send
from hollyknot_coordination.spread._records import Change, read_records
from hollyknot_coordination.spread.tests.network import (
    CHECKS,
    DECLARATIONS,
    ONE_CENTRE,
    make_network,
    make_state,
)
from hollyknot_state import (
    DocumentDelta,
    DocumentRecord,
    DocumentVersion,
    FetchDocument,
    Gossip,
    PeerMessage,
)


class TestWholeDocument:
    """Tests pages of large documents and deltas of small changes."""

    def test_new_host_resumes_pages_at_another_source(self) -> None:
        """A new host must not start again at page 0 when a source fails.

        The hosts that it fetches from become unreachable after a page. Any
        other holder must be able to send the next page.
        """
        network = make_network(ONE_CENTRE)
        customers = {f"c{i}": {"key": f"{i:0100}"} for i in range(6_000)}
        value = {"customers": customers}
        network.platform.publish(DECLARATIONS, 6, value)
        network.run(8)
        network.platform.publish_hosts(2, {**ONE_CENTRE, "new": "a"})
        new = network.add("new", "a")
        pages = 0

        def stop_source(peer: str) -> None:
            nonlocal pages
            pages += 1
            if pages in (2, 4):
                network.is_cut = lambda a, b: peer in (a, b)

        network.observe = lambda node, peer, message: (
            stop_source(peer)
            if node is new and hasattr(message, "pages")
            else None
        )
        network.run(12)
        assert new.state.version_in_force(DECLARATIONS) == 6
        page_count = sum(len(c) + 110 for c in customers) // 131_072 + 2
        assert pages <= page_count + 2

    def test_records_take_little_more_memory_than_their_bytes(self) -> None:
        """A host must not grow by 70 MB with 18,000 customers.

        It does if each record keeps the buffer in which it was serialised.
        """
        customers = {f"c{i}": {"key": f"{i:0100}"} for i in range(4_000)}
        body = orjson.dumps({"customers": customers})
        tracemalloc.start()
        records = read_records(DECLARATIONS, body)
        kept, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(records) == 4_000
        assert kept < 3 * len(body)

    def test_hosts_that_skipped_different_versions_use_deltas(self) -> None:
        """Hosts must not send full documents at each change.

        h0 went from 5 to 7 and h1 from 5 to 6, so deltas between consecutive
        versions alone would not suffice.
        """
        first = make_state("h0", (5, 7))
        second = make_state("h1", (5, 6))
        sent = exchange(first, second)
        assert sent == ["Gossip", "FetchDocument", "DocumentDelta"]
        assert second.version_in_force(DECLARATIONS) == 7

    def test_a_check_sees_only_what_differs(self) -> None:
        """A check must not fail on the removal of an unknown customer.

        c1 was added and removed between the two versions. The merged delta
        names it as removed, though its base never contained it.
        """
        first = make_state("h0", (5,))
        for version, customers in ((6, b'"c1":{}'), (7, b'"c0":{"n":7}')):
            body = b'{"customers":{%b}}' % customers
            first.on_platform_document(DECLARATIONS, version, body, 0.0)
        seen: list[Change] = []

        def check(candidate: Candidate) -> object:
            seen.append(candidate.change)
            return {}

        second = PeerState(
            "h1", "a", {**CHECKS, DECLARATIONS: check}, random.Random(1), 0.0
        )
        body = b'{"customers":{"c0":{"n":5}}}'
        second.on_platform_document(DECLARATIONS, 5, body, 0.0)
        exchange(first, second)
        assert [r.path for r in seen[-1].changed] == ["customers/c0"]
        assert seen[-1].removed == ()

    def test_next_version_resolves_conflicting_bodies(self) -> None:
        """Hosts with different bodies of one version must converge again.

        A restored platform published version 5 twice, and each host read
        another body. A delta must not be applied to a base that has the same
        number but another digest.
        """
        first = make_state("h0", (4, 5, 6))
        second = make_state("h1", (4,))
        body = b'{"customers":{"c0":{"n":5},"c1":{"n":0}}}'
        second.on_platform_document(DECLARATIONS, 5, body, 0.0)
        exchange(first, second)
        assert first.versions == second.versions

    def test_wrong_delta_makes_host_fetch_full_document(self) -> None:
        """A wrong delta must not change the declarations of a host.

        The delta leads to another result than its sender holds. The host must
        compare the digest and fetch the full document.
        """
        state = make_state("h0", (5,))
        base = state.versions[0]
        target = DocumentVersion(DECLARATIONS, 6, base.digest + 1)
        state.on_message("h1", Gossip(versions=(target,)), 0.0)
        record = DocumentRecord("customers/c0", b"{}")
        delta = DocumentDelta(base, target, (record,))
        commands = state.on_message("h1", delta, 0.0)
        assert state.version_in_force(DECLARATIONS) == 5
        assert commands == [Send("h1", FetchDocument(DECLARATIONS))]


def exchange(holder: PeerState, requester: PeerState) -> list[str]:
    """Announces a holder's versions; returns the types of the messages."""
    states = {"holder": holder, "requester": requester}
    announcement = Gossip(versions=holder.versions)
    queue: list[tuple[str, str, PeerMessage]] = [
        ("requester", "holder", announcement)
    ]
    kinds: list[str] = []
    while queue:
        receiver, sender, message = queue.pop(0)
        kinds.append(type(message).__name__)
        for command in states[receiver].on_message(sender, message, 0.0):
            if isinstance(command, Send) and command.peer in states:
                queue.append((command.peer, receiver, command.message))
    return kinds
