"""Addresses of hosts that were heard of, or fell silent, and how to try them.

A fleet in which hosts are replaced all day keeps hearing of addresses that will
never answer. Each try costs a report that a live peer would have had, so that
tries have a share of all reports, and an address that does not answer is tried
ever less often. None is given up while there is room: two parts of a fleet that
were cut off from each other for an hour know nothing else of each other.
"""

import math
import random
from collections.abc import Container

import attrs

from hollyknot_state import Address

FIRST_RETRY_S = 1.0
"""Between the first two tries of an address; doubled after each."""

MAX_DOUBLINGS = 4
"""How often it is doubled, to 16 s: within that, and what a report takes, the
two sides of a cut that has ended find each other again."""

TRY_SHARE = 0.5
"""Of all reports, the part that tries may take where few peers are known: a
host that has just started has to be heard of soon."""

TRY_SHARE_MANY_PEERS = 0.125
"""The same where so many peers are known that the others hear of this host by
them. Not none: after a cut no peer of the other side is known."""

MANY_PEERS = 32
"""How many peers are many: each of them tells four addresses in a report."""

_MAX_SAVED_TRIES = 4.0
"""Tries that may be saved up while none is due."""

_MAX_CONTACTS = 256
"""Addresses that are kept, of some hundred bytes each; those that did not
answer most often are dropped first."""


@attrs.define
class _Contact:
    """One address, and the tries that it has not answered."""

    is_seed: bool
    last_try_s: float = -math.inf
    tries: int = 0

    def is_due(self, now_s: float) -> bool:
        """Whether it is to be tried again."""
        doublings = min(max(0, self.tries - 1), MAX_DOUBLINGS)
        wait_s = FIRST_RETRY_S * (1 << doublings)
        return now_s - self.last_try_s >= wait_s

    def note_try(self, now_s: float) -> None:
        """Notes a try."""
        self.last_try_s = now_s
        self.tries += 1


class Contacts:
    """The addresses that one host may try."""

    def __init__(
        self, own: Address, seeds: tuple[Address, ...], rng: random.Random
    ) -> None:
        """Knows the seeds only.

        Args:
            own: This host's address, which is never tried.
            seeds: Where to begin; never dropped.
            rng: Chooses among those that are due, so that hosts which heard
                of the same ones do not all try the same.
        """
        self._own = own
        self._rng = rng
        self._contacts = {
            seed: _Contact(is_seed=True) for seed in seeds if seed != own
        }
        self._saved_tries = 0.0

    def add(self, address: Address) -> None:
        """Notes an address that was heard of."""
        if address != self._own and address not in self._contacts:
            self._contacts[address] = _Contact(is_seed=False)
            self._drop_one()

    def reset(self, address: Address) -> None:
        """Notes that an address has answered, or fell silent just now."""
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
        """Returns which addresses to try now, and notes the tries.

        Args:
            known: Addresses that need no try: their hosts are heard.
            peers: How many peers are heard.
            now_s: The time.
            most: Reports that may be sent now, those to peers included.
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
        """Returns how many tries are paid for."""
        if not peers:
            return max_reports
        share = TRY_SHARE_MANY_PEERS if peers > MANY_PEERS else TRY_SHARE
        self._saved_tries = min(
            self._saved_tries + max_reports * share,
            _MAX_SAVED_TRIES + max_reports,
        )
        return min(max_reports, int(self._saved_tries))

    def _drop_one(self) -> None:
        """Drops the address that is least likely to answer, if it must be."""
        if len(self._contacts) <= _MAX_CONTACTS:
            return
        dropped = max(
            (a for a, contact in self._contacts.items() if not contact.is_seed),
            key=lambda address: self._contacts[address].tries,
        )
        del self._contacts[dropped]
