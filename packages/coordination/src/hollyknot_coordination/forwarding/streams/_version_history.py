"""Tracks which versions of a service's upstreams served lately.

That only one version has been seen says nothing about the time before this
host followed the directory. So the history also keeps since when it knows every
version: by following the directory, or by the word of a peer.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence

from hollyknot_state.routes import UpstreamEntry

MIN_RETENTION_S = 60.0
"""Least time in seconds for which a version that has left still counts, and for
which it is remembered which version began a stream. Some routes let callers
wait for longer."""

CHANGE_S = 15.0
"""Seconds after the removal of a version's last entry in which most callers
whose streams it broke off come back: the upstreams serve on for their drain
time, and callers return within a third of the time that they have left."""


class VersionHistory:
    """The versions of each service, as one host has learned them."""

    def __init__(
        self,
        is_current: Callable[[], bool] = lambda: True,
        *,
        is_first_start: bool = False,
        longest_stream_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Creates a history that knows nothing.

        Args:
            is_current: Returns whether this host still follows the directory,
                so that no version can have come that it has not seen.
            is_first_start: Whether no host has run before, so that no stream
                can have begun at a version that has left.
            longest_stream_s: Returns the seconds for which callers may go on
                with a stream.
        """
        self._is_current = is_current
        self._longest_stream_s = longest_stream_s
        # Entries as of the last update, compared by identity.
        self._entries: dict[str, Sequence[UpstreamEntry]] = {}
        # By service: time at which each version was listed last, in seconds.
        self._listed_s: dict[str, dict[str, float]] = {}
        self._since_s = -math.inf if is_first_start else math.inf
        # By service: time since which a peer's word names every version.
        self._vouched_since_s: dict[str, float] = {}
        # By service: time at which it was doubted last, in seconds.
        self._doubted_s: dict[str, float] = {}

    @property
    def retention_s(self) -> float:
        """Seconds for which streams and versions that have left count."""
        return max(MIN_RETENTION_S, self._longest_stream_s())

    def update(
        self, service: str, entries: Sequence[UpstreamEntry], now_s: float
    ) -> bool:
        """Notes the upstreams of a service.

        Args:
            service: Name of the service.
            entries: Its upstreams; the same object until they change.
            now_s: Current time, in seconds.

        Returns:
            Whether a second version has just appeared.
        """
        before = self._entries.get(service)
        if before is entries:
            return False
        was_mixed = self.is_mixed(service, now_s)
        listed_s = self._listed_s.setdefault(service, {})
        for entry in (*(before or ()), *entries):
            listed_s[entry.version] = now_s
        self._entries[service] = entries
        self._since_s = min(self._since_s, now_s)
        return not was_mixed and self.is_mixed(service, now_s)

    def note(
        self, versions: Mapping[str, Collection[str]], now_s: float
    ) -> list[str]:
        """Notes further versions that the directory or a peer has named.

        Args:
            versions: The versions by service; each counts as listed now.
            now_s: Current time, in seconds.

        Returns:
            The services of which a second version has just appeared.
        """
        mixed = []
        for service, names in versions.items():
            was_mixed = self.is_mixed(service, now_s)
            listed_s = self._listed_s.setdefault(service, {})
            listed_s.update(dict.fromkeys(names, now_s))
            if not was_mixed and self.is_mixed(service, now_s):
                mixed.append(service)
        return mixed

    def doubt(self, service: str, now_s: float) -> bool:
        """Notes that streams which others began may be taken up at a service.

        Args:
            service: Name of the service, which counts as one with several
                versions.
            now_s: Current time, in seconds.

        Returns:
            Whether it did not count as one before.
        """
        was_mixed = self.is_mixed(service, now_s)
        self._doubted_s[service] = now_s
        return not was_mixed

    def vouch(self, service: str, version: str, now_s: float) -> None:
        """Notes the word of a peer that a service had only one version lately.

        Args:
            service: Name of the service.
            version: The only version that the peer has seen.
            now_s: Current time, in seconds.
        """
        self._listed_s.setdefault(service, {})[version] = now_s
        self._vouched_since_s[service] = now_s - self.retention_s

    def miss(self, now_s: float) -> None:
        """Notes that versions may have come and gone unseen until now."""
        self._since_s = now_s
        self._vouched_since_s.clear()

    def is_mixed(self, service: str, now_s: float) -> bool:
        """Whether streams may be of several versions, or of other services."""
        doubted_s = self._doubted_s.get(service, -math.inf)
        if now_s - doubted_s < self.retention_s:
            return True
        listed_s = self._listed_s.get(service, {})
        if len(listed_s) <= 1:
            return False
        current = {entry.version for entry in self._entries.get(service, ())}
        since_s = now_s - self.retention_s
        for version, at_s in list(listed_s.items()):
            if version not in current and at_s < since_s:
                del listed_s[version]
        return len(listed_s) > 1

    def is_changing(self, service: str, now_s: float) -> bool:
        """Whether many streams of several versions may be taken up from now."""
        if not self.is_mixed(service, now_s):
            return False
        current = {entry.version for entry in self._entries.get(service, ())}
        since_s = now_s - CHANGE_S
        listed_s = self._listed_s.get(service, {})
        late = {version for version, at_s in listed_s.items() if at_s > since_s}
        return len(current | late) > 1

    def may_have_missed(self, service: str, now_s: float) -> bool:
        """Whether a stream may have begun at a version that was never seen."""
        since_s = min(
            self._since_s, self._vouched_since_s.get(service, math.inf)
        )
        return now_s - since_s < self.retention_s

    def only_version(self, service: str, now_s: float) -> str | None:
        """Returns the only version that served lately.

        Returns:
            The version; None if several served, or may have.
        """
        if not self._is_current():
            return None
        listed_s = self._listed_s.get(service, {})
        if self.may_have_missed(service, now_s) or self.is_mixed(
            service, now_s
        ):
            return None
        return next(iter(listed_s), None)
