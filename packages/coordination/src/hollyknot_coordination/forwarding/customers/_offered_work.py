"""Measures the work that a host's callers offer, smoothed over seconds."""

import heapq
import math

import attrs

from hollyknot_state import CustomerWork, ServiceWork

SMOOTHING_S = 2.0
"""Time constant in seconds: shorter than a burst, and long enough for a host
with few callers to see some requests."""

STREAM_TOKENS = 100
"""Work of a stream beside reading its prompt, in prompt tokens."""

MAX_HEAVIEST = 4
"""Number of customers that a host names to others."""

_MIN_TOKENS_S = 1.0
"""Rate below which a customer is forgotten."""

_FORGET_S = 10.0
"""Seconds between two searches for customers that have gone."""


@attrs.define
class _Rate:
    """A rate that fades, in tokens per second at a time."""

    tokens_s: float = 0.0
    at_s: float = 0.0

    def read(self, now_s: float) -> float:
        return self.tokens_s * math.exp((self.at_s - now_s) / SMOOTHING_S)

    def add(self, tokens: float, now_s: float) -> None:
        self.tokens_s = self.read(now_s) + tokens / SMOOTHING_S
        self.at_s = now_s


class OfferedWork:
    """Work that one host's callers offer to one service."""

    def __init__(self) -> None:
        """Creates the state of a service without any requests yet."""
        self._offered = _Rate()
        self._shed = _Rate()
        self._by_customer: dict[int, _Rate] = {}
        self._searched_s = 0.0

    def __len__(self) -> int:
        """Returns the number of customers that are known."""
        return len(self._by_customer)

    def add(
        self, customer: int, tokens: int, shed_share: float, now_s: float
    ) -> None:
        """Counts a request among the least urgent.

        Args:
            customer: Short name of the customer.
            tokens: Prompt tokens.
            shed_share: Share of such requests that load shedding refuses now,
                whoever sends them.
            now_s: Current time in seconds.
        """
        work = tokens + STREAM_TOKENS
        self._offered.add(work, now_s)
        self._shed.add(shed_share * work, now_s)
        self._by_customer.setdefault(customer, _Rate()).add(work, now_s)
        if now_s - self._searched_s >= _FORGET_S:
            self._searched_s = now_s
            self._forget(now_s)

    def read(self, service: int, now_s: float) -> ServiceWork:
        """Returns the newest rates.

        Args:
            service: Short name of the service.
            now_s: Current time in seconds.
        """
        rates = {
            customer: rate.read(now_s)
            for customer, rate in self._by_customer.items()
        }
        heaviest = heapq.nlargest(
            MAX_HEAVIEST, rates.items(), key=lambda item: item[1]
        )
        return ServiceWork(
            service,
            round(self._offered.read(now_s)),
            round(self._shed.read(now_s)),
            tuple(
                CustomerWork(customer, round(tokens_s))
                for customer, tokens_s in heaviest
                if tokens_s >= _MIN_TOKENS_S
            ),
        )

    def _forget(self, now_s: float) -> None:
        for customer, rate in list(self._by_customer.items()):
            if rate.read(now_s) < _MIN_TOKENS_S:
                del self._by_customer[customer]
