"""Exchanges losses of requests and of parts of prompts with a host's peers."""

import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.suspects import LossRegister, Suspects
from hollyknot_gateway._log import Log, fingerprints_text
from hollyknot_gateway._news_sender import NewsSender
from hollyknot_gateway._reports import Report
from hollyknot_state import Address, LossNews, SuspectNews, SuspectRecord


class SuspectExchange:
    """Sends a host's news of losses, and registers those of its peers."""

    def __init__(
        self,
        suspects: Suspects,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Builds an exchange that has sent nothing.

        Args:
            suspects: Requests and parts that may crash upstreams.
            send: Sends a datagram to the given hosts.
            log: Logs what peers tell, and news that wait or are dropped.
            rng: Chooses the peers.
            clock: The loop's monotonic clock, in seconds.
        """
        self._suspects = suspects
        self._log = log
        self._clock = clock
        self._senders = (
            NewsSender(
                suspects.requests, lambda news: news, send, log, rng, clock
            ),
            NewsSender(
                suspects.parts, SuspectNews.of_parts, send, log, rng, clock
            ),
        )

    @property
    def dropped(self) -> int:
        """Number of news that were never sent."""
        return sum(sender.dropped for sender in self._senders)

    @property
    def has_own_news(self) -> bool:
        """Whether peers were not told yet of a loss that this host saw."""
        registers = (self._suspects.requests, self._suspects.parts)
        return any(register.has_own_news for register in registers)

    def send(self, peers: Sequence[Address]) -> int:
        """Sends the news of one round and returns the number of bytes."""
        return sum(sender.send(peers) for sender in self._senders)

    def on_news(self, news: SuspectNews) -> None:
        """Registers the news of a peer."""
        now_s = self._clock()
        self._log_told(
            "loss_told", self._suspects.requests.on_news(news, now_s)
        )
        self._log_told(
            "part_loss_told", self._suspects.parts.on_news(news.parts, now_s)
        )

    def on_report(self, report: Report) -> None:
        """Registers the evidence in a peer's report."""
        self._add_records(
            "suspect_told", self._suspects.requests, report.suspects
        )
        self._add_records(
            "part_suspect_told", self._suspects.parts, report.parts
        )
        self._suspects.parts.on_convictions(
            report.crashing_parts, self._clock()
        )

    def _add_records(
        self,
        event: str,
        register: LossRegister,
        records: tuple[SuspectRecord, ...],
    ) -> None:
        for record in register.on_records(records, self._clock()):
            self._log.line(
                event,
                fingerprint=f"{record.fingerprint:016x}",
                upstream=record.upstream,
                age_ms=record.age_ms,
            )

    def _log_told(self, event: str, losses: Sequence[LossNews]) -> None:
        for loss in losses:
            self._log.line(
                event,
                upstream=loss.upstream,
                verdict="crash" if loss.is_crash else "pending",
                age_ms=loss.age_ms,
                fingerprints=fingerprints_text(loss.fingerprints),
            )
