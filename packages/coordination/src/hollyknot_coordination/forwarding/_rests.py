"""Tracks the rests that upstreams ask one host for.

An overloaded upstream may turn a request away and say for how long it wants no
further request from that host. A rest concerns only the host that was asked,
and ends with time. It belongs to the incarnation, so that it outlasts an entry
that lapses and is written again.
"""

import attrs

MAX_REST_S = 600.0
"""Longest rest in seconds. A longer one may be an error, and would exclude the
upstream until this host restarts."""


@attrs.define
class _Rest:
    """A rest that an upstream has asked for.

    Attributes:
        until_s: Time at which it ends.
    """

    until_s: float


class Rests:
    """The rests that upstreams have asked one host for, by incarnation."""

    def __init__(self) -> None:
        """Creates an instance without rests."""
        self._rests: dict[str, _Rest] = {}

    def observe(self, incarnation: str, rest_s: float, now_s: float) -> bool:
        """Records that an upstream asks for rest.

        Of several rests of an upstream the one that ends last counts.

        Args:
            incarnation: Incarnation of the upstream.
            rest_s: Seconds for which it wants no request.
            now_s: Current time, in seconds.

        Returns:
            Whether the upstream rests longer than known before.
        """
        self._expire(now_s)
        until_s = now_s + min(rest_s, MAX_REST_S)
        rest = self._rests.get(incarnation)
        if until_s <= (rest.until_s if rest is not None else now_s):
            return False
        self._rests[incarnation] = _Rest(until_s)
        return True

    def resting(self, now_s: float) -> frozenset[str]:
        """Returns the incarnations that rest now."""
        self._expire(now_s)
        return frozenset(self._rests)

    def left_s(self, incarnation: str, now_s: float) -> float:
        """Returns the seconds until an upstream's rest ends; 0 for none."""
        rest = self._rests.get(incarnation)
        return max(0.0, rest.until_s - now_s) if rest is not None else 0.0

    def _expire(self, now_s: float) -> None:
        ended = [n for n, rest in self._rests.items() if now_s >= rest.until_s]
        for incarnation in ended:
            del self._rests[incarnation]
