"""Lets all hosts divide a service's upstreams into lanes of the same sizes.

Each host estimates the demand of all hosts from a sample. If each sized the
lanes by its own estimate, an upstream would be in the loose lane for some hosts
and in the tight lane for others, and tight streams would meet long prompts
there. So all hosts use the size that one of them computes, the sizer.

The sizer is not elected. Answers and reports carry the size that their sender
uses, with its age and the rank of the host that computed it. Of fresh sizes the
one of the highest rank counts. A host that knows the demand and no fresh size
of another host computes its own, so another one takes over from a sizer that is
lost.
"""

import zlib
from collections.abc import Iterable

import attrs

from hollyknot_state import LaneShare, short_name

FRESH_S = 1.0
"""Age in seconds up to which a size shows that its sizer goes on. A sizer
computes one four times a second."""

MAX_AGE_S = 4.0
"""Age in seconds above which a size is no longer used. Between the two ages a
host that knows the demand takes over; all others use the old size, since an
older size is better than one that differs from host to host."""

NEWS_S = 0.6
"""Seconds for which a changed size is part of each answer, until it has reached
nearly all hosts."""

_PERMILLE = 1000


@attrs.frozen
class _Known:
    share: float
    rank: int
    computed_s: float
    changed_s: float


class LaneShares:
    """Shares of upstreams that the loose lane gets, by service."""

    def __init__(self, token: int) -> None:
        """Creates shares of which none is known.

        Args:
            token: Random number of this host, from which its ranks follow.
        """
        self._token = token
        self._known: dict[int, _Known] = {}
        self._ranks: dict[str, int] = {}

    def from_others(
        self, service: str, now_s: float, *, can_size: bool
    ) -> float | None:
        """Returns the share that this host has to use.

        Args:
            service: Name of the service.
            now_s: Current time in seconds.
            can_size: Whether this host knows the demand of all hosts.

        Returns:
            A share from 0 to 1; None if this host is the sizer.
        """
        max_age_s = FRESH_S if can_size else MAX_AGE_S
        known = self._known.get(short_name(service))
        if known is None or now_s - known.computed_s > max_age_s:
            return None
        return known.share if known.rank != self._rank(service) else None

    def publish(self, service: str, share: float, now_s: float) -> None:
        """Records the share that this host computed as the sizer."""
        name = short_name(service)
        found = _Known(share, self._rank(service), now_s, now_s)
        self._keep(name, found)

    def apply_told(self, told: Iterable[LaneShare], now_s: float) -> None:
        """Records the shares that another host uses."""
        for share in told:
            if not _is_sound(share):
                continue
            computed_s = now_s - share.age_ms / 1000
            found = _Known(
                share.permille / _PERMILLE, share.rank, computed_s, now_s
            )
            known = self._known.get(share.pool)
            if known is None or _replaces(found, known, now_s):
                self._keep(share.pool, found)

    def is_sizer(self, now_s: float) -> bool:
        """Whether this host knows no fresh share that another one computed."""
        own = {short_name(name): rank for name, rank in self._ranks.items()}
        return not any(
            now_s - known.computed_s <= FRESH_S and known.rank != own.get(name)
            for name, known in self._known.items()
        )

    def is_publishing(self, now_s: float) -> bool:
        """Whether this host sizes lanes that others use now."""
        return any(
            now_s - known.computed_s <= FRESH_S
            and known.rank in self._ranks.values()
            for known in self._known.values()
        )

    def to_tell(
        self, now_s: float, *, only_news: bool
    ) -> tuple[LaneShare, ...]:
        """Returns the fresh shares that this host knows, to tell other hosts.

        Args:
            now_s: Current time in seconds.
            only_news: Whether to leave out those that changed long ago.
        """
        return tuple(
            LaneShare(
                service,
                round(known.share * _PERMILLE),
                known.rank,
                round((now_s - known.computed_s) * 1000),
            )
            for service, known in self._known.items()
            if now_s - known.computed_s <= MAX_AGE_S
            and (not only_news or now_s - known.changed_s <= NEWS_S)
        )

    def _keep(self, name: int, found: _Known) -> None:
        known = self._known.get(name)
        if known is None:
            self._drop_old(found.changed_s)
        elif known.share == found.share:
            found = attrs.evolve(found, changed_s=known.changed_s)
        self._known[name] = found

    def _drop_old(self, now_s: float) -> None:
        """Drops services of which nothing was told for long."""
        for name, known in list(self._known.items()):
            if now_s - known.computed_s > MAX_AGE_S:
                del self._known[name]

    def _rank(self, service: str) -> int:
        rank = self._ranks.get(service)
        if rank is None:
            rank = zlib.crc32(f"{service}|{self._token}".encode()) >> 1
            self._ranks[service] = rank
        return rank


def _is_sound(share: LaneShare) -> bool:
    """Whether a share can be true; any process may have sent it."""
    return 0 <= share.permille <= _PERMILLE and share.age_ms >= 0


def _replaces(found: _Known, known: _Known, now_s: float) -> bool:
    """Whether a share that was told replaces the known one."""
    oldest_s = min(found.computed_s, known.computed_s)
    if now_s - oldest_s <= FRESH_S and found.rank != known.rank:
        return found.rank > known.rank
    return found.computed_s > known.computed_s
