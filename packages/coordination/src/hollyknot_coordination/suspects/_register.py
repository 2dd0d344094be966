"""Finds requests that crash the upstreams that run them and refuses them."""

from hollyknot_coordination.suspects._evidence import Crash
from hollyknot_coordination.suspects._loss_register import (
    NO_FINGERPRINT,
    LossRegister,
)
from hollyknot_coordination.suspects._messages import (
    REFUSE_CRASHES,
    Clear,
    Gate,
    Isolate,
    Refuse,
    Trial,
    refusal,
)

RETRY_AFTER_S = 1.0
"""Seconds after which a caller may retry a suspect that is in flight already,
and the shortest such time for a culprit."""


REPEATED_CRASHES = 2
"""Crashes from which a request is sent once at a time over all hosts, so that
copies of it don't crash the third upstream and further ones together."""


class SuspectRegister(LossRegister):
    """Tracks requests that may have crashed upstreams and refuses culprits."""

    def gate(self, fingerprint: int, now_s: float) -> Gate:
        """Decides before a try whether and where a request may be sent.

        A culprit is refused at once. So is a request that was lost at several
        upstreams, until the verdict on its newest loss is known, and a suspect
        that is in flight from this host already: a second copy from its caller
        could crash another upstream before the end of the first gives any
        evidence. A request of several crashes is tried once at a time over all
        hosts.
        """
        crashes = self._evidence.crashes(fingerprint)
        pending = self._pending.find(fingerprint, now_s)
        if fingerprint == NO_FINGERPRINT or not (crashes or pending):
            return Clear()
        if crashes and self._is_culprit(fingerprint, crashes):
            return self._refuse(fingerprint, crashes, now_s)
        if pending and len(self._lost_at(fingerprint, pending)) > 1:
            wait_s = self._options.pending_s - (now_s - max(pending.values()))
            return refusal("the verdict on its last loss is pending", wait_s)
        if not crashes:
            return Clear()
        running = self._upstreams_running(fingerprint)
        if running:
            return refusal("the same request is being tried", RETRY_AFTER_S)
        excluded = self.excluded(len(crashes))
        if len(crashes) >= REPEATED_CRASHES:
            return Trial(fingerprint, len(crashes), True, excluded)
        return Isolate(excluded)

    def score(self, fingerprint: int) -> float:
        """Returns the blame of a request, summed over its crashes."""
        share = self._options.new_fraction
        crashes = self._evidence.crashes(fingerprint)
        return sum(c.blame(fingerprint, share) for c in crashes)

    def _is_culprit(self, fingerprint: int, crashes: list[Crash]) -> bool:
        if fingerprint in self._refused or len(crashes) >= REFUSE_CRASHES:
            return True
        if len(crashes) >= self._options.refuse_crashes:
            in_all = set.intersection(*(c.suspects for c in crashes))
            if in_all == {fingerprint}:
                return True
        return self.score(fingerprint) >= self._options.refuse_score

    def _refuse(
        self, fingerprint: int, crashes: list[Crash], now_s: float
    ) -> Refuse:
        age_s = now_s - max(c.at_s for c in crashes)
        if age_s < self._options.settle_s:
            # Peers may not have reported yet which other requests were in
            # the last crash, so an innocent request could be the only suspect.
            # Its caller may retry shortly, and the request is refused for
            # long only if the evidence still points to it alone by then.
            wait_s = self._options.settle_s - age_s
            return refusal("evidence against it is being gathered", wait_s)
        self._refused.setdefault(fingerprint, now_s)
        remaining_s = max(RETRY_AFTER_S, self._options.quarantine_s - age_s)
        return refused_request(remaining_s)

    def _upstreams_running(self, fingerprint: int) -> list[str]:
        return [
            u
            for u, in_flight in self._in_flight.all()
            if fingerprint in in_flight
        ]


def refused_request(wait_s: float) -> Refuse:
    """Returns the refusal of a request for its own crashes."""
    return refusal("upstreams that ran it have crashed", wait_s)
