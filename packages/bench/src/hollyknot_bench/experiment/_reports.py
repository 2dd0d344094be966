"""What emulated hosts tell each other: real messages within the real budget.

Each host sends reports as the product does: of the sizes that they have on the
wire, as many as its bytes allow, to the peers that it would choose. So what a
host knows grows old with the number of hosts as it does in a fleet.
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
"""How old the sums of what peers told may be when they are used."""


@attrs.define
class Reporter:
    """One host's reports.

    Attributes:
        number: Of the host.
        host: Whose beliefs are told and fed.
        peers: What it has heard.
        rate: What it may send.
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
        )

    def spend(self, message: Message) -> None:
        """Notes what a message costs."""
        self.rate.spend_on_queries(len(encode_message(message)))

    def report(self, now_s: float) -> tuple[UseReport, list[Address]] | None:
        """Returns a report and to whom it goes; None if none may be sent."""
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
            host.demand.told(now_s),
            held=host.cached.told(now_s),
            is_whole=is_whole,
        )
        self._size = len(encode_report(report))
        max_targets = self.rate.affordable(self._size, now_s)
        targets = self.peers.targets(now_s, max_targets)
        self.rate.spend(self._size * len(targets))
        return report, targets

    def take(self, report: UseReport, now_s: float) -> None:
        """Takes a peer's report."""
        self.host.cached.take(report.held, now_s)
        self.peers.take_uses(report, now_s)

    def apply_fresh_reports(self, now_s: float) -> None:
        """Has the host's beliefs follow from what its peers have told."""
        if now_s - self._summed_s < MAX_SUMMARY_AGE_S:
            return
        self._summed_s = now_s
        self.peers.expire(now_s)
        fresh = self.peers.fresh(now_s)
        self.host.loads.replace_reports(fresh)
        self.host.demand.take(
            (d for r in fresh for d in r.demands),
            min(1.0, (len(fresh) + 1) / (self.peers.estimated_count + 1)),
        )


def make_reporters(hosts: list[Host], rng: random.Random) -> list[Reporter]:
    """Returns a teller for each host; all have met each other."""
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
            reporter.peers.take(first_report, 0.0)
    return reporters


def address_of(number: int) -> Address:
    """Returns where a host takes reports."""
    return Address("10.0.1.1", number + 1)


def number_of(address: Address) -> int:
    """Returns which host takes reports at an address."""
    return address.port - 1
