"""Carries reports, notes and queries between emulated hosts."""

import random
from collections.abc import Callable

from hollyknot_bench.experiment._clock import Clock
from hollyknot_bench.experiment._host import Host
from hollyknot_bench.experiment._reports import (
    Reporter,
    make_reporters,
    number_of,
)
from hollyknot_coordination.forwarding import (
    ANSWER_TIMEOUT_S,
    MIN_INTERVAL_TO_QUERY_S,
    RENEW_S,
    SIZER_RESERVE,
    Inquiries,
    Inquiry,
)
from hollyknot_gateway import REPORT_INTERVAL_S
from hollyknot_state import LoadAnswer, LoadNote, LoadQuery, UseReport
from hollyknot_state.routes import UpstreamEntry

HOST_LATENCY_S = 0.0014
"""One-way latency between hosts in different data centres of a region."""

EntryOf = Callable[[str], UpstreamEntry | None]
"""Looks up a known upstream by its incarnation."""


class HostNetwork:
    """Emulated network that delivers datagrams between all hosts of a run."""

    def __init__(
        self,
        clock: Clock,
        hosts: list[Host],
        rng: random.Random,
        entry_of: EntryOf,
    ) -> None:
        """Creates a reporter for each host; nothing is sent yet."""
        self._clock = clock
        self._rng = rng
        self._entry_of = entry_of
        self.reporters = make_reporters(hosts, rng)

    def begin_reports(self) -> None:
        """Starts each host's reports, as many as its byte budget allows."""
        for number in range(len(self.reporters)):
            self._call_at(
                self._rng.random() * REPORT_INTERVAL_S, self._report, number
            )

    def begin_notes(self) -> None:
        """Starts the notes to trackers.

        Hosts send a note after each change of their loads, and renew their
        notes at a fixed interval.
        """
        for reporter in self.reporters:
            self._begin_notes(reporter)

    def may_ask(self, number: int, reserve: float = 0.0) -> bool:
        """Whether a host queries trackers now.

        It does if reports come so rarely that they are old, and if its byte
        budget allows a query beyond what is left to others.
        """
        reporter = self.reporters[number]
        now_s = self._clock.now_s
        is_old = reporter.peers.interval_s >= MIN_INTERVAL_TO_QUERY_S
        if reporter.host.lane_shares.is_publishing(now_s):
            reserve = SIZER_RESERVE
        return is_old and reporter.rate.may_query(now_s, reserve)

    def ask(
        self,
        number: int,
        entries: list[UpstreamEntry],
        runs: tuple[int, ...],
        on_known: Callable[[], None],
    ) -> None:
        """Queries trackers for the loads of upstreams.

        Args:
            number: Number of the host that queries.
            entries: Upstreams whose loads are queried.
            runs: Prefixes of the request's prompt that consist of shared parts.
            on_known: Called once, after all answers or the timeout.
        """
        now_s = self._clock.now_s
        reporter = self.reporters[number]
        inquiry = reporter.inquiries.ask(entries, runs, now_s)
        inquiry.on_done = _call_once(on_known)
        for tracker, query in inquiry.sent:
            reporter.spend(query)
            other = self.reporters[number_of(tracker.address)]
            self._send(self._answer, other, reporter, query)
        wait_s = ANSWER_TIMEOUT_S if inquiry.sent else 0.0
        self._call_at(now_s + wait_s, self._handle_timeout, reporter, inquiry)

    def _begin_notes(self, reporter: Reporter) -> None:
        is_due = [False]

        def send_notes() -> None:
            is_due[0] = False
            self._note(reporter)

        def changed() -> None:
            if not is_due[0]:
                is_due[0] = True
                self._call_at(self._clock.now_s, send_notes)

        def renew() -> None:
            changed()
            self._call_at(self._clock.now_s + RENEW_S, renew)

        reporter.host.loads.on_change = changed
        self._call_at(self._rng.random() * RENEW_S, renew)

    def _report(self, number: int) -> None:
        now_s = self._clock.now_s
        found = self.reporters[number].report(now_s)
        if found is not None:
            report, targets = found
            for target in targets:
                other = self.reporters[number_of(target)]
                self._send(self._handle_report, other, report)
        self._call_at(now_s + REPORT_INTERVAL_S, self._report, number)

    def _handle_report(self, reporter: Reporter, report: UseReport) -> None:
        reporter.take(report, self._clock.now_s)

    def _answer(
        self, tracker: Reporter, asker: Reporter, query: LoadQuery
    ) -> None:
        answer = tracker.inquiries.answer(query, self._clock.now_s)
        tracker.spend(answer)
        self._send(self._handle_answer, asker, answer)

    def _handle_answer(self, asker: Reporter, answer: LoadAnswer) -> None:
        asker.inquiries.handle_answer(answer, self._clock.now_s)

    def _handle_timeout(self, asker: Reporter, inquiry: Inquiry) -> None:
        asker.inquiries.give_up(inquiry, self._clock.now_s)
        inquiry.on_done()

    def _note(self, reporter: Reporter) -> None:
        notes = reporter.inquiries.notes(self._entry_of, self._clock.now_s)
        for tracker, note in notes:
            reporter.spend(note)
            other = self.reporters[number_of(tracker.address)]
            self._send(self._handle_note, other.inquiries, note)

    def _handle_note(self, inquiries: Inquiries, note: LoadNote) -> None:
        inquiries.handle_note(note, self._clock.now_s)

    def _send(self, take: Callable[..., None], *args: object) -> None:
        self._call_at(self._clock.now_s + HOST_LATENCY_S, take, *args)

    def _call_at(
        self, when_s: float, call: Callable[..., None], *args: object
    ) -> None:
        self._clock.at(when_s, lambda: call(*args))


def _call_once(call: Callable[[], None]) -> Callable[[], None]:
    """Wraps a function so that only the first call reaches it."""
    is_made = [False]

    def made() -> None:
        if not is_made[0]:
            is_made[0] = True
            call()

    return made
