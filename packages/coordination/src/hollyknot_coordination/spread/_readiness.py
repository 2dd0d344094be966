"""Decides when a new host may start to serve."""

from collections.abc import Iterable

from hollyknot_coordination.spread._document import DocumentState

MIN_CONTACTS = 3
"""Number of peers whose gossip a new host waits for before it serves."""

CONTACT_TIMEOUT_S = 10.0
"""Seconds after which a new host stops waiting for gossip of peers.

The time counts from when it has a version of all documents.
"""


class Readiness:
    """Holds whether the host is ready; once ready, it stays ready.

    A serving host continues with the last valid version while it fetches a
    newer one, and during any outage of the platform. If hosts stopped serving
    at each change, all would stop at the same time.
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
        """Records a peer that announced its versions."""
        if not self._is_ready:
            self._contacts.add(peer)

    def check(
        self, documents: Iterable[DocumentState], peers: int, now_s: float
    ) -> None:
        """Sets the host ready if it heard enough peers and misses no version.

        Args:
            documents: States of all documents.
            peers: Number of peers that the host list has in this data centre.
            now_s: Current time in monotonic seconds.
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
