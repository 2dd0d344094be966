"""Hands evidence of what crashes upstreams to hosts that don't know it yet."""

import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import EvidenceQueries, Tracker
from hollyknot_coordination.suspects import Evidence, Suspects, all_evidence
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import (
    MAX_DATAGRAM_BYTES,
    EvidenceMessage,
    encode_message,
)
from hollyknot_state import (
    Address,
    EvidenceAnswer,
    EvidenceQuery,
)

MAX_ANSWER_DATAGRAMS = 8
"""Most datagrams of one answer, with room for some hundred losses each."""

ANSWER_BYTES_PER_S = 3_000.0
MAX_SAVED_ANSWER_BYTES = 32_000.0
"""Limits of all answers of one host: a fleet that returns asks at once, while a
host that is replaced now and then asks for less than a second's bytes."""

_NEWS_BYTES = MAX_DATAGRAM_BYTES - 64
"""Most bytes of news in a datagram, which has other fields too."""

_FIRST_NUMBERS = 2**30


class EvidenceExchange:
    """Asks peers for their evidence and answers those that ask."""

    def __init__(
        self,
        suspects: Suspects,
        own: Tracker,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
        *,
        is_alone: bool,
    ) -> None:
        """Creates the exchange of a host that has just started.

        Args:
            suspects: What may crash upstreams.
            own: This host, as its peers know it.
            send: Sends a datagram to the given hosts.
            log: Logs what was told and what had no room.
            rng: Chooses the peers to ask.
            clock: The loop's monotonic clock, in seconds.
            is_alone: Whether the settings name no other host.
        """
        self._suspects = suspects
        self._send = send
        self._log = log
        self._clock = clock
        # A host that has just started must not repeat its earlier numbers.
        self._queries = EvidenceQueries(
            own.incarnation % _FIRST_NUMBERS, rng, clock()
        )
        self._is_informed = is_alone
        self._new_losses = 0
        self._saved_bytes = MAX_SAVED_ANSWER_BYTES
        self._filled_s = clock()
        self._dropped = 0

    @property
    def is_informed(self) -> bool:
        """Whether this host knows what its peers know, or can't learn it."""
        return self._is_informed

    @property
    def dropped(self) -> int:
        """Number of losses left out of answers, and of queries not answered."""
        return self._dropped

    def ask_again(self) -> None:
        """Asks peers of all data centres, as this host may have missed news."""
        self._queries.ask_again()

    def awaits(self, answer: EvidenceAnswer) -> bool:
        """Whether an answer is to a query of a short time ago."""
        return self._queries.awaits(answer, self._clock())

    def run(self, peers: Sequence[Tracker]) -> None:
        """Asks peers; call it in each round.

        Args:
            peers: All known peers; the same object until they change.
        """
        now_s = self._clock()
        for number, peer in self._queries.next(peers, now_s):
            data = encode_message(EvidenceQuery(number))
            self._send(data, [peer.address])
        if not self._is_informed:
            self._check_informed(now_s, has_peers=bool(peers))

    def handle(self, message: EvidenceMessage, sender: Address) -> None:
        """Handles a message of a peer."""
        if isinstance(message, EvidenceQuery):
            self._answer(message, sender)
            return
        now_s = self._clock()
        news = message.news
        peer = self._queries.on_answer(message, now_s)
        self._new_losses += self._suspects.on_evidence(news, now_s)
        if peer is None:
            return
        self._log.line(
            "evidence_told",
            peer=sender.ip,
            data_centre=peer.data_centre,
            informed=message.is_informed,
            datagrams=message.count,
            new=self._new_losses,
            left_out=message.left_out,
        )
        self._new_losses = 0

    def _check_informed(self, now_s: float, *, has_peers: bool) -> None:
        """Ends the wait for evidence, and logs why."""
        queries = self._queries
        if queries.was_answered and not queries.is_waiting:
            outcome = "told"
        elif queries.is_over(now_s):
            outcome = "nobody_knew" if has_peers else "nobody_met"
        else:
            return
        self._is_informed = True
        self._log.line("informed", outcome=outcome)

    def _answer(self, query: EvidenceQuery, sender: Address) -> None:
        """Sends all that this host knows, unless too much was sent lately."""
        if not self._has_bytes():
            self._dropped += 1
            self._log.line("evidence_not_told", peer=sender.ip)
            return
        evidence = self._evidence()
        count = len(evidence.news)
        for index, news in enumerate(evidence.news):
            answer = EvidenceAnswer(
                query.number,
                index,
                count,
                self._is_informed,
                evidence.left_out,
                news,
            )
            data = encode_message(answer)
            self._saved_bytes -= len(data)
            self._send(data, [sender])
        if evidence.left_out:
            self._dropped += evidence.left_out
            self._log.line(
                "evidence_left_out",
                peer=sender.ip,
                losses=evidence.left_out,
                datagrams=count,
            )

    def _evidence(self) -> Evidence:
        return all_evidence(
            self._suspects, self._clock(), _NEWS_BYTES, MAX_ANSWER_DATAGRAMS
        )

    def _has_bytes(self) -> bool:
        now_s = self._clock()
        saved = (now_s - self._filled_s) * ANSWER_BYTES_PER_S
        self._filled_s = now_s
        self._saved_bytes = min(
            MAX_SAVED_ANSWER_BYTES, self._saved_bytes + saved
        )
        return self._saved_bytes > 0
