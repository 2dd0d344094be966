"""Which other hosts there are, learnt from what they tell.

A host starts with the addresses of a few seeds, some of which may be gone. It
tells them of itself; each report carries some addresses that its sender has
heard of, so that all hosts know each other after a few rounds. Nobody keeps a
list, and nobody has to agree: what a report says counts until it is old.
"""

import math
import random
from collections import deque

import attrs

from hollyknot_state import Address, HostReport, UseReport

FRESH_S = 1.0
"""Age from which a peer's load is no longer counted: its work has changed."""

FRESH_REPORTS = 3
"""The same where reports come seldom, in usual times between two of a peer:
the last one is lost now and then."""

SILENT_S = 0.4
"""Silence of a data centre after which it is looked at, at the least."""

SILENT_REPORTS = 4
"""The same, in usual times between two reports of it: reports come unevenly,
and some in a hundred datagrams are lost."""

FORGET_S = 5.0
"""Silence after which a peer is taken to be gone, at the least."""

FORGET_REPORTS = 8
"""The same, in usual times between two reports of a peer."""

LONGEST_FORGET_S = 60.0
"""The longest such silence. In a large fleet a host hears only some of the
others in this time, and estimates from that how many there are."""

DETAILS_S = 4.0
"""Between two reports to one peer that also tell who the sender is, other
hosts' addresses and paces: two thirds of a report, which seldom change."""

ROTATED_PEERS = 32
"""Up to so many peers are told in turn, so that each is told evenly. Of more,
some are chosen at random, which the estimate of their number relies on."""

_SMOOTHING = 0.1
"""Weight of the newest time between two reports."""

_HALF_A_PEER = 0.5
"""Where the estimate of their number ends; it is rounded."""

_LEARNT_S = 1.0
"""The most that one silence counts for in the usual time between two reports
of a data centre: a cut that lasted seconds was not usual."""

_FULL_ROUNDS = 3
"""Reports a peer in the time counted from which all peers are taken to have
been heard."""

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


@attrs.define
class _LastHeard:
    """When a data centre was heard last, and how often it usually is."""

    heard_s: float
    interval_s: float = 0.0

    def note(self, now_s: float) -> None:
        """Notes a report."""
        passed_s = min(now_s - self.heard_s, _LEARNT_S)
        self.interval_s = _smoothed(self.interval_s, passed_s)
        self.heard_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Whether it has been silent for unusually long."""
        bound_s = max(SILENT_S, SILENT_REPORTS * self.interval_s)
        return now_s - self.heard_s > bound_s


def estimate_peers(distinct: int, reports: int) -> int:
    """Returns how many peers there are, if each report is from any of them.

    The expected number of distinct senders of m reports out of n peers is
    n * (1 - exp(-m / n)); n is found by bisection.

    Args:
        distinct: How many peers were heard in a time.
        reports: How many reports they sent in it.
    """
    if reports >= distinct * _FULL_ROUNDS:
        return distinct
    low, high = float(distinct), float(max(distinct, reports) ** 2 + 1)
    while high - low > _HALF_A_PEER:
        middle = (low + high) / 2
        if middle * -math.expm1(-reports / middle) < distinct:
            low = middle
        else:
            high = middle
    return round(high)


def _smoothed(before: float, new: float) -> float:
    return new if not before else before + _SMOOTHING * (new - before)


class Peers:
    """The peers of one host."""

    def __init__(
        self,
        own: Address,
        data_centre: str,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        """Knows the seeds only.

        Args:
            own: Where this host takes reports; never contacted.
            data_centre: Where it is; it can't be cut off from there.
            seeds: Where to begin.
            rng: Chooses which addresses to tell and to try.
        """
        self._own = own
        self._data_centre = data_centre
        self._seeds = tuple(seed for seed in seeds if seed != own)
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        # Addresses that were only heard of, and when they were last tried.
        self._tried: dict[Address, float] = {}
        # Peers by the incarnation that their short reports name.
        self._hosts: dict[int, str] = {}
        # When each peer was last sent a report, and one that tells all.
        self._told: dict[Address, float] = {}
        self._detailed: dict[Address, float] = {}
        # When reports came in, of any peer, and the usual time between two of
        # one peer.
        self._heard: deque[float] = deque()
        self._interval_s = 0.0
        self._last_heard: dict[str, _LastHeard] = {}

    @property
    def count(self) -> int:
        """Peers that have told of themselves lately."""
        return len(self._peers)

    @property
    def estimated(self) -> int:
        """How many peers there are, also of those that were not heard."""
        return estimate_peers(len(self._peers), len(self._heard))

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
        if known is None or known.report.incarnation != report.incarnation:
            # It knows nobody yet.
            self._detailed.pop(report.address, None)
        self._note(report, now_s)
        for contact in report.contacts:
            if contact != self._own:
                self._tried.setdefault(contact, float("-inf"))
        return known is None

    def take_uses(self, report: UseReport, now_s: float) -> None:
        """Takes in what has changed; that of a stranger tells nothing."""
        host = self._hosts.get(report.incarnation, "")
        known = self._peers.get(host)
        if known is None or report.sequence <= known.report.sequence:
            return
        told = attrs.evolve(
            known.report,
            sequence=report.sequence,
            uses=report.uses,
            demands=report.demands,
            suspects=report.suspects,
        )
        self._note(told, now_s)

    def _note(self, report: HostReport, now_s: float) -> None:
        known = self._peers.get(report.host)
        if known is not None:
            passed_s = now_s - known.heard_s
            self._interval_s = _smoothed(self._interval_s, passed_s)
            self._hosts.pop(known.report.incarnation, None)
        self._hosts[report.incarnation] = report.host
        self._peers[report.host] = Peer(report, now_s)
        self._heard.append(now_s)
        centre = self._last_heard.setdefault(
            report.data_centre, _LastHeard(now_s)
        )
        centre.note(now_s)

    def fresh(self, now_s: float) -> list[HostReport]:
        """Returns reports whose loads still count."""
        fresh_s = max(FRESH_S, FRESH_REPORTS * self._interval_s)
        return [
            peer.report
            for peer in self._peers.values()
            if now_s - peer.heard_s <= fresh_s
        ]

    def silent_data_centres(self, now_s: float) -> frozenset[str]:
        """Returns other data centres whose peers have all just fallen silent.

        Such a data centre may have been cut off, which its upstreams' open
        connections would tell seconds later.
        """
        known = {peer.report.data_centre for peer in self._peers.values()}
        return frozenset(
            name
            for name, centre in self._last_heard.items()
            if name in known
            and name != self._data_centre
            and centre.is_silent(now_s)
        )

    def targets(self, now_s: float, most: int) -> list[Address]:
        """Returns to whom to send a report now.

        Args:
            now_s: The time.
            most: How many may be sent.
        """
        known = [peer.report.address for peer in self._peers.values()]
        found = self._unheard(set(known), now_s, max(1, most // 2))[:most]
        left = most - len(found)
        if len(known) > ROTATED_PEERS:
            chosen = self._rng.sample(known, min(left, len(known)))
        else:
            self._rng.shuffle(known)
            known.sort(key=lambda address: self._told.get(address, 0.0))
            chosen = known[:left]
        self._told.update(dict.fromkeys(chosen, now_s))
        return found + chosen

    def wants_details(self, target: Address, now_s: float) -> bool:
        """Returns whether a report must tell a target all, and notes it."""
        last_s = self._detailed.get(target, -math.inf)
        if now_s - last_s < DETAILS_S:
            return False
        if target in self._told:
            self._detailed[target] = now_s
        return True

    def _unheard(
        self, known: set[Address], now_s: float, most: int
    ) -> list[Address]:
        """Returns addresses that have not answered and are due to be tried."""
        if len(known) > ROTATED_PEERS:
            # Enough are known for the others to hear of this host.
            return []
        due = [
            contact
            for contact in dict.fromkeys((*self._seeds, *self._tried))
            if contact not in known
            and now_s - self._tried.get(contact, -math.inf) >= CONTACT_S
        ][:most]
        self._tried.update(dict.fromkeys(due, now_s))
        return due

    def contacts(self) -> tuple[Address, ...]:
        """Returns some addresses to tell."""
        known = [peer.report.address for peer in self._peers.values()]
        return tuple(self._rng.sample(known, min(CONTACTS_TOLD, len(known))))

    def expire(self, now_s: float) -> list[str]:
        """Forgets silent peers and old addresses.

        Returns:
            The names of the peers that were forgotten.
        """
        wanted_s = max(FORGET_S, FORGET_REPORTS * self._interval_s)
        forget_s = min(wanted_s, LONGEST_FORGET_S)
        while self._heard and now_s - self._heard[0] > forget_s:
            self._heard.popleft()
        gone = [
            host
            for host, peer in self._peers.items()
            if now_s - peer.heard_s > forget_s
        ]
        for host in gone:
            report = self._peers.pop(host).report
            self._hosts.pop(report.incarnation, None)
            self._told.pop(report.address, None)
            self._detailed.pop(report.address, None)
        if len(self._tried) > _REMEMBERED_CONTACTS:
            self._tried.clear()
        return gone


def _is_older(report: HostReport, known: HostReport) -> bool:
    if report.incarnation != known.incarnation:
        return False
    return report.sequence <= known.sequence
