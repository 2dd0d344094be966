"""Makes hosts of a large fleet agree on the issuer of an upstream's permits.

Each host gets reports from only some of the others, so several may each
conclude that they are the first host in the ranking of an upstream. A host that
issues permits claims so in its reports. Hosts pass on the claim that ranks
first among those that they have received, so all hosts know the same issuer
within seconds.
"""

import attrs

from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_coordination.forwarding.peers._trackers import Tracker, rank
from hollyknot_state import IssuerClaim

CLAIM_LIFETIME_S = 10.0
"""Age in seconds above which a claim no longer counts."""

ALL_HEARD_FRACTION = 0.9
"""Fraction of all hosts whose reports must reach a host for it to do without
claims: then nearly all hosts compute the same issuer."""

SOLE_AFTER_S = 5.0
"""Seconds without a claim by others after which an issuer assumes that it is
the only one."""

MIN_OWN_CLAIMS = 10
"""Reports of its own claim that it must have received from others in that time.
They show that its claim has spread."""

_MS = 1000


@attrs.define
class _ClaimState:
    """Claims to issue the permits of one upstream.

    Attributes:
        claim: Claim that ranks first among those received.
        made_s: Time at which its host last made it.
        last_other_s: Time at which this host last received a claim of another
            host.
        own_claims_received: Number of times that other hosts have reported
            this host's own claim since then.
    """

    claim: IssuerClaim
    made_s: float
    last_other_s: float
    own_claims_received: int = 0


class IssuerClaims:
    """Claims that one host knows, by the short name of the upstream."""

    def __init__(self, own: Tracker, size: HostCount) -> None:
        """Creates a table without claims.

        Args:
            own: This host.
            size: Number of hosts and the fraction whose reports arrive here,
                which decides whether claims are needed.
        """
        self._own = own
        self._size = size
        self._states: dict[int, _ClaimState] = {}

    def issuer(self, upstream: int, now_s: float) -> IssuerClaim | None:
        """Returns the first-ranked claim to an upstream that still counts."""
        known = self._states.get(upstream)
        if known is None or now_s - known.made_s > CLAIM_LIFETIME_S:
            return None
        return known.claim

    def claim(self, upstream: int, now_s: float, *, is_near: bool) -> None:
        """Records that this host issues permits of an upstream.

        Args:
            upstream: The upstream's short name.
            now_s: The time.
            is_near: Whether this host is in the upstream's data centre.
        """
        own = self._own
        claim = IssuerClaim(own.incarnation, own.address, is_near)
        self._merge(upstream, claim, now_s, now_s)

    def apply_claim(
        self, upstream: int, claim: IssuerClaim, now_s: float
    ) -> None:
        """Applies a claim from another host's report."""
        made_s = now_s - max(0, claim.age_ms) / _MS
        known = self._merge(upstream, claim, made_s, now_s)
        if claim.incarnation == self._own.incarnation:
            known.own_claims_received += 1
        else:
            known.last_other_s = now_s
            known.own_claims_received = 0

    def to_report(self, upstream: int, now_s: float) -> IssuerClaim | None:
        """Returns the claim to report to others; None if none is needed."""
        if self._size.heard_fraction >= ALL_HEARD_FRACTION:
            return None
        claim = self.issuer(upstream, now_s)
        if claim is None:
            return None
        age_s = now_s - self._states[upstream].made_s
        return attrs.evolve(claim, age_ms=max(0, round(age_s * _MS)))

    def is_sole(self, upstream: int, now_s: float) -> bool:
        """Returns whether this host assumes that it is the only issuer."""
        known = self._states.get(upstream)
        return (
            known is not None
            and known.own_claims_received >= MIN_OWN_CLAIMS
            and now_s - known.last_other_s >= SOLE_AFTER_S
        )

    def forget(self, upstream: int) -> None:
        """Drops the claims to an upstream that has left for good."""
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
