"""Which other hosts there are, learnt from what they tell.

A host starts with the addresses of a few seeds, some of which may be gone. It
tells them of itself; each report carries some addresses that its sender has
heard of, so that all hosts know each other after a few rounds. Nobody keeps a
list, and nobody has to agree: what a report says counts until it is old.
"""

import math
import random
from collections import Counter

import attrs

from hollyknot_coordination.forwarding._contacts import MANY_PEERS, Contacts
from hollyknot_coordination.forwarding._loads import merged_uses
from hollyknot_coordination.forwarding._peer_count import (
    ReportTimes,
    estimate_peers,
)
from hollyknot_coordination.forwarding._silence_detector import SilenceDetector
from hollyknot_coordination.forwarding._smoothing import smoothed
from hollyknot_coordination.forwarding._trackers import Tracker
from hollyknot_state import Address, HostReport, UseReport

FRESH_S = 1.0
"""Age from which a peer's load is no longer counted: its work has changed."""

FRESH_REPORTS = 3
"""The same where reports come seldom, in usual times between two of a peer:
the last one is lost now and then."""

MIN_PEER_TIMEOUT_S = 5.0
"""Silence after which a peer is taken to be gone, at the least."""

PEER_TIMEOUT_REPORTS = 8
"""The same, in usual times between two reports of a peer."""

MAX_PEER_TIMEOUT_S = 60.0
"""The longest such silence. In a large fleet a host hears only some of the
others in this time, and estimates from that how many there are."""

FULL_REPORT_INTERVAL_S = 4.0
"""Between two reports to one peer that also tell who the sender is, other
hosts' names and addresses, which seldom change."""

CONTACTS_PER_REPORT = 4
"""Addresses in one report: eight hosts know each other within a second."""


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
        self._rng = rng
        self._contacts = Contacts(own, seeds, rng)
        self._silence_detector = SilenceDetector(data_centre)
        self._peers: dict[str, Peer] = {}
        # Peers by the incarnation that their short reports name.
        self._hosts: dict[int, str] = {}
        self._hosts_cache: tuple[Tracker, ...] | None = ()
        # When each peer was last sent a report, and one that tells all.
        self._last_report_s: dict[Address, float] = {}
        self._last_full_report_s: dict[Address, float] = {}
        self._times = ReportTimes()
        # The usual time between two reports of one peer.
        self._interval_s = 0.0

    @property
    def interval_s(self) -> float:
        """The usual time between two reports of one peer; 0 for none."""
        return self._interval_s

    @property
    def hosts(self) -> tuple[Tracker, ...]:
        """The peers, as hosts that may track; the same until they change."""
        if self._hosts_cache is None:
            self._hosts_cache = tuple(
                Tracker(r.incarnation, r.address, r.data_centre)
                for r in (peer.report for peer in self._peers.values())
            )
        return self._hosts_cache

    @property
    def count(self) -> int:
        """Peers that have told of themselves lately."""
        return len(self._peers)

    @property
    def by_data_centre(self) -> tuple[int, ...]:
        """Hosts that are heard, by data centre; this one among them."""
        counts = Counter(p.report.data_centre for p in self._peers.values())
        counts[self._data_centre] += 1
        return tuple(counts.values())

    @property
    def estimated_count(self) -> int:
        """How many peers there are, also of those that were not heard."""
        return estimate_peers(len(self._peers), len(self._times))

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
            self._last_full_report_s.pop(report.address, None)
        if known is None:
            self._contacts.reset(report.address)
        self._note(report, now_s)
        for contact in report.contacts:
            self._contacts.add(contact)
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
            suspects=report.suspects,
        )
        if report.demands:
            told = attrs.evolve(told, demands=report.demands)
        if not report.is_whole:
            uses = merged_uses(known.report.uses, report.uses)
            told = attrs.evolve(told, uses=uses)
        self._note(told, now_s)

    def _note(self, report: HostReport, now_s: float) -> None:
        known = self._peers.get(report.host)
        if known is not None:
            passed_s = now_s - known.heard_s
            self._interval_s = smoothed(self._interval_s, passed_s)
            self._hosts.pop(known.report.incarnation, None)
        if known is None or known.report.incarnation != report.incarnation:
            self._hosts_cache = None
        self._hosts[report.incarnation] = report.host
        self._peers[report.host] = Peer(report, now_s)
        self._times.note(now_s)
        self._silence_detector.note(report.data_centre, now_s)

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

        Args:
            now_s: The time.
        """
        known = Counter(p.report.data_centre for p in self._peers.values())
        return self._silence_detector.silent(known, now_s)

    def targets(self, now_s: float, max_reports: int) -> list[Address]:
        """Returns to whom to send a report now.

        Args:
            now_s: The time.
            most: How many may be sent.
        """
        known = [peer.report.address for peer in self._peers.values()]
        tried = self._contacts.due(set(known), len(known), now_s, max_reports)
        told = self._choose(known, max_reports - len(tried))
        self._last_report_s.update(dict.fromkeys(told, now_s))
        return tried + told

    def _choose(self, known: list[Address], max_reports: int) -> list[Address]:
        """Returns which peers to tell, at most so many.

        Few are told in turn, so that each is told evenly. Of many some are
        chosen at random, which the estimate of their number relies on.
        """
        if len(known) > MANY_PEERS:
            return self._rng.sample(known, min(max_reports, len(known)))
        self._rng.shuffle(known)
        known.sort(key=lambda address: self._last_report_s.get(address, 0.0))
        return known[:max_reports]

    def needs_full_report(self, target: Address, now_s: float) -> bool:
        """Returns whether a report must tell a target all, and notes it."""
        last_s = self._last_full_report_s.get(target, -math.inf)
        if now_s - last_s < FULL_REPORT_INTERVAL_S:
            return False
        if target in self._last_report_s:
            self._last_full_report_s[target] = now_s
        return True

    def contacts(self) -> tuple[Address, ...]:
        """Returns some addresses to tell."""
        known = [peer.report.address for peer in self._peers.values()]
        return tuple(
            self._rng.sample(known, min(CONTACTS_PER_REPORT, len(known)))
        )

    def expire(self, now_s: float) -> list[str]:
        """Forgets silent peers and old addresses.

        Returns:
            The names of the peers that were forgotten.
        """
        wanted_s = max(
            MIN_PEER_TIMEOUT_S, PEER_TIMEOUT_REPORTS * self._interval_s
        )
        timeout_s = min(wanted_s, MAX_PEER_TIMEOUT_S)
        self._times.expire(now_s - timeout_s)
        gone = [
            host
            for host, peer in self._peers.items()
            if now_s - peer.heard_s > timeout_s
        ]
        for host in gone:
            self._hosts_cache = None
            report = self._peers.pop(host).report
            self._hosts.pop(report.incarnation, None)
            self._last_report_s.pop(report.address, None)
            self._last_full_report_s.pop(report.address, None)
            self._contacts.reset(report.address)
        return gone


def _is_older(report: HostReport, known: HostReport) -> bool:
    if report.incarnation != known.incarnation:
        return False
    return report.sequence <= known.sequence
