"""Where a reader of the platform's directory has got to."""

import attrs


@attrs.frozen(order=True)
class Position:
    """A point in the history of a directory.

    A directory that comes back from an older copy begins a new era, in which
    revisions that were given out before are given out again for other changes.
    So positions compare by era first.

    Attributes:
        era: Rises each time the directory comes back from an older copy.
        revision: Rises with each change within an era.
    """

    era: int = 0
    revision: int = 0
