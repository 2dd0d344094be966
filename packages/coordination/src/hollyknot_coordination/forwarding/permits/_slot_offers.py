"""Bounds how many requests a host offers to peers that own slots.

A host whose own slots of a brittle upstream are in use offers a request to
peers that own others. If all slots are in use everywhere, each offer is work
that serves nobody and delays the requests in the slots. Therefore each accepted
offer allows a few more, as acknowledgements do in congestion control.
"""

import attrs

EARNED_OFFERS = 4.0
"""Offers that one accepted offer allows. Hosts go on offering while at least
one offer in so many is accepted."""

FREE_OFFERS_PER_S = 20.0
"""Offers per second that need no accepted one, to find slots that become
free."""

MAX_SAVED_OFFERS = 64.0
"""Most offers that can be saved up."""


@attrs.define
class _Account:
    """The offers that are allowed for the requests of one service.

    Attributes:
        left: Number of offers that are allowed now.
        at_s: Time of the last change, in seconds.
    """

    left: float
    at_s: float


class SlotOffers:
    """Counts the offers of one host, by service."""

    def __init__(self) -> None:
        """Creates an instance that allows a burst of offers."""
        self._accounts: dict[str, _Account] = {}

    def spend(self, service: str, now_s: float) -> bool:
        """Counts one offer; returns False if it must not be made."""
        account = self._account(service, now_s)
        if account.left < 1.0:
            return False
        account.left -= 1.0
        return True

    def on_accepted(self, service: str, now_s: float) -> None:
        """Records that a peer had a free slot for an offered request."""
        account = self._account(service, now_s)
        account.left = min(account.left + EARNED_OFFERS, MAX_SAVED_OFFERS)

    def _account(self, service: str, now_s: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = _Account(MAX_SAVED_OFFERS, now_s)
            self._accounts[service] = account
        earned = (now_s - account.at_s) * FREE_OFFERS_PER_S
        account.left = min(account.left + earned, MAX_SAVED_OFFERS)
        account.at_s = now_s
        return account
