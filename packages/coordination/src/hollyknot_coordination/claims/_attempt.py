"""Evaluates the holders' answers to one attempt to claim a key.

The attempt first asks every holder for a grant. If other attempts hold grants
of the key, it tries to cancel them: once a majority of the holders has promised
never to grant an attempt, that attempt is proved never to run, and its grants
can be released. Then the holders are asked again.
"""

import enum

import attrs

from hollyknot_coordination.claims._commands import SendClaim
from hollyknot_coordination.claims._placement import group_digest, majority
from hollyknot_state import (
    Attempt,
    CancelClaim,
    ClaimAnswer,
    ClaimAnswerKind,
    ClaimOutcome,
    GrantClaim,
    HeldAttempt,
    ReleaseClaim,
)

_TRANSIENT = (ClaimAnswerKind.LEARNING, ClaimAnswerKind.BEHIND)
"""Answers after which the same holder may grant later."""


class Phase(enum.Enum):
    """The kind of answers that an attempt waits for."""

    ASKING = "asking"
    CANCELLING = "cancelling"


class AttemptStatus(enum.Enum):
    """What an attempt's answers so far allow it to do next."""

    WAIT = "wait"
    GRANTED = "granted"
    BLOCKED = "blocked"
    """Other attempts hold grants, so that a majority can't be reached yet."""

    CLEARED = "cleared"
    """All other attempts that were found are proved never to run."""

    HELD = "held"
    """Another attempt may have a majority."""

    NO_MAJORITY = "no-majority"
    """No majority can be reached, and no other attempt was found."""


@attrs.define
class _Rival:
    """Another attempt that holds a grant of the key.

    Attributes:
        outcome: How the rival ended, if a holder knows.
        promised: Holders that have promised never to grant the rival.
        holding: Holders that may have granted the rival.
        is_dead: Whether the rival is proved never to run.
    """

    outcome: ClaimOutcome = ClaimOutcome.UNKNOWN
    promised: set[str] = attrs.Factory(set)
    holding: set[str] = attrs.Factory(set)
    is_dead: bool = False


@attrs.define
class ClaimAttempt:
    """One attempt of this host's coordinator to claim a key.

    Attributes:
        key: The claim key.
        attempt: The name of this attempt.
        group: The holders that are asked.
        revision: The revision of the host list that `group` comes from.
        phase: The kind of answers that this attempt waits for.
        rounds: Number of times that it has asked again after all rivals were
            cancelled.
        asked: Every host that was ever asked for a grant.
    """

    key: bytes
    attempt: Attempt
    group: tuple[str, ...]
    revision: int
    phase: Phase = Phase.ASKING
    rounds: int = 0
    asked: set[str] = attrs.Factory(set)
    _digest: int = 0
    _answers: dict[str, ClaimAnswer] = attrs.Factory(dict)
    _rivals: dict[Attempt, _Rival] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self._digest = group_digest(self.group)

    @property
    def answers(self) -> tuple[ClaimAnswer, ...]:
        """The holders' answers to grant requests in this round."""
        return tuple(self._answers.values())

    @property
    def rival_outcome(self) -> ClaimOutcome | None:
        """The outcome of a live rival; `None` if there is no live rival."""
        live = [r.outcome for r in self._rivals.values() if not r.is_dead]
        if not live:
            return None
        known = (o for o in live if o is not ClaimOutcome.UNKNOWN)
        return next(known, ClaimOutcome.UNKNOWN)

    def move_to(self, group: tuple[str, ...], revision: int) -> bool:
        """Adopts the holders of a newer host list.

        Grants and promises are counted within one group only: majorities of
        two groups need not have a host in common.

        Returns:
            Whether the holders differ from the previous ones.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        if group == self.group:
            return False
        self.group = group
        self._digest = group_digest(group)
        self._answers.clear()
        for rival in self._rivals.values():
            rival.promised.clear()
            rival.holding.clear()
        self.phase = Phase.ASKING
        return True

    def handle_answer(self, sender: str, answer: ClaimAnswer) -> bool:
        """Processes a holder's answer; returns whether it changed `group`."""
        if answer.kind is ClaimAnswerKind.NEWER:
            return bool(answer.holders) and self.move_to(
                answer.holders, answer.revision
            )
        if sender not in self.group or answer.group != self._digest:
            return False
        self._record_held(sender, answer.held)
        if answer.attempt == self.attempt:
            self._handle_grant_answer(sender, answer)
        elif answer.kind is ClaimAnswerKind.PROMISED:
            rival = self._rivals.setdefault(answer.attempt, _Rival())
            rival.promised.add(sender)
        return False

    def current_status(self) -> AttemptStatus:
        """Returns what follows from the answers so far."""
        if self._grants() >= majority(self.group):
            return AttemptStatus.GRANTED
        if self.phase is Phase.CANCELLING:
            return self._status_of_cancelling()
        if self._grants() + len(self._may_still_grant()) >= majority(
            self.group
        ):
            return AttemptStatus.WAIT
        return self.status_at_deadline()

    def status_at_deadline(self) -> AttemptStatus:
        """Returns what follows if the attempt waits for no more answers."""
        if self._live_rivals() and any(
            map(self._may_have_majority, self._live_rivals().values())
        ):
            return AttemptStatus.HELD
        return (
            AttemptStatus.BLOCKED
            if self._live_rivals()
            else AttemptStatus.NO_MAJORITY
        )

    def begin_cancelling(self) -> None:
        """Starts to cancel the rivals that were found."""
        self.phase = Phase.CANCELLING

    def begin_round(self) -> list[SendClaim]:
        """Starts another round of grant requests.

        Returns:
            The releases of all rivals that are proved never to run.
        """
        releases = [
            SendClaim(host, ReleaseClaim(self.key, attempt))
            for attempt, rival in self._rivals.items()
            if rival.is_dead
            for host in self.group
        ]
        self.phase = Phase.ASKING
        self.rounds += 1
        self._answers = {
            host: answer
            for host, answer in self._answers.items()
            if answer.kind is ClaimAnswerKind.GRANTED
        }
        return releases

    def questions(self) -> list[SendClaim]:
        """Returns the messages to holders whose final answer is missing."""
        if self.phase is Phase.CANCELLING:
            return [
                SendClaim(host, self._cancel(attempt))
                for attempt, rival in self._live_rivals().items()
                for host in self.group
                if host not in rival.promised | rival.holding
            ]
        grant = GrantClaim(self.key, self.attempt, self.revision, self._digest)
        hosts = self._may_still_grant()
        self.asked.update(hosts)
        return [SendClaim(host, grant) for host in hosts]

    def releases(self) -> list[SendClaim]:
        """Returns the releases of this attempt, which must never run."""
        message = ReleaseClaim(self.key, self.attempt)
        hosts = sorted(self.asked | set(self.group))
        return [SendClaim(host, message) for host in hosts]

    def _cancel(self, attempt: Attempt) -> CancelClaim:
        return CancelClaim(
            self.key, attempt, self.attempt, self.revision, self._digest
        )

    def _handle_grant_answer(self, sender: str, answer: ClaimAnswer) -> None:
        # A holder doesn't withdraw a grant by itself. A refusal that arrives
        # after a grant was sent before it and must not replace it.
        before = self._answers.get(sender)
        if before is None or before.kind is not ClaimAnswerKind.GRANTED:
            self._answers[sender] = answer

    def _record_held(self, sender: str, held: tuple[HeldAttempt, ...]) -> None:
        for held_attempt in held:
            if held_attempt.attempt == self.attempt:
                continue
            rival = self._rivals.setdefault(held_attempt.attempt, _Rival())
            rival.holding.add(sender)
            if held_attempt.outcome is not ClaimOutcome.UNKNOWN:
                rival.outcome = held_attempt.outcome

    def _grants(self) -> int:
        return sum(
            answer.kind is ClaimAnswerKind.GRANTED
            for answer in self._answers.values()
        )

    def _may_still_grant(self) -> tuple[str, ...]:
        """Returns the holders that may still grant in this round."""
        return tuple(
            host
            for host in self.group
            if host not in self._answers
            or self._answers[host].kind in _TRANSIENT
        )

    def _live_rivals(self) -> dict[Attempt, _Rival]:
        return {a: r for a, r in self._rivals.items() if not r.is_dead}

    def _may_have_majority(self, rival: _Rival) -> bool:
        """Returns whether too many holders hold a rival to cancel it."""
        left = len(self.group) - len(rival.holding)
        is_ended = rival.outcome is not ClaimOutcome.UNKNOWN
        return is_ended or left < majority(self.group)

    def _status_of_cancelling(self) -> AttemptStatus:
        for rival in self._live_rivals().values():
            if len(rival.promised) >= majority(self.group):
                rival.is_dead = True
            elif self._may_have_majority(rival):
                return AttemptStatus.HELD
        return (
            AttemptStatus.WAIT if self._live_rivals() else AttemptStatus.CLEARED
        )
