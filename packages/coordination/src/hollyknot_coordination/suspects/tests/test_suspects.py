"""Tests of the register of suspects."""

import random
from collections import Counter
from collections.abc import Callable

import pytest

from hollyknot_coordination.suspects import (
    Clear,
    Isolate,
    Refuse,
    SuspectOptions,
    SuspectRegister,
    Trial,
)
from hollyknot_coordination.suspects._unsent_news import Dropped
from hollyknot_state import Outcome, Reason, SuspectNews, Verdict

COMPLETE = Verdict(Outcome.COMPLETE)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
SILENT = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
ERROR = Verdict(Outcome.FAILED, Reason.UPSTREAM_ERROR, upstream_status=500)
CULPRIT = 99


def register() -> SuspectRegister:
    """Returns a register without evidence."""
    return SuspectRegister(SuspectOptions())


def crash(
    local: SuspectRegister, upstream: str, batch: list[int], now_s: float
) -> None:
    """Simulates the loss of a batch of requests at one upstream."""
    for fingerprint in batch:
        local.on_dispatch(fingerprint, upstream)
    for fingerprint in batch:
        local.on_end(fingerprint, upstream, LOST, now_s)


def _lose(
    local: SuspectRegister, upstream: str, batch: list[int], now_s: float
) -> None:
    """Simulates a loss whose verdict is pending; nothing stays in flight."""
    for fingerprint in batch:
        local.on_dispatch(fingerprint, upstream)
    local.on_pending_loss(upstream, now_s)
    for fingerprint in batch:
        local.on_end(fingerprint, upstream, SILENT, now_s)


def complete(local: SuspectRegister, fingerprint: int, now_s: float) -> None:
    """Simulates a request that completes at another upstream."""
    local.on_dispatch(fingerprint, "spare")
    local.on_end(fingerprint, "spare", COMPLETE, now_s)


def _told(news: SuspectNews) -> list[tuple[str, list[int]]]:
    """Returns the losses in news, as upstreams with fingerprints."""
    return [(loss.upstream, list(loss.fingerprints)) for loss in news.losses]


def _has_at_most(most: int) -> Callable[[SuspectNews], bool]:
    """Returns whether news are about few enough requests."""

    def fits(news: SuspectNews) -> bool:
        lost = sum(len(loss.fingerprints) for loss in news.losses)
        return lost + len(news.cleared) <= most

    return fits


class TestSuspectRegister:
    """Tests from the first crash to the refusal of its culprit."""

    def test_culprit_of_a_batch_is_refused_after_two_more_crashes(self) -> None:
        """One request must not crash upstream after upstream.

        If the host doesn't record which requests were in flight at each crash,
        a caller that retries the culprit crashes a further upstream each time.
        """
        local = register()
        crash(local, "u0", [*range(1, 64), CULPRIT], 0.0)
        assert isinstance(local.gate(CULPRIT, 1.0), Isolate)
        crash(local, "u1", [CULPRIT], 10.0)
        assert isinstance(local.gate(CULPRIT, 11.5), Trial)
        crash(local, "u2", [CULPRIT], 20.0)
        gate = local.gate(CULPRIT, 21.5)
        assert isinstance(gate, Refuse)
        assert gate.verdict.outcome is Outcome.NOT_RUN
        assert gate.verdict.reason is Reason.QUARANTINED
        assert gate.verdict.retry_after_s > 3000
        assert isinstance(local.gate(1, 21.5), Isolate)

    def test_completed_innocents_leave_the_blame_to_the_rest(self) -> None:
        local = register()
        batch = [*range(1, 64), CULPRIT]
        crash(local, "u0", batch, 0.0)
        for fingerprint in range(1, 64):
            complete(local, fingerprint, 5.0)
            assert local.gate(fingerprint, 5.0) == Clear()
        assert local.score(CULPRIT) == 1.0
        crash(local, "u1", [CULPRIT], 10.0)
        assert isinstance(local.gate(CULPRIT, 11.5), Refuse)

    def test_known_suspect_bears_the_blame_of_a_mixed_crash(self) -> None:
        local = register()
        crash(local, "u0", [1, 2, 3, CULPRIT], 0.0)
        crash(local, "u1", [11, 12, 13, CULPRIT], 10.0)
        assert local.score(CULPRIT) > 1.1
        assert local.score(11) < 0.04
        crash(local, "u2", [21, 22, 23, CULPRIT], 20.0)
        assert local.score(CULPRIT) >= 1.9
        assert isinstance(local.gate(CULPRIT, 21.5), Refuse)

    def test_a_large_batch_does_not_hide_a_suspect_in_two_mixed_crashes(
        self,
    ) -> None:
        local = register()
        crash(local, "u0", [*range(1, 64), CULPRIT], 0.0)
        crash(local, "u1", [71, 72, CULPRIT], 10.0)
        crash(local, "u2", [81, 82, CULPRIT], 20.0)
        assert local.score(CULPRIT) < 1.9
        assert isinstance(local.gate(CULPRIT, 21.5), Refuse)

    def test_error_of_an_upstream_does_not_clear_a_request(self) -> None:
        """Upstreams that fail some requests must not clear a culprit.

        Such an upstream answers with an error before the part of the request
        that crashes others has run.
        """
        local = register()
        for number in range(3):
            crash(local, f"u{number}", [CULPRIT], number * 10.0)
            local.on_dispatch(CULPRIT, "failing")
            local.on_end(CULPRIT, "failing", ERROR, number * 10.0 + 1)
        assert isinstance(local.gate(CULPRIT, 25.0), Refuse)

    def test_suspects_are_kept_apart(self) -> None:
        local = register()
        crash(local, "u0", [1, 2, 3], 0.0)
        local.on_dispatch(1, "u1")
        assert local.gate(2, 1.0) == Isolate(frozenset())
        crash(local, "u2", [2], 10.0)
        assert local.gate(2, 11.0) == Trial(2, 2, True, frozenset({"u1"}))
        local.on_dispatch(2, "u3")
        assert local.gate(3, 11.0) == Isolate(frozenset({"u3"}))
        same = local.gate(1, 1.0)
        assert isinstance(same, Refuse)
        assert same.verdict.retry_after_s == 1.0

    def test_requests_in_flight_at_a_loss_are_suspects_until_they_end(
        self,
    ) -> None:
        local = register()
        for fingerprint in (1, 2):
            local.on_dispatch(fingerprint, "u0")
        local.on_end(1, "u0", LOST, 0.0)
        assert local.is_suspect(2)
        local.on_end(2, "u0", COMPLETE, 0.1)
        assert not local.is_suspect(2)

    def test_innocent_alone_at_its_host_is_not_refused_before_peers_report(
        self,
    ) -> None:
        """An innocent request must not be refused for an hour.

        It is the only suspect at its host in two crashes whose culprit came
        through another host, and that host's evidence arrives a second later.
        A refusal by the local evidence alone would be wrong.
        """
        local = register()
        peer = register()
        crash(local, "u0", [1], 0.0)
        crash(peer, "u0", [CULPRIT, 2, 3], 0.0)
        crash(local, "u1", [1], 8.0)
        early = local.gate(1, 8.2)
        assert isinstance(early, Refuse)
        assert early.verdict.retry_after_s <= 1.0
        crash(peer, "u1", [CULPRIT, 4, 5], 8.1)
        local.on_records(peer.records(8.5), 8.6)
        assert isinstance(local.gate(1, 9.5), Trial)

    def test_news_are_sent_once_and_the_most_suspect_first(self) -> None:
        """Evidence against the culprit must come before that of bystanders.

        If the records of other requests fill the message first, peers go on
        running the culprit and lose more upstreams.
        """
        local = register()
        crash(local, "u0", [CULPRIT], 0.0)
        assert _told(local.next_news(0.1)) == [("u0", [CULPRIT])]
        crash(local, "u1", [1, 2, CULPRIT], 10.0)
        complete(local, 2, 10.5)
        news = local.next_news(10.6)
        assert _told(news) == [("u1", [CULPRIT, 1])]
        assert news.suspects == ()
        assert news.cleared == (2,)
        assert local.next_news(10.7).is_empty
        peer = register()
        assert peer.on_news(news, 10.7) == news.losses
        assert peer.on_news(news, 10.8) == ()
        assert _told(peer.next_news(10.9)) == [("u1", [CULPRIT, 1])]

    def test_news_that_do_not_fit_are_sent_later(self) -> None:
        """A loss that is never told lets a request go on crashing upstreams."""
        local = register()
        crash(local, "u0", [*range(1, 40), CULPRIT], 0.0)
        crash(local, "u1", [*range(40, 80), CULPRIT], 10.0)
        told: Counter[tuple[str, int]] = Counter()
        for round_number in range(20):
            news = local.next_news(10.1 + round_number / 10, _has_at_most(9))
            told.update(
                (loss.upstream, fingerprint)
                for loss in news.losses
                for fingerprint in loss.fingerprints
            )
        assert set(told.values()) == {1}
        assert len(told) == 81
        assert local.news_waiting == 0

    def test_own_losses_and_requests_lost_twice_are_told_first(self) -> None:
        """A loss that only one host knows of must not wait for others."""
        local, peer = register(), register()
        crash(peer, "u2", [6, 7, 8], 9.0)
        crash(peer, "u3", [6], 9.0)
        local.on_news(peer.next_news(9.1), 9.1)
        crash(local, "u1", [2, 3, CULPRIT], 10.0)
        complete(local, 3, 10.1)
        own = local.next_news(10.2, _has_at_most(2))
        assert _told(own) == [("u1", [2, CULPRIT])]
        repeated = local.next_news(10.3, _has_at_most(2))
        assert _told(repeated) == [("u3", [6]), ("u2", [6])]
        assert local.next_news(10.4, _has_at_most(1)).cleared == (3,)
        passed_on = local.next_news(10.5, _has_at_most(3))
        assert [(u, sorted(f)) for u, f in _told(passed_on)] == [("u2", [7, 8])]

    def test_a_loss_of_few_requests_is_told_before_one_of_many(self) -> None:
        local = register()
        crash(local, "u0", [1, 2, 3, 4], 0.0)
        crash(local, "u1", [5], 0.0)
        assert _told(local.next_news(0.1, _has_at_most(1))) == [("u1", [5])]

    def test_news_that_are_dropped_are_counted(self) -> None:
        """Evidence that is lost without a sign can't be missed."""
        local = SuspectRegister(SuspectOptions(max_waiting_news=3))
        crash(local, "u0", [1, 2, 3, 4], 0.0)
        assert local.pop_dropped_news() == (Dropped("full", (1,)),)
        assert local.next_news(601.0).is_empty
        assert local.pop_dropped_news() == (Dropped("old", (2, 3, 4)),)
        assert local.pop_dropped_news() == ()

    def test_crashes_beyond_those_for_a_refusal_are_not_told(self) -> None:
        """They would take the bytes of news of other requests."""
        local = register()
        for number in range(6):
            crash(local, f"u{number}", [CULPRIT], number / 10)
        told = {upstream for upstream, _ in _told(local.next_news(1.0))}
        assert told == {"u0", "u1", "u2", "u3"}

    def test_hosts_that_know_only_records_learn_of_repeated_suspects(
        self,
    ) -> None:
        """Hosts of the release before must still refuse culprits."""
        local, older = register(), register()
        for number in range(3):
            crash(local, f"u{number}", [CULPRIT], number * 10.0)
        records = local.next_news(21.0).suspects
        assert [r.fingerprint for r in records] == [CULPRIT] * 3
        older.on_records(records, 21.0)
        assert isinstance(older.gate(CULPRIT, 22.5), Refuse)

    def test_answer_through_one_host_clears_a_request_at_all(self) -> None:
        """Blame is diluted if hosts keep suspects that others have cleared."""
        local, peer = register(), register()
        crash(local, "u0", [1, CULPRIT], 0.0)
        peer.on_news(local.next_news(0.1), 0.1)
        complete(peer, 1, 2.0)
        crash(local, "u1", [1, CULPRIT], 2.5)
        local.on_news(peer.next_news(3.0), 3.0)
        assert local.upstreams(1) == ("u1",)
        assert local.score(CULPRIT) > 1.4
        assert local.next_news(3.1).cleared == (1,)
        local.on_news(peer.next_news(3.2), 3.2)
        assert local.next_news(3.3).is_empty

    def test_new_host_learns_of_refused_requests(self) -> None:
        """Replacing a host must not cost three more crashes.

        If evidence is reported only while it is fresh, a host that starts
        later doesn't know of a refused request and runs it again when its
        caller comes through this host.
        """
        local = register()
        for number in range(3):
            crash(local, f"u{number}", [CULPRIT], number * 10.0)
        assert isinstance(local.gate(CULPRIT, 25.0), Refuse)
        new = register()
        new.on_records(local.records(2000.0), 2000.0)
        assert isinstance(new.gate(CULPRIT, 2000.0), Refuse)

    def test_repeated_or_late_records_change_nothing(self) -> None:
        local = register()
        crash(local, "u0", [1, 2], 0.0)
        crash(local, "u1", [1, 3], 5.0)
        records = local.records(6.0)
        once = register()
        once.on_records(records, 6.0)
        twice = register()
        for _ in range(3):
            twice.on_records(tuple(reversed(records)), 6.0)
        assert once.score(1) == twice.score(1) == local.score(1)
        local.on_end(1, "x", COMPLETE, 7.0)
        local.on_records(records, 6.0)
        assert not local.is_suspect(1)

    def test_request_lost_twice_is_held_until_the_verdict(self) -> None:
        """Copies of a culprit crash upstreams while verdicts are pending."""
        local = register()
        _lose(local, "u0", [CULPRIT, 1], 0.0)
        assert local.gate(CULPRIT, 0.1) == Clear()
        _lose(local, "u1", [CULPRIT, 2], 0.3)
        held = local.gate(CULPRIT, 0.5)
        assert isinstance(held, Refuse)
        assert held.verdict.retry_after_s == pytest.approx(0.8)
        assert local.gate(1, 0.5) == local.gate(2, 0.5) == Clear()
        assert local.gate(CULPRIT, 1.4) == Clear()

    def test_pending_loss_beside_a_crash_holds_a_request(self) -> None:
        local = register()
        crash(local, "u0", [CULPRIT, 1], 0.0)
        _lose(local, "u1", [CULPRIT], 5.0)
        assert isinstance(local.gate(CULPRIT, 5.1), Refuse)
        assert isinstance(local.gate(CULPRIT, 6.1), Isolate)

    def test_pending_losses_of_several_hosts_hold_a_request(self) -> None:
        """Two hosts that each know of one loss send a culprit on."""
        local, peer = register(), register()
        _lose(local, "u0", [CULPRIT, 1], 0.0)
        _lose(peer, "u1", [CULPRIT], 0.2)
        news = peer.next_news(0.3)
        assert _told(news) == [("u1", [CULPRIT])]
        assert peer.next_news(0.3).is_empty
        assert local.on_news(news, 0.3) == news.losses
        assert local.on_news(news, 0.3) == ()
        assert isinstance(local.gate(CULPRIT, 0.4), Refuse)
        assert _told(local.next_news(0.4)) == [
            ("u0", [CULPRIT, 1]),
            ("u1", [CULPRIT]),
        ]

    def test_answered_request_is_not_held_for_its_earlier_losses(self) -> None:
        local, peer = register(), register()
        _lose(peer, "u0", [1], 0.0)
        _lose(local, "u1", [1], 0.1)
        complete(local, 1, 0.2)
        local.on_news(peer.next_news(0.3), 0.3)
        _lose(local, "u2", [1], 0.4)
        assert local.gate(1, 0.5) == Clear()

    def test_pending_losses_are_bounded(self) -> None:
        local = SuspectRegister(SuspectOptions(max_pending=10))
        for fingerprint in range(1, 100):
            _lose(local, "u0", [fingerprint], 0.0)
        _lose(local, "u1", [1, 99], 0.1)
        assert local.gate(1, 0.2) == Clear()
        assert isinstance(local.gate(99, 0.2), Refuse)

    def test_evidence_is_bounded_and_expires(self) -> None:
        options = SuspectOptions(max_crashes=10, max_fingerprints=5)
        local = SuspectRegister(options)
        rng = random.Random(1)
        for number in range(100):
            batch = [rng.randrange(1, 10_000) for _ in range(20)]
            crash(local, f"u{number}", batch, number * 10.0)
        assert len(local.records(995.0)) <= 5
        suspects = sum(local.is_suspect(f) for f in range(1, 10_000))
        assert 0 < suspects <= 50
        local.expire(2000.0)
        assert not any(local.is_suspect(f) for f in range(1, 10_000))

    def test_no_fingerprint_is_never_a_suspect(self) -> None:
        local = register()
        crash(local, "u0", [0, 0, 5], 0.0)
        assert local.gate(0, 1.0) == Clear()
        assert local.score(5) == 1 / 3

    def test_silence_is_no_crash(self) -> None:
        local = register()
        local.on_dispatch(5, "u0")
        silent = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
        local.on_end(5, "u0", silent, 0.0)
        assert local.gate(5, 1.0) == Clear()
