"""Tests which peers a host asks for evidence, and for how long."""

import random

from hollyknot_coordination.forwarding.peers._evidence_queries import (
    ANSWER_TIMEOUT_S,
    MAX_ALONE_S,
    MAX_TRIES,
    MAX_UNTOLD_S,
    STOOD_STILL_S,
    UNINFORMED_S,
    EvidenceQueries,
)
from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import Address, EvidenceAnswer, SuspectNews


def _peer(number: int, data_centre: str) -> Tracker:
    return Tracker(number, Address("127.0.0.1", 2000 + number), data_centre)


PEERS = (_peer(1, "north"), _peer(2, "north"), _peer(3, "south"))


def _queries() -> EvidenceQueries:
    return EvidenceQueries(1, random.Random(1), 0.0)


def _answer(
    number: int, index: int = 0, count: int = 1, *, is_informed: bool = True
) -> EvidenceAnswer:
    return EvidenceAnswer(number, index, count, is_informed, 0, SuspectNews(()))


class TestEvidenceQueries:
    """One informed peer of each data centre is asked, and no others."""

    def test_one_peer_of_each_data_centre_is_asked(self) -> None:
        asked = _queries().next(PEERS, 0.1)
        assert sorted(p.data_centre for _, p in asked) == ["north", "south"]

    def test_nobody_is_asked_again_after_an_answer(self) -> None:
        queries = _queries()
        for number, _ in queries.next(PEERS, 0.1):
            queries.on_answer(_answer(number), 0.2)
        assert queries.was_answered
        assert queries.next(PEERS, 0.3) == []

    def test_another_peer_is_asked_if_one_is_silent(self) -> None:
        """Guards against a host that waits for a peer of an older release."""
        queries = _queries()
        north = [p for _, p in queries.next(PEERS[:2], 0.1)]
        north += [p for _, p in queries.next(PEERS[:2], 0.2 + ANSWER_TIMEOUT_S)]
        assert {p.incarnation for p in north} == {1, 2}

    def test_a_silent_peer_is_asked_a_few_times_only(self) -> None:
        queries = _queries()
        asked = [
            queries.next(PEERS[2:], step * 1.5 * ANSWER_TIMEOUT_S)
            for step in range(20)
        ]
        assert sum(map(len, asked)) == MAX_TRIES

    def test_an_answer_counts_once_it_is_whole(self) -> None:
        """Guards against lost datagrams that leave evidence out."""
        queries = _queries()
        ((number, peer),) = queries.next(PEERS[2:], 0.1)
        assert queries.on_answer(_answer(number, 1, 2), 0.2) is None
        assert queries.on_answer(_answer(number, 1, 2), 0.2) is None
        assert not queries.was_answered
        assert queries.on_answer(_answer(number, 0, 2), 0.2) == peer
        assert queries.was_answered

    def test_a_peer_that_has_just_started_is_asked_later(self) -> None:
        queries = _queries()
        ((number, _),) = queries.next(PEERS[2:], 0.1)
        queries.on_answer(_answer(number, is_informed=False), 0.2)
        assert not queries.was_answered
        assert queries.next(PEERS[2:], 0.3) == []
        assert queries.next(PEERS[2:], 0.2 + UNINFORMED_S)

    def test_a_data_centre_that_returns_is_asked_again(self) -> None:
        """Guards against evidence that stays on one side of a partition."""
        queries = _queries()
        for number, _ in queries.next(PEERS, 0.1):
            queries.on_answer(_answer(number), 0.2)
        assert queries.next(PEERS[:2], 0.3) == []
        returned = (*PEERS[:2], _peer(3, "south"))
        assert [p.incarnation for _, p in queries.next(returned, 0.4)] == [3]

    def test_a_host_that_stood_still_asks_again(self) -> None:
        """Guards against news that a frozen host has missed."""
        queries = _queries()
        for number, _ in queries.next(PEERS, 0.1):
            queries.on_answer(_answer(number), 0.2)
        assert queries.next(PEERS, 0.3) == []
        assert len(queries.next(PEERS, 0.4 + STOOD_STILL_S)) == 2

    def test_a_host_goes_on_without_an_answer(self) -> None:
        queries = _queries()
        assert not queries.is_over(MAX_ALONE_S - 0.1)
        assert queries.is_over(MAX_ALONE_S)
        queries = _queries()
        queries.next(PEERS, 0.1)
        assert queries.is_over(0.1 + MAX_UNTOLD_S)
