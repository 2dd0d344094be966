"""Large documents in pages, small changes as deltas."""

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
    """Large documents in pages, small changes as deltas."""

    def test_new_host_resumes_pages_at_another_source(self) -> None:
        """Symptom: a new host begins at page 0 again and again.

        Each of the hosts that it asks is stopped after a page. Cause: pages
        that only the host which gave the first can give.
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
        whole = sum(len(c) + 110 for c in customers) // 131_072 + 2
        assert pages <= whole + 2

    def test_records_take_little_more_memory_than_their_bytes(self) -> None:
        """Symptom: a host grows by 70 MB with 18,000 customers.

        Cause: each record keeps the buffer in which it was written.
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
        """Symptom: whole documents are sent at each change.

        h0 went from 5 to 7, h1 from 5 over 6. Cause: deltas between
        neighbouring versions only.
        """
        first = make_state("h0", (5, 7))
        second = make_state("h1", (5, 6))
        sent = exchange(first, second)
        assert sent == ["Gossip", "FetchDocument", "DocumentDelta"]
        assert second.version_in_force(DECLARATIONS) == 7

    def test_a_check_sees_only_what_differs(self) -> None:
        """Symptom: a check fails on a customer that it does not know.

        c1 was added and removed between the two versions. Cause: a delta over
        several versions that names what its base never had.
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
        """Symptom: two hosts have one version in force and differ for ever.

        The platform, restored, gave out version 5 twice; each host got another
        body. Cause: a delta from a base that only has the same number.
        """
        first = make_state("h0", (4, 5, 6))
        second = make_state("h1", (4,))
        body = b'{"customers":{"c0":{"n":5},"c1":{"n":0}}}'
        second.on_platform_document(DECLARATIONS, 5, body, 0.0)
        exchange(first, second)
        assert first.versions == second.versions

    def test_wrong_delta_makes_host_fetch_full_document(self) -> None:
        """Symptom: a host's declarations differ from all others'.

        A delta leads to another result than its sender has. Cause: a delta
        that is applied without a check of its result.
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
    """Tells one host of another's versions; returns the kinds of messages."""
    states = {"teller": holder, "learner": requester}
    announcement = Gossip(versions=holder.versions)
    queue: list[tuple[str, str, PeerMessage]] = [
        ("learner", "teller", announcement)
    ]
    kinds: list[str] = []
    while queue:
        receiver, sender, message = queue.pop(0)
        kinds.append(type(message).__name__)
        for command in states[receiver].on_message(sender, message, 0.0):
            if isinstance(command, Send) and command.peer in states:
                queue.append((command.peer, receiver, command.message))
    return kinds
