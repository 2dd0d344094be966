"""Splits full documents into pages that any holder of a version can send.

A page is a slice of the document's canonical bytes that is compressed on its
own, so that a host whose source fails can continue with the same page at
another source.
"""

import zlib
from collections.abc import Mapping

import orjson

from hollyknot_coordination.spread._records import (
    Records,
    Snapshot,
    UnreadableError,
    dump_record,
)
from hollyknot_state import DocumentPage, DocumentVersion

PAGE_BYTES = 131_072
"""Bytes of a page before compression, well below the maximum frame size."""

MAX_PAGES = 1_024
"""Maximum number of pages of a document.

A document above 128 MB is a mistake or an attempt to exhaust memory.
"""


class PageError(ValueError):
    """Raised if a page does not exist or the pages form no valid document."""


class PagedDocument:
    """Holds a document's canonical bytes while hosts request its pages."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._version = snapshot.version
        self._body = _canonical(snapshot.records)

    @property
    def version(self) -> DocumentVersion:
        """Version of the document."""
        return self._version

    @property
    def pages(self) -> int:
        """Number of pages, at least 1."""
        return -(-len(self._body) // PAGE_BYTES)

    def page(self, index: int) -> DocumentPage:
        """Returns the page with an index, counted from 0.

        Raises:
            PageError: The index is out of range.
        """
        if not 0 <= index < self.pages:
            raise PageError(
                f"page {index} requested; the document has {self.pages}"
            )
        start = index * PAGE_BYTES
        body = zlib.compress(self._body[start : start + PAGE_BYTES])
        return DocumentPage(self._version, index, self.pages, body)


class PageAssembly:
    """Assembles the pages of one version in order."""

    def __init__(self, first: DocumentPage) -> None:
        """Creates an assembly that holds page 0.

        Raises:
            PageError: The page is not page 0, announces more than `MAX_PAGES`
                pages, or cannot be decompressed.
        """
        if first.page != 0 or first.pages > MAX_PAGES:
            raise PageError(
                f"page {first.page} of {first.pages} cannot start a document"
            )
        self._version = first.version
        self._pages = first.pages
        self._bodies = [_inflate(first.body)]

    @property
    def version(self) -> DocumentVersion:
        """Version that is being assembled."""
        return self._version

    @property
    def next_page(self) -> int:
        """Index of the first missing page."""
        return len(self._bodies)

    @property
    def is_whole(self) -> bool:
        """Whether all pages are present."""
        return len(self._bodies) == self._pages

    def add(self, page: DocumentPage) -> bool:
        """Adds the first missing page; returns whether the page was that one.

        Raises:
            PageError: The body cannot be decompressed.
        """
        if page.version != self._version or page.pages != self._pages:
            return False
        if page.page != self.next_page or self.is_whole:
            return False
        self._bodies.append(_inflate(page.body))
        return True

    def records(self) -> Records:
        """Returns the records of the assembled document.

        Raises:
            PageError: The pages together are not a JSON object, or a record
                is nested too deeply.
        """
        try:
            value = orjson.loads(b"".join(self._bodies))
        except orjson.JSONDecodeError as error:
            raise PageError(f"the pages are not valid JSON: {error}") from error
        if not isinstance(value, dict):
            raise PageError("the pages are not a JSON object")
        try:
            return {path: dump_record(body) for path, body in value.items()}
        except UnreadableError as error:
            raise PageError(str(error)) from error


def _canonical(records: Mapping[str, bytes]) -> bytes:
    value = {path: orjson.Fragment(records[path]) for path in sorted(records)}
    return orjson.dumps(value)


def _inflate(body: bytes) -> bytes:
    # A few bytes can decompress to gigabytes. Without the bound, a faulty peer
    # could make this process run out of memory.
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(body, PAGE_BYTES + 1)
    except zlib.error as error:
        raise PageError(f"the page cannot be decompressed: {error}") from error
    if len(plain) > PAGE_BYTES or not inflater.eof:
        raise PageError(f"the page is truncated or above {PAGE_BYTES} bytes")
    return plain
