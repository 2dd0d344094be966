"""What a holder knows of one slot, apart from the records' layout."""

import attrs

from hollyknot_coordination.claims._placement import group_digest
from hollyknot_coordination.claims._records import SlotRecords
from hollyknot_state import HolderEpoch, SlotAnswer

NO_EPOCH = HolderEpoch(0, ())
"""Stands for no epoch at all; real revisions are above 0."""


@attrs.define
class Slot:
    """One slot at one host.

    Attributes:
        records: What is remembered of its keys.
        epoch: The newest epoch that this host goes by. It never grants for an
            older one.
        seen: The newest revision of a host list by which `epoch` still has
            the right holders.
        promised: The newest revision at which this host sealed the slot for
            another, or was told of by another; it never goes back below.
        active: The newest revision for which this host was active; 0 for
            none. It grants only while this is the epoch's.
        horizon_ms: Keys of this time and before are never granted.
        epochs: Holders by revision, from the one it was active for on.
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
        """Takes an epoch; from now on no older one is granted for."""
        self.epoch = epoch
        self.seen = max(self.seen, epoch.revision)
        self.epochs = {
            r: h for r, h in self.epochs.items() if r < epoch.revision
        }
        self.add_epoch(epoch)
        self._digest = group_digest(epoch.holders)

    def add_epoch(self, epoch: HolderEpoch) -> None:
        """Remembers an epoch, unless it is too old to matter."""
        # Nobody can answer for no holders: such an epoch, of a slot whose
        # home was elsewhere, would keep the slot closed for good.
        if epoch.holders and epoch.revision >= self.active:
            self.epochs[epoch.revision] = epoch.holders

    def merge(self, answer: SlotAnswer) -> None:
        """Takes in what another host knows of the slot."""
        self.raise_horizon(answer.horizon_ms)
        for record in answer.records:
            self.records.merge(record)
        for epoch in answer.epochs:
            self.add_epoch(epoch)

    def activate(self) -> None:
        """Begins to grant for the epoch."""
        self.active = self.epoch.revision
        # Whoever asks stops at the newest epoch that a holder was active
        # for, so that older ones are never looked at again.
        self.epochs = {r: h for r, h in self.epochs.items() if r >= self.active}

    def clear(self) -> None:
        """Forgets the records and what this host was active for."""
        self.records = SlotRecords(self.records.coordinators)
        self.active = 0
        self.epochs = {self.epoch.revision: self.epoch.holders}

    def raise_horizon(self, horizon_ms: int) -> None:
        """Raises the horizon; a lower value, as by a clock set back, is not."""
        self.horizon_ms = max(self.horizon_ms, horizon_ms)
