"""The upstreams that may get work, by incarnation.

Entries come and go by the directory. An entry that goes while the directory
has been away may only have lapsed: its upstream could not renew it. Such an
upstream keeps its work for a short while, since most of them come back; one
would otherwise refuse everything just when the directory has recovered.
"""

from collections.abc import Iterable

import attrs

from hollyknot_state.routes import UpstreamEntry


@attrs.define
class _Known:
    entry: UpstreamEntry
    lapses_at: float = float("inf")
    is_gone: bool = False


class Fleet:
    """All upstreams that a host knows."""

    def __init__(self, lapse_s: float) -> None:
        """Knows none.

        Args:
            lapse_s: How long a lapsed entry's upstream keeps its work.
        """
        self._lapse_s = lapse_s
        self._known: dict[str, _Known] = {}
        self._by_service: dict[str, list[UpstreamEntry]] | None = {}
        self._by_service_until = float("inf")

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._known

    def __len__(self) -> int:
        return len(self._known)

    def put(self, entry: UpstreamEntry) -> bool:
        """Takes in an entry.

        Returns:
            Whether it changes what is believed.
        """
        known = self._known.get(entry.incarnation)
        if known is not None and known.entry == entry and not known.is_gone:
            known.lapses_at = float("inf")
            self._by_service = None
            return False
        for other in self._at_address_of(entry):
            del self._known[other]
        is_gone = known is not None and known.is_gone
        self._known[entry.incarnation] = _Known(entry, is_gone=is_gone)
        self._by_service = None
        return True

    def remove(
        self, incarnation: str, now_s: float, *, may_have_lapsed: bool
    ) -> bool:
        """Takes an entry out.

        Args:
            incarnation: Which.
            now_s: The time.
            may_have_lapsed: Whether the directory has been away, so that the
                entry may have gone only for that.

        Returns:
            Whether it changes what is believed.
        """
        known = self._known.get(incarnation)
        if known is None:
            return False
        self._by_service = None
        if may_have_lapsed and not known.entry.is_draining:
            known.lapses_at = min(known.lapses_at, now_s + self._lapse_s)
            return False
        del self._known[incarnation]
        return True

    def replace(
        self,
        entries: Iterable[UpstreamEntry],
        now_s: float,
        *,
        may_have_lapsed: bool,
    ) -> None:
        """Takes in a whole list: what it lacks is removed."""
        listed = {entry.incarnation: entry for entry in entries}
        for incarnation in list(self._known):
            if incarnation not in listed:
                self.remove(incarnation, now_s, may_have_lapsed=may_have_lapsed)
        for entry in listed.values():
            self.put(entry)

    def service_of(self, incarnation: str) -> str:
        """Returns the service of an upstream; empty if it is not known."""
        known = self._known.get(incarnation)
        return known.entry.service if known is not None else ""

    def mark_gone(self, incarnation: str) -> None:
        """Notes that another incarnation answered at an upstream's address."""
        known = self._known.get(incarnation)
        if known is not None:
            known.is_gone = True
            self._by_service = None

    def is_usable(self, incarnation: str, now_s: float) -> bool:
        """Whether an upstream may get work at this moment."""
        known = self._known.get(incarnation)
        return (
            known is not None
            and not known.is_gone
            and not known.entry.is_draining
            and now_s < known.lapses_at
        )

    def usable(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Returns a service's upstreams that may get work, in a fixed order.

        The order is the same at all hosts that know the same entries.
        """
        if self._by_service is None or now_s >= self._by_service_until:
            self._index(now_s)
        assert self._by_service is not None
        return self._by_service.get(service, [])

    def all_usable(self, now_s: float) -> list[UpstreamEntry]:
        """Returns the upstreams of all services that may get work."""
        return [
            known.entry
            for incarnation, known in self._known.items()
            if self.is_usable(incarnation, now_s)
        ]

    def _index(self, now_s: float) -> None:
        by_service: dict[str, list[UpstreamEntry]] = {}
        until = float("inf")
        for incarnation in sorted(self._known):
            known = self._known[incarnation]
            if now_s >= known.lapses_at:
                del self._known[incarnation]
                continue
            until = min(until, known.lapses_at)
            if not known.is_gone and not known.entry.is_draining:
                entry = known.entry
                by_service.setdefault(entry.service, []).append(entry)
        self._by_service = by_service
        self._by_service_until = until

    def _at_address_of(self, entry: UpstreamEntry) -> list[str]:
        """Returns other incarnations that had the same address: they ended."""
        return [
            incarnation
            for incarnation, known in self._known.items()
            if known.entry.address == entry.address
            and incarnation != entry.incarnation
        ]
