"""Keeps the last changes of a document in both directions.

Two hosts may reach a version by different steps if one of them skipped a
version. A request therefore lists the last versions that its sender can go
back to, and a peer that has the changes since any of them answers with a delta.
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
"""Maximum number of kept changes: almost five minutes at 0.22 a second."""

MAX_DELTA_BYTES = 131_072
"""Maximum bytes of a kept change.

For a larger one, sending the full document in pages costs no more.
"""

MAX_LOG_BYTES = 1_048_576
"""Maximum bytes of all kept changes, counting both directions."""

MAX_BASES = 8
"""Maximum number of versions in a request; the log may reach further back."""


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
    """Holds consecutive changes that lead to the snapshot in force."""

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
            # This step is not kept, so the earlier ones no longer lead to the
            # snapshot in force.
            self._steps.clear()
            self._size = 0
            return
        self._steps.append(step)
        self._size += step.size
        while len(self._steps) > MAX_STEPS or self._size > MAX_LOG_BYTES:
            self._size -= self._steps.pop(0).size

    def bases(self, in_force: Snapshot) -> tuple[DocumentVersion, ...]:
        """Returns the versions that a delta may start from, newest first."""
        if in_force.version.version == 0:
            return ()
        steps = self._steps[:-MAX_BASES:-1]
        return (in_force.version, *(step.base for step in steps))

    def snapshot_at(
        self, in_force: Snapshot, wanted: DocumentVersion
    ) -> Snapshot | DocumentVersion:
        """Reconstructs the snapshot of an earlier version.

        Returns:
            The snapshot, or the wanted version if the log does not contain it.
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
        """Merges the changes since the first base that the log contains.

        Returns:
            The delta to the snapshot in force, or the bases if the log
            contains none of them or the delta would be too large.
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
