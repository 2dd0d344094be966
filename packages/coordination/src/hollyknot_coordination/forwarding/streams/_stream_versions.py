"""Remembers which version of an upstream's software began each stream.

A caller that goes on with a broken stream names the request that began it. What
two versions write doesn't fit together, so the stream must go on at the version
that began it, through whichever host.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding.streams._version_history import (
    MIN_RETENTION_S,
)

MAX_STREAMS = 16_384
"""Most streams that are remembered; the oldest are forgotten first."""


@attrs.frozen
class _Stream:
    """A stream whose first event has passed.

    Attributes:
        service: The service that it is from.
        version: The version that began it.
        at_s: Time of the first event in seconds.
    """

    service: str
    version: str
    at_s: float


class StreamVersions:
    """The version of each stream that began lately, as one host knows it."""

    def __init__(
        self, retention_s: Callable[[], float] = lambda: MIN_RETENTION_S
    ) -> None:
        """Creates a memory without streams.

        Args:
            retention_s: Returns the seconds for which a stream is remembered.
        """
        self._retention_s = retention_s
        self._streams: OrderedDict[int, _Stream] = OrderedDict()
        self._forgotten = 0

    @property
    def forgotten(self) -> int:
        """Number of streams forgotten early, as there were too many."""
        return self._forgotten

    def note(
        self, stream: int, service: str, version: str, now_s: float
    ) -> None:
        """Records the version of a stream; the first one counts."""
        if self.find(stream, now_s) is not None:
            return
        self._streams[stream] = _Stream(service, version, now_s)
        self._streams.move_to_end(stream)
        self._expire(now_s)

    def find(self, stream: int, now_s: float) -> str | None:
        """Returns the version that began a stream, or None if unknown."""
        known = self._streams.get(stream)
        if known is None or now_s - known.at_s >= self._retention_s():
            return None
        return known.version

    def of_service(self, service: str, now_s: float) -> dict[int, str]:
        """Returns the known streams of a service with their versions."""
        self._expire(now_s)
        return {
            stream: known.version
            for stream, known in self._streams.items()
            if known.service == service
        }

    def _expire(self, now_s: float) -> None:
        while self._streams:
            oldest = next(iter(self._streams.values()))
            is_old = now_s - oldest.at_s >= self._retention_s()
            if not is_old and len(self._streams) <= MAX_STREAMS:
                return
            self._streams.popitem(last=False)
            self._forgotten += not is_old


def stream_id(service: str, attempt: str) -> int:
    """Returns the number by which hosts know a stream, unsigned 64 bits.

    Args:
        service: The service that the stream is from.
        attempt: The caller's name for the sending that brought its first event.
    """
    text = f"{service}\n{attempt}".encode("utf-8", "replace")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
