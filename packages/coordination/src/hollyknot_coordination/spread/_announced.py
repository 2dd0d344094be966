"""How long a version that was heard of keeps a new host from serving.

The version may be one that nobody can give any more, since the only host that
held it is gone. It blocks while somebody tells of it: each live holder does so
every second or two, so that `FORGET_S` of silence means that no holder can be
reached. A host that tells of a version but never gives it (its link carries
bytes one way only) blocks for `BLOCK_MAX_S` at most.
"""

FORGET_S = 10.0
"""Seconds after the last telling in which a version still blocks."""

BLOCK_MAX_S = 60.0
"""Seconds without any progress after which nothing blocks any more."""


class AnnouncedVersion:
    """The highest version heard of, and since when it is lacking."""

    def __init__(self) -> None:
        self._version = 0
        self._announced_s = float("-inf")
        self._missing_since_s = float("inf")

    @property
    def version(self) -> int:
        """The highest version that a host said it holds."""
        return self._version

    def observe(self, version: int, now_s: float) -> None:
        """Takes that a host holds a version that this host lacks."""
        self._missing_since_s = min(self._missing_since_s, now_s)
        if now_s - self._announced_s >= FORGET_S:
            self._version = 0
        if version >= self._version:
            self._version = version
            self._announced_s = now_s

    def on_applied(self) -> None:
        """Takes that a newer version came in force."""
        self._missing_since_s = float("inf")

    def on_rejected(self, version: int) -> None:
        """Takes that a version is invalid, so that it lacks no more."""
        if version == self._version:
            self._version = 0
            self._announced_s = float("-inf")

    def blocks_readiness(
        self, in_force: int, wanted: int, now_s: float
    ) -> bool:
        """Whether a host that holds a version must not begin to serve.

        Args:
            in_force: What it holds.
            wanted: The highest version that a source holds now.
            now_s: Monotonic seconds.
        """
        if now_s - self._missing_since_s >= BLOCK_MAX_S:
            return False
        is_fresh = now_s - self._announced_s < FORGET_S
        announced = self._version if is_fresh else 0
        return max(announced, wanted) > in_force
