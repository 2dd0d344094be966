"""Messages by which a non-idempotent request is claimed before it runs.

A coordinator (the host that has the request) asks the holders of its key for
grants. Each message may be lost, doubled, late or out of order. The sender's
name comes from the link, never from a message.

Each class has a struct of the same name and fields in `claims.thrift`.
"""

import enum
from typing import Any

import attrs
from attrs import validators

KEY_BYTES = 16
"""Length of a claim key: 6 bytes of time in ms, 10 of a hash."""

_not_negative = validators.ge(0)


def _is_key(_: Any, attribute: Any, value: bytes) -> None:
    if len(value) != KEY_BYTES:
        raise ValueError(
            f"{attribute.name}: {len(value)} bytes; a claim key has {KEY_BYTES}"
        )


@attrs.frozen
class Attempt:
    """One try of one host to run a key; unique for ever.

    Attributes:
        coordinator: The host's name, a slash and its incarnation.
        number: Rises with each attempt of that incarnation.
    """

    coordinator: str
    number: int = attrs.field(validator=_not_negative)


class ClaimOutcome(enum.Enum):
    """What a holder knows of how a granted attempt ended."""

    UNKNOWN = "unknown"
    """It may not have begun, may be running, or may have ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    MAY_HAVE_RUN = "may-have-run"


@attrs.frozen
class HeldAttempt:
    """An attempt to which a holder knows that a key was granted.

    Attributes:
        attempt: The attempt.
        outcome: How it ended, as far as the holder was told.
    """

    attempt: Attempt
    outcome: ClaimOutcome = ClaimOutcome.UNKNOWN


@attrs.frozen
class GrantClaim:
    """Asks a holder to grant a key to the sender's attempt.

    Attributes:
        key: The claim key.
        attempt: The sender's attempt.
        revision: The revision of the host list that the sender went by.
        group: The digest of the holders that the sender went by.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt
    revision: int = attrs.field(validator=_not_negative)
    group: int = attrs.field(validator=_not_negative)


@attrs.frozen
class CancelClaim:
    """Asks a holder to promise that it never grants an attempt.

    Attributes:
        key: The claim key.
        attempt: The attempt that is to be cancelled.
        asker: The attempt on whose behalf.
        revision: The revision of the host list that the sender went by.
        group: The digest of the holders that the sender went by.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt
    asker: Attempt
    revision: int = attrs.field(validator=_not_negative)
    group: int = attrs.field(validator=_not_negative)


@attrs.frozen
class ReleaseClaim:
    """Tells a holder that an attempt is proved not to run, now or later.

    Only the attempt's own coordinator sends it, before any dispatch or with
    the upstream's proof of refusal; or who holds a majority's promises never
    to grant the attempt. It is answered by `RELEASED`.

    Attributes:
        key: The claim key.
        attempt: The attempt.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt


@attrs.frozen
class RecordClaim:
    """Tells a holder how an attempt ended. It isn't answered.

    Attributes:
        key: The claim key.
        attempt: The attempt.
        outcome: Its end.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt
    outcome: ClaimOutcome


class ClaimAnswerKind(enum.Enum):
    """What a holder answers to `GrantClaim` and `CancelClaim`."""

    GRANTED = "granted"
    """The key is granted to the attempt at this holder."""

    HELD = "held"
    """The key is known to be granted to others (or to the cancelled one)."""

    CANCELLED = "cancelled"
    """The holder has promised never to grant the attempt that asks."""

    PROMISED = "promised"
    """The holder doesn't hold, and never will grant, the cancelled attempt."""

    EXPIRED = "expired"
    """The key's time is at or below the holder's horizon."""

    AHEAD = "ahead"
    """The key's time is too far beyond the holder's clock; see `wait_ms`."""

    LEARNING = "learning"
    """The holder doesn't yet know what earlier holders granted."""

    BEHIND = "behind"
    """The holder's list is older than the asker's."""

    NEWER = "newer"
    """The holder's list is newer; see `revision` and `holders`."""

    RELEASED = "released"
    """The holder has taken a `ReleaseClaim`; nothing is to be repeated."""


@attrs.frozen
class ClaimAnswer:
    """A holder's answer to `GrantClaim`, `CancelClaim` or `ReleaseClaim`.

    Attributes:
        key: The claim key.
        asker: The attempt that asked.
        attempt: The attempt that the answer is about.
        kind: The answer.
        group: The digest of the holders for which it was given.
        held: The attempts to which the key is known to be granted.
        revision: With `NEWER`, the revision of the holder's list.
        holders: With `NEWER`, the key's holders in that list.
        wait_ms: With `AHEAD`, milliseconds until the key can be granted; 0 if
            it is refused for good.
    """

    key: bytes = attrs.field(validator=_is_key)
    asker: Attempt
    attempt: Attempt
    kind: ClaimAnswerKind
    group: int = attrs.field(validator=_not_negative)
    held: tuple[HeldAttempt, ...] = ()
    revision: int = 0
    holders: tuple[str, ...] = ()
    wait_ms: int = 0


@attrs.frozen
class HolderEpoch:
    """The holders of a slot from a revision on.

    Attributes:
        revision: The revision of the host list, of which it is a function.
        holders: Names, sorted.
    """

    revision: int = attrs.field(validator=_not_negative)
    holders: tuple[str, ...]


@attrs.frozen
class SlotQuestion:
    """What a learner wants of one slot.

    Attributes:
        slot: The slot.
        epoch: The epoch that the learner wants to become active for; the
            receiver never again grants for an older one.
        oldest: The oldest revision with the same holders that the learner
            would take in place of the epoch's.
        after: Records up to this key were received before; empty for none.
    """

    slot: int = attrs.field(validator=_not_negative)
    epoch: HolderEpoch
    oldest: int = 0
    after: bytes = b""


@attrs.frozen
class LearnSlots:
    """Asks a host to seal slots and to tell what it knows of them.

    Attributes:
        incarnation: The sender's; another one under the same name has lost
            its memory and must not take the place of the first.
        questions: One for each slot.
    """

    incarnation: int
    questions: tuple[SlotQuestion, ...]


class SlotAnswerKind(enum.Enum):
    """How a host takes a `SlotQuestion`."""

    SEALED = "sealed"
    """It never again grants for an epoch older than the learner's."""

    NEWER = "newer"
    """It has sealed itself for a newer epoch, which is in `epochs`."""

    SAME = "same"
    """It has the learner's holders under the older epoch in `epochs`."""

    NAME_REUSED = "name-reused"
    """It has met another incarnation under the learner's name."""


@attrs.frozen
class ClaimRecord:
    """All that a holder knows of one key.

    Attributes:
        key: The claim key.
        held: Attempts to which it may have been granted.
        refused: For each coordinator the highest attempt that is never to be
            granted; all earlier ones of that coordinator aren't either.
    """

    key: bytes = attrs.field(validator=_is_key)
    held: tuple[HeldAttempt, ...] = ()
    refused: tuple[Attempt, ...] = ()


@attrs.frozen
class SlotAnswer:
    """What a host knows of one slot.

    Attributes:
        slot: The slot.
        kind: How it took the question.
        question: The epoch of the question.
        active: The newest revision for which it was active; 0 for none.
        epochs: Epochs that it knows, the one that it was active for and later.
        seen_from: With `seen_to`, a range of revisions of the host list all
            of which it has seen, so that `epochs` has every change in it.
        seen_to: The end of the range; 0 for none.
        horizon_ms: Keys of this time and before are never granted.
        records: A page of its records, by rising key.
        after: The last key of the page; ask with it for the next.
        more: Whether there are further pages.
    """

    slot: int = attrs.field(validator=_not_negative)
    kind: SlotAnswerKind
    question: HolderEpoch
    active: int = 0
    epochs: tuple[HolderEpoch, ...] = ()
    seen_from: int = 0
    seen_to: int = 0
    horizon_ms: int = 0
    records: tuple[ClaimRecord, ...] = ()
    after: bytes = b""
    more: bool = False


@attrs.frozen
class SlotAnswers:
    """Answers `LearnSlots`.

    Attributes:
        answers: One for each slot that fitted; the learner asks again for the
            others.
    """

    answers: tuple[SlotAnswer, ...]


ClaimMessage = (
    GrantClaim
    | CancelClaim
    | ReleaseClaim
    | RecordClaim
    | ClaimAnswer
    | LearnSlots
    | SlotAnswers
)
"""Every message of this module that travels by itself."""
