"""Where another interface or platform is plugged in: four sets of functions.

The gateway itself knows no header's name, no document's shape and no store.
Each set below is given at the start by the package that starts a host.
"""

import enum
from collections.abc import Awaitable, Callable
from typing import Any, Generic, TypeVar

import attrs

from hollyknot_state.routes import AnswerTraits, CallTraits, Dispatch

Headers = tuple[tuple[bytes, bytes], ...]
"""As they were received, in order."""

Fields = Any
"""A mapping from header names, without regard to case, to texts."""

T = TypeVar("T")


@attrs.frozen
class Dialect:
    """The names that callers, hosts and upstreams use in headers.

    Attributes:
        read_call: Returns what a request says of itself.
        upstream_headers: Returns the headers that an upstream gets, from the
            caller's, without those of the connection.
        read_answer: Returns what an answer's head says of itself.
        attempt_header: Names the request in answers of the host's own.
    """

    read_call: Callable[[Fields], CallTraits]
    upstream_headers: Callable[[Headers, Dispatch], list[tuple[bytes, bytes]]]
    read_answer: Callable[[int, Fields], AnswerTraits]
    attempt_header: bytes


@attrs.frozen
class Unreadable:
    """An item that holds nothing of use, whoever wrote it.

    Attributes:
        name: Of the item in its collection.
        reason: What is wrong with it.
    """

    name: str
    reason: str


@attrs.frozen
class Listing(Generic[T]):
    """A whole collection.

    Attributes:
        items: By name.
        revision: From which to watch.
        unreadable: Those that could not be read.
        changed: The newest revision at which an item of it was written.
        era: In which the revisions were given out; None if it isn't told.
    """

    items: dict[str, T]
    revision: int
    unreadable: tuple[Unreadable, ...] = ()
    changed: int = 0
    era: int | None = None


@attrs.frozen
class Changes(Generic[T]):
    """What has changed in a collection.

    Attributes:
        items: Written, by name.
        removed: Names that are gone.
        revision: From which to go on.
        unreadable: Written, but could not be read.
        changed: The newest revision among the changes; 0 for none.
        era: As of a listing.
    """

    items: dict[str, T]
    removed: tuple[str, ...]
    revision: int
    unreadable: tuple[Unreadable, ...] = ()
    changed: int = 0
    era: int | None = None


class Compacted(enum.Enum):
    """The history since the revision asked for is no longer kept."""

    COMPACTED = "compacted"


@attrs.frozen
class SourceFailure:
    """A read that told nothing.

    Attributes:
        reason: A slug for logs.
        detail: What went wrong.
    """

    reason: str
    detail: str = ""


@attrs.frozen
class Source(Generic[T]):
    """A collection that can be listed and watched.

    Attributes:
        name: For logs.
        list: Reads all of it.
        watch: Waits for changes after a revision, for some seconds at most.
            Calls its last argument each time a part of the answer arrives.
    """

    name: str
    list: Callable[[], Awaitable[Listing[T] | SourceFailure]]
    watch: Callable[
        [int, float, Callable[[], None]],
        Awaitable[Changes[T] | Compacted | SourceFailure],
    ]
