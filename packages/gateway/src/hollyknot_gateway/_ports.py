"""Defines the functions by which a platform plugs into the gateway.

The gateway itself knows no header names, document formats or stores. The
package that starts a host passes a `Dialect` and its `Source`s in.
"""

import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Generic, TypeVar

import attrs

from hollyknot_state.routes import (
    AnswerTraits,
    CallTraits,
    Dispatch,
    UpstreamEntry,
)

Headers = tuple[tuple[bytes, bytes], ...]
"""Names and values as they were received, in order."""

Fields = Any
"""A mapping from case-insensitive header names to text values."""

T = TypeVar("T")


@attrs.frozen
class Dialect:
    """Reads and writes the headers of callers, hosts and upstreams.

    Attributes:
        read_call: Parses a request's headers.
        upstream_headers: Returns the headers to send to an upstream, made
            from the caller's end-to-end headers.
        read_answer: Parses an answer's status and headers.
        attempt_header: Name of the header that carries the caller's request
            id in answers that the host writes itself.
        numbers_events: Whether the interface promises that the events of
            streams have increasing numbers as ids.
    """

    read_call: Callable[[Fields], CallTraits]
    upstream_headers: Callable[[Headers, Dispatch], list[tuple[bytes, bytes]]]
    read_answer: Callable[[int, Fields], AnswerTraits]
    attempt_header: bytes
    numbers_events: bool = False


@attrs.frozen
class Unreadable:
    """An item of a collection that can't be parsed.

    Attributes:
        name: The item's name in its collection.
        reason: Why the item can't be parsed.
    """

    name: str
    reason: str


@attrs.frozen
class Listing(Generic[T]):
    """All items of a collection.

    Attributes:
        items: Readable items by name.
        revision: The revision after which to watch.
        unreadable: Items that could not be read.
        changed: The newest revision at which an item was written.
        era: The era that the revisions belong to; None if the source doesn't
            name it.
    """

    items: dict[str, T]
    revision: int
    unreadable: tuple[Unreadable, ...] = ()
    changed: int = 0
    era: int | None = None


@attrs.frozen
class Changes(Generic[T]):
    """The changes in a collection since a revision.

    Attributes:
        items: New and changed items by name.
        removed: Names of removed items.
        revision: The revision after which to go on watching.
        unreadable: New and changed items that could not be read.
        changed: The newest revision among the changes; 0 for none.
        era: The era that the revisions belong to; None if the source doesn't
            name it.
        past: What items held meanwhile, before their newest change or their
            removal.
        has_replaced: Whether items held anything meanwhile, read or not.
    """

    items: dict[str, T]
    removed: tuple[str, ...]
    revision: int
    unreadable: tuple[Unreadable, ...] = ()
    changed: int = 0
    era: int | None = None
    past: tuple[T, ...] = ()
    has_replaced: bool = False


class Compacted(enum.Enum):
    """The source no longer keeps the history since the requested revision."""

    COMPACTED = "compacted"


@attrs.frozen
class SourceFailure:
    """A failed read of a collection.

    Attributes:
        reason: A slug for logs.
        detail: Description of the failure, for logs.
    """

    reason: str
    detail: str = ""


ReadParts = Callable[
    [UpstreamEntry, float], Awaitable[Sequence[str] | SourceFailure]
]
"""Reads the names of the parts of prompts that an upstream holds, within some
seconds. The reason of a failure is `UNSUPPORTED` if it can't list any."""

UNSUPPORTED = "unsupported"


async def read_no_parts(
    _entry: UpstreamEntry, _timeout_s: float
) -> SourceFailure:
    """Stands for upstreams of a platform that don't list what they hold."""
    return SourceFailure(UNSUPPORTED)


@attrs.frozen
class Source(Generic[T]):
    """A collection that can be listed and watched.

    Attributes:
        name: The collection's name in logs.
        list: Reads the whole collection.
        watch: Waits for changes after a revision, at most for the given
            seconds. Calls its last argument whenever a part of the answer
            arrives.
    """

    name: str
    list: Callable[[], Awaitable[Listing[T] | SourceFailure]]
    watch: Callable[
        [int, float, Callable[[], None]],
        Awaitable[Changes[T] | Compacted | SourceFailure],
    ]
