"""Tests of the register of suspects."""

import random

from hollyknot_coordination.suspects import (
    Clear,
    Isolate,
    Refuse,
    SuspectOptions,
    SuspectRegister,
)
from hollyknot_state import Outcome, Reason, Verdict

COMPLETE = Verdict(Outcome.COMPLETE)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
POISON = 99


def register() -> SuspectRegister:
    """Returns a register without evidence."""
    return SuspectRegister(SuspectOptions())


def crash(
    found: SuspectRegister, upstream: str, batch: list[int], now_s: float
) -> None:
    """Plays the loss of a batch at one upstream."""
    for fingerprint in batch:
        found.on_dispatch(fingerprint, upstream)
    for fingerprint in batch:
        found.on_end(fingerprint, upstream, LOST, now_s)


def complete(found: SuspectRegister, fingerprint: int, now_s: float) -> None:
    """Plays a request that completes."""
    found.on_dispatch(fingerprint, "spare")
    found.on_end(fingerprint, "spare", COMPLETE, now_s)


class TestSuspectRegister:
    """From a crash to a refusal."""

    def test_culprit_of_a_batch_is_refused_after_two_more_crashes(self) -> None:
        """Symptom: one request takes down upstream after upstream.

        Sequence: it crashes the upstream that runs it, its caller sends it
        again. Cause: no memory of who was there at each crash.
        """
        found = register()
        crash(found, "u0", [*range(1, 64), POISON], 0.0)
        assert isinstance(found.gate(POISON, 1.0), Isolate)
        crash(found, "u1", [POISON], 10.0)
        assert isinstance(found.gate(POISON, 11.5), Isolate)
        crash(found, "u2", [POISON], 20.0)
        gate = found.gate(POISON, 21.5)
        assert isinstance(gate, Refuse)
        assert gate.verdict.outcome is Outcome.NOT_RUN
        assert gate.verdict.reason is Reason.QUARANTINED
        assert gate.verdict.retry_after_s > 3000
        assert isinstance(found.gate(1, 21.5), Isolate)

    def test_completed_innocents_leave_the_blame_to_the_rest(self) -> None:
        found = register()
        batch = [*range(1, 64), POISON]
        crash(found, "u0", batch, 0.0)
        for fingerprint in range(1, 64):
            complete(found, fingerprint, 5.0)
            assert found.gate(fingerprint, 5.0) == Clear()
        assert found.score(POISON) == 1.0
        crash(found, "u1", [POISON], 10.0)
        assert isinstance(found.gate(POISON, 11.5), Refuse)

    def test_known_suspect_bears_the_blame_of_a_mixed_crash(self) -> None:
        found = register()
        crash(found, "u0", [1, 2, 3, POISON], 0.0)
        crash(found, "u1", [11, 12, 13, POISON], 10.0)
        assert found.score(POISON) > 1.1
        assert found.score(11) < 0.04
        crash(found, "u2", [21, 22, 23, POISON], 20.0)
        assert found.score(POISON) >= 1.9
        assert isinstance(found.gate(POISON, 21.5), Refuse)

    def test_a_large_batch_does_not_hide_a_suspect_in_two_mixed_crashes(
        self,
    ) -> None:
        found = register()
        crash(found, "u0", [*range(1, 64), POISON], 0.0)
        crash(found, "u1", [71, 72, POISON], 10.0)
        crash(found, "u2", [81, 82, POISON], 20.0)
        assert found.score(POISON) < 1.9
        assert isinstance(found.gate(POISON, 21.5), Refuse)

    def test_suspects_are_kept_apart(self) -> None:
        found = register()
        crash(found, "u0", [1, 2, 3], 0.0)
        found.on_dispatch(1, "u1")
        assert found.gate(2, 1.0) == Isolate(frozenset())
        crash(found, "u2", [2], 10.0)
        assert found.gate(2, 11.0) == Isolate(frozenset({"u1"}))
        found.on_dispatch(2, "u3")
        assert found.gate(3, 11.0) == Isolate(frozenset({"u3"}))
        same = found.gate(1, 1.0)
        assert isinstance(same, Refuse)
        assert same.verdict.retry_after_s == 1.0

    def test_requests_in_flight_at_a_loss_are_suspects_until_they_end(
        self,
    ) -> None:
        found = register()
        for fingerprint in (1, 2):
            found.on_dispatch(fingerprint, "u0")
        found.on_end(1, "u0", LOST, 0.0)
        assert found.is_suspect(2)
        found.on_end(2, "u0", COMPLETE, 0.1)
        assert not found.is_suspect(2)

    def test_innocent_alone_at_its_host_waits_for_the_peers(self) -> None:
        """Symptom: an innocent is refused for an hour.

        Sequence: it stands alone at its host in two crashes whose culprit
        came through another host, whose evidence comes a second later.
        Cause: refusing by one host's view before peers could tell.
        """
        found = register()
        peer = register()
        crash(found, "u0", [1], 0.0)
        crash(peer, "u0", [POISON, 2, 3], 0.0)
        crash(found, "u1", [1], 8.0)
        early = found.gate(1, 8.2)
        assert isinstance(early, Refuse)
        assert early.verdict.retry_after_s <= 1.0
        crash(peer, "u1", [POISON, 4, 5], 8.1)
        found.on_records(peer.records(8.5), 8.6)
        assert isinstance(found.gate(1, 9.5), Isolate)

    def test_news_are_passed_on_once_and_the_worst_first(self) -> None:
        """A request goes on crashing upstreams while others fill the news."""
        found = register()
        crash(found, "u0", [POISON], 0.0)
        assert [r.fingerprint for r in found.next_updates(0.1)] == [POISON]
        crash(found, "u1", [1, 2, POISON], 10.0)
        complete(found, 2, 10.5)
        news = found.next_updates(10.6)
        assert [r.fingerprint for r in news] == [POISON, 1]
        assert found.next_updates(10.7) == ()
        peer = register()
        assert peer.on_records(news, 10.7) == news
        assert peer.on_records(news, 10.8) == ()
        assert len(peer.next_updates(10.9)) == 2

    def test_new_host_learns_of_refused_requests(self) -> None:
        """Symptom: each replaced host costs three more crashes.

        Sequence: a request is refused; its host's peers are replaced; the
        caller returns through a new one. Cause: evidence told only while
        fresh.
        """
        found = register()
        for number in range(3):
            crash(found, f"u{number}", [POISON], number * 10.0)
        assert isinstance(found.gate(POISON, 25.0), Refuse)
        new = register()
        new.on_records(found.records(2000.0), 2000.0)
        assert isinstance(new.gate(POISON, 2000.0), Refuse)

    def test_telling_twice_or_late_changes_nothing(self) -> None:
        found = register()
        crash(found, "u0", [1, 2], 0.0)
        crash(found, "u1", [1, 3], 5.0)
        records = found.records(6.0)
        once = register()
        once.on_records(records, 6.0)
        twice = register()
        for _ in range(3):
            twice.on_records(tuple(reversed(records)), 6.0)
        assert once.score(1) == twice.score(1) == found.score(1)
        found.on_end(1, "x", COMPLETE, 7.0)
        found.on_records(records, 6.0)
        assert not found.is_suspect(1)

    def test_lost_memory_is_bounded_and_expires(self) -> None:
        options = SuspectOptions(max_crashes=10, max_fingerprints=5)
        found = SuspectRegister(options)
        rng = random.Random(1)
        for number in range(100):
            batch = [rng.randrange(1, 10_000) for _ in range(20)]
            crash(found, f"u{number}", batch, number * 10.0)
        assert len(found.records(995.0)) <= 5
        suspects = sum(found.is_suspect(f) for f in range(1, 10_000))
        assert 0 < suspects <= 50
        found.expire(2000.0)
        assert not any(found.is_suspect(f) for f in range(1, 10_000))

    def test_no_fingerprint_is_never_a_suspect(self) -> None:
        found = register()
        crash(found, "u0", [0, 0, 5], 0.0)
        assert found.gate(0, 1.0) == Clear()
        assert found.score(5) == 1 / 3

    def test_silence_is_no_crash(self) -> None:
        found = register()
        found.on_dispatch(5, "u0")
        silent = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
        found.on_end(5, "u0", silent, 0.0)
        assert found.gate(5, 1.0) == Clear()
