"""Which upstreams have named a rate limit, and what the newest word is.

An upstream in need names in each answer how many requests a second it takes
from all hosts together, and stops naming it when the need is over. Hosts tell
each other, so that one keeps to a limit before it has been told itself.
"""

import math
from collections.abc import Iterable

import attrs

from hollyknot_state import NamedLimit, short_name

REPORT_CHANGE_S = 5.0
"""How long a changed limit is told in each report. Then it is told only in
reports that tell all."""

MAX_REPORTED = 16
"""Limits in one report, some 12 bytes each."""

WITHDRAWN_RETENTION_S = 30.0
"""How long a withdrawal is known, and goes before older words of a limit."""

MAX_REPORTED_AGE_S = 60.0
"""How old a word may be that is still told. Hosts would else tell each other of
upstreams that have long gone, which each of them forgets in turn."""

RETENTION_S = 600.0
"""After this long without an answer nothing is known of an upstream."""

HOP_AGE_S = 0.05
"""By how much a word counts as older for each host that passes it on. Its time
on the way is not known, and it must not grow younger by being told."""

_MS = 1000
_UNKNOWN_AGE_MS = 10**9


@attrs.frozen
class _KnownLimit:
    """The newest word of an upstream.

    Attributes:
        rate: Requests a second; None where the limit was withdrawn.
        heard_s: When an answer of the upstream said so.
        changed_s: When this host learnt of this rate.
    """

    rate: float | None
    observed_s: float
    changed_s: float


class NamedLimits:
    """The rate limits that one host knows of, by incarnation."""

    def __init__(self) -> None:
        """No upstream has named any."""
        self._limits: dict[int, _KnownLimit] = {}

    @property
    def count(self) -> int:
        """How many upstreams have a limit."""
        return sum(
            known_limit.rate is not None
            for known_limit in self._limits.values()
        )

    def rate(self, incarnation: str) -> float | None:
        """Returns an upstream's limit in requests a second; None for none."""
        if not self._limits:
            return None
        known_limit = self._limits.get(short_name(incarnation))
        return known_limit.rate if known_limit is not None else None

    def observe(
        self,
        incarnation: str,
        rate: float | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Takes what an answer of an upstream says.

        Args:
            incarnation: The upstream.
            rate: Its limit in requests a second; None if it names none.
            sent_s: When the request was sent. An answer without a limit to one
                that was sent before a limit was heard does not withdraw it: it
                may have begun earlier.
            now_s: The time.

        Returns:
            Whether it is news.
        """
        name = short_name(incarnation)
        known = self._limits.get(name)
        if rate is None and (
            known is None or known.rate is None or sent_s <= known.observed_s
        ):
            return False
        return self._put(name, rate, now_s, now_s)

    def take(
        self, told: Iterable[NamedLimit], now_s: float
    ) -> list[NamedLimit]:
        """Takes what another host knows.

        Returns:
            What is news.
        """
        changed = []
        for limit in told:
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
        """Returns what is known of an upstream, for another host."""
        name = short_name(incarnation)
        known_limit = self._limits.get(name)
        if known_limit is None:
            return NamedLimit(name, _UNKNOWN_AGE_MS)
        return _told(name, known_limit, now_s)

    def told(self, now_s: float, *, is_all: bool) -> tuple[NamedLimit, ...]:
        """Returns limits to tell other hosts, the newest first.

        Args:
            now_s: The time.
            is_all: Whether to tell those too that changed long ago.
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
            _told(name, known_limit, now_s)
            for _, name, known_limit in found[:MAX_REPORTED]
        )

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._limits.pop(short_name(incarnation), None)

    def _put(
        self, name: int, rate: float | None, observed_s: float, now_s: float
    ) -> bool:
        known = self._limits.get(name)
        is_change = known is None or known.rate != rate
        changed_s = now_s
        if known is not None and not is_change:
            changed_s = known.changed_s
        self._limits[name] = _KnownLimit(rate, observed_s, changed_s)
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


def _told(name: int, known_limit: _KnownLimit, now_s: float) -> NamedLimit:
    age_ms = max(0, round((now_s - known_limit.observed_s) * _MS))
    return NamedLimit(name, age_ms, known_limit.rate)
