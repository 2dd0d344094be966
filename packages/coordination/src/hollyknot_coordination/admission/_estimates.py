"""Estimates the service time of a request from earlier ones.

The length of an answer is unknown until it ends, so the service time of a
request is estimated from earlier requests of its customer and class. Each
estimate is an exponentially weighted mean with its mean absolute error. A
customer with few observations is estimated mostly by its class, and a class
without observations by its pool.
"""

import collections

import attrs

from hollyknot_state import RequestInfo

_WEIGHT_MIN = 0.05
"""Weight of the newest observation in a mean of 20 or more."""

_CLASS_WEIGHT = 8
"""Number of a customer's observations that weigh as much as its class."""

_DEFAULT_SERVICE_S = 1.0
"""Service time in seconds that is assumed while a pool has no observation."""


@attrs.frozen
class Estimate:
    """The expected service time of a request.

    Attributes:
        mean_s: Expected seconds on a slot.
        error_s: Mean absolute error of earlier estimates, in seconds.
    """

    mean_s: float
    error_s: float


@attrs.frozen
class EstimateError:
    """The error of all estimates since the start.

    Attributes:
        observations: Number of requests that ended.
        mean_s: Mean service time of these requests, in seconds.
        absolute_s: Mean absolute error of their estimates, in seconds.
        bias_s: Mean of the estimate minus the actual time, in seconds.
    """

    observations: int
    mean_s: float
    absolute_s: float
    bias_s: float


@attrs.define
class _Average:
    observations: int = 0
    mean_s: float = 0.0
    error_s: float = 0.0

    def add(self, value_s: float, expected_s: float) -> None:
        self.observations += 1
        weight = max(1 / self.observations, _WEIGHT_MIN)
        self.mean_s += weight * (value_s - self.mean_s)
        self.error_s += weight * (abs(value_s - expected_s) - self.error_s)


class ServiceEstimator:
    """Estimates service times by pool, class and customer."""

    def __init__(self, max_customers: int) -> None:
        """Builds an estimator without observations.

        Args:
            max_customers: Number of pairs of class and customer that are kept.
                The least recently observed pair is evicted first, and its
                requests are then estimated by their class.
        """
        self._max_customers = max_customers
        self._pools: dict[str, _Average] = {}
        self._classes: dict[tuple[str, str], _Average] = {}
        self._customers: collections.OrderedDict[
            tuple[str, str, str], _Average
        ] = collections.OrderedDict()
        self._observations = 0
        self._sum_s = 0.0
        self._sum_absolute_s = 0.0
        self._sum_bias_s = 0.0

    @property
    def measured_error(self) -> EstimateError:
        """The error over all ended requests, each against its own estimate."""
        count = max(1, self._observations)
        return EstimateError(
            self._observations,
            self._sum_s / count,
            self._sum_absolute_s / count,
            self._sum_bias_s / count,
        )

    def expect(self, request: RequestInfo) -> Estimate:
        """Returns the expected service time of a request."""
        by_class = self._classes.get((request.pool, request.request_class))
        if by_class is None:
            by_pool = self._pools.get(request.pool)
            if by_pool is None:
                return Estimate(_DEFAULT_SERVICE_S, _DEFAULT_SERVICE_S)
            return Estimate(by_pool.mean_s, by_pool.error_s)
        key = (request.pool, request.request_class, request.customer)
        own = self._customers.get(key)
        if own is None:
            return Estimate(by_class.mean_s, by_class.error_s)
        share = own.observations / (own.observations + _CLASS_WEIGHT)
        return Estimate(
            share * own.mean_s + (1 - share) * by_class.mean_s,
            share * own.error_s + (1 - share) * by_class.error_s,
        )

    def observe(
        self, request: RequestInfo, service_time_s: float, expected_s: float
    ) -> None:
        """Updates the estimates with a request that ended.

        Args:
            request: The request.
            service_time_s: Seconds for which it held its slot.
            expected_s: Seconds that were expected when it was offered.
        """
        self._observations += 1
        self._sum_s += service_time_s
        self._sum_absolute_s += abs(expected_s - service_time_s)
        self._sum_bias_s += expected_s - service_time_s
        by_pool = self._pools.setdefault(request.pool, _Average())
        by_pool.add(service_time_s, expected_s)
        class_key = (request.pool, request.request_class)
        by_class = self._classes.setdefault(class_key, _Average())
        by_class.add(service_time_s, expected_s)
        key = (*class_key, request.customer)
        own = self._customers.setdefault(key, _Average())
        own.add(service_time_s, expected_s)
        self._customers.move_to_end(key)
        if len(self._customers) > self._max_customers:
            self._customers.popitem(last=False)
