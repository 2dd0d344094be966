"""Chooses the peers that a host asks for what they know.

A host that has just started asks one peer of each data centre. So does one that
meets the first host of a data centre after a partition, since each side has
learnt things that the other has not, and one that stood still and has missed
news. A peer that has just started itself is no
help, and one of an older release does not answer: then another one is asked.
"""

import itertools
import random
from collections import Counter
from collections.abc import Sequence

import attrs

from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_state import EvidenceAnswer

ANSWER_TIMEOUT_S = 0.25
"""Seconds after which another peer is asked."""

MAX_TRIES = 2
"""Times that a peer is asked that does not answer, as datagrams may be lost."""

UNINFORMED_S = 0.5
"""Seconds after which a peer is asked again that was not informed itself."""

STOOD_STILL_S = 1.0
"""Seconds between two rounds in which a host has missed news."""

MAX_UNTOLD_S = 1.0
"""Seconds from the first peer that is met after which a host goes on without an
answer: all may have started at the same time, or be of an older release."""

MAX_ALONE_S = 3.0
"""Seconds from the start after which a host goes on that has met no peer."""


@attrs.define
class _Query:
    """A query without a whole answer yet.

    Attributes:
        peer: The peer that was asked.
        sent_s: Time in seconds at which it was asked.
        received: Numbers of the datagrams of the answer that have arrived.
    """

    peer: Tracker
    sent_s: float
    received: set[int] = attrs.Factory(set)


class EvidenceQueries:
    """The queries of one host, and which data centres have answered."""

    def __init__(
        self, first_number: int, rng: random.Random, now_s: float
    ) -> None:
        """Creates an instance for a host that has just started.

        Args:
            first_number: Number of the first query.
            rng: Chooses among the peers.
            now_s: Current time, in seconds.
        """
        self._rng = rng
        self._started_s = now_s
        self._last_round_s = now_s
        self._met_s: float | None = None
        self._numbers = itertools.count(first_number)
        self._queries: dict[int, _Query] = {}
        self._tries: Counter[int] = Counter()
        # By incarnation: time in seconds from which a peer may be asked again.
        self._next_s: dict[int, float] = {}
        self._answered: set[str] = set()
        self._was_answered = False
        # The peers of which none is to be asked; None if some are.
        self._settled: Sequence[Tracker] | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is awaited."""
        return bool(self._queries)

    @property
    def was_answered(self) -> bool:
        """Whether an informed peer has ever answered."""
        return self._was_answered

    def is_over(self, now_s: float) -> bool:
        """Whether this host has waited long enough for what others know."""
        if self._met_s is None:
            return now_s - self._started_s >= MAX_ALONE_S
        return now_s - self._met_s >= MAX_UNTOLD_S

    def ask_again(self) -> None:
        """Has all data centres asked, since this host may have missed news."""
        self._answered.clear()
        self._tries.clear()
        self._next_s.clear()
        self._settled = None

    def next(
        self, peers: Sequence[Tracker], now_s: float
    ) -> list[tuple[int, Tracker]]:
        """Returns the peers to ask now, each with the number of the query.

        Args:
            peers: All known peers; the same object until they change.
            now_s: Current time, in seconds.
        """
        if now_s - self._last_round_s > STOOD_STILL_S:
            self.ask_again()
        self._last_round_s = now_s
        if peers is self._settled:
            return []
        if self._met_s is None and peers:
            self._met_s = now_s
        self._forget(peers, now_s)
        candidates = [
            peer
            for peer in peers
            if peer.data_centre not in self._answered
            and self._tries[peer.incarnation] < MAX_TRIES
        ]
        self._settled = None if candidates or self._queries else peers
        chosen = self._choose(candidates, now_s)
        return [(self._add(peer, now_s), peer) for peer in chosen]

    def _forget(self, peers: Sequence[Tracker], now_s: float) -> None:
        """Forgets queries without an answer in time, and hosts that have gone.

        A data centre whose hosts have all gone may come back from a cut.
        """
        self._queries = {
            number: query
            for number, query in self._queries.items()
            if now_s - query.sent_s < ANSWER_TIMEOUT_S
        }
        self._answered &= {peer.data_centre for peer in peers}
        known = {peer.incarnation for peer in peers}
        for gone in self._tries.keys() - known:
            del self._tries[gone]
            self._next_s.pop(gone, None)

    def _choose(
        self, candidates: Sequence[Tracker], now_s: float
    ) -> list[Tracker]:
        """Returns a peer of each data centre, the least asked first."""
        asked = {query.peer.data_centre for query in self._queries.values()}
        due = [
            peer
            for peer in candidates
            if peer.data_centre not in asked
            and now_s >= self._next_s.get(peer.incarnation, 0.0)
        ]
        self._rng.shuffle(due)
        due.sort(key=lambda peer: self._tries[peer.incarnation], reverse=True)
        by_data_centre = {peer.data_centre: peer for peer in due}
        return list(by_data_centre.values())

    def _add(self, peer: Tracker, now_s: float) -> int:
        number = next(self._numbers)
        self._queries[number] = _Query(peer, now_s)
        self._tries[peer.incarnation] += 1
        return number

    def awaits(self, answer: EvidenceAnswer, now_s: float) -> bool:
        """Whether an answer is to a query that has not timed out."""
        query = self._queries.get(answer.number)
        return query is not None and now_s - query.sent_s < ANSWER_TIMEOUT_S

    def on_answer(self, answer: EvidenceAnswer, now_s: float) -> Tracker | None:
        """Records one datagram of an answer.

        Args:
            answer: The datagram.
            now_s: Current time, in seconds.

        Returns:
            The peer whose answer is whole now; None if more is to come or
            nobody was asked.
        """
        query = self._queries.get(answer.number)
        if query is None:
            return None
        query.received.add(answer.index)
        if len(query.received) < answer.count:
            return None
        del self._queries[answer.number]
        if answer.is_informed:
            self._answered.add(query.peer.data_centre)
            self._was_answered = True
        else:
            self._tries[query.peer.incarnation] -= 1
            self._next_s[query.peer.incarnation] = now_s + UNINFORMED_S
        return query.peer
