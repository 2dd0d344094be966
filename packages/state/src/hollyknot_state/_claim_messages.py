"""Messages with which hosts claim a non-idempotent request before it runs.

A coordinator (the host that received the request) asks the holders of the
request's key (the hosts that store its claims) for grants. A slot is a part of
the key space whose keys have the same holders; an epoch is the holders of a
slot from a revision of the host list on. To seal a slot is to promise never
again to grant its keys for an older epoch.

Messages may be lost, duplicated, delayed or reordered. The sender's name comes
from the link, never from a message. Each class has a struct of the same name
and fields in `claims.thrift`.
"""

import enum
from typing import Any

import attrs
from attrs import validators

KEY_BYTES = 16
"""Length of a claim key: 6 bytes of time in milliseconds, 10 of a hash."""

_not_negative = validators.ge(0)


def _is_key(_: Any, attribute: Any, value: bytes) -> None:
    if len(value) != KEY_BYTES:
        raise ValueError(
            f"{attribute.name}: {len(value)} bytes; a claim key has {KEY_BYTES}"
        )


@attrs.frozen
class Attempt:
    """One try of one host to run the request of a key, never reused.

    Attributes:
        coordinator: The host's name, a slash and its incarnation.
        number: Number that rises with each attempt of that incarnation.
    """

    coordinator: str
    number: int = attrs.field(validator=_not_negative)


class ClaimOutcome(enum.Enum):
    """Outcomes of a granted attempt, as far as a holder knows."""

    UNKNOWN = "unknown"
    """The attempt may not have begun, may be running or may have ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    MAY_HAVE_RUN = "may-have-run"


@attrs.frozen
class HeldAttempt:
    """An attempt to which a key was granted, as a holder knows it.

    Attributes:
        attempt: The attempt.
        outcome: Outcome of the attempt, as far as the holder got reports of it.
    """

    attempt: Attempt
    outcome: ClaimOutcome = ClaimOutcome.UNKNOWN


@attrs.frozen
class GrantClaim:
    """Asks a holder to grant a key to the sender's attempt.

    Attributes:
        key: The claim key.
        attempt: The sender's attempt.
        revision: Revision of the host list from which the sender derived the
            holders.
        group: Digest of these holders.
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
        attempt: The attempt to cancel.
        asker: The attempt on whose behalf the sender asks.
        revision: Revision of the host list from which the sender derived the
            holders.
        group: Digest of these holders.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt
    asker: Attempt
    revision: int = attrs.field(validator=_not_negative)
    group: int = attrs.field(validator=_not_negative)


@attrs.frozen
class ReleaseClaim:
    """Tells a holder that an attempt provably has not run and never will.

    It is sent by the attempt's own coordinator, if the attempt was never sent
    to an upstream or the upstream proved that it refused; or by a host to which
    a majority of the holders has promised never to grant the attempt. The
    holder answers `RELEASED`.

    Attributes:
        key: The claim key.
        attempt: The attempt.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt


@attrs.frozen
class RecordClaim:
    """Tells a holder how an attempt ended, without an answer.

    Attributes:
        key: The claim key.
        attempt: The attempt.
        outcome: Outcome of the attempt.
    """

    key: bytes = attrs.field(validator=_is_key)
    attempt: Attempt
    outcome: ClaimOutcome


class ClaimAnswerKind(enum.Enum):
    """Kinds of answers to `GrantClaim`, `CancelClaim` and `ReleaseClaim`."""

    GRANTED = "granted"
    """The key is granted to the attempt at this holder."""

    HELD = "held"
    """Others (or the attempt to cancel) are known to hold the key."""

    CANCELLED = "cancelled"
    """The holder has promised never to grant the asking attempt."""

    PROMISED = "promised"
    """The holder has not granted and never will grant the cancelled attempt."""

    EXPIRED = "expired"
    """The key's time is at or below the holder's horizon."""

    AHEAD = "ahead"
    """The key's time is too far beyond the holder's clock; see `wait_ms`."""

    LEARNING = "learning"
    """The holder does not know yet what earlier holders granted."""

    BEHIND = "behind"
    """The holder's host list is older than the asker's."""

    NEWER = "newer"
    """The holder's host list is newer; see `revision` and `holders`."""

    RELEASED = "released"
    """The holder has applied a `ReleaseClaim`; the sender stops repeating."""


@attrs.frozen
class ClaimAnswer:
    """A holder's answer to `GrantClaim`, `CancelClaim` or `ReleaseClaim`.

    Attributes:
        key: The claim key.
        asker: The attempt that asked.
        attempt: The attempt that the answer is about.
        kind: Kind of the holder's answer.
        group: Digest of the holders for which the answer was given.
        held: Attempts to which the key is known to be granted.
        revision: With `NEWER`, the revision of the holder's host list.
        holders: With `NEWER`, the key's holders according to that list.
        wait_ms: With `AHEAD`, milliseconds until the key can be granted; 0 if
            the key never will be granted.
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
    """The holders of a slot from a revision of the host list on.

    Attributes:
        revision: Revision of the host list, from which the holders follow.
        holders: Sorted names of the holders.
    """

    revision: int = attrs.field(validator=_not_negative)
    holders: tuple[str, ...]


@attrs.frozen
class SlotQuestion:
    """A query of a learner (a host about to become a holder) about one slot.

    Attributes:
        slot: The slot.
        epoch: The epoch for which the learner wants to become active; the
            receiver never again grants for an older epoch.
        oldest: Oldest revision with the same holders that the learner accepts
            in place of the epoch's.
        after: Last key whose record the learner has received; empty for none.
    """

    slot: int = attrs.field(validator=_not_negative)
    epoch: HolderEpoch
    oldest: int = 0
    after: bytes = b""


@attrs.frozen
class LearnSlots:
    """Asks a host to seal slots and to report what it knows about them.

    Attributes:
        incarnation: The sender's incarnation. A later incarnation under the
            same name has lost its memory and must not take the first one's
            place.
        questions: One question per slot.
    """

    incarnation: int
    questions: tuple[SlotQuestion, ...]


class SlotAnswerKind(enum.Enum):
    """Kinds of answers to a `SlotQuestion`."""

    SEALED = "sealed"
    """The host never again grants for an epoch older than the learner's."""

    NEWER = "newer"
    """The host is at a newer epoch of the slot, which is in `epochs`."""

    SAME = "same"
    """The older epoch in `epochs` has the same holders as the learner's."""

    NAME_REUSED = "name-reused"
    """The host has seen another incarnation under the learner's name."""


@attrs.frozen
class ClaimRecord:
    """All that a holder knows about one key.

    Attributes:
        key: The claim key.
        held: Attempts to which the key may have been granted.
        refused: For each coordinator the highest attempt that must never be
            granted; the coordinator's earlier attempts must not be either.
    """

    key: bytes = attrs.field(validator=_is_key)
    held: tuple[HeldAttempt, ...] = ()
    refused: tuple[Attempt, ...] = ()


@attrs.frozen
class SlotAnswer:
    """The state of one slot as far as a host knows it.

    Attributes:
        slot: The slot.
        kind: Kind of the answer to the question.
        question: The epoch of the question.
        active: Newest revision for which the host was active; 0 for none.
        epochs: Epochs that the host knows, from the one for which it was
            active on.
        seen_from: Start of a range of revisions of the host list, all of which
            the host has seen, so that `epochs` has every change in the range.
        seen_to: End of that range; 0 for none.
        horizon_ms: Time, in milliseconds, up to which keys are never granted.
        records: One page of the host's records, in order of their keys.
        after: Last key of the page, with which to ask for the next page.
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
        answers: One answer for each slot that fitted into the message; the
            learner asks again for the others.
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
"""All messages of this module that are sent on their own."""
