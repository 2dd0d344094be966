"""Work in flight at upstreams: a host's own, exactly, and what peers tell."""

from collections.abc import Iterable

import attrs

from hollyknot_state import HostReport, UpstreamUse


@attrs.frozen
class Load:
    """Work at one upstream.

    Attributes:
        waiting_tokens: Of prompts that may not have been read in yet.
        waiting: Requests that have not been answered.
        running: Streams that have begun.
    """

    waiting_tokens: int = 0
    waiting: int = 0
    running: int = 0

    @property
    def requests(self) -> int:
        """All that is in flight."""
        return self.waiting + self.running


_NONE = Load()


@attrs.define
class _Own:
    waiting_tokens: int = 0
    waiting: int = 0
    running: int = 0


class Loads:
    """Work in flight of all hosts that are heard of."""

    def __init__(self) -> None:
        """Starts with none."""
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, Load] = {}

    def begin(self, upstream: str, tokens: int) -> None:
        """Notes that a request was sent."""
        own = self._own.setdefault(upstream, _Own())
        own.waiting += 1
        own.waiting_tokens += tokens

    def start(self, upstream: str, tokens: int) -> None:
        """Notes that a stream has begun: its prompt has been read in."""
        own = self._own[upstream]
        own.waiting -= 1
        own.waiting_tokens -= tokens
        own.running += 1

    def end(self, upstream: str, tokens: int, *, has_started: bool) -> None:
        """Notes the end of a request."""
        own = self._own[upstream]
        if has_started:
            own.running -= 1
        else:
            own.waiting -= 1
            own.waiting_tokens -= tokens
        if not own.waiting and not own.running:
            del self._own[upstream]

    def take_reports(self, reports: Iterable[HostReport]) -> None:
        """Replaces what peers told before."""
        sums: dict[str, Load] = {}
        for report in reports:
            for use in report.uses:
                known = sums.get(use.upstream, _NONE)
                sums[use.upstream] = Load(
                    known.waiting_tokens + use.waiting_tokens,
                    known.waiting + use.waiting,
                    known.running + use.running,
                )
        self._peers = sums

    def at(self, upstream: str) -> Load:
        """Returns the work in flight at an upstream."""
        peers = self._peers.get(upstream, _NONE)
        own = self._own.get(upstream)
        if own is None:
            return peers
        return Load(
            peers.waiting_tokens + own.waiting_tokens,
            peers.waiting + own.waiting,
            peers.running + own.running,
        )

    def uses(self) -> tuple[UpstreamUse, ...]:
        """Returns a host's own work, for its report."""
        return tuple(
            UpstreamUse(name, own.waiting_tokens, own.waiting, own.running)
            for name, own in self._own.items()
        )
