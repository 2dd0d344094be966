"""Bounds the retries of a service over all hosts, without a word between them.

Each host spends at most the agreed share of the requests that it took itself,
so that the sums over all hosts keep the share too. A small allowance on top
lets a host with little traffic retry at all; it is a part of the slack that
the operators grant to all hosts together. A host that doesn't know how many
they are has the share only.

What is allowed is seldom a whole number. Hosts round it up or down by a chance
of their own, so that the sums are neither lost nor exceeded where each host has
a fraction of a retry.
"""

import random
from collections import deque

import attrs

from hollyknot_coordination.forwarding._host_count import DISCOVERY_S, HostCount
from hollyknot_state.routes import Bounds

_SLACK_FRACTION = 0.65
"""Of the slack, what hosts spend; the rest covers hosts not heard of yet."""

_FIRST_SLACK_FRACTION = 1.0 - _SLACK_FRACTION
"""The same in the first window of a host that is alone: the process before it
may have spent the other part."""

_SHARE_FRACTION = 0.8
"""Of the share, what hosts spend: requests and retries fall into windows that
slide, and a retry may fall into a window that its request has left."""


@attrs.define
class _Window:
    rounding: float
    first_tries: deque[float] = attrs.Factory(deque)
    retries: deque[float] = attrs.Factory(deque)

    def forget(self, before_s: float) -> None:
        for times in (self.first_tries, self.retries):
            while times and times[0] < before_s:
                times.popleft()


@attrs.frozen
class RetryAccount:
    """What one host may send again, and what it has.

    Attributes:
        spent: Retries in the window.
        allowed: How many there may be.
        hosts: Among how many hosts the slack is divided; 0 where too little
            is known for this host to have a part of it.
    """

    spent: int
    allowed: float
    hosts: int


class RetryBudget:
    """Counts first tries and retries of each service in a sliding window."""

    def __init__(
        self, bounds: Bounds, size: HostCount, rng: random.Random
    ) -> None:
        """Starts with no retry spent.

        Args:
            bounds: The share and the slack.
            size: Among how many hosts the slack is divided.
            rng: Rounds what is allowed.
        """
        self._bounds = bounds
        self._size = size
        self._rng = rng
        self._windows: dict[str, _Window] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Puts other shares in force from now on."""
        self._bounds = bounds

    def on_first_try(self, service: str, now_s: float) -> None:
        """Notes a request that was sent to a service."""
        self._window(service, now_s).first_tries.append(now_s)

    def remaining(self, service: str, now_s: float) -> float:
        """Returns how many retries may be sent now."""
        account = self.account(service, now_s)
        rounding = self._window(service, now_s).rounding
        return account.allowed + rounding - account.spent

    def account(self, service: str, now_s: float) -> RetryAccount:
        """Returns what is allowed and spent in the window that ends now."""
        spent = self._window(service, now_s)
        bounds = self._bounds
        hosts, slack_fraction = self._slack(now_s)
        allowed = bounds.retry_share * _SHARE_FRACTION * len(spent.first_tries)
        if hosts:
            allowed += bounds.retry_slack * slack_fraction / hosts
        return RetryAccount(len(spent.retries), allowed, hosts)

    def spend(self, service: str, now_s: float) -> None:
        """Notes a retry."""
        self._window(service, now_s).retries.append(now_s)

    def _slack(self, now_s: float) -> tuple[int, float]:
        """Returns among how many hosts the slack is divided, and its part.

        A host that was restarted may have spent its part in this window.
        """
        discovery_s = max(DISCOVERY_S, self._bounds.retry_window_s)
        if self._size.is_known(now_s, discovery_s):
            return self._size.hosts, _SLACK_FRACTION
        if self._size.is_alone:
            return 1, _FIRST_SLACK_FRACTION
        return 0, 0.0

    def _window(self, service: str, now_s: float) -> _Window:
        spent = self._windows.get(service)
        if spent is None:
            spent = self._windows[service] = _Window(self._rng.random())
        spent.forget(now_s - self._bounds.retry_window_s)
        return spent
