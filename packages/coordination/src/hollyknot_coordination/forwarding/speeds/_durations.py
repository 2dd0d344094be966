"""Tells how long tries of a route may take, from those that ended lately."""

import math
from collections import Counter

import attrs

GENERATION = 256
"""Tries after which the older half of what is known is forgotten."""

LONGER_SHARE = 0.02
"""Share of tries that may take longer than the bound."""

MAX_ROUTES = 4096
"""Most routes that are known, which bounds the memory."""

_SHORTEST_S = 0.001
_STEP = 1.1
"""Ratio of the bounds of neighbouring buckets."""


@attrs.define
class _Recent:
    """Tries of a route by bucket, in two generations.

    Attributes:
        newer: The tries that ended last.
        older: Those of the generation before.
    """

    newer: Counter[int] = attrs.Factory(Counter)
    older: Counter[int] = attrs.Factory(Counter)

    def add(self, bucket: int) -> None:
        if self.newer.total() >= GENERATION:
            self.newer, self.older = Counter(), self.newer
        self.newer[bucket] += 1

    def bound_s(self) -> float:
        counts = self.newer + self.older
        total = counts.total()
        longer = 0
        for bucket in sorted(counts, reverse=True):
            longer += counts[bucket]
            if longer > total * LONGER_SHARE:
                break
        # A few tries show little of how much durations vary.
        return _SHORTEST_S * math.pow(_STEP, bucket) * (1 + 1 / total)


class Durations:
    """High bounds of the durations of tries, by route."""

    def __init__(self) -> None:
        """Creates an instance that knows no route."""
        self._routes: dict[str, _Recent] = {}

    def observe(self, route: str, took_s: float) -> None:
        """Records a try.

        Args:
            route: Name of the route.
            took_s: Seconds from sending the request to the end of its answer,
                or until the try was ended for its duration.
        """
        recent = self._routes.get(route)
        if recent is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            recent = self._routes[route] = _Recent()
        steps = math.log(max(took_s, _SHORTEST_S) / _SHORTEST_S, _STEP)
        recent.add(math.ceil(steps))

    def bound_s(self, route: str) -> float | None:
        """Returns a duration that few tries of a route exceed.

        Returns:
            Seconds; None if no try is known.
        """
        recent = self._routes.get(route)
        return None if recent is None else recent.bound_s()
