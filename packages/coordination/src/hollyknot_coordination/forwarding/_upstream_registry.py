"""The upstreams that may get work, by incarnation.

Entries come and go by the directory. An entry that goes while the directory
has been away may only have lapsed: its upstream could not renew it. Such an
upstream keeps its work for a short while, since most of them come back; one
would otherwise refuse everything just when the directory has recovered. If most
entries go at one moment, the directory has been away even if nobody noticed.

An upstream may start again under the name that it had. Of two runs with one
name the one that began later lives: an entry of the run before, written late or
read late, never takes its place. Of two entries with one address the newer
holds, if its service exists; anybody may write an entry.
"""

from collections.abc import Collection, Iterable

import attrs

from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

LAPSED_FRACTION = 0.5
"""Of all upstreams, the part whose entries go at one moment only because the
directory has been away: a host whose open watch fell silent has not seen that
it was. Upstreams that leave do so a few at a time."""

MIN_LAPSED = 4
"""Fewer entries than this may go at one moment on their own account."""


REMEMBER_REMOVED_S = 60.0
"""How long it is known that an upstream's entry was removed. A directory that
comes back from an older copy may have the entry again until it lapses."""


@attrs.define
class _UpstreamState:
    entry: UpstreamEntry
    lapses_at: float = float("inf")
    is_replaced: bool = False


@attrs.frozen
class Ended:
    """An incarnation that is no longer known.

    Attributes:
        incarnation: Which.
        runs_no_more: Whether another one has taken its name or address, so
            that nothing that it had begun can be answered.
    """

    incarnation: str
    is_superseded: bool


class UpstreamRegistry:
    """All upstreams that a host knows."""

    def __init__(self, lapse_s: float) -> None:
        """Knows none.

        Args:
            lapse_s: How long a lapsed entry's upstream keeps its work.
        """
        self._lapse_s = lapse_s
        self._known: dict[str, _UpstreamState] = {}
        self._names: dict[str, str] = {}
        self._services: frozenset[str] | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._ended: list[Ended] = []
        self._removed: dict[str, float] = {}
        self._by_service: dict[str, list[UpstreamEntry]] | None = {}
        self._by_service_until = float("inf")

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._known

    def __len__(self) -> int:
        return len(self._known)

    def set_services(self, services: Iterable[str]) -> None:
        """Tells which services exist; entries of others name no upstream."""
        self._services = frozenset(services)
        self._by_service = None

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Tells which data centres are to get no new work."""
        self._evacuated = data_centres
        self._by_service = None

    def put(self, entry: UpstreamEntry) -> bool:
        """Takes in an entry.

        Returns:
            Whether it changes what is believed.
        """
        before = self._of_name(entry.name)
        if before is not None and before.entry.born_ms > entry.born_ms:
            return False
        known = self._known.get(entry.incarnation)
        if known is not None:
            is_change = known.entry != entry
            if is_change or known.lapses_at != float("inf"):
                self._by_service = None
            known.entry = entry
            known.lapses_at = float("inf")
            return is_change
        self._by_service = None
        if before is not None:
            self._end(before.entry.incarnation, is_superseded=True)
        self._known[entry.incarnation] = _UpstreamState(entry)
        self._names[entry.name] = entry.incarnation
        return True

    def remove(
        self, name: str, now_s: float, *, may_have_lapsed: bool
    ) -> str | None:
        """Takes an entry out.

        Args:
            name: Of the upstream.
            now_s: The time.
            may_have_lapsed: Whether the directory has been away, so that the
                entry may have gone only for that.

        Returns:
            The incarnation whose entry it was; None if none is known.
        """
        known = self._of_name(name)
        if known is None:
            return None
        self._by_service = None
        incarnation = known.entry.incarnation
        if may_have_lapsed and not known.entry.is_draining:
            known.lapses_at = min(known.lapses_at, now_s + self._lapse_s)
        else:
            self._end(incarnation, is_superseded=False)
            self._note_removed(incarnation, now_s)
        return incarnation

    def _note_removed(self, incarnation: str, now_s: float) -> None:
        for other, removed_s in list(self._removed.items()):
            if now_s - removed_s >= REMEMBER_REMOVED_S:
                del self._removed[other]
        self._removed[incarnation] = now_s

    def are_lapses(self, removed: Collection[str]) -> bool:
        """Whether so many entries go at once that they must have lapsed.

        Args:
            removed: Names of the upstreams whose entries have gone.
        """
        known = len(self._names.keys() & set(removed))
        return known >= max(MIN_LAPSED, len(self._names) * LAPSED_FRACTION)

    def _from_older_copy(
        self, entry: UpstreamEntry, now_s: float
    ) -> UpstreamEntry | None:
        """Returns what a list says that may be older than what is known.

        An upstream that is known to leave does not come back, and one whose
        entry was removed lately is not there again.
        """
        removed_s = self._removed.get(entry.incarnation)
        if removed_s is not None and now_s - removed_s < REMEMBER_REMOVED_S:
            return None
        known = self._known.get(entry.incarnation)
        if known is not None and known.entry.is_draining:
            return attrs.evolve(entry, is_draining=True)
        return entry

    def replace(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        *,
        may_have_lapsed: bool,
        may_be_older: bool = False,
    ) -> list[UpstreamEntry]:
        """Takes in a whole list: what it lacks is removed.

        Args:
            entries: The list.
            now_s: The time.
            may_have_lapsed: As of `remove`.
            may_be_older: Whether the list may be older than what is known.

        Returns:
            The entries that change what is believed.
        """
        if may_be_older:
            older = (self._from_older_copy(e, now_s) for e in entries)
            entries = [entry for entry in older if entry is not None]
        listed = {entry.name: entry for entry in entries}
        removed = self._names.keys() - listed.keys()
        lapsed = may_have_lapsed or self.are_lapses(removed)
        for name in sorted(removed):
            self.remove(name, now_s, may_have_lapsed=lapsed)
        return [entry for entry in listed.values() if self.put(entry)]

    def take_ended(self) -> list[Ended]:
        """Returns what has ended since this was last asked."""
        ended, self._ended = self._ended, []
        return ended

    def service_of(self, name: str) -> str:
        """Returns the service of an upstream; empty if it is not known."""
        known = self._of_name(name)
        return known.entry.service if known is not None else ""

    def entry_of(self, incarnation: str) -> UpstreamEntry | None:
        """Returns an upstream that is known."""
        known = self._known.get(incarnation)
        return known.entry if known is not None else None

    def mark_replaced(self, incarnation: str) -> None:
        """Notes that another incarnation answered at an upstream's address."""
        known = self._known.get(incarnation)
        if known is not None:
            known.is_replaced = True
            self._by_service = None

    def is_usable(self, incarnation: str, now_s: float) -> bool:
        """Whether an upstream may get work at this moment."""
        self._refresh(now_s)
        known = self._known.get(incarnation)
        return known is not None and self._accepts_work(known)

    def usable(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Returns a service's upstreams that may get work, in a fixed order.

        The order is the same at all hosts that know the same entries.
        """
        return self._refresh(now_s).get(service, [])

    def all_usable(self, now_s: float) -> list[UpstreamEntry]:
        """Returns the upstreams of all services that may get work."""
        found = self._refresh(now_s).values()
        return [entry for entries in found for entry in entries]

    def _refresh(self, now_s: float) -> dict[str, list[UpstreamEntry]]:
        if self._by_service is None or now_s >= self._by_service_until:
            self._end_lapsed(now_s)
            self._end_displaced()
            self._by_service = self._index()
            self._by_service_until = min(
                (known.lapses_at for known in self._known.values()),
                default=float("inf"),
            )
        return self._by_service

    def _index(self) -> dict[str, list[UpstreamEntry]]:
        by_service: dict[str, list[UpstreamEntry]] = {}
        for incarnation in sorted(self._known):
            known = self._known[incarnation]
            if self._accepts_work(known):
                entry = known.entry
                by_service.setdefault(entry.service, []).append(entry)
        return by_service

    def _accepts_work(self, known: _UpstreamState) -> bool:
        entry = known.entry
        if known.is_replaced or entry.is_draining:
            return False
        is_evacuated = entry.data_centre in self._evacuated
        return not is_evacuated and self._exists(entry.service)

    def _exists(self, service: str) -> bool:
        return self._services is None or service in self._services

    def _end_lapsed(self, now_s: float) -> None:
        for incarnation, known in list(self._known.items()):
            if now_s >= known.lapses_at:
                self._end(incarnation, is_superseded=False)
                self._note_removed(incarnation, now_s)

    def _end_displaced(self) -> None:
        """Ends incarnations whose address was given to another one."""
        holders: dict[Address, UpstreamEntry] = {}
        # In the order in which they were first heard of.
        for known in list(self._known.values()):
            entry = known.entry
            if not self._exists(entry.service):
                continue
            other = holders.get(entry.address)
            holders[entry.address] = entry
            if other is None:
                continue
            if other.born_ms > entry.born_ms:
                holders[entry.address], other = other, entry
            self._end(other.incarnation, is_superseded=True)

    def _of_name(self, name: str) -> _UpstreamState | None:
        incarnation = self._names.get(name)
        return None if incarnation is None else self._known[incarnation]

    def _end(self, incarnation: str, *, is_superseded: bool) -> None:
        known = self._known.pop(incarnation)
        del self._names[known.entry.name]
        self._ended.append(Ended(incarnation, is_superseded))
