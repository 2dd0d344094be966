"""Crashes, who was in them, and how much blame each of those bears.

An engine runs many requests at once, so a crash has many suspects and one
culprit. The blame for a crash is shared by those in it who have not completed
since; if some had been in an earlier crash, they bear nearly all of it. The
culprit never completes, so its blame only rises, while the others leave.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

from hollyknot_coordination.suspects._messages import SuspectOptions


@attrs.define
class Crash:
    """One crash of one upstream.

    Attributes:
        upstream: Which.
        at_s: When the first loss was seen.
        own: Fingerprints that this host lost.
        suspects: Fingerprints in it that have not been cleared.
        known: Those of them that were suspects before it.
        cleared: How many have been cleared.
        size: How many were in it at least, as each host counted.
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
        """Requests in it whose fingerprints this host was not told."""
        return max(0, self.size - len(self.suspects) - self.cleared)

    def blame(self, fingerprint: int, new_fraction: float) -> float:
        """Returns one fingerprint's part of the blame, at most 1."""
        if not self.known:
            return 1.0 / (len(self.suspects) + self.unreported)
        new = len(self.suspects) - len(self.known) + self.unreported
        kept_for_new = new_fraction if new else 0.0
        if fingerprint in self.known:
            return (1.0 - kept_for_new) / len(self.known)
        return kept_for_new / new


class Evidence:
    """All crashes that still count, bounded in number and in time."""

    def __init__(self, options: SuspectOptions) -> None:
        """Starts without any."""
        self._options = options
        self._crashes: deque[Crash] = deque()
        self._by_fingerprint: dict[int, list[Crash]] = {}
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._refusable: set[int] = set()

    @property
    def refusable(self) -> frozenset[int]:
        """Suspects of so many crashes that they may be refused for it."""
        return frozenset(self._refusable)

    def add(
        self, fingerprint: int, upstream: str, size: int, at_s: float
    ) -> Crash | None:
        """Adds one fingerprint's loss; none if it completed since.

        Args:
            fingerprint: Of the lost request.
            upstream: Where it ran.
            size: How many requests were lost with it, itself included, as far
                as the host counted that lost it.
            at_s: When.
        """
        if self._cleared.get(fingerprint, float("-inf")) >= at_s:
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
        # A peer may tell of the earlier of two crashes after the later one.
        first_s = min(c.at_s for c in before)
        for later in before:
            if later.at_s > first_s:
                later.known.add(fingerprint)
        return crash

    def clear(self, fingerprint: int, now_s: float) -> None:
        """Takes all blame off a fingerprint that an upstream survived."""
        for crash in self._by_fingerprint.pop(fingerprint, ()):
            crash.suspects.discard(fingerprint)
            crash.known.discard(fingerprint)
            crash.cleared += 1
        self._refusable.discard(fingerprint)
        self._cleared[fingerprint] = now_s
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > self._options.max_cleared:
            self._cleared.popitem(last=False)

    def crashes(self, fingerprint: int) -> list[Crash]:
        """Returns the crashes that a fingerprint is a suspect of."""
        return self._by_fingerprint.get(fingerprint, [])

    def all_crashes(self) -> Iterator[Crash]:
        """Returns all crashes, the newest first."""
        return reversed(self._crashes)

    def expire(self, now_s: float, refused_fingerprints: set[int]) -> None:
        """Forgets what is too old, but for crashes of refused fingerprints."""
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
