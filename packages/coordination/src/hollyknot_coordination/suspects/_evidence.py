"""Stores crashes and the blame that each request in them bears.

An engine runs many requests at once, so a crash has many suspects and one
culprit. The blame for a crash is divided among the requests that were in flight
and have not completed since. If some of them were in an earlier crash too,
these bear nearly all of the blame. The culprit never completes, so its blame
only rises, while innocent requests are cleared when they complete.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import islice

import attrs

from hollyknot_coordination.suspects._messages import SuspectOptions


@attrs.define
class Crash:
    """One crash of one upstream.

    Attributes:
        upstream: The upstream that crashed.
        at_s: Time of the first loss that was recorded, in seconds of this
            host's monotonic clock.
        own: Fingerprints of the requests that this host lost in the crash.
        suspects: Fingerprints in the crash that have not been cleared.
        known: Those suspects that were in an earlier crash too.
        cleared: Number of requests in the crash that have been cleared.
        size: Number of requests in the crash, as the largest count that a
            host made of its own losses; a lower bound.
    """

    upstream: str
    at_s: float
    own: set[int] = attrs.Factory(set)
    suspects: set[int] = attrs.Factory(set)
    known: set[int] = attrs.Factory(set)
    cleared: int = 0
    size: int = 0

    @property
    def unreported(self) -> int:
        """Number of requests in the crash whose fingerprints are unknown."""
        return max(0, self.size - len(self.suspects) - self.cleared)

    @property
    def companions(self) -> int:
        """Number of other requests that were lost with each suspect."""
        return max(self.size, len(self.suspects) + self.cleared) - 1

    def blame(self, fingerprint: int, new_fraction: float) -> float:
        """Returns one suspect's fraction of the blame, at most 1.

        Args:
            fingerprint: A suspect of the crash.
            new_fraction: Fraction of the blame left to requests without an
                earlier crash if the crash has suspects with one.
        """
        if not self.known:
            return 1.0 / (len(self.suspects) + self.unreported)
        new = len(self.suspects) - len(self.known) + self.unreported
        kept_for_new = new_fraction if new else 0.0
        if fingerprint in self.known:
            return (1.0 - kept_for_new) / len(self.known)
        return kept_for_new / new


class Evidence:
    """Stores crashes that count as evidence, bounded in number and age."""

    def __init__(self, options: SuspectOptions) -> None:
        """Creates a store without crashes."""
        self._options = options
        self._crashes: deque[Crash] = deque()
        self._by_fingerprint: dict[int, list[Crash]] = {}
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._refusable: set[int] = set()

    @property
    def refusable(self) -> frozenset[int]:
        """Suspects of so many crashes that they may be refused.

        These are suspects of at least `refuse_crashes` crashes.
        """
        return frozenset(self._refusable)

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspect."""
        return not self._by_fingerprint

    @property
    def suspects(self) -> int:
        """Number of suspects."""
        return len(self._by_fingerprint)

    @property
    def losses(self) -> int:
        """Number of losses, each of one suspect in one crash."""
        return sum(len(crash.suspects) for crash in self._crashes)

    def repeated(self) -> list[int]:
        """Returns the suspects of several crashes."""
        return [f for f, c in self._by_fingerprint.items() if len(c) > 1]

    def newest_single(self, most: int) -> list[tuple[int, Crash]]:
        """Returns the newest suspects of one crash only, up to a number."""
        found = (
            (fingerprint, crash)
            for crash in self.all_crashes()
            for fingerprint in crash.suspects
            if len(self._by_fingerprint[fingerprint]) == 1
        )
        return list(islice(found, most))

    def add(
        self, fingerprint: int, upstream: str, size: int, at_s: float
    ) -> Crash | None:
        """Adds the loss of one request to the crash that it was part of.

        Args:
            fingerprint: Fingerprint of the lost request.
            upstream: Upstream that ran the request.
            size: Number of requests that the reporting host lost in the
                crash, including this one.
            at_s: Time of the loss in seconds of this host's monotonic clock.

        Returns:
            The crash, or None if the request has been cleared since the loss.
        """
        if self.is_cleared_since(fingerprint, at_s):
            return None
        crash = self._find_or_add_crash(upstream, at_s)
        crash.size = max(crash.size, size)
        is_full = len(crash.suspects) >= self._options.max_fingerprints
        if fingerprint in crash.suspects or is_full:
            return crash
        crash.suspects.add(fingerprint)
        before = self._by_fingerprint.setdefault(fingerprint, [])
        before.append(crash)
        if len(before) >= self._options.refuse_crashes:
            self._refusable.add(fingerprint)
        # A peer may report the earlier of two crashes after the later one.
        first_s = min(c.at_s for c in before)
        for later in before:
            if later.at_s > first_s:
                later.known.add(fingerprint)
        return crash

    def clear(self, fingerprint: int, at_s: float) -> None:
        """Removes a request from all crashes before an upstream survived it."""
        until_s = at_s + self._options.proof_s
        crashes = self._by_fingerprint.pop(fingerprint, [])
        for crash in crashes:
            if crash.at_s <= until_s:
                crash.suspects.discard(fingerprint)
                crash.known.discard(fingerprint)
                crash.cleared += 1
        remaining = [crash for crash in crashes if crash.at_s > until_s]
        if remaining:
            self._by_fingerprint[fingerprint] = remaining
        if len(remaining) < self._options.refuse_crashes:
            self._refusable.discard(fingerprint)
        self._cleared[fingerprint] = max(at_s, self.answered_s(fingerprint))
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > self._options.max_cleared:
            self._cleared.popitem(last=False)

    def is_cleared_since(self, fingerprint: int, at_s: float) -> bool:
        """Whether the last answer speaks against a loss at a time."""
        return self.answered_s(fingerprint) + self._options.proof_s >= at_s

    def answered_s(self, fingerprint: int) -> float:
        """Returns when an upstream last survived a request.

        Returns:
            Time in seconds of this host's monotonic clock; minus infinity if no
            answer is remembered.
        """
        return self._cleared.get(fingerprint, float("-inf"))

    def crashes(self, fingerprint: int) -> list[Crash]:
        """Returns the crashes in which a request is a suspect."""
        return self._by_fingerprint.get(fingerprint, [])

    def all_crashes(self) -> Iterator[Crash]:
        """Returns an iterator over all crashes, the last added first."""
        return reversed(self._crashes)

    def expire(self, now_s: float, refused_fingerprints: set[int]) -> None:
        """Drops crashes that are too old to count.

        Args:
            now_s: Current time in seconds of the host's monotonic clock.
            refused_fingerprints: Fingerprints of refused requests. Crashes
                with one of them are kept for `quarantine_s`, others for
                `retention_s`.
        """
        options = self._options
        for crash in list(self._crashes):
            age_s = now_s - crash.at_s
            is_refused = not refused_fingerprints.isdisjoint(crash.suspects)
            max_age_s = (
                options.quarantine_s if is_refused else options.retention_s
            )
            if age_s > max_age_s:
                self._drop(crash)

    def _find_or_add_crash(self, upstream: str, at_s: float) -> Crash:
        for crash in self._crashes:
            is_near = abs(crash.at_s - at_s) <= self._options.merge_s
            if crash.upstream == upstream and is_near:
                return crash
        if len(self._crashes) >= self._options.max_crashes:
            self._drop(self._crashes[0])
        crash = Crash(upstream, at_s)
        self._crashes.append(crash)
        return crash

    def _drop(self, crash: Crash) -> None:
        self._crashes.remove(crash)
        for fingerprint in crash.suspects:
            remaining = self._by_fingerprint[fingerprint]
            remaining.remove(crash)
            if len(remaining) < self._options.refuse_crashes:
                self._refusable.discard(fingerprint)
            if not remaining:
                del self._by_fingerprint[fingerprint]
