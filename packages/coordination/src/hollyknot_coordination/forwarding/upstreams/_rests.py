"""Tracks the rests that upstreams ask one host for, and the return after them.

An overloaded upstream may turn a request away and say for how long it wants no
further request from that host. A rest concerns only the host that was asked,
and ends with time. It belongs to the incarnation, so that it outlasts an entry
that lapses and is written again.

An upstream looks idle after its rest, and the rests of many hosts may end
together. Hosts therefore return at random times, and each of them sends one
request first: the others go to other upstreams, if there are any, until that
one is answered.
"""

import random

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount

MAX_REST_S = 600.0
"""Longest rest in seconds. A longer one may be an error, and would exclude the
upstream until this host restarts."""

RETURN_INTERVAL_S = 0.01
"""Mean time in seconds between the returns of two hosts to an upstream."""

MAX_DELAY_FRACTION = 0.25
"""Longest delay of a host's return, as a fraction of the rest."""

TRIAL_S = 1.0
"""Longest time in seconds to wait for the answer to the first request."""

RETURN_S = 5.0
"""Seconds after the end of a rest within which the first request is a trial."""


@attrs.define
class _Rest:
    """A rest that an upstream has asked for.

    Attributes:
        until_s: Time at which it ends for this host.
        trial_until_s: Time until which the first request after it is awaited.
    """

    until_s: float
    trial_until_s: float = float("-inf")


class Rests:
    """The rests that upstreams have asked one host for, by incarnation."""

    def __init__(self, size: HostCount, rng: random.Random) -> None:
        """Creates an instance without rests.

        Args:
            size: Number of hosts that may have been asked for rest too.
            rng: Source of the delay of this host's returns.
        """
        self._size = size
        self._rng = rng
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
        bounded_s = min(rest_s, MAX_REST_S)
        rest = self._rests.get(incarnation)
        known_until_s = now_s if rest is None else max(now_s, rest.until_s)
        if now_s + bounded_s <= known_until_s:
            return False
        until_s = now_s + bounded_s + self._delay_s(bounded_s)
        self._rests[incarnation] = _Rest(until_s)
        return True

    def resting(self, now_s: float) -> frozenset[str]:
        """Returns the incarnations that rest now."""
        if not self._rests:
            return frozenset()
        return frozenset(
            incarnation
            for incarnation, rest in self._rests.items()
            if now_s < rest.until_s
        )

    def left_s(self, incarnation: str, now_s: float) -> float:
        """Returns the seconds until an upstream's rest ends; 0 for none."""
        rest = self._rests.get(incarnation)
        return max(0.0, rest.until_s - now_s) if rest is not None else 0.0

    def on_sent(self, incarnation: str, now_s: float) -> None:
        """Records that a request is sent to an upstream."""
        rest = self._rests.get(incarnation)
        if rest is not None and now_s >= rest.until_s:
            rest.trial_until_s = max(rest.trial_until_s, now_s + TRIAL_S)

    def on_answer(self, incarnation: str, sent_s: float) -> None:
        """Records an answer that asks for no rest.

        Args:
            incarnation: Incarnation of the upstream.
            sent_s: Time in seconds at which its request was sent.
        """
        rest = self._rests.get(incarnation)
        if rest is not None and sent_s >= rest.until_s:
            del self._rests[incarnation]

    def on_trial(self, now_s: float) -> frozenset[str]:
        """Returns the incarnations whose first answer after a rest is awaited.

        Requests go elsewhere meanwhile, unless there is no other upstream.
        """
        self._expire(now_s)
        if not self._rests:
            return frozenset()
        return frozenset(
            incarnation
            for incarnation, rest in self._rests.items()
            if now_s < rest.trial_until_s
        )

    def _delay_s(self, rest_s: float) -> float:
        """Returns how long after the end of a rest this host returns."""
        longest_s = min(
            self._size.hosts * RETURN_INTERVAL_S, rest_s * MAX_DELAY_FRACTION
        )
        return self._rng.uniform(0.0, longest_s)

    def _expire(self, now_s: float) -> None:
        ended = [
            incarnation
            for incarnation, rest in self._rests.items()
            if now_s >= rest.until_s + RETURN_S
        ]
        for incarnation in ended:
            del self._rests[incarnation]
