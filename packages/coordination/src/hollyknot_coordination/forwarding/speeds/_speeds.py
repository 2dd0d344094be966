"""Compares the speeds of a service's upstreams, as one host knows them."""

import statistics
from collections.abc import Iterable, Sequence

import attrs

from hollyknot_state import UpstreamSpeed, short_name
from hollyknot_state.routes import UpstreamEntry

OVERHEAD_TOKENS = 1_500
"""Tokens that an upstream prefills in the time that a first event takes without
any prompt, about: round trips, the step that decodes it, its way out."""

MIN_TOKENS = 3_000
"""Prompt tokens from which a first event tells the speed of prefill: those of
shorter prompts take as long as what is around them."""

MAX_AGE_S = 10.0
"""Age in seconds above which an answer about an upstream no longer counts."""

MIN_KNOWN_SHARE = 0.5
"""Share of a service's upstreams whose speed must be known before they are
compared: the few that are known first would otherwise attract all requests."""

USUAL_UP_TO = 1.25
"""Ratio to the usual speed, either way, within which upstreams are alike."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
"""Bounds of the slowness: beyond them a sample rather shows a mistake."""

TYPICAL_AGE_S = 0.5
"""Seconds for which the usual speed of a service is not computed again."""

_USUAL = 1.0


@attrs.frozen
class _Known:
    token_ns: int
    at_s: float


@attrs.frozen
class _Typical:
    token_ns: float
    at_s: float


class Speeds:
    """Speeds of upstreams that trackers told, and samples to tell them."""

    def __init__(self) -> None:
        """Creates speeds of which none is known."""
        self._known: dict[int, _Known] = {}
        self._unsent: dict[int, UpstreamSpeed] = {}
        self._typical: dict[str, _Typical] = {}

    def observe(
        self, upstream: str, tokens: int, queued_tokens: int, first_s: float
    ) -> None:
        """Records the first event of a stream that this host relays.

        Args:
            upstream: Incarnation of the upstream.
            tokens: Prompt tokens of the request that it had to prefill.
            queued_tokens: Those of other requests that it prefilled before.
            first_s: Seconds from sending the request to the event.
        """
        if tokens < MIN_TOKENS:
            return
        prefilled = tokens + queued_tokens + OVERHEAD_TOKENS
        token_ns = int(first_s * 1e9 / prefilled)
        name = short_name(upstream)
        self._unsent[name] = UpstreamSpeed(name, max(1, token_ns))

    def pop_unsent(self, upstream: int) -> UpstreamSpeed | None:
        """Returns the newest sample that no tracker was told yet, if any.

        Args:
            upstream: Short name of the upstream.
        """
        return self._unsent.pop(upstream, None)

    def apply_answered(
        self, speeds: Iterable[UpstreamSpeed], now_s: float
    ) -> None:
        """Records the speeds in a tracker's answer."""
        for speed in speeds:
            self._known[speed.upstream] = _Known(speed.token_ns, now_s)

    def forget(self, upstream: str) -> None:
        """Removes an incarnation that has ended."""
        name = short_name(upstream)
        self._known.pop(name, None)
        self._unsent.pop(name, None)

    def slowness(
        self, entries: Sequence[UpstreamEntry], now_s: float
    ) -> dict[str, float]:
        """Returns how slow upstreams are, relative to the usual one.

        Args:
            entries: Upstreams of one service.
            now_s: Current time in seconds.

        Returns:
            Slowness by incarnation: 1 is usual, 2 takes twice as long. Those of
            unknown speed are left out.
        """
        if not entries or not self._known:
            return {}
        known = {
            entry.incarnation: found.token_ns
            for entry in entries
            if (found := self._fresh(entry.incarnation, now_s)) is not None
        }
        if len(known) < MIN_KNOWN_SHARE * len(entries):
            return {}
        typical_ns = self._typical_ns(entries[0].service, known, now_s)
        return {
            incarnation: _bounded(token_ns / typical_ns)
            for incarnation, token_ns in known.items()
        }

    def _fresh(self, incarnation: str, now_s: float) -> _Known | None:
        found = self._known.get(short_name(incarnation))
        if found is None or now_s - found.at_s > MAX_AGE_S:
            return None
        return found

    def _typical_ns(
        self, service: str, known: dict[str, int], now_s: float
    ) -> float:
        typical = self._typical.get(service)
        if typical is None or now_s - typical.at_s > TYPICAL_AGE_S:
            typical = _Typical(statistics.median(known.values()), now_s)
            self._typical[service] = typical
        return typical.token_ns


def _bounded(slowness: float) -> float:
    if 1 / USUAL_UP_TO <= slowness <= USUAL_UP_TO:
        return 1.0
    return min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
