"""Tests each safety rule of claims by a sequence that depends on it.

With all rules, each sequence starts the key at most once. Without its rule, the
same sequence starts the key twice, which shows that the sequence can fail.
"""

from collections.abc import Callable

import attrs
import pytest

from hollyknot_coordination.claims import (
    ClaimOptions,
    Holder,
    _attempt,
    _grants,
    _handovers,
    _learning_step,
    _seal,
)
from hollyknot_coordination.claims._placement import (
    Placement,
    blocking_minority,
    group_digest,
)
from hollyknot_coordination.claims._records import SlotRecords
from hollyknot_coordination.claims._slot import Slot
from hollyknot_coordination.claims._slot_learner import SlotLearner
from hollyknot_coordination.claims.tests._fleet import (
    Fleet,
    Message,
    among,
    fresh_key,
    make_fleet,
)
from hollyknot_state import (
    LearnSlots,
    ReleaseClaim,
    SlotAnswerKind,
    SlotQuestion,
)

Patch = pytest.MonkeyPatch


def claim_in_partition(
    fleet: Fleet, name: str, key: bytes, *names: str
) -> None:
    """Claims a key while only the named hosts reach one another."""
    fleet.claim(name, key)
    fleet.run_for(2.5, among(*names))


def outdated_coordinator(fleet: Fleet) -> None:
    """Claims a key from the old holders and from the new ones.

    Two of three holders are replaced. A host that hasn't read the new list asks
    the old ones, which are still up.
    """
    fleet.publish("c", "d", "e")
    fleet.see("c")
    fleet.start("d")
    fleet.start("e")
    fleet.run_for(1.0)
    key = fresh_key(fleet)
    claim_in_partition(fleet, "d", key, "c", "d", "e")
    fleet.claim("a", key)
    fleet.run_for(3.0)


def new_holders_without_records(fleet: Fleet) -> None:
    """Claims a key again from new holders without its records.

    The key was granted by two holders. The list then names two new ones, which
    can't reach the old ones.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "b", key, "a", "b")
    fleet.publish("c", "d", "e")
    fleet.see("c")
    fleet.start("d")
    fleet.start("e")
    fleet.run_for(1.0, among("c", "d", "e"))
    claim_in_partition(fleet, "d", key, "c", "d", "e")


def granted_and_paused(fleet: Fleet) -> None:
    """Claims a key again while its first host is paused.

    The first attempt has two of three grants and has not dispatched yet; the
    second finds these grants.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b")
    fleet.claim("c", key)
    fleet.run_for(3.0)


def two_pairs_of_five(fleet: Fleet) -> None:
    """Claims a key on both sides of a partition, with two holders each."""
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.claim("c", key)
    fleet.run_for(2.5, lambda m: among("a", "b")(m) or among("c", "d")(m))


def older_than_retention(fleet: Fleet) -> None:
    """Claims a key again after its retention time."""
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.run_for(0.5)
    fleet.now_s += 800.0
    fleet.run_for(0.5)
    fleet.claim("b", key)
    fleet.run_for(3.0)


def previous_holders_that_stay(fleet: Fleet) -> None:
    """Claims a key again after a data centre shrank from five hosts to two.

    Three of five holders granted it; the other two are the new holders.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b", "c")
    fleet.publish("d", "e")
    fleet.see("d")
    fleet.see("e")
    claim_in_partition(fleet, "d", key, "d", "e")


def grants_of_two_groups(fleet: Fleet) -> None:
    """Claims a key with grants of both old and new holders.

    The first attempt has one grant of an old holder, which the new holders
    don't know of, and then gets one grant of a new holder. A second attempt
    gets the other two.
    """
    key = fresh_key(fleet)
    fleet.claim("a", key, 60.0)
    fleet.deliver_all(among("a"))
    fleet.publish("c", "d", "e")
    fleet.see("c")
    fleet.start("d")
    fleet.start("e")
    fleet.run_for(2.0, among("b", "c", "d", "e"))
    fleet.see("a")
    fleet.run_for(2.0, among("a", "d"))
    claim_in_partition(fleet, "e", key, "c", "e")


def cancelled_and_late(fleet: Fleet) -> None:
    """Delivers the request for a grant of an attempt after its cancellation.

    The attempt has two of five grants, and its request to `e` is late. Another
    attempt cancels it, with the promise of `e`, and gets its two grants.
    """
    key = fresh_key(fleet)
    fleet.claim("e", key, 60.0)
    fleet.deliver_all(among("e"))
    fleet.claim("a", key, 60.0)
    late = [m for m in fleet.network if m.receiver == "e"]
    fleet.deliver_all(among("a", "b"))
    fleet.claim("c", key)
    released: list[Message] = []
    while fleet.network:
        message = fleet.network.pop(0)
        fleet.deliver(message)
        if isinstance(message.body, ReleaseClaim) and message.receiver == "e":
            released.append(message)
        if len(released) == 2 and late:
            fleet.deliver(late.pop())


def restarted_under_its_name(fleet: Fleet) -> None:
    """Claims a key again after a holder restarted and lost its grant."""
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b")
    fleet.kill("b")
    fleet.start("b")
    fleet.run_for(1.0, among("b", "c"))
    claim_in_partition(fleet, "c", key, "b", "c")


def successor_of_a_leaving_host(fleet: Fleet) -> None:
    """Claims a key from a leaving host, the only one, and from its successor.

    A successor that doesn't ask the leaving host concludes that it is the first
    holder ever.
    """
    fleet.publish("~a", "n")
    fleet.start("n")
    fleet.run_for(10.0)
    key = fresh_key(fleet)
    for name in ("a", "n"):
        fleet.claim(name, key)
        fleet.run_for(3.0)


def all_lost(fleet: Fleet) -> None:
    """Claims a key again after every host that knew of it was lost."""
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.run_for(0.5)
    assert fleet.dispatch_granted() == 1
    fleet.kill("a")
    fleet.publish("n")
    fleet.start("n", skew_ms=-1_000)
    fleet.claim("n", key)
    fleet.run_for(3.0)


def skipped_revision(fleet: Fleet) -> None:
    """Claims a key again after one of two holders skipped a revision.

    The list changed from a, b to a, c and then to b, d. The key was granted by
    a and c. b and d never read the list with a, c and know only the epoch of a
    and b.
    """
    fleet.publish("a", "c")
    fleet.see("a")
    fleet.start("c")
    fleet.run_for(1.0, among("a", "c"))
    key = fresh_key(fleet)
    claim_in_partition(fleet, "c", key, "a", "c")
    fleet.publish("b", "d")
    fleet.see("b")
    fleet.start("d")
    fleet.run_for(1.0, among("b", "d"))
    claim_in_partition(fleet, "d", key, "b", "d")


def discarded_too_early(fleet: Fleet) -> None:
    """Claims a key again after old holders dropped its record.

    Only one of three new holders had learnt the key, and that one was lost.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "b", key, "a", "b")
    fleet.publish("c", "d", "e")
    fleet.see("a")
    fleet.see("b")
    fleet.see("c")
    fleet.start("d")
    fleet.run_for(
        1.0,
        lambda m: m.sender != "c" or not isinstance(m.body, LearnSlots),
    )
    fleet.kill("d")
    fleet.start("e")
    fleet.publish("c", "e", "f")
    fleet.see("c")
    fleet.see("e")
    fleet.start("f")
    fleet.run_for(3.0, among("a", "c", "e", "f"))
    fleet.claim("f", key)
    fleet.run_for(3.0)


def without_seal(monkeypatch: Patch) -> None:
    """Lets old holders go on granting."""
    real = _seal.handle_question

    def handle_question(slot: Slot, question: SlotQuestion) -> SlotAnswerKind:
        if question.epoch.revision > slot.epoch.revision:
            return SlotAnswerKind.SEALED
        return real(slot, question)

    monkeypatch.setattr(_seal, "handle_question", handle_question)


def without_waiting_to_learn(monkeypatch: Patch) -> None:
    """Lets a new holder grant before it has learnt."""
    monkeypatch.setattr(Slot, "is_active", True)


def without_proof(monkeypatch: Patch) -> None:
    """Releases a rival's grants without proof that it never runs."""

    def clear(self: _attempt.ClaimAttempt) -> _attempt.AttemptStatus:
        for rival in self._rivals.values():
            rival.is_dead = True
        return _attempt.AttemptStatus.CLEARED

    cls = _attempt.ClaimAttempt
    monkeypatch.setattr(cls, "_may_have_majority", lambda *_: False)
    monkeypatch.setattr(cls, "_status_of_cancelling", clear)


def without_horizon(monkeypatch: Patch) -> None:
    """Grants a key whatever its time is."""
    monkeypatch.setattr(_grants, "_check_time", lambda *_: None)


def without_learning_by_previous_holders(monkeypatch: Patch) -> None:
    """Lets hosts that held the slot before grant without learning."""
    real = SlotLearner.begin

    def begin(self: SlotLearner, number: int, slot: Slot, now: object) -> None:
        if slot.active and self.host in slot.epoch.holders:
            slot.activate()
        else:
            real(self, number, slot, now)  # type: ignore[arg-type]

    monkeypatch.setattr(SlotLearner, "begin", begin)


def without_counting_by_group(monkeypatch: Patch) -> None:
    """Adds up grants of different groups of holders."""

    def move_to(
        self: _attempt.ClaimAttempt, group: tuple[str, ...], revision: int
    ) -> bool:
        if revision <= self.revision:
            return False
        self.revision, self.group = revision, group
        self._digest = group_digest(group)
        return True

    monkeypatch.setattr(_attempt.ClaimAttempt, "move_to", move_to)


def without_recorded_refusals(monkeypatch: Patch) -> None:
    """Lets a refused attempt be granted later."""
    monkeypatch.setattr(SlotRecords, "refuses", lambda *_: False)


def without_name_check(monkeypatch: Patch) -> None:
    """Lets a restarted holder take its old place."""
    monkeypatch.setattr(Holder, "_is_reused", lambda *_: False)


def without_asking_leaving_hosts(monkeypatch: Patch) -> None:
    """Lets a first holder not ask leaving hosts."""
    monkeypatch.setattr(Placement, "listed", Placement.hosts)


def without_opening_margin(monkeypatch: Patch) -> None:
    """Lets a first holder grant keys from before its start."""
    monkeypatch.setattr(ClaimOptions, "opening_margin_s", 0.0)


def without_majority_of_answers(monkeypatch: Patch) -> None:
    """Settles every epoch with the answers of a blocking minority."""
    monkeypatch.setattr(_learning_step, "majority", blocking_minority)


def without_majority_of_successors(monkeypatch: Patch) -> None:
    """Lets old holders drop their records once one new holder is active."""
    monkeypatch.setattr(_handovers, "majority", lambda _: 1)


def with_two_of_five(monkeypatch: Patch) -> None:
    """Counts half a group, rounded down, as a majority."""
    monkeypatch.setattr(_attempt, "majority", lambda group: len(group) // 2)


@attrs.frozen
class Case:
    """A sequence and the rule that it depends on.

    Attributes:
        hosts: Names of the hosts at its start, one letter each.
        sequence: The function that plays the sequence.
        switch_off: The function that switches the rule off.
    """

    hosts: str
    sequence: Callable[[Fleet], None]
    switch_off: Callable[[Patch], None]


CASES = (
    Case("abc", outdated_coordinator, without_seal),
    Case("abc", new_holders_without_records, without_waiting_to_learn),
    Case("abc", granted_and_paused, without_proof),
    Case("abcde", two_pairs_of_five, with_two_of_five),
    Case("abc", older_than_retention, without_horizon),
    Case(
        "abcde",
        previous_holders_that_stay,
        without_learning_by_previous_holders,
    ),
    Case("abc", grants_of_two_groups, without_counting_by_group),
    Case("abcde", cancelled_and_late, without_recorded_refusals),
    Case("abc", restarted_under_its_name, without_name_check),
    Case("a", successor_of_a_leaving_host, without_asking_leaving_hosts),
    Case("a", all_lost, without_opening_margin),
    Case("ab", skipped_revision, without_majority_of_answers),
    Case("abc", discarded_too_early, without_majority_of_successors),
)


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.switch_off.__name__
)
class TestRule:
    """Tests sequences in which one rule alone prevents a second start."""

    @pytest.mark.fault(
        fault="host pause",
        step="claimed",
        rule="a non-idempotent request runs at most once",
        seen_failing="the one rule of each case is off (in the next test)",
    )
    def test_key_starts_at_most_once(self, case: Case) -> None:
        fleet = make_fleet(*case.hosts)
        case.sequence(fleet)
        assert fleet.dispatch_granted() <= 1

    def test_key_starts_twice_without_the_rule(
        self, case: Case, monkeypatch: Patch
    ) -> None:
        fleet = make_fleet(*case.hosts)
        case.switch_off(monkeypatch)
        case.sequence(fleet)
        assert fleet.dispatch_granted() == 2
