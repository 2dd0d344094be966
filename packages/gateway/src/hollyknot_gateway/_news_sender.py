"""Sends a host's news of lost requests to its peers."""

import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.suspects import LossRegister
from hollyknot_gateway._log import Log, fingerprints_text
from hollyknot_gateway._reports import encode_message
from hollyknot_state import Address, SuspectNews

MAX_NEWS_FANOUT = 5
"""Number of peers to which each host forwards new evidence of a crash, once. It
then reaches 99 % of the hosts in a few rounds, whatever their number."""

MIN_NEWS_FANOUT = 3
"""Fewest peers to which news is forwarded, so that it still spreads."""

MAX_NEWS_BYTES = 1_000
"""Most bytes of news in one round, about a third of a second of the budget.
Longer news goes to fewer peers; what is too long for the fewest waits."""

LOG_INTERVAL_S = 1.0
"""Shortest time in seconds between two lines on news that wait."""


class NewsSender:
    """Sends news of lost requests, as many in a round as have room."""

    def __init__(
        self,
        register: LossRegister,
        to_message: Callable[[SuspectNews], SuspectNews],
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Builds a sender that has sent nothing.

        Args:
            register: Collects the news.
            to_message: Returns the message for some news of the register.
            send: Sends a datagram to the given hosts.
            log: Logs news that wait or are dropped.
            rng: Chooses the peers.
            clock: The loop's monotonic clock, in seconds.
        """
        self._register = register
        self._to_message = to_message
        self._send = send
        self._log = log
        self._rng = rng
        self._clock = clock
        self._dropped = 0
        self._logged_s = clock()

    @property
    def dropped(self) -> int:
        """Number of news that were never sent."""
        return self._dropped

    def send(self, peers: Sequence[Address]) -> int:
        """Sends the news of one round.

        They are sent even if the byte budget is spent, since a host that isn't
        told sends a crashing request on. What doesn't fit goes in later rounds.

        Returns:
            The number of bytes that were sent.
        """
        news = self._to_message(
            self._register.next_news(self._clock(), self._fits)
        )
        self._log_left()
        if news.is_empty:
            return 0
        data = encode_message(news)
        fanout = max(MIN_NEWS_FANOUT, MAX_NEWS_BYTES // len(data))
        count = min(fanout, MAX_NEWS_FANOUT, len(peers))
        self._send(data, self._rng.sample(peers, count))
        return len(data) * count

    def _fits(self, news: SuspectNews) -> bool:
        size = len(encode_message(self._to_message(news)))
        return size <= MAX_NEWS_BYTES // MIN_NEWS_FANOUT

    def _log_left(self) -> None:
        """Logs news that were dropped, and once a second those that wait."""
        for dropped in self._register.pop_dropped_news():
            self._dropped += len(dropped.fingerprints)
            self._log.line(
                "news_dropped",
                reason=dropped.reason,
                requests=len(dropped.fingerprints),
                fingerprints=fingerprints_text(dropped.fingerprints),
            )
        now_s = self._clock()
        waiting = self._register.news_waiting
        if waiting and now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            self._log.line("news_waiting", requests=waiting)
