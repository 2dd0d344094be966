"""Tracks the other hosts by their gossip.

A host starts with the addresses of a few seeds, some of which may no longer
answer, and sends them reports. Each report carries some addresses of peers of
its sender, so that all hosts know each other after a few rounds. There is no
list of members to agree on: a report counts until it is too old.
"""

import math
import random
from collections import Counter

import attrs

from hollyknot_coordination.forwarding._smoothing import smoothed
from hollyknot_coordination.forwarding.peers._contacts import (
    MANY_PEERS,
    Contacts,
)
from hollyknot_coordination.forwarding.peers._peer_count import (
    ReportTimes,
    estimate_peers,
)
from hollyknot_coordination.forwarding.peers._silence_detector import (
    SilenceDetector,
)
from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_coordination.forwarding.placement._loads import merged_uses
from hollyknot_state import Address, HostReport, UseReport, short_name

FRESH_S = 1.0
"""Age in seconds from which a peer's load no longer counts, since its in-flight
requests have changed."""

FRESH_REPORTS = 3
"""The same age where reports are rare, in usual intervals between two reports
of a peer. One interval is not enough, since reports get lost."""

MIN_PEER_TIMEOUT_S = 5.0
"""Shortest silence, in seconds, after which a peer is forgotten."""

PEER_TIMEOUT_REPORTS = 8
"""Silence after which a peer is forgotten, in usual intervals between two
reports of a peer."""

MAX_PEER_TIMEOUT_S = 60.0
"""Longest silence, in seconds, after which a peer is forgotten. Where there are
many hosts, only some of the others report to a host within it, from which it
estimates how many there are."""

FULL_REPORT_INTERVAL_S = 4.0
"""Seconds between two full reports to one peer. Only these contain the sender's
name and address and the addresses of other hosts, which seldom change."""

INTRODUCED_S = 0.5
"""Seconds after a full report in which a host that reports for the first time
has got it: its own report is the answer."""

MAX_FULL_REPORTS = 1024
"""Times of full reports from which on old ones are forgotten."""

CONTACTS_PER_REPORT = 4
"""Addresses in one report. With four, eight hosts know each other within a
second."""


@attrs.frozen
class Peer:
    """A peer's newest report.

    Attributes:
        report: Last full report, updated by the use reports after it.
        heard_s: Time of the last report of either kind, in seconds.
    """

    report: HostReport
    heard_s: float


class Peers:
    """The peers whose reports one host gets, and the targets of its own."""

    def __init__(
        self,
        own: Address,
        data_centre: str,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        """Creates an instance without peers.

        Args:
            own: Address where this host receives reports; never contacted.
            data_centre: This host's data centre, which never counts as silent.
            seeds: Addresses to contact first.
            rng: Chooses the targets of reports and the addresses in them.
        """
        self._own = own
        self._data_centre = data_centre
        self._rng = rng
        self._contacts = Contacts(own, seeds, rng)
        self._silence_detector = SilenceDetector(data_centre)
        self._peers: dict[str, Peer] = {}
        # Names of peers by incarnation, which identifies them in use reports.
        self._hosts: dict[int, str] = {}
        self._data_centres: dict[Address, str] = {}
        self._hosts_cache: tuple[Tracker, ...] | None = ()
        # Times of the last report and of the last full one to each peer.
        self._last_report_s: dict[Address, float] = {}
        self._last_full_report_s: dict[Address, float] = {}
        # Processes that reported first and have got no full report since.
        self._strangers: dict[Address, None] = {}
        self._times = ReportTimes()
        self._interval_s = 0.0

    @property
    def interval_s(self) -> float:
        """Usual seconds between two reports of one peer; 0 if unknown."""
        return self._interval_s

    @property
    def hosts(self) -> tuple[Tracker, ...]:
        """The peers as possible load trackers; cached until they change."""
        if self._hosts_cache is None:
            self._hosts_cache = tuple(
                Tracker(r.incarnation, r.address, r.data_centre)
                for r in (peer.report for peer in self._peers.values())
            )
        return self._hosts_cache

    def relays(self, service: str) -> list[Tracker]:
        """Returns the peers that make tries for others at a service.

        Peers that reported to be cut off from the service are left out.
        """
        name = short_name(service)
        reports = [peer.report for peer in self._peers.values()]
        return [
            Tracker(r.incarnation, r.address, r.data_centre)
            for r in reports
            if r.takes_relays and name not in r.cut_off
        ]

    def host_of(self, incarnation: int, ip: str) -> str:
        """Returns the name of a peer, or an empty string if it is unknown.

        Args:
            incarnation: Incarnation that a sender claims to have.
            ip: Address that the sender has.
        """
        host = self._hosts.get(incarnation, "")
        known = self._peers.get(host)
        if known is None or known.report.address.ip != ip:
            return ""
        return host

    def has_ip(self, ip: str) -> bool:
        """Whether a peer has an IP address."""
        return any(
            peer.report.address.ip == ip for peer in self._peers.values()
        )

    def has_address(self, address: Address) -> bool:
        """Whether a peer receives reports at an address."""
        return address in self._data_centres

    @property
    def count(self) -> int:
        """Number of peers that sent reports recently."""
        return len(self._peers)

    @property
    def by_data_centre(self) -> tuple[int, ...]:
        """Number of reporting hosts in each data centre, including this one."""
        counts = Counter(p.report.data_centre for p in self._peers.values())
        counts[self._data_centre] += 1
        return tuple(counts.values())

    @property
    def estimated_count(self) -> int:
        """Estimated number of peers, including those that sent no report."""
        return estimate_peers(len(self._peers), len(self._times))

    def apply_report(self, report: HostReport, now_s: float) -> bool:
        """Processes a full report.

        Returns:
            Whether it is from a process that was not known.
        """
        if report.address == self._own:
            return False
        known = self._peers.get(report.host)
        if known is not None and _is_older(report, known.report):
            return False
        is_new = known is None or known.report.incarnation != report.incarnation
        if known is not None and is_new:
            # Full reports so far went to the process before.
            self._last_full_report_s.pop(report.address, None)
        if is_new and not self._was_introduced(report.address, now_s):
            self._strangers[report.address] = None
        if known is None:
            self._contacts.reset(report.address)
        self._note(report, now_s)
        for contact in report.contacts:
            self._contacts.add(contact)
        return is_new

    def apply_use_report(self, report: UseReport, now_s: float) -> None:
        """Processes a use report; one of an unknown peer is ignored."""
        host = self._hosts.get(report.incarnation, "")
        known = self._peers.get(host)
        if known is None or report.sequence <= known.report.sequence:
            return
        updated = attrs.evolve(
            known.report,
            sequence=report.sequence,
            uses=report.uses,
            suspects=report.suspects,
            cut_off=report.cut_off,
        )
        if report.demands:
            updated = attrs.evolve(updated, demands=report.demands)
        if not report.is_whole:
            uses = merged_uses(known.report.uses, report.uses)
            updated = attrs.evolve(updated, uses=uses)
        self._note(updated, now_s)

    def on_message(self, sender: Address, now_s: float) -> None:
        """Records that a message other than a report came from a peer.

        Its data centre is not silent, even if reports are late for want of
        bytes.
        """
        data_centre = self._data_centres.get(sender)
        if data_centre is not None:
            self._silence_detector.alive(data_centre, now_s)

    def _note(self, report: HostReport, now_s: float) -> None:
        known = self._peers.get(report.host)
        if known is not None:
            passed_s = now_s - known.heard_s
            self._interval_s = smoothed(self._interval_s, passed_s)
            self._hosts.pop(known.report.incarnation, None)
        if known is None or known.report.incarnation != report.incarnation:
            self._hosts_cache = None
        self._hosts[report.incarnation] = report.host
        self._data_centres[report.address] = report.data_centre
        self._peers[report.host] = Peer(report, now_s)
        self._times.note(now_s)
        self._silence_detector.note(report.data_centre, now_s)

    def fresh(self, now_s: float) -> list[HostReport]:
        """Returns the reports of peers whose loads still count."""
        fresh_s = max(FRESH_S, FRESH_REPORTS * self._interval_s)
        return [
            peer.report
            for peer in self._peers.values()
            if now_s - peer.heard_s <= fresh_s
        ]

    def silent_s(self, now_s: float) -> float:
        """Returns the seconds since a peer last reported; infinity if none."""
        heard_s = (peer.heard_s for peer in self._peers.values())
        return now_s - max(heard_s, default=-math.inf)

    def silent_data_centres(self, now_s: float) -> frozenset[str]:
        """Returns other data centres whose peers have all fallen silent.

        Args:
            now_s: Current time, in seconds.
        """
        known = Counter(p.report.data_centre for p in self._peers.values())
        return self._silence_detector.silent(known, now_s)

    def targets(self, now_s: float, max_reports: int) -> list[Address]:
        """Returns the addresses to send a report to now.

        Args:
            now_s: Current time, in seconds.
            max_reports: Number of reports that may be sent now.
        """
        known = [peer.report.address for peer in self._peers.values()]
        tried = self._contacts.due(set(known), len(known), now_s, max_reports)
        chosen = self._choose(known, max_reports - len(tried))
        self._last_report_s.update(dict.fromkeys(chosen, now_s))
        return tried + chosen

    def _choose(self, known: list[Address], max_reports: int) -> list[Address]:
        """Returns the peers to send a report to, up to a maximum.

        Few peers get reports in turn, at even intervals. Of many peers a
        random sample is chosen, on which the estimate of their number relies.
        """
        if len(known) > MANY_PEERS:
            return self._rng.sample(known, min(max_reports, len(known)))
        self._rng.shuffle(known)
        known.sort(key=lambda address: self._last_report_s.get(address, 0.0))
        return known[:max_reports]

    def needs_full_report(self, target: Address, now_s: float) -> bool:
        """Returns whether a full report to a target is due, and records it."""
        last_s = self._last_full_report_s.get(target, -math.inf)
        if self.has_address(target) and now_s - last_s < FULL_REPORT_INTERVAL_S:
            return False
        self._strangers.pop(target, None)
        self._last_full_report_s[target] = now_s
        return True

    def pop_strangers(self, count: int, now_s: float) -> list[Address]:
        """Returns hosts that don't know this one, and counts a full report.

        Args:
            count: Most hosts to return; the others are kept.
            now_s: Current time, in seconds.
        """
        chosen = list(self._strangers)[:count]
        for address in chosen:
            del self._strangers[address]
            self._last_full_report_s[address] = now_s
        return chosen

    def _was_introduced(self, address: Address, now_s: float) -> bool:
        """Whether the process at an address answers to a full report."""
        sent_s = self._last_full_report_s.get(address, -math.inf)
        return now_s - sent_s < INTRODUCED_S

    def contacts(self) -> tuple[Address, ...]:
        """Returns addresses of random peers, for a full report."""
        known = [peer.report.address for peer in self._peers.values()]
        return tuple(
            self._rng.sample(known, min(CONTACTS_PER_REPORT, len(known)))
        )

    def expire(self, now_s: float) -> list[str]:
        """Forgets peers that have been silent for too long.

        Returns:
            The names of the peers that were forgotten.
        """
        wanted_s = max(
            MIN_PEER_TIMEOUT_S, PEER_TIMEOUT_REPORTS * self._interval_s
        )
        timeout_s = min(wanted_s, MAX_PEER_TIMEOUT_S)
        self._times.expire(now_s - timeout_s)
        expired = [
            host
            for host, peer in self._peers.items()
            if now_s - peer.heard_s > timeout_s
        ]
        for host in expired:
            self._hosts_cache = None
            report = self._peers.pop(host).report
            self._hosts.pop(report.incarnation, None)
            self._data_centres.pop(report.address, None)
            self._last_report_s.pop(report.address, None)
            self._strangers.pop(report.address, None)
            self._contacts.reset(report.address)
        self._forget_full_reports(now_s)
        return expired

    def _forget_full_reports(self, now_s: float) -> None:
        """Forgets full reports to addresses that may have been replaced."""
        if len(self._last_full_report_s) > MAX_FULL_REPORTS:
            self._last_full_report_s = {
                address: at_s
                for address, at_s in self._last_full_report_s.items()
                if now_s - at_s < FULL_REPORT_INTERVAL_S
            }


def _is_older(report: HostReport, known: HostReport) -> bool:
    if report.incarnation != known.incarnation:
        return False
    return report.sequence <= known.sequence
