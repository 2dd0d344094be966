"""Which upstreams have named a rate limit, and what the newest word is.

An upstream in need names in each answer how many requests a second it takes
from all hosts together, and stops naming it when the need is over.
"""

import attrs

from hollyknot_state import short_name


@attrs.frozen
class _Word:
    """The newest word of an upstream.

    Attributes:
        rate: Requests a second; None where the limit was withdrawn.
        heard_s: When it was heard.
    """

    rate: float | None
    heard_s: float


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
        self._words[name] = _Word(rate, now_s)
        return known is None or known.rate != rate

    def forget(self, incarnation: str) -> None:
        """Notes that an upstream has left for good."""
        self._words.pop(short_name(incarnation), None)
