"""Divides refusals between customers by max-min fairness.

The load it answers: room for the least urgent streams of a service is short,
and one customer sends several times as much as the others. Refused at random,
all customers lose the same share. By max-min fairness each customer gets what
it sends, up to a level that is the same for all, and only those above the level
are refused. The work refused in total stays the same.
"""

import math
from collections.abc import Mapping

import attrs

from hollyknot_coordination.forwarding.refusals._shedding import ADMITTED_SHARE

_LEAST_ADMITTED = ADMITTED_SHARE / 2
"""Least share of a customer's work that is admitted, so that none starves."""

MAX_REFUSED_SHARE = 1.0 - _LEAST_ADMITTED

_CLEARLY_ABOVE = 3.0
"""Ratio of the most work of one customer to the mean of the others from which
refusals depend on the customer. Rates of equal customers differ less."""


@attrs.frozen
class FairRefusals:
    """How refusals are divided between the customers of one service.

    Attributes:
        level: Work in tokens per second up to which a customer is served.
        work: Work that each known customer offers, in tokens per second.
        rest_mean: Mean work of a customer that isn't known by name.
        shed_share: Share of all work that load shedding refuses.
    """

    level: float
    work: Mapping[int, float]
    rest_mean: float
    shed_share: float

    def over_share(self, customer: int) -> float:
        """Returns the ratio of a customer's work to the level."""
        work = self.work.get(customer, self.rest_mean)
        return work / self.level if self.level else math.inf

    def multiplier(self, customer: int) -> float:
        """Returns how often a customer is refused, relative to the mean."""
        work = self.work.get(customer, self.rest_mean)
        if not work:
            return 1.0
        return (1.0 - _admitted(work, self.level) / work) / self.shed_share


def fair_refusals(
    work: Mapping[int, float], rest: float, shed_share: float
) -> FairRefusals | None:
    """Divides refusals between customers so that the mean stays the same.

    Args:
        work: Work offered by the customers that are known by name, in tokens
            per second.
        rest: Work of all other customers together. There are taken to be as
            many of them as if each offered as much as the least known one.
        shed_share: Share of all work that load shedding refuses.

    Returns:
        The division, or None if no customer offers clearly more than others.
    """
    known = {name: tokens for name, tokens in work.items() if tokens > 0}
    if not known or shed_share <= 0:
        return None
    rest_count = math.ceil(rest / min(known.values()))
    rest_mean = rest / rest_count if rest_count else 0.0
    total = sum(known.values()) + rest
    most = max(known.values())
    others = len(known) - 1 + rest_count
    if not others or most < _CLEARLY_ABOVE * (total - most) / others:
        return None
    counted = [(tokens, 1) for tokens in known.values()]
    counted.append((rest_mean, rest_count))
    level = _level(counted, (1.0 - shed_share) * total)
    return FairRefusals(level, known, rest_mean, shed_share)


def _level(counted: list[tuple[float, int]], room: float) -> float:
    """Returns the level at which the admitted work fills the room.

    Args:
        counted: Work of a customer, and the number of such customers.
        room: Work to admit, in the same unit.
    """
    shared = sorted(counted, reverse=True)
    while shared:
        level = _plain_level(shared, room)
        # What the largest get at least may be more than the level; the others
        # then share what is left, at a lower one.
        tokens, count = shared[0]
        least = _LEAST_ADMITTED * tokens
        if least <= level:
            return level
        room -= count * least
        del shared[0]
    return 0.0


def _plain_level(falling: list[tuple[float, int]], room: float) -> float:
    """Returns the level without regard to what each gets at least."""
    left = room
    customers = sum(count for _, count in falling)
    for tokens, count in reversed(falling):
        if tokens * customers >= left:
            break
        left -= tokens * count
        customers -= count
    return max(left / customers, 0.0) if customers else falling[0][0]


def _admitted(work: float, level: float) -> float:
    return max(min(work, level), _LEAST_ADMITTED * work)
