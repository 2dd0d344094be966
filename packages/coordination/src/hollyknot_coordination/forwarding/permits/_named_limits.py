"""Keeps the rate limits that upstreams name, as far as one host knows them.

An overloaded upstream names in each answer how many requests per second it
accepts from all hosts together, and stops naming a limit when the overload is
over. Hosts gossip what they observe, so that a host keeps to a limit before it
has received an answer with it.
"""

import math
from collections.abc import Iterable

import attrs

from hollyknot_state import NamedLimit, short_name

REPORT_CHANGE_S = 5.0
"""Seconds for which a changed limit is in every report. Later it is only in
reports of all limits."""

MAX_REPORTED = 16
"""Most limits in one report; each takes about 12 bytes."""

WITHDRAWN_RETENTION_S = 30.0
"""Seconds for which a withdrawal is kept. It overrides older observations of a
limit that other hosts still report."""

MAX_REPORTED_AGE_S = 60.0
"""Age in seconds from which an observation is no longer reported. Otherwise
limits of removed upstreams would circulate forever: a host that has dropped one
would receive it again from a host that has not dropped it yet."""

RETENTION_S = 600.0
"""Age in seconds above which an observation is dropped."""

HOP_AGE_S = 0.05
"""Seconds added to the age of an observation by each host that receives it. The
time that a report is under way is unknown, and an observation must not get
younger by being passed on."""

_MS = 1000
_UNKNOWN_AGE_MS = 10**9
"""Age reported for an upstream of which nothing is known: older than any."""


@attrs.frozen
class _KnownLimit:
    """The newest observation of an upstream's limit.

    Attributes:
        rate: Limit in requests per second; None if it was withdrawn.
        observed_s: Time of the answer of the upstream that showed it.
        changed_s: Time at which this host learnt of this rate.
        since_s: Time since which this host has known some rate.
    """

    rate: float | None
    observed_s: float
    changed_s: float
    since_s: float


class NamedLimits:
    """Rate limits that one host knows, by the upstream's incarnation."""

    def __init__(self) -> None:
        """Creates a table without limits."""
        self._limits: dict[int, _KnownLimit] = {}

    @property
    def count(self) -> int:
        """Number of upstreams with a limit."""
        return sum(
            known_limit.rate is not None
            for known_limit in self._limits.values()
        )

    def rate(self, incarnation: str) -> float | None:
        """Returns an upstream's limit in requests per second, or None."""
        if not self._limits:
            return None
        known_limit = self._limits.get(short_name(incarnation))
        return known_limit.rate if known_limit is not None else None

    def known_since_s(self, incarnation: str) -> float | None:
        """Returns the time since which an upstream's limit has been known.

        Returns:
            None if it has no limit, as far as this host knows.
        """
        known_limit = self._limits.get(short_name(incarnation))
        if known_limit is None or known_limit.rate is None:
            return None
        return known_limit.since_s

    def observe(
        self,
        incarnation: str,
        rate: float | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Records the limit in an answer of an upstream.

        Args:
            incarnation: Incarnation of the upstream.
            rate: Limit in requests per second; None if the answer names none.
            sent_s: Time at which the request was sent. An answer without a
                limit does not withdraw one that was observed after its request
                was sent, as the answer may have begun before the limit.
            now_s: The time.

        Returns:
            Whether the upstream's rate has changed.
        """
        name = short_name(incarnation)
        known = self._limits.get(name)
        if rate is None and (
            known is None or known.rate is None or sent_s <= known.observed_s
        ):
            return False
        return self._put(name, rate, now_s, now_s)

    def apply_reported(
        self, reported: Iterable[NamedLimit], now_s: float
    ) -> list[NamedLimit]:
        """Applies the limits that another host reports, where they are newer.

        Returns:
            The limits whose rate has changed by it.
        """
        changed = []
        for limit in reported:
            observed_s = now_s - max(0, limit.age_ms) / _MS - HOP_AGE_S
            known = self._limits.get(limit.upstream)
            if limit.rate is None and known is None:
                continue
            if limit.rate is not None and not _is_rate(limit.rate):
                continue
            if known is not None and observed_s <= known.observed_s:
                continue
            if self._put(limit.upstream, limit.rate, observed_s, now_s):
                changed.append(limit)
        return changed

    def known_limit(self, incarnation: str, now_s: float) -> NamedLimit:
        """Returns the known limit of an upstream, to send to another host."""
        name = short_name(incarnation)
        known_limit = self._limits.get(name)
        if known_limit is None:
            return NamedLimit(name, _UNKNOWN_AGE_MS)
        return _named_limit(name, known_limit, now_s)

    def to_report(
        self, now_s: float, *, is_all: bool
    ) -> tuple[NamedLimit, ...]:
        """Returns the limits for the next report, the last changed first.

        Args:
            now_s: The time.
            is_all: Whether to include limits that have not changed recently.
        """
        if not self._limits:
            return ()
        self._expire(now_s)
        found = [
            (known_limit.changed_s, name, known_limit)
            for name, known_limit in self._limits.items()
            if (is_all or now_s - known_limit.changed_s < REPORT_CHANGE_S)
            and now_s - known_limit.observed_s < MAX_REPORTED_AGE_S
        ]
        found.sort(reverse=True)
        return tuple(
            _named_limit(name, known_limit, now_s)
            for _, name, known_limit in found[:MAX_REPORTED]
        )

    def forget(self, incarnation: str) -> None:
        """Drops the limit of an upstream that has left for good."""
        self._limits.pop(short_name(incarnation), None)

    def _put(
        self, name: int, rate: float | None, observed_s: float, now_s: float
    ) -> bool:
        known = self._limits.get(name)
        is_change = known is None or known.rate != rate
        changed_s = since_s = now_s
        if known is not None and not is_change:
            changed_s = known.changed_s
        if known is not None and known.rate is not None:
            since_s = known.since_s
        self._limits[name] = _KnownLimit(rate, observed_s, changed_s, since_s)
        return is_change

    def _expire(self, now_s: float) -> None:
        old = [
            name
            for name, known_limit in self._limits.items()
            if now_s - known_limit.observed_s > RETENTION_S
            or (
                known_limit.rate is None
                and now_s - known_limit.changed_s > WITHDRAWN_RETENTION_S
            )
        ]
        for name in old:
            del self._limits[name]


def _is_rate(rate: float) -> bool:
    return math.isfinite(rate) and rate >= 0


def _named_limit(
    name: int, known_limit: _KnownLimit, now_s: float
) -> NamedLimit:
    age_ms = max(0, round((now_s - known_limit.observed_s) * _MS))
    return NamedLimit(name, age_ms, known_limit.rate)
