"""Searches with a state machine for sequences that start a key twice."""

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hollyknot_coordination.claims import _placement
from hollyknot_coordination.claims.tests import test_rules
from hollyknot_coordination.claims.tests._fleet import (
    Fleet,
    among,
    fresh_key,
)
from hollyknot_state import Attempt, Outcome

ANCHOR = "a"
"""A host that is listed and up at all times. Claims guarantee nothing if all
hosts of a data centre are lost at once, unnoticed."""

NAMES = ("a", "b", "c", "d", "e", "f", "g", "h")
MAX_LISTED = 5
picks = st.integers(0, 10_000)
subsets = st.integers(1, 2 ** len(NAMES) - 1)


class ClaimMachine(RuleBasedStateMachine):
    """Changes hosts, lists, messages and clocks in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.publish(*NAMES[:3])
        for name in NAMES[:3]:
            self.fleet.start(name)
        self.fleet.run_for(1.0)
        self.fleet.now_s += 5.0
        self.keys = [fresh_key(self.fleet, number) for number in range(2)]
        self.seen = dict.fromkeys(NAMES[:3], 1)
        self.spare = list(NAMES[3:])
        self.killed: set[str] = set()
        self.outstanding: dict[bytes, set[Attempt]] = {
            key: set() for key in self.keys
        }

    def pick(self, number: int) -> str:
        names = sorted(self.fleet.hosts)
        return names[number % len(names)]

    def reachable(self, mask: int) -> list[str]:
        """Returns the hosts that a mask selects, or else the anchor."""
        names = sorted(self.fleet.hosts)
        return [n for i, n in enumerate(names) if mask >> i & 1] or [ANCHOR]

    @rule(host=picks, key=st.integers(0, 1), patience=st.sampled_from([1, 9]))
    def claim(self, host: int, key: int, patience: int) -> None:
        self.fleet.claim(self.pick(host), self.keys[key], patience)

    @rule(host=picks, key=st.integers(0, 1), mask=subsets)
    def claim_in_part(self, host: int, key: int, mask: int) -> None:
        self.fleet.claim(self.pick(host), self.keys[key], 9)
        self.run_part(mask, 4)

    @precondition(lambda self: self.fleet.network)
    @rule(message=picks, keep=st.booleans())
    def deliver(self, message: int, keep: bool) -> None:
        """Delivers any message in flight, and may keep it for a duplicate."""
        network = self.fleet.network
        chosen = network[message % len(network)]
        if not keep:
            network.remove(chosen)
        self.fleet.deliver(chosen)

    @precondition(lambda self: self.fleet.network)
    @rule(mask=subsets)
    def lose(self, mask: int) -> None:
        passes = among(*self.reachable(mask))
        network = self.fleet.network
        self.fleet.network = [m for m in network if passes(m)]

    @rule(mask=subsets, rounds=st.sampled_from([1, 4, 20]))
    def run_part(self, mask: int, rounds: int) -> None:
        """Runs some hosts, which reach each other; other messages wait."""
        names = self.reachable(mask)
        passes = among(*names)
        for _ in range(rounds):
            self.fleet.now_s += 0.1
            for name in names:
                self.fleet.poll(name)
            waiting = [m for m in self.fleet.network if not passes(m)]
            self.fleet.network = [m for m in self.fleet.network if passes(m)]
            for _ in range(200):
                if not self.fleet.network:
                    break
                self.fleet.deliver(self.fleet.network.pop(0))
                fresh = [m for m in self.fleet.network if not passes(m)]
                waiting += fresh
                for message in fresh:
                    self.fleet.network.remove(message)
            self.fleet.network += waiting
        del self.fleet.network[:-60]

    @rule(mask=subsets, added=st.integers(0, 2))
    def publish(self, mask: int, added: int) -> None:
        listed = self.fleet.lists[-1]
        kept = [n for i, n in enumerate(listed) if mask >> i & 1]
        kept = [ANCHOR, *(n for n in kept if n != ANCHOR)]
        fresh = [n for n in self.spare if n not in kept][:added]
        self.fleet.publish(*(kept + fresh)[:MAX_LISTED])

    @rule(mask=subsets, added=st.integers(0, 2), aware=subsets)
    def change(self, mask: int, added: int, aware: int) -> None:
        """Changes the host list; some hosts read it at once."""
        self.publish(mask, added)
        for name in self.fleet.lists[-1]:
            if name in self.spare:
                self.spare.remove(name)
                self.fleet.start(name)
                self.seen[name] = len(self.fleet.lists)
        for name in self.reachable(aware):
            self.fleet.see(name)
            self.seen[name] = len(self.fleet.lists)
        self.run_part(aware, 4)

    @rule(host=picks, step=st.sampled_from([1, 1, 2, 3]))
    def see(self, host: int, step: int) -> None:
        """Lets a host read a newer list, which may skip revisions."""
        name = self.pick(host)
        revision = min(self.seen[name] + step, len(self.fleet.lists))
        if revision > self.seen[name]:
            self.fleet.see(name, revision)
            self.seen[name] = revision

    @rule(back=st.integers(0, 1), skew_ms=st.sampled_from([0, -900, 900]))
    def start(self, back: int, skew_ms: int) -> None:
        revision = max(1, len(self.fleet.lists) - back)
        for name in self.fleet.lists[revision - 1]:
            if name in self.spare:
                self.spare.remove(name)
                self.fleet.start(name, revision, skew_ms)
                self.seen[name] = revision
                return

    @rule(host=picks)
    def kill(self, host: int) -> None:
        name = self.pick(host)
        if name != ANCHOR:
            self.fleet.kill(name)
            self.killed.add(name)

    @rule(host=picks, key=st.integers(0, 1), not_run=st.booleans())
    def finish(self, host: int, key: int, not_run: bool) -> None:
        """Dispatches and ends a granted request, or ends it as not run."""
        name, claimed = self.pick(host), self.keys[key]
        granted = self.fleet.hosts[name].coordinator._granted.get(claimed)
        if granted is None:
            return
        if not_run and not self.fleet.started[claimed]:
            self.outstanding[claimed].discard(granted.attempt)
            self.fleet.finish(name, claimed, Outcome.NOT_RUN)
            return
        self.fleet.started[claimed] += 1
        self.fleet.finish(name, claimed, Outcome.COMPLETE)

    @rule(host=picks, skew_ms=st.sampled_from([-700_000, 700_000]))
    def set_clock(self, host: int, skew_ms: int) -> None:
        self.fleet.hosts[self.pick(host)].skew_ms += skew_ms

    @invariant()
    def at_most_one_may_run(self) -> None:
        """Checks that one granted and unreleased attempt at most may run."""
        for host in self.fleet.hosts.values():
            for key, attempt in host.coordinator._granted.items():
                self.outstanding[key].add(attempt.attempt)
        assert all(len(found) <= 1 for found in self.outstanding.values())
        assert all(count <= 1 for count in self.fleet.started.values())

    def teardown(self) -> None:
        """Checks that a connected fleet that lost no host grants a new key."""
        listed = {name for names in self.fleet.lists for name in names}
        if listed & self.killed:
            return
        for name in sorted(listed.intersection(self.spare)):
            self.fleet.start(name)
        for name, host in self.fleet.hosts.items():
            host.skew_ms = 0
            self.fleet.see(name)
        self.fleet.run_for(15.0)
        self.fleet.now_s += 20_000.0
        key = fresh_key(self.fleet, 9)
        assert self.fleet.try_key(ANCHOR, key) == "granted"


class TestClaimMachine:
    """Runs the machine on the real code and on code without a rule."""

    @pytest.fixture(autouse=True)
    def _small(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_placement, "GROUP_SIZE", 3)

    def run(self, examples: int, steps: int) -> None:
        run_state_machine_as_test(
            ClaimMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=examples,
                stateful_step_count=steps,
                # Examples aren't shrunk: that would take minutes.
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )

    @pytest.mark.fault(
        fault="host list late",
        step="claimed",
        rule="a non-idempotent request runs at most once",
        seen_failing="each of three rules is switched off (in the next test)",
    )
    @pytest.mark.fault(
        fault="host replace",
        step="claimed",
        rule="a non-idempotent request runs at most once",
        seen_failing="each of three rules is switched off (in the next test)",
    )
    def test_a_key_starts_at_most_once(self) -> None:
        self.run(300, 40)

    @pytest.mark.parametrize(
        "switch_off",
        [
            test_rules.with_two_of_five,
            test_rules.without_waiting_to_learn,
            test_rules.without_proof,
        ],
    )
    def test_machine_fails_without_a_rule(
        self,
        switch_off: Callable[[pytest.MonkeyPatch], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        switch_off(monkeypatch)
        with pytest.raises(AssertionError):
            self.run(300, 40)
