"""Ejects upstreams that fail many requests though they report to be healthy.

The evidence is the outcome of real requests: a health check may pass each time
at an upstream that fails every second request, and it takes up a slot. An
upstream that fails far more often than the others of its service gets no
requests for a while, and is then tried again.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from hollyknot_state.routes import UpstreamEntry

WINDOW_S = 5.0
"""Seconds for which an outcome counts."""

MIN_FAILURES = 3
"""Failures within the window that are needed; fewer may be chance."""

MIN_EXCESS_FAILURE_SHARE = 0.25
"""Amount by which the share of an upstream's requests that failed has to exceed
the share at the others. Some calls fail wherever they run."""

FIRST_EJECTION_S = 1.5
MAX_EJECTION_S = 8.0
"""Seconds for which an upstream gets no requests: the first ejection and the
longest one. The time doubles with each ejection in a row."""

MAX_EJECTED_FRACTION = 0.5
"""Fraction of a service's upstreams that may be ejected at once. If more fail,
ejection does not remove the cause, and the rest could not handle the load."""


@attrs.define
class _Record:
    """Recent outcomes at one upstream.

    Attributes:
        outcomes: Time of each outcome in the window, and whether it was good.
        failures: Number of these outcomes that were not good.
        ejected_until: Time, in seconds, until which it gets no requests.
        ejection_s: Duration of its next ejection, in seconds.
    """

    outcomes: deque[tuple[float, bool]] = attrs.Factory(deque)
    failures: int = 0
    ejected_until: float = float("-inf")
    ejection_s: float = FIRST_EJECTION_S

    def add(self, now_s: float, *, is_good: bool) -> None:
        self.outcomes.append((now_s, is_good))
        self.failures += not is_good
        self.forget(now_s)

    def forget(self, now_s: float) -> None:
        while self.outcomes and self.outcomes[0][0] < now_s - WINDOW_S:
            _, was_good = self.outcomes.popleft()
            self.failures -= not was_good

    def clear(self) -> None:
        self.outcomes.clear()
        self.failures = 0


class Health:
    """Outcomes of one host's requests at each upstream."""

    def __init__(self) -> None:
        """Creates an instance that assumes all upstreams to be healthy."""
        self._records: dict[str, _Record] = {}

    def note(
        self,
        entry: UpstreamEntry,
        entries: Sequence[UpstreamEntry],
        now_s: float,
        *,
        is_good: bool,
    ) -> bool:
        """Records the outcome of a request.

        Args:
            entry: Upstream that the request was sent to.
            entries: All upstreams of its service.
            now_s: Current time, in seconds.
            is_good: Whether the request succeeded.

        Returns:
            Whether the outcome causes the upstream to be ejected.
        """
        record = self._records.setdefault(entry.incarnation, _Record())
        record.add(now_s, is_good=is_good)
        if is_good:
            if now_s > record.ejected_until + MAX_EJECTION_S:
                record.ejection_s = FIRST_EJECTION_S
            return False
        if record.failures < MIN_FAILURES or now_s < record.ejected_until:
            return False
        share = record.failures / len(record.outcomes)
        if share < MIN_EXCESS_FAILURE_SHARE + self._failure_share_of_others(
            entry, entries, now_s
        ):
            return False
        ejected = sum(self._is_ejected(e.incarnation, now_s) for e in entries)
        if ejected + 1 > len(entries) * MAX_EJECTED_FRACTION:
            return False
        record.ejected_until = now_s + record.ejection_s
        record.ejection_s = min(record.ejection_s * 2, MAX_EJECTION_S)
        record.clear()
        return True

    def ejected(
        self, entries: Sequence[UpstreamEntry], now_s: float
    ) -> frozenset[str]:
        """Returns the incarnations that are ejected at present."""
        return frozenset(
            entry.incarnation
            for entry in entries
            if self._is_ejected(entry.incarnation, now_s)
        )

    def forget(self, incarnation: str) -> None:
        """Drops the outcomes of an upstream that has left for good."""
        self._records.pop(incarnation, None)

    def _is_ejected(self, incarnation: str, now_s: float) -> bool:
        record = self._records.get(incarnation)
        return record is not None and now_s < record.ejected_until

    def _failure_share_of_others(
        self,
        entry: UpstreamEntry,
        entries: Sequence[UpstreamEntry],
        now_s: float,
    ) -> float:
        failures = total = 0
        for other in entries:
            record = self._records.get(other.incarnation)
            if record is None or other.incarnation == entry.incarnation:
                continue
            record.forget(now_s)
            failures += record.failures
            total += len(record.outcomes)
        return failures / total if total else 0.0
