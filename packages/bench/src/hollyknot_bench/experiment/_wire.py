"""Carries what emulated hosts tell and ask each other."""

import random
from collections.abc import Callable

from hollyknot_bench.experiment._clock import Clock
from hollyknot_bench.experiment._host import Host
from hollyknot_bench.experiment._reports import (
    Teller,
    make_tellers,
    number_of,
)
from hollyknot_coordination.forwarding import (
    ANSWER_TIMEOUT_S,
    MIN_INTERVAL_TO_QUERY_S,
    RENEW_S,
    Inquiries,
    Inquiry,
)
from hollyknot_gateway import REPORT_INTERVAL_S
from hollyknot_state import LoadAnswer, LoadNote, LoadQuery, UseReport
from hollyknot_state.routes import UpstreamEntry

HOSTS_S = 0.0014
"""One way between hosts, in different data centres of a region."""

EntryOf = Callable[[str], UpstreamEntry | None]
"""Returns an upstream that is known, by its incarnation."""


class Wire:
    """The datagrams between all hosts of a day."""

    def __init__(
        self,
        clock: Clock,
        hosts: list[Host],
        rng: random.Random,
        entry_of: EntryOf,
    ) -> None:
        """Has all hosts meet each other; nothing is sent yet."""
        self._clock = clock
        self._rng = rng
        self._entry_of = entry_of
        self.tellers = make_tellers(hosts, rng)

    def begin_reports(self) -> None:
        """Has each host send as many reports as its bytes allow."""
        for number in range(len(self.tellers)):
            self._later(
                self._rng.random() * REPORT_INTERVAL_S, self._report, number
            )

    def begin_notes(self) -> None:
        """Has trackers told of each change, and now and then of all work."""
        for teller in self.tellers:
            self._begin_notes(teller)

    def may_ask(self, number: int) -> bool:
        """Whether a host asks trackers now."""
        teller = self.tellers[number]
        is_old = teller.peers.interval_s >= MIN_INTERVAL_TO_QUERY_S
        return is_old and teller.rate.may_query(self._clock.now_s)

    def ask(
        self,
        number: int,
        entries: list[UpstreamEntry],
        runs: tuple[int, ...],
        on_known: Callable[[], None],
    ) -> None:
        """Asks for loads.

        Args:
            number: Of the host that asks.
            entries: The upstreams.
            runs: The shared parts of the request's prompt.
            on_known: Called once, after all answers or the longest wait.
        """
        now_s = self._clock.now_s
        teller = self.tellers[number]
        inquiry = teller.inquiries.ask(entries, runs, now_s)
        inquiry.on_done = _once(on_known)
        for tracker, query in inquiry.sent:
            teller.spend(query)
            other = self.tellers[number_of(tracker.address)]
            self._send(self._answer, other, teller, query)
        wait_s = ANSWER_TIMEOUT_S if inquiry.sent else 0.0
        self._later(now_s + wait_s, self._give_up, teller, inquiry)

    def _begin_notes(self, teller: Teller) -> None:
        is_due = [False]

        def tell() -> None:
            is_due[0] = False
            self._note(teller)

        def changed() -> None:
            if not is_due[0]:
                is_due[0] = True
                self._later(self._clock.now_s, tell)

        def renew() -> None:
            changed()
            self._later(self._clock.now_s + RENEW_S, renew)

        teller.host.loads.on_change = changed
        self._later(self._rng.random() * RENEW_S, renew)

    def _report(self, number: int) -> None:
        now_s = self._clock.now_s
        found = self.tellers[number].report(now_s)
        if found is not None:
            report, targets = found
            for target in targets:
                other = self.tellers[number_of(target)]
                self._send(self._take_report, other, report)
        self._later(now_s + REPORT_INTERVAL_S, self._report, number)

    def _take_report(self, teller: Teller, report: UseReport) -> None:
        teller.take(report, self._clock.now_s)

    def _answer(self, tracker: Teller, asker: Teller, query: LoadQuery) -> None:
        answer = tracker.inquiries.answer(query, self._clock.now_s)
        tracker.spend(answer)
        self._send(self._take_answer, asker, answer)

    def _take_answer(self, asker: Teller, answer: LoadAnswer) -> None:
        asker.inquiries.handle_answer(answer, self._clock.now_s)

    def _give_up(self, asker: Teller, inquiry: Inquiry) -> None:
        asker.inquiries.give_up(inquiry, self._clock.now_s)
        inquiry.on_done()

    def _note(self, teller: Teller) -> None:
        notes = teller.inquiries.notes(self._entry_of, self._clock.now_s)
        for tracker, note in notes:
            teller.spend(note)
            other = self.tellers[number_of(tracker.address)]
            self._send(self._take_note, other.inquiries, note)

    def _take_note(self, inquiries: Inquiries, note: LoadNote) -> None:
        inquiries.handle_note(note, self._clock.now_s)

    def _send(self, take: Callable[..., None], *args: object) -> None:
        self._later(self._clock.now_s + HOSTS_S, take, *args)

    def _later(
        self, when_s: float, call: Callable[..., None], *args: object
    ) -> None:
        self._clock.at(when_s, lambda: call(*args))


def _once(call: Callable[[], None]) -> Callable[[], None]:
    """Returns a function that makes a call the first time only."""
    is_made = [False]

    def made() -> None:
        if not is_made[0]:
            is_made[0] = True
            call()

    return made
