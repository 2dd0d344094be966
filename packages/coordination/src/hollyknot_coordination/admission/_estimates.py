"""Service times learnt online, by class and customer.

The length of an answer is unknown until it ends, so what a request will cost
is estimated from those before it. Each estimate is an exponentially weighted
mean with its mean absolute error. A customer of whom little is known is
estimated mostly by its class, a class of which nothing is known by its pool.
"""

import collections

import attrs

from hollyknot_state import RequestInfo

_WEIGHT_MIN = 0.05
"""The weight of the newest observation once there are 20 or more."""

_CLASS_WEIGHT = 8
"""How many observations of a customer weigh as much as its class's mean."""

_DEFAULT_SERVICE_S = 1.0
"""The service time assumed before anything has ended."""


@attrs.frozen
class Estimate:
    """What a request is expected to cost.

    Attributes:
        mean_s: Seconds on a slot.
        error_s: The mean absolute error of such estimates until now.
    """

    mean_s: float
    error_s: float


@attrs.frozen
class EstimateError:
    """The error measured over all observations since the start.

    Attributes:
        observations: Requests that ended.
        mean_s: Their mean service time.
        absolute_s: The mean absolute error of the estimate made for each.
        bias_s: The mean of estimate less truth.
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
    """Estimates of service times by pool, class and customer."""

    def __init__(self, max_customers: int) -> None:
        """Makes an estimator that has seen nothing.

        Args:
            max_customers: Pairs of class and customer that are remembered; the
                one used longest ago is forgotten first, and is then estimated
                by its class.
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
        """The error over all that ended, each against its own estimate."""
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
        """Learns from a request that ended.

        Args:
            request: The request.
            service_time_s: Seconds that it held its slot.
            expected_s: What was expected when it was offered.
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
