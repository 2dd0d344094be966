"""Limits the retries of a service over all hosts without coordination.

Each host retries at most the configured share of its own requests, so that the
sum over all hosts keeps to the share as well. An allowance on top lets a host
with little traffic retry at all: its part of the slack, which is configured for
all hosts together. A host that doesn't know the number of hosts has the share
only.

The allowed number is seldom whole. Each host rounds it up or down by a random
offset of its own, so that the sum is neither lost nor exceeded where each host
may send a fraction of a retry.
"""

import random
from collections import deque

import attrs

from hollyknot_coordination.forwarding.peers._host_count import (
    DISCOVERY_S,
    HostCount,
)
from hollyknot_state.routes import Bounds

_SLACK_FRACTION = 0.65
"""Fraction of the slack that hosts use; the rest is a margin for hosts that are
not known yet."""

_FIRST_SLACK_FRACTION = 1.0 - _SLACK_FRACTION
"""Fraction of the slack that a lone host uses in its first window. The process
before it may have used the other part."""

_SHARE_FRACTION = 0.8
"""Fraction of the share that hosts use. The rest is a margin, since a retry may
fall into a sliding window that no longer contains its request."""


@attrs.define
class _Window:
    """The sliding window of one service.

    Attributes:
        rounding: Random offset from 0 to 1 that rounds the allowed number.
        first_tries: Times of the first tries in the window, in seconds.
        retries: Times of the retries in the window, in seconds.
    """

    rounding: float
    first_tries: deque[float] = attrs.Factory(deque)
    retries: deque[float] = attrs.Factory(deque)

    def forget(self, before_s: float) -> None:
        for times in (self.first_tries, self.retries):
            while times and times[0] < before_s:
                times.popleft()


@attrs.frozen
class RetryAccount:
    """The retries of one host that are allowed and used.

    Attributes:
        spent: Number of retries in the window.
        allowed: Number of retries that are allowed in it, unrounded.
        hosts: Number of hosts among which the slack is divided; 0 if it is
            unknown, so that this host has no part of the slack.
    """

    spent: int
    allowed: float
    hosts: int


class RetryBudget:
    """Counts first tries and retries of each service in a sliding window."""

    def __init__(
        self, bounds: Bounds, size: HostCount, rng: random.Random
    ) -> None:
        """Creates a budget of which nothing is used.

        Args:
            bounds: The configured share, slack and window.
            size: Number of hosts among which the slack is divided.
            rng: Source of the rounding offsets.
        """
        self._bounds = bounds
        self._size = size
        self._rng = rng
        self._windows: dict[str, _Window] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Replaces the share, the slack and the window from now on."""
        self._bounds = bounds

    def on_first_try(self, service: str, now_s: float) -> None:
        """Counts the first try of a request to a service."""
        self._window(service, now_s).first_tries.append(now_s)

    def remaining(self, service: str, now_s: float) -> float:
        """Returns how many retries may be sent now; one needs at least 1.0."""
        account = self.account(service, now_s)
        rounding = self._window(service, now_s).rounding
        return account.allowed + rounding - account.spent

    def account(self, service: str, now_s: float) -> RetryAccount:
        """Returns what is allowed and used in the window that ends now."""
        window = self._window(service, now_s)
        bounds = self._bounds
        hosts, slack_fraction = self._slack(now_s)
        allowed = bounds.retry_share * _SHARE_FRACTION * len(window.first_tries)
        if hosts:
            allowed += bounds.retry_slack * slack_fraction / hosts
        return RetryAccount(len(window.retries), allowed, hosts)

    def spend(self, service: str, now_s: float) -> None:
        """Counts a retry."""
        self._window(service, now_s).retries.append(now_s)

    def _slack(self, now_s: float) -> tuple[int, float]:
        """Returns how many hosts divide the slack, and the usable fraction.

        In its first window a host has no part of the slack, or a smaller one
        if it is alone: the process before a restart may have used some of it
        in the same window.
        """
        discovery_s = max(DISCOVERY_S, self._bounds.retry_window_s)
        if self._size.is_known(now_s, discovery_s):
            return self._size.hosts, _SLACK_FRACTION
        if self._size.is_alone:
            return 1, _FIRST_SLACK_FRACTION
        return 0, 0.0

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(self._rng.random())
        window.forget(now_s - self._bounds.retry_window_s)
        return window
