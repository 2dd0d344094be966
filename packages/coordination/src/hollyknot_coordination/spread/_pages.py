"""Whole documents in pages that any holder of the version can give.

A page is a slice of the document's canonical bytes, compressed by itself, so
that a host whose source dies goes on with another one at the same page.
"""

import zlib
from collections.abc import Mapping

import orjson

from hollyknot_coordination.spread._records import (
    Records,
    Snapshot,
    dump_record,
)
from hollyknot_state import DocumentPage, DocumentVersion

PAGE_BYTES = 131_072
"""Bytes of a page before compression; well below the largest frame."""

MAX_PAGES = 1_024
"""A document of more than 128 MB is a mistake or an attack on memory."""


class PageError(ValueError):
    """A page or the pages together are no document."""


class PagedDocument:
    """A document's canonical bytes, kept while hosts ask for its pages."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._version = snapshot.version
        self._body = _canonical(snapshot.records)

    @property
    def version(self) -> DocumentVersion:
        """The version that the pages make up."""
        return self._version

    @property
    def pages(self) -> int:
        """How many pages there are; at least 1."""
        return -(-len(self._body) // PAGE_BYTES)

    def page(self, index: int) -> DocumentPage:
        """Returns a page, from 0.

        Raises:
            PageError: There is no such page.
        """
        if not 0 <= index < self.pages:
            raise PageError(f"page {index} of {self.pages} was asked for")
        start = index * PAGE_BYTES
        body = zlib.compress(self._body[start : start + PAGE_BYTES])
        return DocumentPage(self._version, index, self.pages, body)


class PageAssembly:
    """Pages of one version, put together in order."""

    def __init__(self, first: DocumentPage) -> None:
        """Begins with page 0.

        Raises:
            PageError: It can't be one.
        """
        if first.page != 0 or first.pages > MAX_PAGES:
            raise PageError(
                f"page {first.page} of {first.pages} can't begin a document"
            )
        self._version = first.version
        self._pages = first.pages
        self._bodies = [_inflate(first.body)]

    @property
    def version(self) -> DocumentVersion:
        """The version that is being put together."""
        return self._version

    @property
    def next_page(self) -> int:
        """The page that is missing first."""
        return len(self._bodies)

    @property
    def is_whole(self) -> bool:
        """Whether no page is missing."""
        return len(self._bodies) == self._pages

    def add(self, page: DocumentPage) -> bool:
        """Takes a page; tells whether it was the one that was missing first.

        Raises:
            PageError: Its body can't be inflated.
        """
        if page.version != self._version or page.pages != self._pages:
            return False
        if page.page != self.next_page or self.is_whole:
            return False
        self._bodies.append(_inflate(page.body))
        return True

    def records(self) -> Records:
        """Returns the records of a whole document.

        Raises:
            PageError: The pages are no document.
        """
        try:
            value = orjson.loads(b"".join(self._bodies))
        except orjson.JSONDecodeError as error:
            raise PageError(f"the pages are no JSON: {error}") from error
        if not isinstance(value, dict):
            raise PageError("the pages are no JSON object")
        return {path: dump_record(body) for path, body in value.items()}


def _canonical(records: Mapping[str, bytes]) -> bytes:
    value = {path: orjson.Fragment(records[path]) for path in sorted(records)}
    return orjson.dumps(value)


def _inflate(body: bytes) -> bytes:
    # A few bytes of zlib can stand for gigabytes; without the bound a faulty
    # peer would end this process by its memory.
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(body, PAGE_BYTES + 1)
    except zlib.error as error:
        raise PageError(f"the page can't be inflated: {error}") from error
    if len(plain) > PAGE_BYTES or not inflater.eof:
        raise PageError(f"the page is cut or above {PAGE_BYTES} bytes")
    return plain
