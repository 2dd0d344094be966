"""Knows the work of customers over all hosts, and whom to refuse first.

Each host sees few callers. It learns what others see from the answers of the
trackers that it asks, and takes the mean of those heard lately for the hosts
that it has not heard.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding.customers._fair_refusals import (
    MAX_REFUSED_SHARE,
    FairRefusals,
    fair_refusals,
)
from hollyknot_coordination.forwarding.customers._offered_work import (
    STREAM_TOKENS,
    OfferedWork,
)
from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_state import ServiceWork, short_name

MIN_INTERVAL_S = 0.125
"""Seconds between two answers that tell of a service. Each host hears
as many as it tells: some forty before they are too old."""

MAX_AGE_S = 5.0
"""Age in seconds above which the work told by a host no longer counts."""

MIN_HEARD = 5
"""Other hosts that must be heard, or all if there are fewer: the callers of a
few hosts say little about those of many."""

_MIN_SHED_SHARE = 0.01
"""Share of the work that is refused from which hosts tell of it."""

_ESTIMATE_S = 0.2
"""Seconds for which an estimate is used."""

_OWED_S = 2.0
"""Time constant in seconds with which refusals that are owed are forgiven."""


@attrs.frozen
class OfferedRequest:
    """A request among the least urgent of a service.

    Attributes:
        service: Name of the service.
        customer: Name of the customer; empty if there is none.
        tokens: Prompt tokens.
    """

    service: str
    customer: str
    tokens: int


@attrs.define
class _Owed:
    """Work of a customer that is still to be refused, in tokens.

    Attributes:
        tokens: The work at `at_s`; it fades.
        at_s: Time in seconds.
    """

    tokens: float = 0.0
    at_s: float = 0.0

    def read(self, now_s: float) -> float:
        return self.tokens * math.exp((self.at_s - now_s) / _OWED_S)


@attrs.define(eq=False)
class _Service:
    """What a host knows of one service.

    Attributes:
        own: Work that the host's own callers offer.
        heard: Newest work told by each other host, with its time.
        owed: Refusals owed by customers above their share.
        refusals: Newest division of refusals; None if it is the same for all.
        estimated_s: Time of that division.
    """

    own: OfferedWork = attrs.Factory(OfferedWork)
    heard: dict[int, tuple[ServiceWork, float]] = attrs.Factory(dict)
    owed: dict[int, _Owed] = attrs.Factory(dict)
    refusals: FairRefusals | None = None
    estimated_s: float = -math.inf

    def forget_old(self, now_s: float) -> None:
        while self.heard:
            host, (_, heard_s) = next(iter(self.heard.items()))
            if now_s - heard_s <= MAX_AGE_S:
                return
            del self.heard[host]


class CustomerShares:
    """One host's view of its customers' shares of each service."""

    def __init__(self, size: HostCount) -> None:
        """Creates the state of a host that knows no customer's work.

        Args:
            size: Number of hosts.
        """
        self._size = size
        self._services: dict[int, _Service] = {}
        self._tell_from_s = -math.inf

    def refused_share(
        self, request: OfferedRequest, shed_share: float, now_s: float
    ) -> float:
        """Returns the probability with which a request is to be refused.

        Refusals of customers above their share may be more than their requests
        allow while engines are full. What is left is owed, and refused while
        engines are less full, so that the total stays what shedding decides.

        Args:
            request: The request, which is counted as offered.
            shed_share: Probability with which load shedding would refuse it
                without regard to the customer.
            now_s: Current time in seconds.
        """
        customer = short_name(request.customer)
        name = short_name(request.service)
        service = self._services.setdefault(name, _Service())
        service.own.add(customer, request.tokens, shed_share, now_s)
        if not shed_share and customer not in service.owed:
            return 0.0
        refusals = self._refusals(request.service, now_s)
        if refusals is None:
            return shed_share
        multiplier = refusals.multiplier(customer)
        owed = service.owed.pop(customer, _Owed())
        if refusals.over_share(customer) <= 1.0:
            return min(multiplier * shed_share, MAX_REFUSED_SHARE)
        work = request.tokens + STREAM_TOKENS
        wanted = owed.read(now_s) + multiplier * shed_share * work
        share = min(wanted / work, MAX_REFUSED_SHARE)
        service.owed[customer] = _Owed(wanted - share * work, now_s)
        return share

    def over_share(self, request: OfferedRequest, now_s: float) -> float | None:
        """Returns the ratio of the customer's work to its fair share.

        Returns:
            The ratio, or None if refusals don't depend on the customer.
        """
        refusals = self._refusals(request.service, now_s)
        if refusals is None:
            return None
        return refusals.over_share(short_name(request.customer))

    def tell(self, now_s: float) -> tuple[ServiceWork, ...]:
        """Returns what the next answer tells of services that are short."""
        if now_s < self._tell_from_s:
            return ()
        read = (
            service.own.read(name, now_s)
            for name, service in self._services.items()
        )
        told = tuple(
            work
            for work in read
            if work.shed_tokens_s > _MIN_SHED_SHARE * work.tokens_s
        )
        self._tell_from_s = now_s + MIN_INTERVAL_S * len(told)
        return told

    def hear(
        self, host: int, told: Iterable[ServiceWork], now_s: float
    ) -> None:
        """Applies what another host has told.

        Args:
            host: Incarnation of the other host.
            told: Its work, by service.
            now_s: Current time in seconds.
        """
        for work in told:
            # Other services than those that callers use here aren't of use,
            # and names may come from any process.
            service = self._services.get(work.name)
            if service is not None and _is_sound(work):
                # The newest entries are last, so that old ones are found.
                service.heard.pop(host, None)
                service.heard[host] = (work, now_s)
                service.forget_old(now_s)

    def _refusals(self, name: str, now_s: float) -> FairRefusals | None:
        short = short_name(name)
        service = self._services.get(short)
        if service is None:
            return None
        if now_s - service.estimated_s >= _ESTIMATE_S:
            service.estimated_s = now_s
            service.refusals = self._estimate(short, service, now_s)
            if service.refusals is None:
                service.owed.clear()
        return service.refusals

    def _estimate(
        self, name: int, service: _Service, now_s: float
    ) -> FairRefusals | None:
        service.forget_old(now_s)
        hosts = self._size.hosts
        heard = [work for work, _ in service.heard.values()]
        is_known = self._size.is_known(now_s)
        if not is_known or len(heard) < min(MIN_HEARD, hosts - 1):
            return None
        scale = (hosts - 1) / len(heard) if heard else 0.0
        weighted = [(service.own.read(name, now_s), 1.0)]
        weighted += [(work, scale) for work in heard]
        return _divide(weighted)


def _divide(
    weighted: Sequence[tuple[ServiceWork, float]],
) -> FairRefusals | None:
    """Divides refusals by the work of hosts, each with its weight."""
    offered = sum(weight * work.tokens_s for work, weight in weighted)
    shed = sum(weight * work.shed_tokens_s for work, weight in weighted)
    if not 0 < shed < offered:
        return None
    by_customer: dict[int, float] = {}
    for work, weight in weighted:
        for heavy in work.heaviest:
            before = by_customer.get(heavy.customer, 0.0)
            by_customer[heavy.customer] = before + weight * heavy.tokens_s
    rest = max(0.0, offered - sum(by_customer.values()))
    return fair_refusals(by_customer, rest, shed / offered)


def _is_sound(work: ServiceWork) -> bool:
    """Whether the numbers agree; any process may have sent them."""
    rates = [heavy.tokens_s for heavy in work.heaviest]
    named = sum(rates) - len(rates)  # Each may have been rounded up.
    is_positive = all(rate > 0 for rate in rates)
    is_part = 0 <= work.shed_tokens_s <= work.tokens_s
    return is_positive and is_part and named <= work.tokens_s
