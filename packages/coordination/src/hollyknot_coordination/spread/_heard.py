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


class HeardVersion:
    """The highest version heard of, and since when it is lacking."""

    def __init__(self) -> None:
        self._version = 0
        self._told_s = float("-inf")
        self._lacking_since_s = float("inf")

    @property
    def version(self) -> int:
        """The highest version that a host said it holds."""
        return self._version

    def note(self, version: int, now_s: float) -> None:
        """Takes that a host holds a version that this host lacks."""
        self._lacking_since_s = min(self._lacking_since_s, now_s)
        if now_s - self._told_s >= FORGET_S:
            self._version = 0
        if version >= self._version:
            self._version = version
            self._told_s = now_s

    def progress(self) -> None:
        """Takes that a newer version came in force."""
        self._lacking_since_s = float("inf")

    def reject(self, version: int) -> None:
        """Takes that a version is invalid, so that it lacks no more."""
        if version == self._version:
            self._version = 0
            self._told_s = float("-inf")

    def blocks(self, in_force: int, wanted: int, now_s: float) -> bool:
        """Whether a host that holds a version must not begin to serve.

        Args:
            in_force: What it holds.
            wanted: The highest version that a source holds now.
            now_s: Monotonic seconds.
        """
        if now_s - self._lacking_since_s >= BLOCK_MAX_S:
            return False
        is_fresh = now_s - self._told_s < FORGET_S
        heard = self._version if is_fresh else 0
        return max(heard, wanted) > in_force
