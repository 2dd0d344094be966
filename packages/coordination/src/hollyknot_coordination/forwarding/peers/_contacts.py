"""Chooses which addresses to contact of hosts that send no reports now.

Where hosts are replaced all the time, gossip keeps naming addresses that will
never answer. Each try costs a report that a live peer would have got, so tries
are limited to a share of all reports, and an address that does not answer is
retried with exponential backoff. Addresses are kept as long as there is room:
after an hour's network partition they are all that the two sides know of each
other.
"""

import math
import random
from collections.abc import Container

import attrs

from hollyknot_state import Address

FIRST_RETRY_S = 1.0
"""Seconds between the first two tries of an address; doubled after each."""

MAX_DOUBLINGS = 4
"""Number of times that the interval is doubled, up to 16 s. The two sides of a
partition find each other within that time, and that of a report, after it
ends."""

TRY_SHARE = 0.5
"""Fraction of all reports that tries may use while few peers are known. It is
high, since other hosts have to learn soon of a host that has just started."""

TRY_SHARE_MANY_PEERS = 0.125
"""Fraction of all reports that tries may use when many peers are known, which
pass this host's address on. It is not zero, since after a partition no peer of
the other side is known."""

MANY_PEERS = 32
"""Number of peers above which they count as many. Each report of theirs passes
on four addresses."""

_MAX_SAVED_TRIES = 4.0
"""Tries that may be accumulated while none is due."""

_MAX_CONTACTS = 256
"""Addresses that are kept, at about a hundred bytes each. The ones with the
most unanswered tries are dropped first."""


@attrs.define
class _Contact:
    """An address, and its tries that were not answered.

    Attributes:
        is_seed: Whether the settings name the address, so that it is kept.
        last_try_s: Time of the last try.
        tries: Number of tries since the last report from the host.
    """

    is_seed: bool
    last_try_s: float = -math.inf
    tries: int = 0

    def is_due(self, now_s: float) -> bool:
        """Whether the backoff since the last try has passed."""
        doublings = min(max(0, self.tries - 1), MAX_DOUBLINGS)
        wait_s = FIRST_RETRY_S * (1 << doublings)
        return now_s - self.last_try_s >= wait_s

    def note_try(self, now_s: float) -> None:
        """Counts a try."""
        self.last_try_s = now_s
        self.tries += 1


class Contacts:
    """The addresses that one host may contact."""

    def __init__(
        self, own: Address, seeds: tuple[Address, ...], rng: random.Random
    ) -> None:
        """Creates contacts that consist of the seeds.

        Args:
            own: This host's address, which is never tried.
            seeds: Addresses to start with, which are never dropped.
            rng: Chooses among the addresses that are due, so that hosts with
                the same addresses do not all try the same one.
        """
        self._own = own
        self._rng = rng
        self._contacts = {
            seed: _Contact(is_seed=True) for seed in seeds if seed != own
        }
        self._saved_tries = 0.0

    def add(self, address: Address) -> None:
        """Adds an address that a peer has named."""
        if address != self._own and address not in self._contacts:
            self._contacts[address] = _Contact(is_seed=False)
            self._drop_one()

    def reset(self, address: Address) -> None:
        """Resets the backoff of a host that answered or just fell silent."""
        contact = self._contacts.get(address)
        if contact is not None:
            contact.tries = 0
        else:
            self.add(address)

    def due(
        self,
        known: Container[Address],
        peers: int,
        now_s: float,
        max_reports: int,
    ) -> list[Address]:
        """Returns the addresses to try now, and counts the tries.

        Args:
            known: Addresses of current peers, which need no try.
            peers: Number of peers whose reports arrive.
            now_s: Current time, in seconds.
            max_reports: Reports that may be sent now, including those to peers.
        """
        allowed = self._allowed_tries(peers, max_reports)
        due = [
            (contact.tries, self._rng.random(), address)
            for address, contact in self._contacts.items()
            if address not in known and contact.is_due(now_s)
        ]
        chosen = [address for _, _, address in sorted(due)[:allowed]]
        for address in chosen:
            self._contacts[address].note_try(now_s)
        if peers:
            self._saved_tries -= len(chosen)
        return chosen

    def _allowed_tries(self, peers: int, max_reports: int) -> int:
        """Returns how many tries the share of the reports allows now."""
        if not peers:
            return max_reports
        share = TRY_SHARE_MANY_PEERS if peers > MANY_PEERS else TRY_SHARE
        self._saved_tries = min(
            self._saved_tries + max_reports * share,
            _MAX_SAVED_TRIES + max_reports,
        )
        return min(max_reports, int(self._saved_tries))

    def _drop_one(self) -> None:
        """Drops the address least likely to answer, if there are too many."""
        if len(self._contacts) <= _MAX_CONTACTS:
            return
        dropped = max(
            (a for a, contact in self._contacts.items() if not contact.is_seed),
            key=lambda address: self._contacts[address].tries,
        )
        del self._contacts[dropped]
