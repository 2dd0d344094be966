"""Tests claims while hosts are added, replaced and lost."""

import pytest

from hollyknot_coordination.claims import SLOTS, _holder
from hollyknot_coordination.claims._records import SlotRecords
from hollyknot_coordination.claims.tests._fleet import (
    OPTIONS,
    Fleet,
    Message,
    among,
    fresh_key,
    make_fleet,
    make_key,
)
from hollyknot_state import (
    Attempt,
    ClaimOutcome,
    LearnSlots,
    Outcome,
    Reason,
    SlotAnswers,
)


def replace(fleet: Fleet, old: str, new: str) -> None:
    """Replaces a host as the platform does and waits for the handover."""
    names = [n for n in fleet.lists[-1] if n != old]
    fleet.publish(*names, f"~{old}", new)
    fleet.start(new)
    for name in fleet.hosts:
        fleet.see(name)
    fleet.run_for(6.0)
    assert fleet.hosts[old].holder.pending_handovers == 0
    fleet.kill(old)
    fleet.publish(*names, new)
    for name in fleet.hosts:
        fleet.see(name)
    fleet.run_for(1.0)


class TestReplacement:
    """Tests claims of hosts that are replaced or lost."""

    @pytest.mark.parametrize("size", [1, 2, 3, 5, 7])
    def test_claims_outlive_every_host_that_granted_them(
        self, size: int
    ) -> None:
        names = [f"h{i}" for i in range(size)]
        fleet = make_fleet(*names)
        key = fresh_key(fleet)
        assert fleet.try_key("h0", key) == "granted"
        fleet.finish("h0", key, Outcome.COMPLETE)
        fleet.run_for(0.5)
        for index, name in enumerate(names):
            replace(fleet, name, f"n{index}")
        assert fleet.try_key("n0", key) == "may-have-run"
        assert fleet.hosts["n0"].refused[-1].earlier is ClaimOutcome.COMPLETE
        assert fleet.try_key("n0", fresh_key(fleet, 1)) == "granted"

    @pytest.mark.parametrize(("size", "lost"), [(2, 1), (3, 1), (4, 2), (5, 2)])
    def test_slot_grants_again_after_a_minority_is_lost(
        self, size: int, lost: int
    ) -> None:
        """Guards against slots that grant nothing after a tolerable loss.

        Of two holders one is lost. The other is no majority of two, but knows
        of every majority of grants.
        """
        names = [f"h{i}" for i in range(size)]
        fleet = make_fleet(*names)
        key = fresh_key(fleet)
        assert fleet.try_key("h0", key) == "granted"
        for name in names[:lost]:
            fleet.kill(name)
        fleet.publish(*names[lost:], "n")
        fleet.start("n")
        for name in fleet.hosts:
            fleet.see(name)
        fleet.run_for(2.0)
        assert fleet.try_key("n", key) == "may-have-run"
        assert fleet.try_key("n", fresh_key(fleet, 1)) == "granted"

    def test_slot_grants_nothing_after_a_majority_is_lost(self) -> None:
        fleet = make_fleet("a", "b", "c")
        fleet.kill("a")
        fleet.kill("b")
        fleet.publish("c", "d", "e")
        fleet.see("c")
        fleet.start("d")
        fleet.start("e")
        fleet.run_for(2.0)
        assert fleet.try_key("d", fresh_key(fleet)) == "not-run"
        verdict = fleet.hosts["d"].refused[-1].verdict
        assert verdict.reason is Reason.CLAIM_UNDECIDED
        assert verdict.retry_after_s > 0

    def test_a_released_key_can_be_claimed_by_new_holders(self) -> None:
        fleet = make_fleet("a", "b", "c")
        key = fresh_key(fleet)
        fleet.claim("a", key)
        fleet.deliver_all()
        fleet.finish("a", key, Outcome.NOT_RUN)
        fleet.deliver_all()
        replace(fleet, "b", "d")
        replace(fleet, "c", "e")
        assert fleet.try_key("d", key) == "granted"


class TestViews:
    """Tests hosts whose lists are outdated or skipped revisions."""

    @pytest.mark.parametrize("stale", ["coordinator", "holders"])
    def test_outdated_host_list_is_corrected(self, stale: str) -> None:
        fleet = make_fleet("a", "b", "c")
        fleet.publish("c", "d", "e")
        fleet.start("d")
        fleet.start("e")
        if stale == "coordinator":
            fleet.see("c")
        fleet.run_for(2.0)
        name = "a" if stale == "coordinator" else "d"
        assert fleet.try_key(name, fresh_key(fleet)) == "granted"

    def test_an_unchanged_group_keeps_its_epoch(self) -> None:
        """Guards against an outage though no holder was replaced.

        One holder skipped a revision and knows the same holders only from a
        later revision on.
        """
        fleet = make_fleet("a", "b")
        fleet.publish("a", "b", "c")
        fleet.publish("a", "b", "c", "~x")
        fleet.see("a", 2)
        fleet.start("c", 2)
        fleet.see("b", 3)
        fleet.run_for(2.0)
        fleet.see("a", 3)
        fleet.see("c", 3)
        assert all(h.holder.active_slots() for h in fleet.hosts.values())
        epochs = {h.holder._slots[0].epoch for h in fleet.hosts.values()}
        assert {epoch.revision for epoch in epochs} == {2}

    def test_hosts_agree_on_the_revision_of_unchanged_holders(self) -> None:
        """Guards against a learner that alternates between two revisions.

        A holder saw the present holders at revision 3, an earlier holder at 4.
        One answer moves the learner to 4, the other back to 3, as fast as they
        arrive, and the slot never becomes active.
        """
        fleet = make_fleet("a", "b", "c")
        fleet.publish("a")
        fleet.publish("a", "d")
        fleet.publish("a", "d", "~x")
        for revision in (2, 3):
            fleet.see("a", revision)
            fleet.network.clear()
        fleet.see("b", 4)
        fleet.see("c", 4)
        fleet.start("d", 4)
        count = iter(range(2_000))
        fleet.run_for(3.0, lambda _: next(count) >= 0)
        assert fleet.try_key("d", fresh_key(fleet)) == "granted"

    def test_a_restarted_host_says_that_its_name_is_reused(self) -> None:
        fleet = make_fleet("a", "b", "c")
        fleet.kill("b")
        fleet.start("b")
        fleet.run_for(1.0)
        assert fleet.hosts["b"].holder.is_name_reused
        assert not fleet.hosts["b"].holder.active_slots()


class TestTraffic:
    """Tests how many messages and records are sent."""

    def count(self, fleet: Fleet, kind: type) -> int:
        bodies: list[object] = []

        def note(message: Message) -> bool:
            bodies.append(message.body)
            return True

        fleet.run_for(3.0, note)
        return sum(isinstance(body, kind) for body in bodies)

    def test_questions_of_many_slots_share_messages(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_holder, "SLOTS", SLOTS)
        fleet = make_fleet("a", "b", "c")
        fleet.publish("a", "b", "c", "d")
        for name in "abc":
            fleet.see(name)
        fleet.start("d")
        slots_per_message = OPTIONS.max_questions_per_message
        pairs = 4 * 3
        at_most = 2 * pairs * -(-SLOTS // slots_per_message)
        assert self.count(fleet, LearnSlots) <= at_most
        assert all(
            len(h.holder.active_slots()) == SLOTS for h in fleet.hosts.values()
        )

    def test_an_unchanged_group_sends_no_questions(self) -> None:
        fleet = make_fleet("a", "b", "c")
        fleet.publish("a", "b", "c", "~x")
        for name in "abc":
            fleet.see(name)
        assert self.count(fleet, LearnSlots) == 0

    def test_many_records_go_in_pages(self) -> None:
        fleet = make_fleet("a")
        holder = fleet.hosts["a"].holder
        attempt = Attempt("a/1", 1)
        start = fresh_key(fleet)
        first_ms = int.from_bytes(start[:6], "big")
        for number in range(5_001):
            key = make_key(first_ms + number, number)
            holder._slots[0].records.grant(key, attempt)
        fleet.publish("a", "b")
        fleet.see("a")
        fleet.start("b")
        sizes: list[int] = []

        def measure(message: Message) -> bool:
            if isinstance(message.body, SlotAnswers):
                answers = message.body.answers
                sizes.append(sum(len(a.records) for a in answers))
            return True

        fleet.run_for(3.0, measure)
        assert fleet.hosts["b"].holder.records() == 5_001
        assert max(sizes) <= OPTIONS.max_records_per_message


class TestRecords:
    """Tests the records of the keys of one slot."""

    def test_refusals_of_one_coordinator_share_one_entry(self) -> None:
        """Guards against records that grow with each retry of a caller.

        Each retry is a new attempt, which isn't run and is refused for good.
        """
        records = make_fleet("a").hosts["a"].holder._slots[0].records
        key = make_key(1)
        for number in range(1, 1_000):
            records.refuse(key, Attempt("a/1", number))
            records.refuse(key, Attempt("b/1", number))
        (record,) = records.page(b"", 10)
        assert set(record.refused) == {
            Attempt("a/1", 999),
            Attempt("b/1", 999),
        }

    def test_a_refusal_keeps_an_earlier_grant(self) -> None:
        """Guards against a grant lost by the release of a later attempt."""
        records = make_fleet("a").hosts["a"].holder._slots[0].records
        key, first, second = make_key(1), Attempt("a/1", 1), Attempt("a/1", 2)
        records.grant(key, first, ClaimOutcome.COMPLETE)
        records.drop(key, second)
        records.refuse(key, second)
        assert [h.attempt for h in records.held(key)] == [first]

    def test_pages_are_complete_and_eviction_is_by_time(self) -> None:
        holder = make_fleet("a").hosts["a"].holder
        records: SlotRecords = holder._slots[0].records
        keys = [make_key(n * 20_000, n) for n in range(20)]
        for key in reversed(keys):
            records.grant(key, Attempt("a/1", 1))
        after, found = b"", []
        while page := records.page(after, 3):
            found += [record.key for record in page]
            after = page[-1].key
        assert found == keys
        assert records.evict(119_999) == 3
        assert records.evict(120_000) == 3
        assert len(records) == 14


class TestFirstHolders:
    """Tests a data centre whose hosts all start without records."""

    def test_a_silent_listed_host_keeps_the_slot_closed(self) -> None:
        fleet = Fleet()
        fleet.publish("a", "b")
        fleet.start("a")
        fleet.run_for(8.0)
        assert not fleet.hosts["a"].holder.active_slots()
        fleet.start("b")
        fleet.run_for(8.0)
        assert fleet.hosts["a"].holder.active_slots()

    def test_staggered_starts_grant_a_key_once(self) -> None:
        fleet = Fleet()
        for count in (1, 2, 3):
            fleet.publish(*"abc"[:count])
            fleet.start("abc"[count - 1])
            fleet.run_for(1.0, among("a", "b", "c"))
        for name in "abc":
            fleet.see(name)
        fleet.run_for(5.0)
        key = fresh_key(fleet)
        assert fleet.try_key("c", key) == "granted"
        assert fleet.try_key("a", key) == "may-have-run"
