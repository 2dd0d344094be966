"""Tests of the register of parts of prompts."""

import attrs

from hollyknot_coordination.suspects import (
    Clear,
    PartRegister,
    Refuse,
    RequestIdentity,
    Suspects,
    Trial,
    part_identities,
)
from hollyknot_coordination.suspects._convictions import MAX_CONVICTIONS
from hollyknot_coordination.suspects._messages import (
    REFUSE_CRASHES,
    RETRIAL_ALONE_S,
    RETRIAL_FACTOR,
)
from hollyknot_coordination.suspects._parts import MAX_PARTS, PROOF_S
from hollyknot_coordination.suspects._unsent_news import grouped
from hollyknot_state import Outcome, Reason, SuspectNews, Verdict
from hollyknot_state.routes import PromptPart

COMPLETE = Verdict(Outcome.COMPLETE)
LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
CRASHING = 99
COMMON = 1
RARE = 2


def _lose(
    register: PartRegister, upstream: str, parts: list[int], now_s: float
) -> None:
    for part in parts:
        register.on_dispatch(part, upstream)
    for part in parts:
        register.on_end(part, upstream, LOST, now_s)


def _lose_often(
    register: PartRegister, parts: list[int], times: int, from_s: float = 0.0
) -> None:
    for number in range(times):
        _lose(register, f"u{from_s}-{number}", parts, from_s + number)


class TestPartIdentities:
    """A part is known by its name and the service of its request."""

    def test_part_of_another_service_is_another_one(self) -> None:
        shared = [PromptPart("a", 5)]
        assert part_identities("s", shared) != part_identities("t", shared)

    def test_length_of_a_part_does_not_matter(self) -> None:
        """Guards against a part that is hidden by another count of tokens."""
        assert part_identities("s", [PromptPart("a", 5)]) == part_identities(
            "s", [PromptPart("a", 6)]
        )

    def test_name_may_hold_any_bytes(self) -> None:
        """Guards against names of a caller that fail its request."""
        name = b"\xff\xfe".decode("utf-8", "surrogateescape")
        assert part_identities("s", [PromptPart(name, 5)])

    def test_number_of_parts_is_bounded(self) -> None:
        """Guards against prompts whose parts use up a host's time."""
        shared = [PromptPart(str(n), 1) for n in range(5000)]
        assert len(part_identities("s", shared)) == MAX_PARTS


class TestPartRegister:
    """Tests from the first loss to a trial, and to an answer."""

    def test_part_lost_often_needs_a_trial(self) -> None:
        register = PartRegister()
        _lose_often(register, [CRASHING], 2)
        assert register.gate([CRASHING], 5.0) == Clear()
        _lose(register, "u3", [CRASHING], 4.0)
        gate = register.gate([RARE, CRASHING], 5.0)
        assert gate == Trial(CRASHING, 3, True, frozenset())

    def test_answer_clears_the_parts_that_crashed_beside_another(self) -> None:
        """Guards against refusing sound parts for what a part crashed."""
        register = PartRegister()
        _lose_often(register, [COMMON, CRASHING], 4)
        register.on_answers([COMMON], 5.0)
        assert register.gate([COMMON], 5.0) == Clear()
        gate = register.gate([COMMON, CRASHING], 5.0)
        assert isinstance(gate, Trial)
        assert gate.identity == CRASHING
        assert gate.is_alone

    def test_part_in_frequent_use_is_not_suspected(self) -> None:
        register = PartRegister()
        for number in range(10):
            register.on_answers([COMMON], float(number))
            _lose(register, f"u{number}", [COMMON], number + 0.5)
        assert register.gate([COMMON], 10.0) == Clear()
        assert register.next_news(10.0).is_empty

    def test_part_that_begins_to_crash_is_suspected_soon(self) -> None:
        """Guards against a part that its earlier answers excuse for good."""
        register = PartRegister()
        register.on_answers([COMMON], 0.0)
        _lose_often(register, [COMMON], 3, from_s=PROOF_S + 0.1)
        assert isinstance(register.gate([COMMON], 6.0), Trial)

    def test_host_with_an_answer_tells_those_that_blame_its_part(self) -> None:
        """Guards against hosts without a recent answer that refuse a part."""
        local, peer = PartRegister(), PartRegister()
        local.on_answers([COMMON], 10.0)
        _lose_often(peer, [COMMON], 3, from_s=9.0)
        local.on_news(peer.next_news(11.0), 11.0)
        assert local.gate([COMMON], 11.0) == Clear()
        assert isinstance(peer.gate([COMMON], 11.0), Trial)
        peer.on_news(local.next_news(11.1), 11.1)
        assert peer.gate([COMMON], 11.1) == Clear()

    def test_denied_part_is_refused_until_it_is_answered(self) -> None:
        register = PartRegister()
        _lose_often(register, [CRASHING], 5)
        trial = register.gate([CRASHING], 5.0)
        assert isinstance(trial, Trial)
        register.deny(trial, 60.0, 5.0)
        gate = register.gate([CRASHING], 6.0)
        assert isinstance(gate, Refuse)
        assert gate.verdict.outcome is Outcome.NOT_RUN
        assert gate.verdict.reason is Reason.QUARANTINED
        assert gate.verdict.retry_after_s == 59.0
        assert isinstance(register.gate([CRASHING], 66.0), Trial)
        register.on_answers([CRASHING], 66.0)
        assert register.gate([CRASHING], 66.1) == Clear()

    def test_repeat_of_a_lost_request_needs_a_trial(self) -> None:
        """Guards against a host that crashes a second upstream at once."""
        register = PartRegister()
        register.on_answers([COMMON], 1.0)
        gate = register.gate([COMMON, CRASHING], 1.1, is_repeat=True)
        assert gate == Trial(CRASHING, 1, True, frozenset())
        assert register.gate([COMMON], 1.1, is_repeat=True) == Clear()

    def test_new_host_learns_of_suspected_parts(self) -> None:
        old, new = PartRegister(), PartRegister()
        _lose_often(old, [CRASHING], 4)
        new.on_records(old.records(5.0), 5.0)
        assert isinstance(new.gate([CRASHING], 5.0), Trial)

    def test_news_of_parts_are_not_taken_for_requests(self) -> None:
        """Guards against parts whose losses blame the requests beside them."""
        register = PartRegister()
        _lose_often(register, [CRASHING], 2)
        register.on_dispatch(CRASHING, "u9")
        register.on_end(CRASHING, "u9", COMPLETE, 9.0)
        _lose(register, "u10", [RARE], 12.0)
        told = SuspectNews.of_parts(register.next_news(12.0))
        assert told.losses == ()
        assert told.cleared == ()
        assert told.parts.cleared == (CRASHING,)
        assert [loss.fingerprints for loss in told.parts.losses] == [(RARE,)]

    def test_part_that_crashed_in_its_trial_is_refused_at_all_hosts(
        self,
    ) -> None:
        """Guards against trials by each host that did not see the last one."""
        local, peer = PartRegister(), PartRegister()
        _lose_often(local, [CRASHING], 5)
        local.convict(CRASHING, 5.0)
        peer.on_news(local.next_news(5.1), 5.1)
        for register in (local, peer):
            gate = register.gate([CRASHING], 6.0)
            assert isinstance(gate, Refuse)
            assert gate.verdict.retry_after_s > 25
        later_s = 5.0 + RETRIAL_ALONE_S + 0.1
        assert isinstance(peer.gate([CRASHING], later_s), Trial)

    def test_new_host_refuses_what_crashed_in_its_trial(self) -> None:
        """Guards against hosts that are replaced and let a part through."""
        old, new = PartRegister(), PartRegister()
        old.convict(CRASHING, 5.0)
        new.on_convictions(old.convictions(4, 7.0), 7.0)
        assert isinstance(new.gate([CRASHING], 7.0), Refuse)

    def test_trials_become_rarer_at_hosts_that_were_replaced(self) -> None:
        """Guards against a trial in each interval by an owner that is new."""
        old, new = PartRegister(), PartRegister()
        _lose_often(old, [CRASHING], REFUSE_CRASHES + 1)
        old.convict(CRASHING, 6.0)
        losses, _ = old.all_losses(100, 7.0)
        evidence = SuspectNews(
            (),
            losses=grouped(losses, 7.0),
            crashing_parts=old.all_convictions(7.0),
        )
        new.on_evidence(evidence, 7.0)
        later_s = 6.0 + RETRIAL_ALONE_S * (RETRIAL_FACTOR - 1)
        assert isinstance(new.gate([CRASHING], later_s), Refuse)

    def test_trial_that_crashed_by_chance_does_not_refuse_a_part(self) -> None:
        """Guards against refusing a sound part for a crash of another cause."""
        register = PartRegister()
        _lose_often(register, [RARE], 4)
        register.convict(RARE, 4.0)
        assert isinstance(register.gate([RARE], 5.0), Trial)

    def test_answer_ends_a_conviction_everywhere(self) -> None:
        local, peer = PartRegister(), PartRegister()
        _lose_often(local, [CRASHING], 5)
        local.convict(CRASHING, 5.0)
        peer.on_news(local.next_news(5.1), 5.1)
        local.on_answers([CRASHING], 40.0)
        peer.on_news(local.next_news(40.1), 40.1)
        assert local.gate([CRASHING], 40.2) == Clear()
        assert peer.gate([CRASHING], 40.2) == Clear()

    def test_convictions_are_bounded(self) -> None:
        register = PartRegister()
        for part in range(MAX_CONVICTIONS + 50):
            register.convict(part, float(part))
        assert len(register.convictions(10_000, 2000.0)) == MAX_CONVICTIONS


class TestSuspects:
    """Tests what the end of a try says about the parts of its prompt."""

    def test_rejected_prompt_does_not_prove_its_parts(self) -> None:
        """Guards against clearing a part by an answer that did not run it."""
        suspects = Suspects()
        request = RequestIdentity(7, (CRASHING,))
        for status, is_proved in ((413, False), (200, True)):
            suspects.on_dispatch(request, "u")
            verdict = attrs.evolve(COMPLETE, upstream_status=status)
            suspects.on_end(request, "u", verdict, 1.0)
            assert suspects.parts.is_proved(CRASHING, 1.0) is is_proved
