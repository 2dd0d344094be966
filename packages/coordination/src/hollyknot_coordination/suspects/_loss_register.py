"""Registers what was lost at which upstreams, by this host and by its peers.

What is lost is a request or a part of a prompt, known by a number of 64 bits.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs

from hollyknot_coordination.suspects._evidence import Crash, Evidence
from hollyknot_coordination.suspects._in_flight import InFlight
from hollyknot_coordination.suspects._messages import SuspectOptions
from hollyknot_coordination.suspects._pending_losses import PendingLosses
from hollyknot_coordination.suspects._unsent_news import (
    Dropped,
    Loss,
    UnsentNews,
    record_of,
)
from hollyknot_state import (
    LossNews,
    Reason,
    SuspectNews,
    SuspectRecord,
    Verdict,
)

NO_FINGERPRINT = 0
"""Marks a request without a fingerprint, which is never a suspect."""

ANSWER_TOLD_S = 1.0
"""Seconds in which the answer to a suspect has reached all peers."""

_CRASH_REASONS = frozenset({Reason.UPSTREAM_LOST, Reason.TRUNCATED})
"""Reasons with which tries end in a crash. A silent upstream isn't among them,
since silence is a connection's fault far more often than a crash and would put
blame on long requests."""


class LossRegister:
    """Tracks losses and answers, and the news of both for peers."""

    def __init__(self, options: SuspectOptions) -> None:
        """Creates a register without evidence."""
        self._options = options
        self._evidence = Evidence(options)
        self._pending = PendingLosses(options)
        self._in_flight = InFlight()
        self._refused: dict[int, float] = {}
        self._unsent = UnsentNews(options)

    def on_dispatch(self, fingerprint: int, upstream: str) -> None:
        """Records the start of a try; `on_end` must follow exactly once."""
        self._in_flight.begin(fingerprint, upstream)

    def on_end(
        self, fingerprint: int, upstream: str, verdict: Verdict, now_s: float
    ) -> None:
        """Records the end of a try.

        A request that completed is cleared, since the upstream survived it. An
        error doesn't clear it: an upstream that fails part of its requests may
        not have reached the part that crashes others. A lost request becomes a
        suspect, and so do all others in flight at the upstream, until they end
        otherwise.
        """
        if verdict.is_complete:
            if fingerprint != NO_FINGERPRINT:
                self._clear(fingerprint, now_s, now_s)
        elif is_crash(verdict):
            in_flight = self._in_flight.at(upstream)
            self._on_loss(fingerprint, upstream, in_flight, now_s)
        self._in_flight.end(fingerprint, upstream)

    def on_pending_loss(self, upstream: str, now_s: float) -> None:
        """Records that all requests in flight at an upstream may be lost.

        Call it as soon as the upstream seems to have crashed; `on_end` follows
        with the verdict.
        """
        in_flight = self._in_flight.at(upstream)
        for fingerprint in in_flight:
            if fingerprint != NO_FINGERPRINT:
                loss = Loss(
                    fingerprint,
                    upstream,
                    now_s,
                    in_flight.total() - 1,
                    is_own=True,
                )
                self._add_pending(loss, now_s)

    def _add_pending(
        self, loss: Loss, now_s: float, *, is_news: bool = True
    ) -> bool:
        """Adds a loss without a verdict and returns whether it was new."""
        fingerprint = loss.fingerprint
        if self._evidence.is_cleared_since(fingerprint, loss.at_s):
            return False
        is_new = self._pending.add(fingerprint, loss.upstream, loss.at_s, now_s)
        if is_new and is_news:
            self._unsent.add_loss(loss)
        return is_new

    def _tell_newest_crash(self, fingerprint: int) -> None:
        """Queues the newest crash of a request for `next_news`.

        Further crashes than those that peers need would only take bytes from
        other requests.
        """
        crashes = self._evidence.crashes(fingerprint)
        if len(crashes) <= self._options.told_crashes:
            self._unsent.add_loss(_loss_of(fingerprint, crashes[-1]))

    def _clear(self, fingerprint: int, at_s: float, now_s: float) -> None:
        """Clears a request of all losses before an upstream survived it."""
        pending = self._pending.find(fingerprint, now_s)
        if pending or self._evidence.crashes(fingerprint):
            self._unsent.add_cleared(fingerprint, at_s)
        self._evidence.clear(fingerprint, at_s)
        self._pending.clear(fingerprint, at_s)
        self._refused.pop(fingerprint, None)
        self._on_cleared(fingerprint, at_s)

    def on_late_verdict(
        self, fingerprints: Iterable[int], upstream: str, at_s: float
    ) -> None:
        """Records a loss whose tries have ended as a crash.

        Requests that have ended in an answer since the loss stay cleared.

        Args:
            fingerprints: The requests that were lost.
            upstream: The upstream that crashed.
            at_s: Time of the loss in seconds of this host's monotonic clock.
        """
        lost = set(fingerprints) - {NO_FINGERPRINT}
        for fingerprint in lost:
            self._add(fingerprint, upstream, len(lost), at_s, is_own=True)

    def on_records(
        self, records: tuple[SuspectRecord, ...], now_s: float
    ) -> tuple[SuspectRecord, ...]:
        """Adds evidence that peers have reported; repeated records are ignored.

        Returns:
            The records that were new to this host.
        """
        for record in records:
            at_s = now_s - record.age_ms / 1000
            self._tell_missed_answer(record.fingerprint, at_s, now_s)
        return tuple(r for r in records if self._is_new_evidence(r, now_s))

    def _is_new_evidence(
        self, record: SuspectRecord, now_s: float, *, is_news: bool = True
    ) -> bool:
        """Adds one record and returns whether it was new."""
        fingerprint = record.fingerprint
        if fingerprint == NO_FINGERPRINT:
            return False
        at_s = now_s - record.age_ms / 1000
        size = record.companions + 1
        before = len(self._evidence.crashes(fingerprint))
        self._add(fingerprint, record.upstream, size, at_s, is_news=is_news)
        return len(self._evidence.crashes(fingerprint)) > before

    def _add(
        self,
        fingerprint: int,
        upstream: str,
        size: int,
        at_s: float,
        *,
        is_own: bool = False,
        is_news: bool = True,
    ) -> None:
        """Adds evidence and queues it for `next_news` if peers may not know."""
        before = len(self._evidence.crashes(fingerprint))
        crash = self._evidence.add(fingerprint, upstream, size, at_s)
        if crash is not None and is_own:
            crash.own.add(fingerprint)
        is_new = len(self._evidence.crashes(fingerprint)) > before
        if is_new and is_news:
            self._tell_newest_crash(fingerprint)

    def on_news(self, news: SuspectNews, now_s: float) -> tuple[LossNews, ...]:
        """Adds what a peer has told.

        Returns:
            The losses with the requests that were new to this host.
        """
        first_s = now_s - news.cleared_age_ms / 1000
        for fingerprint in news.cleared:
            if self._evidence.answered_s(fingerprint) < first_s:
                self._clear(fingerprint, first_s, now_s)
        told = [self._add_loss(loss, now_s) for loss in news.losses]
        self.on_records(news.suspects, now_s)
        return tuple(loss for loss in told if loss.fingerprints)

    def on_evidence(self, news: SuspectNews, now_s: float) -> int:
        """Adds all that a peer knows, which this host does not pass on.

        Returns:
            The number of losses that were new to this host.
        """
        for loss in news.losses:
            at_s = now_s - loss.age_ms / 1000
            for fingerprint in loss.fingerprints:
                self._tell_missed_answer(fingerprint, at_s, now_s)
        told = [
            self._add_loss(loss, now_s, is_news=False) for loss in news.losses
        ]
        return sum(len(loss.fingerprints) for loss in told)

    def all_losses(self, most: int, now_s: float) -> tuple[list[Loss], int]:
        """Returns the losses without an answer that matter most.

        These are the losses of what was lost most often, then those without a
        verdict, then the newest.

        Returns:
            At most `most` losses, and the number of those left out.
        """
        repeated = sorted(self._evidence.repeated(), key=self._crash_count)
        found = [
            _loss_of(fingerprint, crash)
            for fingerprint in reversed(repeated)
            for crash in self._evidence.crashes(fingerprint)
        ]
        found += [
            Loss(fingerprint, upstream, at_s, 0, is_own=False)
            for fingerprint, upstream, at_s in self._pending.all(now_s)
        ]
        found += [
            _loss_of(fingerprint, crash)
            for fingerprint, crash in self._evidence.newest_single(most)
        ]
        count = self._evidence.losses + self._pending.count(now_s)
        return found[:most], max(0, count - most)

    def _crash_count(self, fingerprint: int) -> int:
        return len(self._evidence.crashes(fingerprint))

    def _add_loss(
        self, loss: LossNews, now_s: float, *, is_news: bool = True
    ) -> LossNews:
        """Adds a loss and returns it with only the requests that were new."""
        at_s = now_s - loss.age_ms / 1000
        new = []
        for fingerprint in loss.fingerprints:
            if loss.is_crash:
                record = SuspectRecord(
                    fingerprint, loss.upstream, loss.companions, loss.age_ms
                )
                is_new = self._is_new_evidence(record, now_s, is_news=is_news)
            else:
                pending = Loss(
                    fingerprint,
                    loss.upstream,
                    at_s,
                    len(loss.fingerprints) - 1,
                    is_own=False,
                )
                is_new = self._add_pending(pending, now_s, is_news=is_news)
            if is_new:
                new.append(fingerprint)
            else:
                self._tell_proof(fingerprint, at_s)
        return attrs.evolve(loss, fingerprints=tuple(new))

    def _tell_proof(self, fingerprint: int, at_s: float) -> None:
        """Queues the answer that speaks against a loss that a peer has told.

        Only an answer before the loss is told: peers have heard of a later one,
        which cleared a suspect.
        """
        answered_s = self._evidence.answered_s(fingerprint)
        if answered_s < at_s <= answered_s + self._options.proof_s:
            self._unsent.add_cleared(fingerprint, answered_s)

    def _tell_missed_answer(
        self, fingerprint: int, at_s: float, now_s: float
    ) -> None:
        """Queues an answer that a peer has missed, as it still tells the loss.

        Evidence of such a peer would go on to each host that starts.
        """
        answered_s = self._evidence.answered_s(fingerprint)
        if at_s <= answered_s < now_s - ANSWER_TOLD_S:
            self._unsent.add_cleared(fingerprint, answered_s)

    def next_news(
        self, now_s: float, fits: Callable[[SuspectNews], bool] = lambda _: True
    ) -> SuspectNews:
        """Returns the news to send next; what doesn't fit waits.

        Losses that this host saw itself come first, then other requests that
        were lost more than once.

        Args:
            now_s: Current time in seconds of the host's monotonic clock.
            fits: Whether a message is short enough to be sent.
        """
        return self._unsent.pop(
            now_s,
            lambda fingerprint: self.count(fingerprint, now_s),
            fits,
        )

    @property
    def has_losses(self) -> bool:
        """Whether there is any loss without an answer since."""
        return not (self._evidence.is_empty and self._pending.is_empty)

    @property
    def suspects(self) -> int:
        """Number of requests or parts with a crash and no answer since."""
        return self._evidence.suspects

    @property
    def news_waiting(self) -> int:
        """Number of news that wait to be sent."""
        return self._unsent.waiting

    @property
    def has_own_news(self) -> bool:
        """Whether peers were not told yet of a loss that this host saw."""
        return self._unsent.has_own

    def pop_dropped_news(self) -> tuple[Dropped, ...]:
        """Returns the news that were dropped since the last call."""
        return self._unsent.pop_dropped()

    def is_repeated(self, fingerprint: int, now_s: float) -> bool:
        """Returns whether a request was lost at more than one upstream."""
        return self.count(fingerprint, now_s) > 1

    def count(self, fingerprint: int, now_s: float) -> int:
        """Returns at how many upstreams a request was lost.

        Losses whose verdict is pending count.
        """
        pending = self._pending.find(fingerprint, now_s)
        return len(self._lost_at(fingerprint, pending))

    def pending_upstreams(
        self, fingerprint: int, now_s: float
    ) -> tuple[str, ...]:
        """Returns the upstreams whose losses of a request are pending."""
        return tuple(self._pending.find(fingerprint, now_s))

    def records(self, now_s: float) -> tuple[SuspectRecord, ...]:
        """Returns the evidence to report to peers.

        This is the host's own evidence for `report_duration_s`, and all
        evidence against requests that may be refused for as long as it
        counts. Without the latter, a host that has just started would run
        each of these requests again.
        """
        lasting = self._evidence.refusable | self._refused.keys()
        reported: list[SuspectRecord] = []
        for crash in self._evidence.all_crashes():
            is_fresh = now_s - crash.at_s <= self._options.report_duration_s
            own = crash.own & crash.suspects if is_fresh else set()
            wanted = own | (lasting & crash.suspects)
            reported += [record_of(f, crash, now_s) for f in sorted(wanted)]
        return tuple(reported[: self._options.max_records])

    def expire(self, now_s: float) -> None:
        """Drops old evidence; call it every few seconds."""
        self._evidence.expire(now_s, set(self._refused))
        self._pending.expire(now_s)
        self._refused = {
            f: at_s
            for f, at_s in self._refused.items()
            if self._evidence.crashes(f)
        }

    def upstreams(self, fingerprint: int) -> tuple[str, ...]:
        """Returns the upstreams in whose crashes a request is a suspect."""
        return tuple(c.upstream for c in self._evidence.crashes(fingerprint))

    def is_suspect(self, fingerprint: int) -> bool:
        """Returns whether there is any evidence against a request."""
        return bool(self._evidence.crashes(fingerprint))

    def _on_cleared(self, fingerprint: int, at_s: float) -> None:
        """Called when an answer of a given time has cleared a suspect."""

    def _lost_together(
        self, fingerprint: int, in_flight: Iterable[int]
    ) -> set[int]:
        """Returns what becomes a suspect by the loss of one of them."""
        return {fingerprint, *in_flight}

    def _on_loss(
        self,
        fingerprint: int,
        upstream: str,
        in_flight: Counter[int],
        now_s: float,
    ) -> None:
        size = in_flight.total()
        lost = self._lost_together(fingerprint, in_flight)
        for other in lost - {NO_FINGERPRINT}:
            self._add(other, upstream, size, now_s, is_own=True)

    def _lost_at(
        self, fingerprint: int, pending: Mapping[str, float]
    ) -> set[str]:
        """Returns all upstreams at which a request was lost."""
        crashes = self._evidence.crashes(fingerprint)
        return {crash.upstream for crash in crashes} | pending.keys()

    def excluded(self, crashes: int) -> frozenset[str]:
        """Returns the upstreams barred to a suspect of so many crashes."""
        max_per_upstream = self._options.max_per_upstream if crashes == 1 else 1
        excluded = set()
        for upstream, in_flight in self._in_flight.all():
            counts = [len(self._evidence.crashes(f)) for f in in_flight]
            suspects = sum(c > 0 for c in counts)
            if suspects >= max_per_upstream or max(counts) > 1:
                excluded.add(upstream)
        return frozenset(excluded)


def is_crash(verdict: Verdict) -> bool:
    """Whether a try ended with a crash of its upstream."""
    return verdict.reason in _CRASH_REASONS


def _loss_of(fingerprint: int, crash: Crash) -> Loss:
    return Loss(
        fingerprint,
        crash.upstream,
        crash.at_s,
        crash.companions,
        is_own=fingerprint in crash.own,
        crash=crash,
    )
