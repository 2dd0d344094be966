"""The last changes of a document, forwards and backwards.

Two hosts may come to one version by different steps, when one of them skipped
a version. A host therefore names the last versions that it can go back to;
whoever has changes from any one of them can answer with a delta.
"""

from collections.abc import Iterable

import attrs

from hollyknot_coordination.spread._records import (
    Change,
    Snapshot,
    apply_change,
    invert_change,
)
from hollyknot_state import DocumentDelta, DocumentRecord, DocumentVersion

MAX_STEPS = 64
"""Changes kept: nearly five minutes of them at 0.22 a second."""

MAX_DELTA_BYTES = 131_072
"""A larger change is not kept; the whole document in pages is no dearer."""

MAX_LOG_BYTES = 1_048_576
"""Bytes of all kept changes, in both directions."""

MAX_BASES = 8
"""Versions that a request names. The log may reach further back."""


@attrs.frozen
class _Step:
    base: DocumentVersion
    target: DocumentVersion
    forward: Change
    backward: Change

    @property
    def size(self) -> int:
        return self.forward.size + self.backward.size


class DeltaLog:
    """Consecutive changes that lead to the snapshot in force."""

    def __init__(self) -> None:
        self._steps: list[_Step] = []
        self._size = 0

    def append(
        self, old: Snapshot, new: DocumentVersion, change: Change
    ) -> None:
        """Adds the change from the snapshot in force to the next version."""
        back = invert_change(change, old.records)
        step = _Step(old.version, new, change, back)
        if old.version.version == 0 or change.size > MAX_DELTA_BYTES:
            # A gap: what is kept must lead to the snapshot in force.
            self._steps.clear()
            self._size = 0
            return
        self._steps.append(step)
        self._size += step.size
        while len(self._steps) > MAX_STEPS or self._size > MAX_LOG_BYTES:
            self._size -= self._steps.pop(0).size

    def bases(self, in_force: Snapshot) -> tuple[DocumentVersion, ...]:
        """Returns versions that a delta may start from, newest first."""
        if in_force.version.version == 0:
            return ()
        steps = self._steps[:-MAX_BASES:-1]
        return (in_force.version, *(step.base for step in steps))

    def snapshot_at(
        self, in_force: Snapshot, wanted: DocumentVersion
    ) -> Snapshot | DocumentVersion:
        """Goes back to an earlier version.

        Returns:
            The snapshot, or the wanted version if the log does not reach it.
        """
        snapshot = in_force
        for step in reversed(self._steps):
            if snapshot.version == wanted:
                break
            back = step.backward
            snapshot = apply_change(
                snapshot, step.base.version, back.changed, back.removed
            )
        return snapshot if snapshot.version == wanted else wanted

    def delta_from(
        self, bases: Iterable[DocumentVersion]
    ) -> DocumentDelta | tuple[DocumentVersion, ...]:
        """Returns one delta from the first of the bases that the log knows.

        Returns:
            The delta to the snapshot in force, or the bases if none is known
            or the delta would be too large.
        """
        starts = {step.base: i for i, step in enumerate(self._steps)}
        tried = tuple(bases)
        for base in tried:
            if base in starts:
                steps = self._steps[starts[base] :]
                change = _compose([step.forward for step in steps])
                if change.size > MAX_DELTA_BYTES:
                    break
                return DocumentDelta(
                    base, steps[-1].target, change.changed, change.removed
                )
        return tried


def _compose(changes: list[Change]) -> Change:
    changed: dict[str, DocumentRecord] = {}
    removed: set[str] = set()
    for change in changes:
        for path in change.removed:
            changed.pop(path, None)
            removed.add(path)
        for record in change.changed:
            changed[record.path] = record
            removed.discard(record.path)
    return Change(tuple(changed.values()), tuple(sorted(removed)))
