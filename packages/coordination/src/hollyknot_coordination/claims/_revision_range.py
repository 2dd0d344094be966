"""Which revisions of the host list a host has seen without a gap."""

import attrs


@attrs.frozen
class RevisionRange:
    """Revisions of the host list of which a host has missed none.

    Attributes:
        first: The first; 1 where none was seen.
        last: The last; 0 where none was seen.
    """

    first: int = 1
    last: int = 0

    def extend(self, revision: int) -> "RevisionRange":
        """Returns the range after one more revision was seen."""
        if self.last <= revision <= self.last + 1:
            return RevisionRange(self.first, revision)
        return RevisionRange(revision, revision)
