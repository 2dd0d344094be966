"""What proves that a host's list of upstreams is the newest."""

import math
from collections.abc import Awaitable, Callable

import attrs


@attrs.frozen
class ListProof:
    """The proof that no upstream or route has come that a host has not read of.

    A host that hears nothing can't tell a directory without changes from one
    that it is cut off from: what was true at the last answer may no longer be.

    Attributes:
        age_s: Returns the seconds for which either may have come unread;
            infinity if a peer has read of a change that this host has not.
        renew: Reads the directory at once; returns whether all that was written
            until then has been read.
    """

    age_s: Callable[[], float]
    renew: Callable[[], Awaitable[bool]]

    @property
    def is_behind(self) -> bool:
        """Whether a peer has read of a change that this host has not."""
        return math.isinf(self.age_s())


async def _renewed() -> bool:
    return True


ALWAYS_NEWEST = ListProof(lambda: 0.0, _renewed)
"""The proof of a host whose directory never changes."""
