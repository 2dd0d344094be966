"""Bounds how long a missing version keeps a new host from serving.

Possibly no host can send the version any more, for instance if its only holder
was lost. It blocks while peers announce it: each live holder does so every
second or two, so `FORGET_S` without an announcement means that no holder can be
reached. A host that announces a version but never sends it, for instance
because its link carries bytes in one direction only, blocks for at most
`BLOCK_MAX_S`.
"""

FORGET_S = 10.0
"""Seconds after its last announcement during which a version blocks."""

BLOCK_MAX_S = 60.0
"""Seconds without an applied version after which nothing blocks."""


class AnnouncedVersion:
    """Tracks the highest announced version and since when one is missing."""

    def __init__(self) -> None:
        self._version = 0
        self._announced_s = float("-inf")
        self._missing_since_s = float("inf")

    @property
    def version(self) -> int:
        """Highest version that a host announced."""
        return self._version

    def observe(self, version: int, now_s: float) -> None:
        """Records that a peer announced a version that this host is missing."""
        self._missing_since_s = min(self._missing_since_s, now_s)
        if now_s - self._announced_s >= FORGET_S:
            self._version = 0
        if version >= self._version:
            self._version = version
            self._announced_s = now_s

    def on_applied(self) -> None:
        """Records that a newer version was put in force."""
        self._missing_since_s = float("inf")

    def on_rejected(self, version: int) -> None:
        """Records that a version is invalid and so no longer missing."""
        if version == self._version:
            self._version = 0
            self._announced_s = float("-inf")

    def blocks_readiness(
        self, in_force: int, wanted: int, now_s: float
    ) -> bool:
        """Returns whether a missing version keeps the host from serving.

        Args:
            in_force: Version that the host has in force.
            wanted: Highest version that a source holds now.
            now_s: Current time in monotonic seconds.
        """
        if now_s - self._missing_since_s >= BLOCK_MAX_S:
            return False
        is_fresh = now_s - self._announced_s < FORGET_S
        announced = self._version if is_fresh else 0
        return max(announced, wanted) > in_force
