"""Counts what is in flight at each upstream."""

from collections import Counter
from collections.abc import Iterator, Mapping


class InFlight:
    """The tries of one host that have not ended, by upstream."""

    def __init__(self) -> None:
        """Creates a count without tries."""
        self._counts: dict[str, Counter[int]] = {}

    def begin(self, fingerprint: int, upstream: str) -> None:
        """Counts a try; `end` must follow exactly once."""
        self._counts.setdefault(upstream, Counter())[fingerprint] += 1

    def end(self, fingerprint: int, upstream: str) -> None:
        """Stops counting a try; one that was not counted changes nothing."""
        counts = self.at(upstream)
        counts[fingerprint] -= 1
        if counts[fingerprint] <= 0:
            del counts[fingerprint]
        if not counts:
            self._counts.pop(upstream, None)

    def at(self, upstream: str) -> Counter[int]:
        """Returns the number of tries at an upstream by fingerprint."""
        return self._counts.get(upstream, Counter())

    def all(self) -> Iterator[tuple[str, Mapping[int, int]]]:
        """Yields each upstream with tries, and their numbers."""
        yield from self._counts.items()
