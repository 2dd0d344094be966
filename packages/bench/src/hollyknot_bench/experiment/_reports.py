"""Sends the reports of emulated hosts, with real messages and byte budgets.

Each host sends reports as a real host does: with their encoded sizes, as many
as its byte budget allows, and to the peers that the same code selects. So the
age of what a host knows grows with the number of hosts as it does in a fleet.
"""

import random

import attrs

from hollyknot_bench.experiment._host import Host
from hollyknot_coordination.forwarding import (
    Inquiries,
    Peers,
    ReportRate,
    Tracker,
    Trackers,
)
from hollyknot_gateway import (
    COMPLETE_REPORT_EVERY,
    encode_message,
    encode_report,
)
from hollyknot_state import (
    Address,
    HostReport,
    LoadAnswer,
    LoadNote,
    LoadQuery,
    UseReport,
)

Message = LoadAnswer | LoadNote | LoadQuery

_DATA_CENTRE = "one"

MAX_SUMMARY_AGE_S = 0.1
"""Longest time for which the summed-up reports of peers are reused."""


@attrs.define
class Reporter:
    """Sends and receives the reports of one host.

    Attributes:
        number: Number of the host.
        host: Host whose state is reported and updated.
        peers: Peers that it knows, with their latest reports.
        rate: Byte budget for what it sends.
        inquiries: Queries to trackers, and the answers to those of peers.
    """

    number: int
    host: Host
    peers: Peers
    rate: ReportRate = attrs.Factory(ReportRate)
    inquiries: Inquiries = attrs.field(init=False)
    _sequence: int = 1
    _size: int = 0
    _summed_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        own = Tracker(self.number, address_of(self.number), _DATA_CENTRE)
        trackers = Trackers(own, lambda: self.peers.hosts)
        self.inquiries = Inquiries(
            self.number,
            trackers,
            self.host.loads,
            self.host.cached,
            self.host.forecasts,
            self.host.demand,
            self.host.speeds,
            self.host.lane_shares,
        )

    def spend(self, message: Message) -> None:
        """Charges the size of a message to the byte budget."""
        self.rate.spend_on_queries(len(encode_message(message)))

    def report(self, now_s: float) -> tuple[UseReport, list[Address]] | None:
        """Returns a report and its targets; None if the budget allows none."""
        if not self.rate.affordable(self._size, now_s):
            return None
        self._sequence += 1
        is_whole = self._sequence % COMPLETE_REPORT_EVERY == 0
        host = self.host
        uses = host.loads.uses()
        report = UseReport(
            self.number,
            self._sequence,
            uses if is_whole else tuple(use for use in uses if use.waiting),
            host.demand.to_report(now_s),
            held=host.cached.to_report(now_s),
            is_whole=is_whole,
            lane_shares=host.lane_shares.to_tell(now_s, only_news=not is_whole),
        )
        self._size = len(encode_report(report))
        max_targets = self.rate.affordable(self._size, now_s)
        targets = self.peers.targets(now_s, max_targets)
        self.rate.spend(self._size * len(targets))
        return report, targets

    def take(self, report: UseReport, now_s: float) -> None:
        """Applies a report of a peer."""
        self.host.cached.apply_reported(report.held, now_s)
        self.host.lane_shares.apply_told(report.lane_shares, now_s)
        self.peers.apply_use_report(report, now_s)

    def apply_fresh_reports(self, now_s: float) -> None:
        """Updates the host's loads and demand from fresh reports of peers."""
        if now_s - self._summed_s < MAX_SUMMARY_AGE_S:
            return
        self._summed_s = now_s
        self.peers.expire(now_s)
        fresh = self.peers.fresh(now_s)
        self.host.loads.replace_reports(fresh)
        self.host.demand.apply_reported(
            (d for r in fresh for d in r.demands),
            min(1.0, (len(fresh) + 1) / (self.peers.estimated_count + 1)),
            self.peers.estimated_count + 1,
        )


def make_reporters(hosts: list[Host], rng: random.Random) -> list[Reporter]:
    """Returns a reporter for each host; all hosts know each other."""
    addresses = [address_of(number) for number in range(len(hosts))]
    reporters = [
        Reporter(number, host, Peers(addresses[number], _DATA_CENTRE, (), rng))
        for number, host in enumerate(hosts)
    ]
    for number, address in enumerate(addresses):
        first_report = HostReport(
            str(number), number, 1, address, _DATA_CENTRE, 1
        )
        for reporter in reporters:
            reporter.peers.apply_report(first_report, 0.0)
    return reporters


def address_of(number: int) -> Address:
    """Returns the address at which a host receives reports."""
    return Address("10.0.1.1", number + 1)


def number_of(address: Address) -> int:
    """Returns the number of the host that receives reports at an address."""
    return address.port - 1
