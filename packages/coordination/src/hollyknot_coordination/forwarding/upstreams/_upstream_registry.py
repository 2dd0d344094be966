"""Keeps track of the upstreams in the directory, by incarnation.

Upstreams register themselves by entries in the directory, which lapse unless
they are renewed. An entry that is removed while the directory was unavailable
may only have lapsed because its upstream could not renew it. Such an upstream
still gets requests for a short time, since most of them register again;
otherwise the host would refuse all requests just when the directory has
recovered. If most entries are removed at once, the directory was unavailable
even if this host did not notice it.

An upstream may restart under the same name. Of two incarnations with one name
the one that started later is kept: an entry of the earlier one that is written
or read late never replaces it. Of two entries with one address the newer is
kept, but only if its service exists, since anybody may write an entry. For the
same reason an entry without a start is not used if most entries of its service
name one.

An upstream that says in its answers that it is leaving gets no more requests,
even if the directory holds a ready entry of it: its own word is newer. One that
asks for rest gets none until its rest ends.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

LAPSED_FRACTION = 0.5
"""Fraction of all entries that, removed at once, must have lapsed while the
directory was unavailable. A host whose open watch fell silent does not notice
that it was. Upstreams that leave on purpose do so a few at a time."""

MIN_LAPSED = 4
"""Entries that have to be removed at once to count as lapsed; fewer may be of
upstreams that left at the same time."""


MAX_LEAVING = 4096
"""Most incarnations of which the registry remembers that they were leaving; the
oldest are dropped first. They stay known after their entry has gone, since an
entry may be written again."""

NO_LAPSE = float("-inf")
"""End of the time in which an entry may be written again, if it was removed."""

REMOVED_RETENTION_S = 60.0
"""Seconds for which a removed entry is remembered. A directory that is restored
from an older copy may hold the entry again until it lapses."""


@attrs.define
class _UpstreamState:
    """An upstream that is registered.

    Attributes:
        entry: Its newest entry.
        lapses_at: Time, in seconds, from which the upstream gets no more
            requests unless its entry is written again.
        is_replaced: Whether another incarnation answered at its address.
    """

    entry: UpstreamEntry
    lapses_at: float = float("inf")
    is_replaced: bool = False


@attrs.frozen
class Ended:
    """An incarnation that is no longer registered.

    Attributes:
        incarnation: Identifier of the incarnation.
        is_superseded: Whether another incarnation has taken its name or
            address, so that its in-flight requests can't be answered any more.
    """

    incarnation: str
    is_superseded: bool


def _none_resting(_: float) -> Collection[str]:
    return ()


class UpstreamRegistry:
    """All upstreams that a host has read from the directory."""

    def __init__(
        self,
        mass_lapse_s: float,
        resting: Callable[[float], Collection[str]] = _none_resting,
    ) -> None:
        """Creates an empty registry.

        Args:
            mass_lapse_s: Seconds for which upstreams still get requests after
                most entries were removed at once.
            resting: Returns the incarnations that rest at a time in seconds.
        """
        self._mass_lapse_s = mass_lapse_s
        self._resting = resting
        self._known: dict[str, _UpstreamState] = {}
        self._names: dict[str, str] = {}
        self._services: frozenset[str] | None = None
        self._evacuated: frozenset[str] = frozenset()
        # Services most of whose entries name their start.
        self._naming_start: frozenset[str] = frozenset()
        self._ended: list[Ended] = []
        self._removed: dict[str, float] = {}
        # An ordered set: from the incarnation that was marked first.
        self._leaving: dict[str, None] = {}
        # The upstream that has each address, as of the last refresh.
        self._holders: dict[Address, UpstreamEntry] = {}
        self._by_service: dict[str, list[UpstreamEntry]] | None = {}
        self._by_service_until = float("inf")

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._known

    def __len__(self) -> int:
        return len(self._known)

    def set_services(self, services: Iterable[str]) -> None:
        """Sets which services exist; entries of others are not used."""
        self._services = frozenset(services)
        self._by_service = None

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Sets which data centres get no new requests."""
        self._evacuated = data_centres
        self._by_service = None

    def put(self, entry: UpstreamEntry) -> bool:
        """Adds or updates an entry.

        Returns:
            Whether the entry is new or differs from the one that was known.
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
        self, name: str, now_s: float, lapse_ends_s: float = NO_LAPSE
    ) -> str | None:
        """Removes an entry.

        Args:
            name: Name of the upstream.
            now_s: Current time, in seconds.
            lapse_ends_s: Time until which the entry may be written again since
                it may only have lapsed, in seconds. The upstream gets requests
                until then.

        Returns:
            The incarnation whose entry it was; None if none is known.
        """
        known = self._of_name(name)
        if known is None:
            return None
        self._by_service = None
        incarnation = known.entry.incarnation
        if lapse_ends_s > now_s and not known.entry.is_draining:
            known.lapses_at = min(known.lapses_at, lapse_ends_s)
        else:
            self._end(incarnation, is_superseded=False)
            self._remember_removed(incarnation, now_s)
        return incarnation

    def _remember_removed(self, incarnation: str, now_s: float) -> None:
        for other, removed_s in list(self._removed.items()):
            if now_s - removed_s >= REMOVED_RETENTION_S:
                del self._removed[other]
        self._removed[incarnation] = now_s

    def are_lapses(self, removed: Collection[str]) -> bool:
        """Whether so many entries are removed at once that they have lapsed.

        Args:
            removed: Names of the upstreams whose entries were removed.
        """
        known = len(self._names.keys() & set(removed))
        return known >= max(MIN_LAPSED, len(self._names) * LAPSED_FRACTION)

    def lapse_end(
        self, removed: Collection[str], now_s: float, lapse_ends_s: float
    ) -> float:
        """Returns until when removed entries may be written again.

        That may be later than the directory's answers show, if so many are
        removed at once that they have lapsed.

        Args:
            removed: Names of the upstreams whose entries were removed.
            now_s: Current time, in seconds.
            lapse_ends_s: The time that the directory's answers show, in
                seconds.
        """
        if not self.are_lapses(removed):
            return lapse_ends_s
        return max(lapse_ends_s, now_s + self._mass_lapse_s)

    def _from_older_copy(
        self, entry: UpstreamEntry, now_s: float
    ) -> UpstreamEntry | None:
        """Returns the entry to use when the one read may be out of date.

        A draining upstream stays draining, and an entry that was removed
        recently is ignored.

        Returns:
            The entry to use; None if it is to be ignored.
        """
        removed_s = self._removed.get(entry.incarnation)
        if removed_s is not None and now_s - removed_s < REMOVED_RETENTION_S:
            return None
        known = self._known.get(entry.incarnation)
        if known is not None and known.entry.is_draining:
            return attrs.evolve(entry, is_draining=True)
        return entry

    def replace(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        lapse_ends_s: float = NO_LAPSE,
        *,
        may_be_older: bool = False,
    ) -> list[UpstreamEntry]:
        """Replaces all entries by those of a list.

        Args:
            entries: All entries in the directory.
            now_s: Current time, in seconds.
            lapse_ends_s: Time until which missing entries may be written again
                since they may only have lapsed, in seconds.
            may_be_older: Whether the list may be older than what is known.

        Returns:
            The entries that are new or differ from those that were known.
        """
        if may_be_older:
            older = (self._from_older_copy(e, now_s) for e in entries)
            entries = [entry for entry in older if entry is not None]
        listed = {entry.name: entry for entry in entries}
        removed = self._names.keys() - listed.keys()
        lapse_ends_s = self.lapse_end(removed, now_s, lapse_ends_s)
        for name in sorted(removed):
            self.remove(name, now_s, lapse_ends_s)
        return [entry for entry in listed.values() if self.put(entry)]

    def pop_ended(self) -> list[Ended]:
        """Returns the incarnations that ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def service_of(self, name: str) -> str:
        """Returns the service of an upstream; empty if it is not known."""
        known = self._of_name(name)
        return known.entry.service if known is not None else ""

    def entry_of(self, incarnation: str) -> UpstreamEntry | None:
        """Returns the entry of an incarnation; None if it is not known."""
        known = self._known.get(incarnation)
        return known.entry if known is not None else None

    def has_successor(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether another incarnation has taken an upstream's place.

        This proves that its process has ended. That its entry is missing proves
        nothing: an upstream that is cut off from the directory loses it too.

        Args:
            entry: Last entry of the upstream.
            now_s: Current time, in seconds.
        """
        self._refresh(now_s)
        known = self._known.get(entry.incarnation)
        if known is not None and known.is_replaced:
            return True
        namesake = self._of_name(entry.name)
        return _is_newer(self._holders.get(entry.address), entry) or (
            namesake is not None and _is_newer(namesake.entry, entry)
        )

    def mark_replaced(self, incarnation: str) -> None:
        """Records that another incarnation answered at an address."""
        known = self._known.get(incarnation)
        if known is not None:
            known.is_replaced = True
            self._by_service = None

    def mark_leaving(self, incarnation: str) -> bool:
        """Records that an upstream has said that it is shutting down.

        This holds until the incarnation ends, whatever its entry says.

        Returns:
            Whether this was not known before.
        """
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        self._by_service = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, incarnation: str) -> bool:
        """Whether an upstream has said that it is shutting down."""
        return incarnation in self._leaving

    def is_usable(self, incarnation: str, now_s: float) -> bool:
        """Whether an upstream may get requests now."""
        self._refresh(now_s)
        known = self._known.get(incarnation)
        if known is None or not self._accepts_work(known):
            return False
        return incarnation not in self._resting(now_s)

    def usable(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Returns a service's upstreams that may get requests now.

        Their order is the same at all hosts that know the same entries.
        """
        entries = self._refresh(now_s).get(service, [])
        resting = self._resting(now_s)
        if not resting:
            return entries
        return [entry for entry in entries if entry.incarnation not in resting]

    def by_service(self, now_s: float) -> Mapping[str, list[UpstreamEntry]]:
        """Returns the upstreams that get requests, the resting ones included.

        A service's list is the same object until its upstreams change.
        """
        return self._refresh(now_s)

    def of_service(self, service: str) -> list[UpstreamEntry]:
        """Returns a service's upstreams, those that are leaving included."""
        entries = [known.entry for known in self._known.values()]
        return [entry for entry in entries if entry.service == service]

    def resting(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Returns a service's upstreams that would get requests but rest."""
        resting = self._resting(now_s)
        entries = self._refresh(now_s).get(service, [])
        return [entry for entry in entries if entry.incarnation in resting]

    def all_serving(self, now_s: float) -> list[UpstreamEntry]:
        """Returns the upstreams of all services that get requests.

        Some of them may rest at present.
        """
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
        self._naming_start = self._services_naming_start()
        for incarnation in sorted(self._known):
            known = self._known[incarnation]
            if self._accepts_work(known):
                entry = known.entry
                by_service.setdefault(entry.service, []).append(entry)
        return by_service

    def _services_naming_start(self) -> frozenset[str]:
        """Returns the services most of whose entries name their start."""
        entries = [known.entry for known in self._known.values()]
        total = Counter(entry.service for entry in entries)
        named = Counter(entry.service for entry in entries if entry.born_ms)
        return frozenset(s for s, n in named.items() if n > total[s] / 2)

    def _accepts_work(self, known: _UpstreamState) -> bool:
        entry = known.entry
        if known.is_replaced or entry.is_draining:
            return False
        if entry.incarnation in self._leaving:
            return False
        if not entry.born_ms and entry.service in self._naming_start:
            return False
        is_evacuated = entry.data_centre in self._evacuated
        return not is_evacuated and self._exists(entry.service)

    def _exists(self, service: str) -> bool:
        return self._services is None or service in self._services

    def _end_lapsed(self, now_s: float) -> None:
        for incarnation, known in list(self._known.items()):
            if now_s >= known.lapses_at:
                self._end(incarnation, is_superseded=False)
                self._remember_removed(incarnation, now_s)

    def _end_displaced(self) -> None:
        """Ends incarnations whose address now belongs to another one."""
        holders: dict[Address, UpstreamEntry] = {}
        self._holders = holders
        # In the order in which they were first registered.
        for known in list(self._known.values()):
            entry = known.entry
            if known.is_replaced or not self._exists(entry.service):
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


def _is_newer(other: UpstreamEntry | None, entry: UpstreamEntry) -> bool:
    """Whether an entry is of another incarnation that started no earlier."""
    if other is None or other.incarnation == entry.incarnation:
        return False
    return other.born_ms >= entry.born_ms
