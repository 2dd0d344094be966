"""Decides when reports carry the directory revisions that a host has read."""

from collections.abc import Callable

from hollyknot_state import ReadRevisions

ANNOUNCEMENT_S = 2.0
"""Seconds for which every report carries newly read revisions. They reach all
of several hundred hosts, each of which gets some ten reports a second, within
half a second; after this time only complete reports carry them."""


class RevisionGossip:
    """Exchanges with peers the newest directory revisions that were read."""

    def __init__(
        self,
        read: Callable[[], ReadRevisions],
        on_read: Callable[[ReadRevisions], None],
    ) -> None:
        """Builds the exchange without any announced revisions.

        Args:
            read: Returns the newest revisions that this host has read.
            on_read: Called with the revisions that a peer has read.
        """
        self._read = read
        self._on_read = on_read
        self._newest = ReadRevisions()
        self._until_s = 0.0

    @property
    def read(self) -> ReadRevisions:
        """The newest revisions that this host has read."""
        return self._read()

    def on_peer_read(self, read: ReadRevisions) -> None:
        """Passes on the revisions that a peer has read."""
        self._on_read(read)

    def to_report(
        self, now_s: float, *, is_whole: bool
    ) -> ReadRevisions | None:
        """Returns the revisions for the next report; None if not new.

        Args:
            now_s: The current time, in seconds.
            is_whole: Whether the report is complete, so that it carries the
                revisions in any case.
        """
        read = self._read()
        if read != self._newest:
            self._newest = read
            self._until_s = now_s + ANNOUNCEMENT_S
        return read if is_whole or now_s < self._until_s else None
