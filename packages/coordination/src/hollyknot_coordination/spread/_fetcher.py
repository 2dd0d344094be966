"""Fetches a newer version of a document from the hosts that announced it.

A source is dropped when it leaves the host list, is believed dead, or fails
`MAX_FAILURES` requests in a row. It becomes a source again when it announces
the version again. So a version that no host can send any more is not requested
for ever.
"""

import random
from collections.abc import Callable, Collection

import attrs

from hollyknot_coordination._peer_commands import Send
from hollyknot_coordination.spread._pages import PageAssembly, PageError
from hollyknot_coordination.spread._records import Records
from hollyknot_state import (
    DocumentKind,
    DocumentPage,
    DocumentVersion,
    FetchDocument,
)

REQUEST_TIMEOUT_S = 1.0
"""Seconds after which a request without an answer has failed."""

MAX_FAILURES = 3
"""Consecutive failed requests after which a source is dropped."""

MAX_ASSEMBLY_FAILURES = 2
"""Consecutive failed requests after which partial pages are discarded."""

MAX_SOURCES = 256
"""Maximum number of sources; more would not make a fetch finish sooner."""

_NO_PEER = ""


@attrs.define
class _Source:
    version: int
    failures: int = 0


class Fetcher:
    """Tracks the sources of newer versions and the one request under way."""

    def __init__(self, document: DocumentKind, rng: random.Random) -> None:
        self._document = document
        self._rng = rng
        self._sources: dict[str, _Source] = {}
        self._peer = _NO_PEER
        self._deadline_s = 0.0
        self._assembly: PageAssembly | tuple[()] = ()
        self._consecutive_failures = 0

    @property
    def wanted(self) -> int:
        """Highest version that a source holds, or 0 if there are no sources."""
        return max((s.version for s in self._sources.values()), default=0)

    def add_source(self, peer: str, version: int) -> None:
        """Records that a peer holds a version that this host is missing.

        A lower version than before comes from a message that was overtaken,
        since the version that a process holds never falls.
        """
        source = self._sources.get(peer)
        if source is not None:
            source.version = max(source.version, version)
        elif len(self._sources) < MAX_SOURCES:
            self._sources[peer] = _Source(version)

    def drop(self, peer: str) -> None:
        """Removes a source."""
        self._sources.pop(peer, None)
        if self._peer == peer:
            self._peer = _NO_PEER

    def retain(self, peers: Collection[str]) -> None:
        """Removes the sources that are not among these hosts."""
        for peer in [p for p in self._sources if p not in peers]:
            self.drop(peer)

    def drop_unwanted(self, is_wanted: Callable[[int], bool]) -> None:
        """Drops sources and pages of versions that are no longer missing."""
        for peer, source in list(self._sources.items()):
            source.failures = 0
            if not is_wanted(source.version):
                self.drop(peer)
        self._peer = _NO_PEER
        if self._assembly and not is_wanted(self._assembly.version.version):
            self._assembly = ()

    def on_failure(self, peer: str) -> None:
        """Counts a request that failed or brought an unusable answer."""
        if self._peer == peer:
            self._peer = _NO_PEER
        self._consecutive_failures += 1
        if self._consecutive_failures >= MAX_ASSEMBLY_FAILURES:
            # All sources may have moved on to a newer version and freed the
            # pages of this one, so that requests for them would go on for
            # ever.
            self._assembly = ()
        source = self._sources.get(peer)
        if source is None:
            return
        source.failures += 1
        if source.failures >= MAX_FAILURES:
            self.drop(peer)

    def handle_page(
        self, peer: str, page: DocumentPage
    ) -> tuple[DocumentVersion, Records] | tuple[()]:
        """Handles a page of a version that is missing.

        Returns:
            The version and its records after the last page, else an empty
            tuple.
        """
        try:
            if not self._add(page):
                return ()
            if self._peer == peer:
                self._peer = _NO_PEER
            self._consecutive_failures = 0
            if not self._assembly or not self._assembly.is_whole:
                return ()
            version = self._assembly.version
            records = self._assembly.records()
        except PageError:
            self._assembly = ()
            self.on_failure(peer)
            return ()
        self._assembly = ()
        return version, records

    def next_request(
        self, bases: tuple[DocumentVersion, ...], now_s: float
    ) -> list[Send]:
        """Returns the request to send now, if one is due.

        Args:
            bases: Versions that a delta may start from.
            now_s: Current time in monotonic seconds.
        """
        if self._peer and now_s >= self._deadline_s:
            self.on_failure(self._peer)
        if self._peer or not self._sources:
            return []
        self._peer = self._choose_source()
        self._deadline_s = now_s + REQUEST_TIMEOUT_S
        return [Send(self._peer, self._request(bases))]

    def _add(self, page: DocumentPage) -> bool:
        """Adds a page if it is the next missing one; returns whether it was."""
        current = self._assembly
        if page.page > 0:
            return current.add(page) if current else False
        if current and page.version.version <= current.version.version:
            return False
        self._assembly = PageAssembly(page)
        return True

    def _choose_source(self) -> str:
        wanted = self.wanted
        holders = [p for p, s in self._sources.items() if s.version == wanted]
        fewest = min(self._sources[p].failures for p in holders)
        return self._rng.choice(
            [p for p in holders if self._sources[p].failures == fewest]
        )

    def _request(self, bases: tuple[DocumentVersion, ...]) -> FetchDocument:
        if not self._assembly:
            return FetchDocument(self._document, bases)
        return FetchDocument(
            self._document,
            version=self._assembly.version.version,
            page=self._assembly.next_page,
        )
