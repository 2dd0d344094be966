"""What hosts tell each other of changes that they have read."""

from collections.abc import Callable

from hollyknot_state import ReadRevisions

ANNOUNCEMENT_S = 2.0
"""How long a host tells in each report which change it has read last. News
pass through a fleet of hundreds, each told by some ten others a second, within
half a second; after that the whole reports carry them."""


class RevisionGossip:
    """The newest changes that a host has read from the directory."""

    def __init__(
        self,
        read: Callable[[], ReadRevisions],
        on_read: Callable[[ReadRevisions], None],
    ) -> None:
        """Knows none.

        Args:
            read: Returns the newest changes that this host has read.
            on_read: Takes those that a peer has read.
        """
        self._read = read
        self._on_read = on_read
        self._newest = ReadRevisions()
        self._until_s = 0.0

    @property
    def read(self) -> ReadRevisions:
        """The newest changes that this host has read."""
        return self._read()

    def take(self, read: ReadRevisions) -> None:
        """Takes what a peer has read."""
        self._on_read(read)

    def told(self, now_s: float, *, is_whole: bool) -> ReadRevisions | None:
        """Returns what a report tells; None where it is no news.

        Args:
            now_s: The time.
            is_whole: Whether the report tells of everything.
        """
        read = self._read()
        if read != self._newest:
            self._newest = read
            self._until_s = now_s + ANNOUNCEMENT_S
        return read if is_whole or now_s < self._until_s else None
