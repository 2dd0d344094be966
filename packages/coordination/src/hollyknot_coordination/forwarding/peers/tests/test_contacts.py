"""Tests which addresses are contacted, and how often."""

import random

import pytest

from hollyknot_coordination.forwarding.peers._contacts import Contacts
from hollyknot_state import Address

OWN = Address("127.0.0.1", 1)
SEED = Address("127.0.0.1", 2)
HEARD = Address("127.0.0.1", 3)


def _contacts(*seeds: Address) -> Contacts:
    return Contacts(OWN, seeds, random.Random(1))


class TestContacts:
    """Retries addresses that have not answered, with backoff and limits."""

    def test_never_tries_its_own_address(self) -> None:
        contacts = _contacts(OWN)
        contacts.add(OWN)
        assert contacts.due((), 0, 0.0, 9) == []

    def test_a_host_that_knows_nobody_tries_all_at_once(self) -> None:
        contacts = _contacts(SEED)
        contacts.add(HEARD)
        assert set(contacts.due((), 0, 0.0, 9)) == {SEED, HEARD}

    def test_backoff_doubles_up_to_16_s(self) -> None:
        contacts = _contacts(SEED)
        tried = [now for now in range(100) if contacts.due((), 0, now, 9)]
        assert tried == [0, 1, 3, 7, 15, 31, 47, 63, 79, 95]

    def test_thousands_of_tries_keep_the_longest_backoff(self) -> None:
        contacts = _contacts(SEED)
        for step in range(5000):
            contacts.due((), 0, step * 16.0, 1)
        assert contacts.due((), 0, 5000 * 16.0, 1) == [SEED]

    def test_host_that_fell_silent_is_tried_without_backoff(self) -> None:
        contacts = _contacts(SEED)
        for now in range(60):
            contacts.due((), 0, now, 9)
        contacts.reset(SEED)
        assert contacts.due((), 0, 60, 9) == [SEED]

    @pytest.mark.parametrize(("peers", "tried"), [(5, 50), (40, 12)])
    def test_tries_have_a_share_of_the_reports(
        self, peers: int, tried: int
    ) -> None:
        contacts = _contacts(SEED)
        for port in range(200):
            contacts.add(Address("127.0.0.9", 1 + port))
        due = [contacts.due((), peers, 0.0, 1) for _ in range(100)]
        assert sum(map(len, due)) == tried

    def test_accumulated_tries_are_bounded(self) -> None:
        contacts = _contacts()
        for step in range(1000):
            contacts.due((), 5, step * 0.1, 1)
        for port in range(200):
            contacts.add(Address("127.0.0.9", 1 + port))
        due = [contacts.due((), 5, 100.0, 2) for _ in range(4)]
        assert sum(map(len, due)) <= 8

    def test_seeds_stay_when_many_others_are_heard_of(self) -> None:
        contacts = _contacts(SEED)
        contacts.due((), 0, 0.0, 1)
        for port in range(5000):
            contacts.add(Address("127.0.0.9", 1 + port))
        assert SEED in contacts.due((), 0, 1000.0, 5000)
