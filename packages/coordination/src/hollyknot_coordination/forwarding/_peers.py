"""Which other hosts there are, learnt from what they tell.

A host starts with the addresses of a few seeds, some of which may be gone. It
tells them of itself; each report carries some addresses that its sender has
heard of, so that all hosts know each other after a few rounds. Nobody keeps a
list, and nobody has to agree: what a report says counts until it is old.
"""

import random

import attrs

from hollyknot_state import Address, HostReport

FRESH_S = 1.0
"""Age from which a peer's load is no longer counted: its work has changed."""

SILENT_S = 0.4
"""Silence of a data centre after which it is looked at: four reports of each
of its hosts, while some in a hundred datagrams are lost."""

FORGET_S = 5.0
"""Silence after which a peer is taken to be gone."""

CONTACT_S = 1.0
"""Between two tries to reach an address that does not answer."""

CONTACTS_TOLD = 4
"""Addresses in one report: eight hosts know each other within a second."""

_REMEMBERED_CONTACTS = 256


@attrs.frozen
class Peer:
    """A peer's newest report.

    Attributes:
        report: What it told.
        heard_s: When.
    """

    report: HostReport
    heard_s: float


class Peers:
    """The peers of one host."""

    def __init__(
        self, own: Address, seeds: tuple[Address, ...], rng: random.Random
    ) -> None:
        """Knows the seeds only.

        Args:
            own: Where this host takes reports; never contacted.
            seeds: Where to begin.
            rng: Chooses which addresses to tell and to try.
        """
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._tried: dict[Address, float] = {}

    @property
    def count(self) -> int:
        """Peers that have told of themselves lately."""
        return len(self._peers)

    def take(self, report: HostReport, now_s: float) -> bool:
        """Takes in a report.

        Returns:
            Whether it is from a peer that was not known.
        """
        if report.address == self._own:
            return False
        known = self._peers.get(report.host)
        if known is not None and _is_older(report, known.report):
            return False
        self._peers[report.host] = Peer(report, now_s)
        for contact in report.contacts:
            if contact != self._own:
                self._tried.setdefault(contact, float("-inf"))
        return known is None

    def fresh(self, now_s: float) -> list[HostReport]:
        """Returns reports whose loads still count."""
        return [
            peer.report
            for peer in self._peers.values()
            if now_s - peer.heard_s <= FRESH_S
        ]

    def silent_data_centres(self, now_s: float) -> frozenset[str]:
        """Returns data centres all of whose peers have just fallen silent.

        Such a data centre may have been cut off, which its upstreams' open
        connections would tell seconds later.
        """
        last_s: dict[str, float] = {}
        for peer in self._peers.values():
            name = peer.report.data_centre
            last_s[name] = max(last_s.get(name, peer.heard_s), peer.heard_s)
        return frozenset(
            name
            for name, heard_s in last_s.items()
            if now_s - heard_s > SILENT_S
        )

    def targets(self, now_s: float, most: int) -> list[Address]:
        """Returns to whom to send a report now.

        Args:
            now_s: The time.
            most: Known peers that are told at once; seeds and addresses only
                heard of come on top, once a second each.
        """
        addresses = [peer.report.address for peer in self._peers.values()]
        if len(addresses) > most:
            addresses = self._rng.sample(addresses, most)
        known = {peer.report.address for peer in self._peers.values()}
        for contact in (*self._seeds, *self._tried):
            last_s = self._tried.get(contact, float("-inf"))
            if contact not in known and now_s - last_s >= CONTACT_S:
                self._tried[contact] = now_s
                addresses.append(contact)
        return addresses

    def contacts(self) -> tuple[Address, ...]:
        """Returns some addresses to tell."""
        known = [peer.report.address for peer in self._peers.values()]
        return tuple(self._rng.sample(known, min(CONTACTS_TOLD, len(known))))

    def expire(self, now_s: float) -> list[str]:
        """Forgets silent peers and old addresses.

        Returns:
            The names of the peers that were forgotten.
        """
        gone = [
            host
            for host, peer in self._peers.items()
            if now_s - peer.heard_s > FORGET_S
        ]
        for host in gone:
            del self._peers[host]
        if len(self._tried) > _REMEMBERED_CONTACTS:
            self._tried.clear()
        return gone


def _is_older(report: HostReport, known: HostReport) -> bool:
    if report.incarnation != known.incarnation:
        return False
    return report.sequence <= known.sequence
