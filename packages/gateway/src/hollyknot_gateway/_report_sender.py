"""Sends a host's reports to its peers, within the byte budget."""

from collections.abc import Callable

from hollyknot_coordination.forwarding import (
    MIN_INTERVAL_TO_QUERY_S,
    Peers,
    ReportRate,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._report_contents import ReportContents
from hollyknot_gateway._reports import encode_report
from hollyknot_state import Address

COMPLETE_REPORT_EVERY = 6
"""One in this many use reports covers all upstreams with in-flight work. The
others are partial: they cover only upstreams where prompts wait for prefill,
whose load changes the fastest."""

HEARTBEAT_S = 0.25
"""Seconds without reports after which a host sends some without bytes for them;
a data centre may count as silent after 0.4 s."""

HEARTBEAT_BYTES = 375
"""Bytes that these reports may take together, half of the byte budget of that
time."""

MAX_HEARTBEAT_PEERS = 10
"""Most peers that a host sends reports without bytes for them."""

MAX_INTRODUCTIONS = 4
"""Most processes that a host introduces itself to in one round; the others
follow in the next rounds."""

LONG_REPORT_GAP_S = 0.4
"""Seconds without reports after which peers may take a data centre of few hosts
for silent."""


class ReportSender:
    """Decides when which peers get which report."""

    def __init__(
        self,
        contents: ReportContents,
        peers: Peers,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        now_s: float,
    ) -> None:
        """Builds a sender that has sent nothing.

        Args:
            contents: What reports say.
            peers: Chooses the peers.
            rate: Byte budget that all reports are charged to.
            send: Sends a datagram to the given hosts.
            log: Logs reports that are late for want of bytes.
            now_s: Current time, in seconds.
        """
        self._contents = contents
        self._peers = peers
        self._rate = rate
        self._send_datagram = send
        self._log = log
        self._reported_s = now_s
        self._report_bytes = 0
        self._full_report_bytes = 0
        self._news_bytes = 0

    def send(self, news_bytes: int, now_s: float) -> None:
        """Sends as many reports as the byte budget allows.

        Args:
            news_bytes: Bytes of news that were sent in the same round.
            now_s: Current time, in seconds.
        """
        self._news_bytes += news_bytes
        self._introduce(now_s)
        if not self._rate.affordable(self._report_bytes, now_s):
            self._send_heartbeat(now_s)
            return
        self._log_report_gap(now_s)
        sequence = self._contents.next_sequence()
        is_whole = sequence % COMPLETE_REPORT_EVERY == 0
        data = encode_report(
            self._contents.use_report(now_s, is_whole=is_whole)
        )
        self._report_bytes = len(data)
        max_targets = self._rate.affordable(self._report_bytes, now_s)
        self._send_reports(data, self._peers.targets(now_s, max_targets), now_s)

    def _introduce(self, now_s: float) -> None:
        """Answers processes that have just reported for the first time.

        They ignore use reports until they have a full one, so that it does not
        wait for bytes.
        """
        strangers = self._peers.pop_strangers(MAX_INTRODUCTIONS, now_s)
        if strangers:
            self._contents.next_sequence()
            self._send_full_report(strangers, now_s)

    def _send_heartbeat(self, now_s: float) -> None:
        """Sends a few partial reports beyond the byte budget, if few hosts do.

        Fewer reports follow until the bytes are made up for, but this data
        centre doesn't seem to be silent. Where hosts are many, longer silences
        are usual. Their number decides, not the time between reports: reports
        that become rare for want of bytes would stop altogether.
        """
        is_due = now_s - self._reported_s >= HEARTBEAT_S
        if not is_due or self._peers.count > MAX_HEARTBEAT_PEERS:
            return
        self._log_report_gap(now_s)
        self._contents.next_sequence()
        report = self._contents.use_report(now_s, is_whole=False)
        data = encode_report(report)
        max_targets = max(1, HEARTBEAT_BYTES // len(data))
        self._send_reports(data, self._peers.targets(now_s, max_targets), now_s)

    def _send_reports(
        self, data: bytes, targets: list[Address], now_s: float
    ) -> None:
        """Sends a use report, or a full report to those that need one."""
        full = self._full_report_targets(targets, now_s)
        self._send(data, [target for target in targets if target not in full])
        if full:
            self._send_full_report(full, now_s)

    def _send_full_report(self, targets: list[Address], now_s: float) -> None:
        data = encode_report(self._contents.full_report(now_s))
        self._full_report_bytes = len(data)
        self._send(data, targets)

    def _full_report_targets(
        self, targets: list[Address], now_s: float
    ) -> list[Address]:
        """Returns which targets get a full report.

        These are all that are not known, as they would ignore another one, and
        as many others as is affordable.
        """
        affordable = self._rate.affordable(self._full_report_bytes, now_s)
        full: list[Address] = []
        for target in targets:
            is_allowed = len(full) < max(1, affordable)
            if not is_allowed and self._peers.has_address(target):
                continue
            if self._peers.needs_full_report(target, now_s):
                full.append(target)
        return full

    def _log_report_gap(self, now_s: float) -> None:
        """Logs that no report was sent for long, and what used up the bytes.

        Where hosts are many and reports rare, long gaps are usual.
        """
        gap_s = now_s - self._reported_s
        is_frequent = self._peers.interval_s < MIN_INTERVAL_TO_QUERY_S
        if gap_s > LONG_REPORT_GAP_S and is_frequent:
            self._log.line(
                "reports_delayed",
                gap_ms=round(gap_s * 1000),
                news_bytes=self._news_bytes,
            )
        self._reported_s = now_s
        self._news_bytes = 0

    def _send(self, data: bytes, targets: list[Address]) -> None:
        self._send_datagram(data, targets)
        self._rate.spend(len(data) * len(targets))
