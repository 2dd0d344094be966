"""When a new host may begin to serve."""

from collections.abc import Iterable

from hollyknot_coordination.spread._document import DocumentState

MIN_CONTACTS = 3
"""Peers that a new host has to hear before it counts itself caught up."""

CONTACT_TIMEOUT_S = 10.0
"""Seconds after which it no longer waits for peers that stay silent."""


class Readiness:
    """Becomes ready once and stays so.

    A host that serves goes on with the last good version while a newer one is
    on its way, and through any outage of the platform: to stop serving at each
    change would stop all hosts at once.
    """

    def __init__(self) -> None:
        self._is_ready = False
        self._contacts: set[str] = set()
        self._complete_since_s = float("inf")

    @property
    def is_ready(self) -> bool:
        """Whether the host may serve."""
        return self._is_ready

    def add_contact(self, peer: str) -> None:
        """Counts a peer that told its versions."""
        if not self._is_ready:
            self._contacts.add(peer)

    def check(
        self, documents: Iterable[DocumentState], peers: int, now_s: float
    ) -> None:
        """Becomes ready if nothing is lacking.

        Args:
            documents: All documents.
            peers: How many peers the host list has in this data centre.
            now_s: Monotonic seconds.
        """
        if self._is_ready:
            return
        states = tuple(documents)
        if not all(d.version.version > 0 for d in states):
            return
        self._complete_since_s = min(self._complete_since_s, now_s)
        waited_s = now_s - self._complete_since_s
        has_contacts = len(self._contacts) >= min(MIN_CONTACTS, peers)
        if has_contacts or waited_s >= CONTACT_TIMEOUT_S:
            self._is_ready = all(d.is_caught_up(now_s) for d in states)
