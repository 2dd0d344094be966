"""Which upstreams have named a rate limit, and what the newest word is.

An upstream in need names in each answer how many requests a second it takes
from all hosts together, and stops naming it when the need is over. Hosts tell
each other, so that one keeps to a limit before it has been told itself.
"""

import math
from collections.abc import Iterable

import attrs

from hollyknot_state import NamedLimit, short_name

NEWS_S = 5.0
"""How long a changed limit is told in each report. Then it is told only in
reports that tell all."""

MOST_TOLD = 16
"""Limits in one report, some 12 bytes each."""

REMEMBER_WITHDRAWN_S = 30.0
"""How long a withdrawal is known, and goes before older words of a limit."""

TELL_S = 60.0
"""How old a word may be that is still told. Hosts would else tell each other of
upstreams that have long gone, which each of them forgets in turn."""

REMEMBER_S = 600.0
"""After this long without an answer nothing is known of an upstream."""

HOP_S = 0.05
"""By how much a word counts as older for each host that passes it on. Its time
on the way is not known, and it must not grow younger by being told."""

_MS = 1000
_UNKNOWN_AGE_MS = 10**9


@attrs.frozen
class _Word:
    """The newest word of an upstream.

    Attributes:
        rate: Requests a second; None where the limit was withdrawn.
        heard_s: When an answer of the upstream said so.
        changed_s: When this host learnt of this rate.
    """

    rate: float | None
    heard_s: float
    changed_s: float


class NamedLimits:
    """The rate limits that one host knows of, by incarnation."""

    def __init__(self) -> None:
        """No upstream has named any."""
        self._words: dict[int, _Word] = {}

    @property
    def count(self) -> int:
        """How many upstreams have a limit."""
        return sum(word.rate is not None for word in self._words.values())

    def rate(self, incarnation: str) -> float | None:
        """Returns an upstream's limit in requests a second; None for none."""
        if not self._words:
            return None
        word = self._words.get(short_name(incarnation))
        return word.rate if word is not None else None

    def hear(
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
        known = self._words.get(name)
        if rate is None and (
            known is None or known.rate is None or sent_s <= known.heard_s
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
        news = []
        for limit in told:
            heard_s = now_s - max(0, limit.age_ms) / _MS - HOP_S
            known = self._words.get(limit.upstream)
            if limit.rate is None and known is None:
                continue
            if limit.rate is not None and not _is_rate(limit.rate):
                continue
            if known is not None and heard_s <= known.heard_s:
                continue
            if self._put(limit.upstream, limit.rate, heard_s, now_s):
                news.append(limit)
        return news

    def word(self, incarnation: str, now_s: float) -> NamedLimit:
        """Returns what is known of an upstream, for another host."""
        name = short_name(incarnation)
        word = self._words.get(name)
        if word is None:
            return NamedLimit(name, _UNKNOWN_AGE_MS)
        return _told(name, word, now_s)

    def told(self, now_s: float, *, is_all: bool) -> tuple[NamedLimit, ...]:
        """Returns limits to tell other hosts, the newest first.

        Args:
            now_s: The time.
            is_all: Whether to tell those too that changed long ago.
        """
        if not self._words:
            return ()
        self._expire(now_s)
        found = [
            (word.changed_s, name, word)
            for name, word in self._words.items()
            if (is_all or now_s - word.changed_s < NEWS_S)
            and now_s - word.heard_s < TELL_S
        ]
        found.sort(reverse=True)
        return tuple(
            _told(name, word, now_s) for _, name, word in found[:MOST_TOLD]
        )

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._words.pop(short_name(incarnation), None)

    def _put(
        self, name: int, rate: float | None, heard_s: float, now_s: float
    ) -> bool:
        known = self._words.get(name)
        is_news = known is None or known.rate != rate
        changed_s = now_s
        if known is not None and not is_news:
            changed_s = known.changed_s
        self._words[name] = _Word(rate, heard_s, changed_s)
        return is_news

    def _expire(self, now_s: float) -> None:
        old = [
            name
            for name, word in self._words.items()
            if now_s - word.heard_s > REMEMBER_S
            or (
                word.rate is None
                and now_s - word.changed_s > REMEMBER_WITHDRAWN_S
            )
        ]
        for name in old:
            del self._words[name]


def _is_rate(rate: float) -> bool:
    return math.isfinite(rate) and rate >= 0


def _told(name: int, word: _Word, now_s: float) -> NamedLimit:
    age_ms = max(0, round((now_s - word.heard_s) * _MS))
    return NamedLimit(name, age_ms, word.rate)
