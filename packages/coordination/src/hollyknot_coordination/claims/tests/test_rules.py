"""Each rule of safety, and what happens without it.

Each sequence keeps to one start of the key; with its rule switched off, the
same sequence starts it twice. So the sequences can fail, and do.
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
    """Claims a key while only some hosts reach one another."""
    fleet.claim(name, key)
    fleet.run_for(2.5, among(*names))


def outdated_coordinator(fleet: Fleet) -> None:
    """An order goes out twice: once by the old holders, once by the new.

    Two of three holders are replaced; a host that hasn't seen the new list
    asks the old ones, which are still up.
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


def new_holders_know_nothing(fleet: Fleet) -> None:
    """An order goes out twice around a replacement of holders.

    It ran by the grants of two holders; the list then names two new ones,
    which cannot reach the old.
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
    """An order goes out twice: its first host was only slow.

    The first attempt has two of three grants and pauses; the second finds
    them in its way.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b")
    fleet.claim("c", key)
    fleet.run_for(3.0)


def two_pairs_of_five(fleet: Fleet) -> None:
    """An order goes out twice: each side of a cut has two of five holders."""
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.claim("c", key)
    fleet.run_for(2.5, lambda m: among("a", "b")(m) or among("c", "d")(m))


def older_than_retention(fleet: Fleet) -> None:
    """An order goes out again when its caller comes back the next day."""
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.run_for(0.5)
    fleet.now_s += 800.0
    fleet.run_for(0.5)
    fleet.claim("b", key)
    fleet.run_for(3.0)


def holders_that_stay(fleet: Fleet) -> None:
    """An order goes out twice after a data centre shrank from five to two.

    Three of five holders granted it; the other two are all that is left.
    """
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b", "c")
    fleet.publish("d", "e")
    fleet.see("d")
    fleet.see("e")
    claim_in_partition(fleet, "d", key, "d", "e")


def grants_of_two_groups(fleet: Fleet) -> None:
    """An order goes out twice: grants of old and new holders were added up.

    The first attempt has one old grant, which the new holders didn't hear
    of, and then gets one new grant; a second one gets the other two.
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
    """An order goes out twice: a cancelled attempt was granted after all.

    It has two of five grants and its request to `e` is late. Another attempt
    has it cancelled, with the promise of `e`, and gets its two grants.
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
    """An order goes out twice: a holder restarted and forgot its grant."""
    key = fresh_key(fleet)
    claim_in_partition(fleet, "a", key, "a", "b")
    fleet.kill("b")
    fleet.start("b")
    fleet.run_for(1.0, among("b", "c"))
    claim_in_partition(fleet, "c", key, "b", "c")


def successor_of_a_leaving_host(fleet: Fleet) -> None:
    """An order goes out twice: the only host is leaving, not gone.

    Its successor takes itself for the first holder ever.
    """
    fleet.publish("~a", "n")
    fleet.start("n")
    fleet.run_for(10.0)
    key = fresh_key(fleet)
    for name in ("a", "n"):
        fleet.claim(name, key)
        fleet.run_for(3.0)


def all_lost(fleet: Fleet) -> None:
    """An order goes out twice: every host that knew of it was lost."""
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
    """An order goes out twice after one of two holders skipped a list.

    The list went from a, b by a, c to b, d. With c, a granted the order; b
    and d, who saw only the last list, heard just of a and b.
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
    """An order goes out twice: old holders forgot it after a replacement.

    One of three new holders had learnt it and was lost.
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
    """Old holders go on granting."""
    real = _seal.handle_question

    def handle_question(slot: Slot, question: SlotQuestion) -> SlotAnswerKind:
        if question.epoch.revision > slot.epoch.revision:
            return SlotAnswerKind.SEALED
        return real(slot, question)

    monkeypatch.setattr(_seal, "handle_question", handle_question)


def without_abstaining(monkeypatch: Patch) -> None:
    """A new holder grants before it has learnt."""
    monkeypatch.setattr(Slot, "is_active", True)


def without_proof(monkeypatch: Patch) -> None:
    """Another attempt's grants are released unproved."""

    def clear(self: _attempt.ClaimAttempt) -> _attempt.AttemptStatus:
        for rival in self._rivals.values():
            rival.is_dead = True
        return _attempt.AttemptStatus.CLEARED

    cls = _attempt.ClaimAttempt
    monkeypatch.setattr(cls, "_may_have_majority", lambda *_: False)
    monkeypatch.setattr(cls, "_status_of_cancelling", clear)


def without_horizon(monkeypatch: Patch) -> None:
    """A key is granted whatever its time."""
    monkeypatch.setattr(_grants, "_check_time", lambda *_: None)


def without_learning_of_stayers(monkeypatch: Patch) -> None:
    """Who held the slot before doesn't learn."""
    real = SlotLearner.begin

    def begin(self: SlotLearner, number: int, slot: Slot, now: object) -> None:
        if slot.active and self.host in slot.epoch.holders:
            slot.activate()
        else:
            real(self, number, slot, now)  # type: ignore[arg-type]

    monkeypatch.setattr(SlotLearner, "begin", begin)


def without_groups(monkeypatch: Patch) -> None:
    """Grants of different holders are added up."""

    def move_to(
        self: _attempt.ClaimAttempt, group: tuple[str, ...], revision: int
    ) -> bool:
        if revision <= self.revision:
            return False
        self.revision, self.group = revision, group
        self._digest = group_digest(group)
        return True

    monkeypatch.setattr(_attempt.ClaimAttempt, "move_to", move_to)


def without_marks(monkeypatch: Patch) -> None:
    """A refused attempt can be granted later."""
    monkeypatch.setattr(SlotRecords, "refuses", lambda *_: False)


def without_names(monkeypatch: Patch) -> None:
    """A restarted holder takes its old place."""
    monkeypatch.setattr(Holder, "_is_reused", lambda *_: False)


def without_leaving(monkeypatch: Patch) -> None:
    """Leaving hosts aren't asked by a first holder."""
    monkeypatch.setattr(Placement, "listed", Placement.hosts)


def without_margin(monkeypatch: Patch) -> None:
    """A first holder grants keys of before its start."""
    monkeypatch.setattr(ClaimOptions, "opening_margin_s", 0.0)


def without_majority_of_readers(monkeypatch: Patch) -> None:
    """A minority that would block is always enough."""
    monkeypatch.setattr(_learning_step, "majority", blocking_minority)


def without_majority_of_successors(monkeypatch: Patch) -> None:
    """One new holder is enough for the old to forget."""
    monkeypatch.setattr(_handovers, "majority", lambda _: 1)


def with_two_of_five(monkeypatch: Patch) -> None:
    """Half a group, rounded down, is a majority."""
    monkeypatch.setattr(_attempt, "majority", lambda group: len(group) // 2)


@attrs.frozen
class Case:
    """A sequence, the hosts it begins with, and the rule that it needs."""

    hosts: str
    sequence: Callable[[Fleet], None]
    switch_off: Callable[[Patch], None]


CASES = (
    Case("abc", outdated_coordinator, without_seal),
    Case("abc", new_holders_know_nothing, without_abstaining),
    Case("abc", granted_and_paused, without_proof),
    Case("abcde", two_pairs_of_five, with_two_of_five),
    Case("abc", older_than_retention, without_horizon),
    Case("abcde", holders_that_stay, without_learning_of_stayers),
    Case("abc", grants_of_two_groups, without_groups),
    Case("abcde", cancelled_and_late, without_marks),
    Case("abc", restarted_under_its_name, without_names),
    Case("a", successor_of_a_leaving_host, without_leaving),
    Case("a", all_lost, without_margin),
    Case("ab", skipped_revision, without_majority_of_readers),
    Case("abc", discarded_too_early, without_majority_of_successors),
)


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.switch_off.__name__
)
class TestRule:
    """Sequences in which one rule alone prevents a second start."""

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

    def test_without_the_rule_it_starts_twice(
        self, case: Case, monkeypatch: Patch
    ) -> None:
        fleet = make_fleet(*case.hosts)
        case.switch_off(monkeypatch)
        case.sequence(fleet)
        assert fleet.dispatch_granted() == 2
