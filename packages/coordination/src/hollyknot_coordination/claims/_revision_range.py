"""Tracks which revisions of the host list a host has seen without a gap."""

import attrs


@attrs.frozen
class RevisionRange:
    """A range of revisions of the host list, all of which a host has seen.

    Attributes:
        first: The first revision; 1 if none was seen.
        last: The last revision; 0 if none was seen.
    """

    first: int = 1
    last: int = 0

    def extend(self, revision: int) -> "RevisionRange":
        """Returns the range after one more revision is seen."""
        if self.last <= revision <= self.last + 1:
            return RevisionRange(self.first, revision)
        return RevisionRange(revision, revision)
