"""Position up to which a host has read the platform's directory."""

import attrs


@attrs.frozen(order=True)
class Position:
    """A point in the history of a directory.

    A directory that is restored from an older copy begins a new era, in which
    it reuses earlier revisions for other changes. Positions therefore compare
    by era first.

    Attributes:
        era: Number that rises each time the directory is restored from an older
            copy.
        revision: Number that rises with each change within an era.
    """

    era: int = 0
    revision: int = 0
