"""Decides from whom a new holder still has to learn earlier grants.

A learner, which is a host that became a holder, asks hosts to seal the slot:
never again to grant for an older epoch. It goes through the epochs before its
own, newest first. An epoch is settled once enough of its holders have sealed.
If one of these was active for the epoch, they know between them every attempt
that has, or can still get, a majority. If none was, nobody has or gets a
majority in that epoch, and the next older epoch counts. A holder that is active
for the learner's own epoch has done all this already, so that its answer alone
is enough.

The number of holders that is enough depends on which epochs the learner knows.
If it knows every revision from that epoch to its own, a blocking minority is
enough, since the other holders are no majority: one of two holders, two of
four. Otherwise there may be an epoch in between that the learner doesn't know,
and whose holders learnt from other holders of the older epoch. A majority has
to answer then, since any two majorities have a host in common, which knows of
the epoch in between.
"""

import enum

import attrs

from hollyknot_coordination.claims._placement import blocking_minority, majority
from hollyknot_state import HolderEpoch


class Progress(enum.Enum):
    """The state of learning a slot."""

    ASKING = "asking"
    """Some hosts of `LearningStep.to_ask` have to answer first."""

    LEARNT = "learnt"
    """Every grant that matters is known."""

    FIRST = "first"
    """All hosts of the data centre answered; none knows an earlier holder."""


@attrs.frozen
class LearningStep:
    """What a learner needs next.

    Attributes:
        progress: The state of learning.
        to_ask: Hosts that haven't answered, some of which have to.
    """

    progress: Progress
    to_ask: tuple[str, ...] = ()


def next_learning_step(
    epoch: HolderEpoch,
    epochs: dict[int, tuple[str, ...]],
    answers: dict[str, int],
    hosts: tuple[str, ...],
    known_from: int,
) -> LearningStep:
    """Returns what a learner needs next.

    Args:
        epoch: The epoch that the learner is to become active for.
        epochs: All known epochs, by revision.
        answers: The newest revision for which a host was active, 0 for none,
            by each host that has sealed and sent all its records.
        hosts: All hosts of the data centre in the host list, live or leaving.
        known_from: The revision from which on `epochs` is complete.
    """
    if epoch.revision in answers.values():
        return LearningStep(Progress.LEARNT)
    older = sorted((r for r in epochs if r < epoch.revision), reverse=True)
    for revision in older:
        holders = epochs[revision]
        answered = [name for name in holders if name in answers]
        is_known = known_from <= revision
        enough = blocking_minority(holders) if is_known else majority(holders)
        if len(answered) < enough:
            return LearningStep(Progress.ASKING, _missing(holders, answers))
        if any(answers[name] == revision for name in answered):
            return LearningStep(Progress.LEARNT)
    return _step_without_earlier(epoch, answers, hosts)


def _step_without_earlier(
    epoch: HolderEpoch, answers: dict[str, int], hosts: tuple[str, ...]
) -> LearningStep:
    """Returns the step of a learner that found no earlier active holder."""
    # The other holders of its own epoch are asked first: they mostly know the
    # earlier holders, which saves asking the whole data centre. That there was
    # no earlier holder is certain only once every host has answered.
    missing = _missing(epoch.holders, answers)
    if missing and not _any_answered(epoch, answers):
        return LearningStep(Progress.ASKING, missing)
    missing = _missing((*epoch.holders, *hosts), answers)
    if missing:
        return LearningStep(Progress.ASKING, missing)
    return LearningStep(Progress.FIRST)


def _any_answered(epoch: HolderEpoch, answers: dict[str, int]) -> bool:
    return sum(name in answers for name in epoch.holders) > 1


def _missing(
    names: tuple[str, ...], answers: dict[str, int]
) -> tuple[str, ...]:
    return tuple(dict.fromkeys(n for n in names if n not in answers))
