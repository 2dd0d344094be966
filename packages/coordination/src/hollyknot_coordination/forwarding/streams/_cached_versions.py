"""Remembers at which versions of upstreams parts of prompts are held.

The last part of a prompt belongs to one request. An upstream that holds it has
read the request, so that the version of the upstreams that hold it is the one
that began its stream, as long as it is only one.
"""

import enum
import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import attrs

CACHED_RETENTION_S = 20.0
"""Seconds for which it counts that upstreams held a part when read."""

MAX_PARTS = 32_768
"""Most parts that are remembered; the oldest are forgotten first."""


class Held(enum.Enum):
    """Who holds a part, if it is not one version's upstreams only."""

    BY_SEVERAL = "by-several"
    """Upstreams of several versions, which proves nothing."""


@attrs.frozen
class _Part:
    """A part that upstreams hold.

    Attributes:
        version: Their version, if it is only one.
        at_s: Time in seconds at which the first of them was noted.
    """

    version: str | Held
    at_s: float


class CachedVersions:
    """The versions whose upstreams hold parts of prompts."""

    def __init__(self) -> None:
        """Creates a memory without parts."""
        self._parts: OrderedDict[int, _Part] = OrderedDict()

    def note(self, version: str, parts: Iterable[int], now_s: float) -> None:
        """Records that an upstream of a version holds parts."""
        self._expire(now_s)
        for part in parts:
            known = self._parts.get(part)
            if known is None:
                self._parts[part] = _Part(version, now_s)
            elif known.version != version:
                self._parts[part] = attrs.evolve(known, version=Held.BY_SEVERAL)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def find(self, part: int, now_s: float) -> str | Held | None:
        """Returns the version whose upstreams hold a part; None if unknown."""
        known = self._parts.get(part)
        if known is None or now_s - known.at_s >= CACHED_RETENTION_S:
            return None
        return known.version

    def _expire(self, now_s: float) -> None:
        while self._parts:
            oldest = next(iter(self._parts.values()))
            if now_s - oldest.at_s < CACHED_RETENTION_S:
                return
            self._parts.popitem(last=False)


def part_id(service: str, name: str) -> int:
    """Returns the number by which hosts know a part, unsigned 64 bits.

    Args:
        service: The service whose upstreams hold it.
        name: The part's name in the prompt.
    """
    text = f"{service}\n\n{name.lower()}".encode("utf-8", "replace")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
