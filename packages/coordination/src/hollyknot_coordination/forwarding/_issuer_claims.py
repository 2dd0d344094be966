"""Which host issues the permits of an upstream, in a large fleet.

Each host hears some of the others only, so that several take themselves for the
first in the order of an upstream. Those that issue permits say so in their
reports; hosts pass on the first of those that they heard of. Within seconds all
know the same one.
"""

import attrs

from hollyknot_coordination.forwarding._fleet_size import FleetSize
from hollyknot_coordination.forwarding._trackers import Tracker, rank
from hollyknot_state import IssuerClaim

CLAIM_LIFETIME_S = 10.0
"""How long a claim counts after the host has made it."""

ALL_HEARD_FRACTION = 0.9
"""Of all hosts, the part from which on claims are needless: nearly all know the
same host."""

SOLE_AFTER_S = 5.0
"""How long a host hears of no other issuer before it takes itself for the only
one."""

MIN_OWN_CLAIMS = 10
"""Its own claims that it must have been told in this time."""

_MS = 1000


@attrs.define
class _ClaimState:
    """What is known of the issuers of one upstream.

    Attributes:
        claim: The first in the order.
        made_s: When it was made.
        other_s: When this host last heard of another issuer than itself.
        own_told: How often it has been told of itself since.
    """

    claim: IssuerClaim
    made_s: float
    last_other_s: float
    own_claims_received: int = 0


class IssuerClaims:
    """The claims that one host has heard of, by the upstream's short name."""

    def __init__(self, own: Tracker, size: FleetSize) -> None:
        """Has heard of none.

        Args:
            own: This host.
            size: Tells whether claims are needed.
        """
        self._own = own
        self._size = size
        self._states: dict[int, _ClaimState] = {}

    def issuer(self, upstream: int, now_s: float) -> IssuerClaim | None:
        """Returns the first host that claims to issue an upstream's permits."""
        known = self._states.get(upstream)
        if known is None or now_s - known.made_s > CLAIM_LIFETIME_S:
            return None
        return known.claim

    def claim(self, upstream: int, now_s: float, *, is_near: bool) -> None:
        """Notes that this host issues permits.

        Args:
            upstream: The upstream's short name.
            now_s: The time.
            is_near: Whether this host is in the upstream's data centre.
        """
        own = self._own
        claim = IssuerClaim(own.incarnation, own.address, is_near)
        self._merge(upstream, claim, now_s, now_s)

    def take(self, upstream: int, claim: IssuerClaim, now_s: float) -> None:
        """Takes a claim that another host has told."""
        made_s = now_s - max(0, claim.age_ms) / _MS
        known = self._merge(upstream, claim, made_s, now_s)
        if claim.incarnation == self._own.incarnation:
            known.own_claims_received += 1
        else:
            known.last_other_s = now_s
            known.own_claims_received = 0

    def told(self, upstream: int, now_s: float) -> IssuerClaim | None:
        """Returns the claim to tell others; None where none is needed."""
        if self._size.heard_part >= ALL_HEARD_FRACTION:
            return None
        claim = self.issuer(upstream, now_s)
        if claim is None:
            return None
        age_s = now_s - self._states[upstream].made_s
        return attrs.evolve(claim, age_ms=max(0, round(age_s * _MS)))

    def is_sole(self, upstream: int, now_s: float) -> bool:
        """Whether this host is the only one that issues permits."""
        known = self._states.get(upstream)
        return (
            known is not None
            and known.own_claims_received >= MIN_OWN_CLAIMS
            and now_s - known.last_other_s >= SOLE_AFTER_S
        )

    def forget(self, upstream: int) -> None:
        """Notes that an upstream has left for good."""
        self._states.pop(upstream, None)

    def _merge(
        self, upstream: int, claim: IssuerClaim, made_s: float, now_s: float
    ) -> _ClaimState:
        known = self._states.get(upstream)
        if known is None:
            known = _ClaimState(claim, made_s, last_other_s=now_s)
            self._states[upstream] = known
            return known
        is_over = now_s - known.made_s > CLAIM_LIFETIME_S
        if known.claim.incarnation == claim.incarnation:
            known.made_s = max(known.made_s, made_s)
        elif is_over or _rank(upstream, claim) > _rank(upstream, known.claim):
            known.claim = claim
            known.made_s = made_s
        return known


def _rank(upstream: int, claim: IssuerClaim) -> tuple[bool, bytes]:
    return claim.is_near, rank(upstream, claim.incarnation)
