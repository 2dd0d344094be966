"""Work in flight at upstreams: a host's own, exactly, and what peers tell."""

import operator
from collections.abc import Iterable

import attrs

from hollyknot_state import HostReport, UpstreamUse, short_name

URGENCIES = 10
"""Upstreams know urgencies from 0, the first, to 9."""

_MOST_TOLD = 255
"""What fits into a byte; no upstream has as many slots for one host."""

_NO_URGENCIES = (0,) * URGENCIES


@attrs.frozen
class Load:
    """Work at one upstream.

    Attributes:
        waiting_tokens: Of prompts that may not have been read in yet.
        waiting: Requests that have not been answered.
        running: Streams that have begun.
        urgencies: All of these at each urgency.
    """

    waiting_tokens: int = 0
    waiting: int = 0
    running: int = 0
    urgencies: tuple[int, ...] = _NO_URGENCIES

    @property
    def requests(self) -> int:
        """All that is in flight."""
        return self.waiting + self.running

    def ahead_of(self, urgency: int) -> int:
        """Returns how many requests an upstream does not put back for one."""
        return sum(self.urgencies[: urgency + 1])

    def __add__(self, other: "Load") -> "Load":
        return Load(
            self.waiting_tokens + other.waiting_tokens,
            self.waiting + other.waiting,
            self.running + other.running,
            tuple(map(operator.add, self.urgencies, other.urgencies)),
        )


_NONE = Load()


@attrs.define
class _Own:
    waiting_tokens: int = 0
    waiting: int = 0
    running: int = 0
    urgencies: list[int] = attrs.Factory(lambda: [0] * URGENCIES)

    def load(self) -> Load:
        """Returns it as it is now."""
        return Load(
            self.waiting_tokens,
            self.waiting,
            self.running,
            tuple(self.urgencies),
        )


class Loads:
    """Work in flight of all hosts that are heard of."""

    def __init__(self) -> None:
        """Starts with none."""
        self._own: dict[str, _Own] = {}
        self._peers: dict[int, Load] = {}

    def begin(self, upstream: str, tokens: int, urgency: int) -> None:
        """Notes that a request was sent."""
        own = self._own.setdefault(upstream, _Own())
        own.waiting += 1
        own.waiting_tokens += tokens
        own.urgencies[urgency] += 1

    def start(self, upstream: str, tokens: int) -> None:
        """Notes that a stream has begun: its prompt has been read in."""
        own = self._own[upstream]
        own.waiting -= 1
        own.waiting_tokens -= tokens
        own.running += 1

    def end(
        self, upstream: str, tokens: int, urgency: int, *, has_started: bool
    ) -> None:
        """Notes the end of a request."""
        own = self._own[upstream]
        own.urgencies[urgency] -= 1
        if has_started:
            own.running -= 1
        else:
            own.waiting -= 1
            own.waiting_tokens -= tokens
        if not own.waiting and not own.running:
            del self._own[upstream]

    def take_reports(self, reports: Iterable[HostReport]) -> None:
        """Replaces what peers told before."""
        sums: dict[int, Load] = {}
        for report in reports:
            for use in report.uses:
                known = sums.get(use.upstream, _NONE)
                sums[use.upstream] = known + _told(use)
        self._peers = sums

    def at(self, upstream: str) -> Load:
        """Returns the work in flight at an upstream."""
        peers = self._peers.get(short_name(upstream), _NONE)
        own = self._own.get(upstream)
        return peers if own is None else peers + own.load()

    def uses(self) -> tuple[UpstreamUse, ...]:
        """Returns a host's own work, for its report."""
        return tuple(
            UpstreamUse(
                short_name(name),
                own.waiting_tokens,
                own.waiting,
                own.running,
                bytes(min(n, _MOST_TOLD) for n in own.urgencies).rstrip(b"\0"),
            )
            for name, own in self._own.items()
        )


def _told(use: UpstreamUse) -> Load:
    told = use.urgencies[:URGENCIES].ljust(URGENCIES, b"\0")
    return Load(use.waiting_tokens, use.waiting, use.running, tuple(told))
