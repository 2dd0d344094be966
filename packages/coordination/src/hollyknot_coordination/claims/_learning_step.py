"""How a host that became a holder learns what earlier holders granted.

It asks hosts to seal the slot: never again to grant for an older epoch. The
epochs before its own are gone through, newest first. An epoch is settled once
enough of its holders have sealed: if one of these was active for it, they know
between them every attempt that has, or can still get, a majority; if none was,
nobody has or gets a majority there, and the next older epoch counts. A holder
that is active for the learner's own epoch has done all this already, so that
its answer alone is enough.

How many are enough? To meet every majority of grants, so many that the rest is
no majority. But an epoch between, of which the learner never heard, may have
been learnt from others of the same holders. To hear of it a majority has to
answer, since any two majorities meet. Where all revisions between are known,
the former is enough: one of two holders, two of four.
"""

import enum

import attrs

from hollyknot_coordination.claims._placement import blocking_minority, majority
from hollyknot_state import HolderEpoch


class Progress(enum.Enum):
    """How far a learner has come."""

    ASKING = "asking"
    """Hosts named in `LearningStep.to_ask` have to answer first."""

    LEARNT = "learnt"
    """All that matters is known."""

    FIRST = "first"
    """Every host of the data centre knows of no earlier holder."""


@attrs.frozen
class LearningStep:
    """What a learner needs next.

    Attributes:
        progress: How far it has come.
        ask: Hosts that haven't answered and of which some have to.
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
        epoch: The epoch to become active for.
        epochs: All known epochs, by revision.
        answers: For each host that has sealed and told all its records, the
            newest revision for which it was active, 0 for none.
        hosts: All hosts of the data centre that are listed, live or leaving.
        known_from: The revision from which on `epochs` lacks none.
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
    """Returns the step of a learner that knows no earlier active holder."""
    # The other holders of its own epoch are asked first: mostly they know, so
    # that a new host doesn't ask the whole data centre. But only when every
    # host has answered is it sure that there was no earlier holder.
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
