"""Bounds the retries of a service over all hosts, without a word between them.

Each host spends at most the agreed share of the requests that it took itself,
so that the sums over all hosts keep the share too. A small allowance on top
lets a host with little traffic retry at all; it is a part of the slack that
the operators grant to all hosts together.
"""

from collections import deque

import attrs

from hollyknot_state.routes import Bounds

_SLACK_PART = 0.5
"""Of the slack, what hosts spend; the rest covers hosts not heard of yet."""

_SHARE_PART = 0.8
"""Of the share, what hosts spend: requests and retries fall into windows that
slide, and a retry may fall into a window that its request has left."""


@attrs.define
class _Spent:
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
        hosts: Among how many hosts the slack is divided.
    """

    spent: int
    allowed: float
    hosts: int


class RetryBudget:
    """Counts first tries and retries of each service in a sliding window."""

    def __init__(self, bounds: Bounds) -> None:
        """Starts with no retry spent."""
        self._bounds = bounds
        self._spent: dict[str, _Spent] = {}
        self._hosts = 1

    def set_bounds(self, bounds: Bounds) -> None:
        """Puts other shares in force from now on."""
        self._bounds = bounds

    def set_hosts(self, hosts: int) -> None:
        """Tells among how many hosts the slack is divided."""
        self._hosts = max(1, hosts)

    def on_first_try(self, service: str, now_s: float) -> None:
        """Notes a request that was sent to a service."""
        self._service(service, now_s).first_tries.append(now_s)

    def left(self, service: str, now_s: float) -> float:
        """Returns how many retries may be sent now."""
        account = self.account(service, now_s)
        return account.allowed - account.spent

    def account(self, service: str, now_s: float) -> RetryAccount:
        """Returns what is allowed and spent in the window that ends now."""
        spent = self._service(service, now_s)
        allowed = (
            self._bounds.retry_share * _SHARE_PART * len(spent.first_tries)
            + self._bounds.retry_slack * _SLACK_PART / self._hosts
        )
        return RetryAccount(len(spent.retries), allowed, self._hosts)

    def spend(self, service: str, now_s: float) -> None:
        """Notes a retry."""
        self._service(service, now_s).retries.append(now_s)

    def _service(self, service: str, now_s: float) -> _Spent:
        spent = self._spent.setdefault(service, _Spent())
        spent.forget(now_s - self._bounds.retry_window_s)
        return spent
