"""The coordinator claims the keys of the requests that this host receives."""

import random

import attrs

from hollyknot_coordination.claims._attempt import (
    AttemptStatus,
    ClaimAttempt,
    Phase,
)
from hollyknot_coordination.claims._commands import (
    ClaimCommand,
    ClaimGranted,
    ClaimRefused,
    Instant,
    SendClaim,
)
from hollyknot_coordination.claims._keys import slot_of
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import Placement
from hollyknot_coordination.claims._releases import Releases
from hollyknot_coordination.claims._verdicts import refusal
from hollyknot_state import (
    Attempt,
    ClaimAnswer,
    ClaimAnswerKind,
    ClaimOutcome,
    Outcome,
    Reason,
    RecordClaim,
    Verdict,
)

_OUTCOMES = {
    Outcome.COMPLETE: ClaimOutcome.COMPLETE,
    Outcome.FAILED: ClaimOutcome.FAILED,
    Outcome.MAY_HAVE_RUN: ClaimOutcome.MAY_HAVE_RUN,
}


@attrs.define
class _PendingClaim:
    """An undecided attempt and its timers.

    Attributes:
        attempt: The attempt.
        cancel_s: Monotonic time, in seconds, from which on the attempt no
            longer waits for silent holders but tries to cancel its rivals.
        deadline_s: Monotonic time, in seconds, at which the attempt fails.
        repeat_s: Monotonic time, in seconds, at which unanswered messages are
            repeated.
        wait_s: Seconds between the next messages and their repeat.
    """

    attempt: ClaimAttempt
    cancel_s: float
    deadline_s: float
    repeat_s: float
    wait_s: float


@attrs.define
class Coordinator:
    """Claims keys on behalf of requests, with one attempt per key at a time.

    Holders rely on the single attempt: they refuse all of a coordinator's
    attempts up to a number instead of one by one. A second request with the
    same key is therefore refused here while the first is in flight.

    Attributes:
        host: This host's name in the host list.
        incarnation: A number that no earlier process of this name had.
        placement: The holders of all slots by the newest host list.
        rng: Source of the jitter of the times after which callers retry.
        options: Times and limits.
    """

    host: str
    incarnation: int
    placement: Placement
    rng: random.Random
    options: ClaimOptions = attrs.Factory(ClaimOptions)
    _number: int = 0
    _pending: dict[bytes, _PendingClaim] = attrs.Factory(dict)
    _granted: dict[bytes, ClaimAttempt] = attrs.Factory(dict)
    _releases: Releases = attrs.Factory(Releases)

    def update(self, placement: Placement, now: Instant) -> list[ClaimCommand]:
        """Adopts a newer host list, or newly declared data centres."""
        if placement.revision < self.placement.revision:
            return []
        self.placement = placement
        commands: list[ClaimCommand] = []
        for pending in self._pending.values():
            attempt = pending.attempt
            group = placement.group(slot_of(attempt.key))
            if group and attempt.move_to(group, placement.revision):
                commands += self._send(pending, now)
        return commands

    def claim(
        self, key: bytes, now: Instant, timeout_s: float
    ) -> list[ClaimCommand]:
        """Starts to claim a key.

        Args:
            key: A key that `claim_key` returned.
            now: The time.
            timeout_s: Seconds after which the claim is refused if it is still
                undecided.

        Returns:
            Messages to send, or an immediate refusal. The result is a
            `ClaimGranted` or `ClaimRefused` of the same key that one of
            `claim`, `receive`, `update` and `poll` returns.
        """
        self._number += 1
        name = Attempt(f"{self.host}/{self.incarnation}", self._number)
        if key in self._pending or key in self._granted:
            verdict = Verdict(
                Outcome.MAY_HAVE_RUN,
                Reason.CLAIMED_BEFORE,
                "an earlier request with this key is under way",
                self._random_retry_after_s(),
            )
            return [ClaimRefused(key, name, verdict)]
        group = self.placement.group(slot_of(key))
        attempt = ClaimAttempt(key, name, group, self.placement.revision)
        pending = _PendingClaim(
            attempt,
            now.now_s + timeout_s / 2,
            now.now_s + timeout_s,
            now.now_s,
            self.options.initial_retry_interval_s,
        )
        self._pending[key] = pending
        if not group:
            return self._refuse(pending)
        return self._send(pending, now)

    def receive(
        self, sender: str, answer: ClaimAnswer, now: Instant
    ) -> list[ClaimCommand]:
        """Processes a holder's answer."""
        if answer.kind is ClaimAnswerKind.RELEASED:
            self._releases.handle_answer(sender, answer)
            return []
        pending = self._pending.get(answer.key)
        # An answer to an attempt that has ended must not affect the attempt
        # that claims the same key now.
        if pending is None or pending.attempt.attempt != answer.asker:
            return []
        if pending.attempt.handle_answer(sender, answer):
            return self._send(pending, now)
        return self._advance(pending, now)

    def poll(self, now: Instant) -> list[ClaimCommand]:
        """Repeats unanswered messages; refuses claims past their deadline."""
        commands: list[ClaimCommand] = [*self._releases.due(now.now_s)]
        for pending in list(self._pending.values()):
            commands += self._advance(pending, now)
            is_pending = pending.attempt.key in self._pending
            if is_pending and now.now_s >= pending.repeat_s:
                commands += self._send(pending, now)
        return commands

    def next_poll_s(self) -> float:
        """Returns when `poll` is due; infinity if there is nothing to do."""
        times = [min(c.deadline_s, c.repeat_s) for c in self._pending.values()]
        return min([*times, self._releases.next_due_s()])

    def finish(self, key: bytes, outcome: Outcome) -> list[ClaimCommand]:
        """Ends a claim, granted or not; its request must not run afterwards.

        Args:
            key: The claim key.
            outcome: How the request ended. `NOT_RUN` lets the key be granted
                again and therefore needs proof: either nothing was dispatched,
                or the upstream gave one of its published refusals.
        """
        pending = self._pending.pop(key, None)
        if pending is not None:
            return [*self._releases.send(pending.attempt)]
        attempt = self._granted.pop(key, None)
        if attempt is None:
            return []
        if outcome is Outcome.NOT_RUN:
            return [*self._releases.send(attempt)]
        message = RecordClaim(key, attempt.attempt, _OUTCOMES[outcome])
        return [SendClaim(host, message) for host in attempt.group]

    def _send(self, pending: _PendingClaim, now: Instant) -> list[ClaimCommand]:
        pending.repeat_s = now.now_s + pending.wait_s
        pending.wait_s = min(
            pending.wait_s * 2, self.options.max_retry_interval_s
        )
        return list(pending.attempt.questions())

    def _advance(
        self, pending: _PendingClaim, now: Instant
    ) -> list[ClaimCommand]:
        attempt = pending.attempt
        status = attempt.current_status()
        if status is AttemptStatus.GRANTED:
            del self._pending[attempt.key]
            self._granted[attempt.key] = attempt
            return [ClaimGranted(attempt.key, attempt.attempt)]
        if now.now_s >= pending.deadline_s:
            return self._refuse(pending)
        if status is AttemptStatus.WAIT:
            if not self._is_time_to_cancel(pending, now):
                return []
            status = AttemptStatus.BLOCKED
        if status is AttemptStatus.BLOCKED:
            return self._cancel_rivals(pending, now)
        if status is AttemptStatus.CLEARED:
            return self._start_new_round(pending, now)
        return self._refuse(pending)

    def _is_time_to_cancel(self, pending: _PendingClaim, now: Instant) -> bool:
        """Returns whether to cancel rivals although some holders are silent."""
        attempt = pending.attempt
        return (
            attempt.phase is Phase.ASKING
            and now.now_s >= pending.cancel_s
            and attempt.status_at_deadline() is AttemptStatus.BLOCKED
        )

    def _cancel_rivals(
        self, pending: _PendingClaim, now: Instant
    ) -> list[ClaimCommand]:
        if pending.attempt.rounds >= self.options.max_rounds:
            return self._refuse(pending)
        pending.attempt.begin_cancelling()
        pending.wait_s = self.options.initial_retry_interval_s
        return self._send(pending, now)

    def _start_new_round(
        self, pending: _PendingClaim, now: Instant
    ) -> list[ClaimCommand]:
        releases = pending.attempt.begin_round()
        pending.wait_s = self.options.initial_retry_interval_s
        return [*releases, *self._send(pending, now)]

    def _refuse(self, pending: _PendingClaim) -> list[ClaimCommand]:
        attempt = pending.attempt
        del self._pending[attempt.key]
        verdict = refusal(attempt, self._random_retry_after_s())
        earlier = attempt.rival_outcome or ClaimOutcome.UNKNOWN
        refused = ClaimRefused(attempt.key, attempt.attempt, verdict, earlier)
        return [*self._releases.send(attempt), refused]

    def _random_retry_after_s(self) -> float:
        # Two callers whose attempts split the grants must not retry at the
        # same moment, or they would split them again.
        mean_s = self.options.retry_after_s
        return self.rng.uniform(mean_s / 2, mean_s * 3 / 2)
