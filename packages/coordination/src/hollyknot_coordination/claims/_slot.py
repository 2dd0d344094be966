"""Holds a holder's state of one slot: its epochs, horizon and records."""

import attrs

from hollyknot_coordination.claims._placement import group_digest
from hollyknot_coordination.claims._records import SlotRecords
from hollyknot_state import HolderEpoch, SlotAnswer

NO_EPOCH = HolderEpoch(0, ())
"""Stands for no epoch; the revisions of real epochs are above 0."""


@attrs.define
class Slot:
    """The state of one slot at one host.

    Attributes:
        records: The records of the slot's keys.
        epoch: The newest epoch that this host has adopted. It never grants for
            an older one.
        seen: The newest revision of the host list at which the holders of
            `epoch` are known to be valid.
        promised: The newest revision for which this host sealed the slot on
            behalf of another, or which another reported; this host never adopts
            an older one.
        active: The newest revision for which this host was active; 0 for
            none. It grants only while this is the epoch's revision.
        horizon_ms: Key time, in ms since 1970, up to which no key is granted.
        epochs: Known holders by revision, from the one that this host was
            active for on.
    """

    records: SlotRecords
    epoch: HolderEpoch = NO_EPOCH
    seen: int = 0
    promised: int = 0
    active: int = 0
    horizon_ms: int = 0
    epochs: dict[int, tuple[str, ...]] = attrs.Factory(dict)
    _digest: int = 0

    @property
    def is_active(self) -> bool:
        """Whether this host may grant keys of this slot."""
        return self.active > 0 and self.active == self.epoch.revision

    @property
    def digest(self) -> int:
        """The digest of the epoch's holders."""
        return self._digest

    def move_to(self, epoch: HolderEpoch) -> None:
        """Adopts an epoch; from now on nothing is granted for older ones."""
        self.epoch = epoch
        self.seen = max(self.seen, epoch.revision)
        self.epochs = {
            r: h for r, h in self.epochs.items() if r < epoch.revision
        }
        self.add_epoch(epoch)
        self._digest = group_digest(epoch.holders)

    def add_epoch(self, epoch: HolderEpoch) -> None:
        """Adds an epoch to the known ones, unless it is too old to matter."""
        # An epoch without holders, of a slot whose home was another data
        # centre, can't be settled as nobody answers for it. It would keep the
        # slot closed for good.
        if epoch.holders and epoch.revision >= self.active:
            self.epochs[epoch.revision] = epoch.holders

    def merge(self, answer: SlotAnswer) -> None:
        """Adds the records, epochs and horizon that another host has sent."""
        self.raise_horizon(answer.horizon_ms)
        for record in answer.records:
            self.records.merge(record)
        for epoch in answer.epochs:
            self.add_epoch(epoch)

    def activate(self) -> None:
        """Starts to grant keys for the epoch."""
        self.active = self.epoch.revision
        # Learners stop at the newest epoch that a holder was active for, so
        # that older ones aren't needed any more.
        self.epochs = {r: h for r, h in self.epochs.items() if r >= self.active}

    def clear(self) -> None:
        """Drops the records and the revision that this host was active for."""
        self.records = SlotRecords(self.records.coordinators)
        self.active = 0
        self.epochs = {self.epoch.revision: self.epoch.holders}

    def raise_horizon(self, horizon_ms: int) -> None:
        """Raises the horizon; a lower value (clock set back) is ignored."""
        self.horizon_ms = max(self.horizon_ms, horizon_ms)
