"""Finds the version of a stream by the parts of prompts that upstreams hold.

A search has each upstream of a service read by one host, which tells the parts
to the hosts that keep them. The host of a caller asks these.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.forwarding import (
    CACHED_RETENTION_S,
    CachedVersions,
    CacheReaders,
    Held,
    Keepers,
    ReportRate,
    Tracker,
    part_id,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import CACHE_READS, Metrics
from hollyknot_gateway._ports import UNSUPPORTED, ReadParts, SourceFailure
from hollyknot_gateway._reports import CacheMessage, encode_message
from hollyknot_state import Address, CachedNote, CacheSearch
from hollyknot_state.routes import UpstreamEntry

READ_TIMEOUT_S = 0.5
"""Seconds for which an upstream may take to list its parts."""

MAX_READS = 16
"""Upstreams that are read at the same time."""

MAX_PARTS_READ = 8_192
"""Most parts of one upstream that are told to others."""

MEETING_S = 0.3
"""Seconds after the start of a host in which it meets its peers. A host without
peers reads all upstreams."""

SETTLE_S = 0.6
"""Seconds after which a search has ended. Where it has failed to find a part, a
second host reads each upstream, as the first may be frozen or cut off."""

BELIEF_S = 0.3
"""Seconds after the beginning of a search from which one version is believed:
upstreams of another one may be read a little later."""

POLL_S = 0.15
"""Seconds between two looks for a part while a search goes on."""

FIRST_PAUSE_S = 5.0
LONGEST_PAUSE_S = 20.0
"""Seconds until upstreams are read again, which doubles with each search."""

CALM_S = 60.0
"""Seconds without a search after which the first pause counts again."""

UNREAD_PAUSE_S = 1.0
UNREAD_S = 10.0
"""Seconds between two reads of an upstream that could not be read, and for
which it is tried: callers whose streams it began come back meanwhile."""

MAX_COPIES = 2
MAX_PARTS_PER_NOTE = 128
"""Most parts in a datagram, at 10 bytes each."""


@attrs.define
class _Search:
    """The last search in a service.

    Attributes:
        at_s: Time at which this host began it or heard of it, in seconds.
        copies: Number of hosts that read each upstream.
        pause_s: Seconds until the next search may begin.
    """

    at_s: float
    copies: int
    pause_s: float


@attrs.frozen
class _Parts:
    """The parts that an upstream held when it was read.

    Attributes:
        at_s: Time of the read in seconds.
        entry: The upstream.
        numbers: Numbers of the parts.
    """

    at_s: float
    entry: UpstreamEntry
    numbers: Sequence[int]


class CacheSearches:
    """Searches of one host and its peers."""

    def __init__(
        self,
        cached: CachedVersions,
        readers: CacheReaders,
        keepers: Keepers,
        read: ReadParts,
        upstreams: Callable[[str], Iterable[UpstreamEntry]],
        peers: Callable[[], Sequence[Tracker]],
        learn_hosts: Callable[[], Awaitable[None]],
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance that has searched nothing.

        Args:
            cached: Receives the parts that this host reads or is told of.
            readers: Tells which upstreams this host reads.
            keepers: Chooses the peers that keep a part.
            read: Reads the parts that an upstream holds.
            upstreams: Returns the upstreams of a service, leaving ones as well.
            peers: Returns the peers that read upstreams and keep parts.
            learn_hosts: Learns of further peers, if this host has just started.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            log: Logs searches and failed reads.
            metrics: Counts reads.
            clock: The loop's monotonic clock, in seconds.
        """
        self._cached = cached
        self._readers = readers
        self._keepers = keepers
        self._read = read
        self._upstreams = upstreams
        self._peers = peers
        self._learn_hosts = learn_hosts
        self._rate = rate
        self._send = send
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._started_s = clock()
        self._searches: dict[str, _Search] = {}
        self._wanted: asyncio.Queue[CacheSearch] = asyncio.Queue()
        # By incarnation: what the last successful read found.
        self._found: dict[str, _Parts] = {}
        # The same of upstreams that have left since.
        self._departed: dict[str, _Parts] = {}
        self._unsupported: set[str] = set()
        # By incarnation: upstreams that are to be read once they can be.
        self._unread: dict[str, UpstreamEntry] = {}
        # By service: number of searches for which this host reads upstreams.
        self._reading: Counter[str] = Counter()

    async def run(self) -> None:
        """Reads upstreams for the searches until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._read_again())
            while True:
                search = await self._wanted.get()
                try:
                    await self._read_all(search)
                finally:
                    self._reading[search.pool] -= 1

    async def _read_again(self) -> None:
        """Reads the upstreams that could not be read, until they can be."""
        while True:
            await asyncio.sleep(UNREAD_PAUSE_S)
            unread = [e for e in self._unread.values() if self._is_wanted(e)]
            self._unread.clear()
            limit = asyncio.Semaphore(MAX_READS)
            async with asyncio.TaskGroup() as tasks:
                for entry in unread:
                    tasks.create_task(self._read_one(entry, limit))

    def _is_wanted(self, entry: UpstreamEntry) -> bool:
        """Whether the search for which an upstream is read still matters."""
        search = self._searches.get(entry.service)
        return search is not None and self._clock() - search.at_s < UNREAD_S

    @property
    def keepers(self) -> Keepers:
        """Chooses the peers that keep a part."""
        return self._keepers

    async def find(
        self,
        service: str,
        ask: Callable[[], Awaitable[str | Held | None]],
    ) -> str | None:
        """Finds the only version whose upstreams hold a part.

        Args:
            service: The service of the upstreams.
            ask: Looks into the memory of this host and those that keep it.

        Returns:
            The version; None if no upstream holds the part, or several of
            different versions do, or this can't be learnt.
        """
        if self._has_searched(service):
            found = await ask()
            if isinstance(found, str):
                return found
        search = self._begin(service)
        while True:
            found = await ask()
            searched_s = self._clock() - search.at_s
            may_believe = searched_s >= BELIEF_S and not self._reading[service]
            if found is Held.BY_SEVERAL:
                return None
            if isinstance(found, str) and may_believe:
                return found
            if searched_s >= SETTLE_S:
                return found
            await asyncio.sleep(POLL_S)

    async def until_met(self) -> None:
        """Waits until a host that has just started has met peers."""
        await asyncio.sleep(self._started_s + MEETING_S - self._clock())
        await self._learn_hosts()

    def is_over(self, service: str) -> bool:
        """Whether another search of a service can find no more for now."""
        search = self._searches.get(service)
        if search is None or search.copies < MAX_COPIES:
            return False
        return self._clock() - search.at_s >= SETTLE_S

    def handle(self, message: CacheMessage) -> None:
        """Handles a message of a peer."""
        if isinstance(message, CachedNote):
            self._cached.note(message.version, message.parts, self._clock())
            return
        known = self._searches.get(message.pool)
        if known is None or self._may_follow(known, message.copies):
            self._record(message)

    def _has_searched(self, service: str) -> bool:
        """Whether the results of a search count that has just been made."""
        search = self._searches.get(service)
        if search is None or self._has_paused(search):
            return False
        searched_s = self._clock() - search.at_s
        return searched_s >= SETTLE_S and not self._reading[service]

    def _begin(self, service: str) -> _Search:
        """Begins a search unless one has just been made."""
        known = self._searches.get(service)
        copies = 1
        if known is not None and not self._has_paused(known):
            copies = known.copies + 1
            if not self._may_follow(known, copies):
                return known
        search = CacheSearch(service, copies)
        addresses = [peer.address for peer in self._peers()]
        data = encode_message(search)
        self._send(data, addresses)
        self._rate.spend_on_queries(len(data) * len(addresses))
        self._log.line("cache_search", service=service, copies=copies)
        return self._record(search)

    def _record(self, message: CacheSearch) -> _Search:
        """Notes a search and has this host do its share."""
        known = self._searches.get(message.pool)
        pause_s = FIRST_PAUSE_S
        if known is not None and self._clock() - known.at_s < CALM_S:
            is_next = message.copies <= known.copies
            pause_s = known.pause_s * (2 if is_next else 1)
        found = _Search(
            self._clock(),
            min(message.copies, MAX_COPIES),
            min(pause_s, LONGEST_PAUSE_S),
        )
        self._searches[message.pool] = found
        self._reading[message.pool] += 1
        self._wanted.put_nowait(message)
        return found

    def _may_follow(self, known: _Search, copies: int) -> bool:
        """Whether a search may come now, after the one before."""
        if self._has_paused(known):
            return True
        is_settled = self._clock() - known.at_s >= SETTLE_S
        return is_settled and known.copies < copies <= MAX_COPIES

    def _has_paused(self, known: _Search) -> bool:
        return self._clock() - known.at_s >= known.pause_s

    async def _read_all(self, search: CacheSearch) -> None:
        """Reads the upstreams that this host is to read."""
        await self._learn_hosts()
        limit = asyncio.Semaphore(MAX_READS)
        entries = list(
            self._readers.to_read(
                self._upstreams(search.pool), min(search.copies, MAX_COPIES)
            )
        )
        async with asyncio.TaskGroup() as tasks:
            for entry in entries:
                tasks.create_task(self._read_one(entry, limit))
        self._tell_of_departed(search.pool)

    def _tell_of_departed(self, service: str) -> None:
        """Tells the parts of upstreams that were read and have left since.

        The peers that were told may not be those that are asked by now.
        """
        now_s = self._clock()
        for name, known in list(self._departed.items()):
            if now_s - known.at_s >= CACHED_RETENTION_S:
                del self._departed[name]
            elif known.entry.service == service:
                self._tell(known.entry, known.numbers)

    async def _read_one(
        self, entry: UpstreamEntry, limit: asyncio.Semaphore
    ) -> None:
        """Reads an upstream, unless it was read lately, and tells its parts.

        What was read lately is told again, as more peers are known by now.
        """
        if entry.incarnation in self._unsupported:
            return
        known = self._found.get(entry.incarnation)
        if known is None or self._clock() - known.at_s >= FIRST_PAUSE_S:
            async with limit:
                known = await self._read_parts(entry)
        if known is not None:
            self._cached.note(entry.version, known.numbers, self._clock())
            self._tell(entry, known.numbers)

    async def _read_parts(self, entry: UpstreamEntry) -> _Parts | None:
        at_s = self._clock()
        found = await self._read(entry, READ_TIMEOUT_S)
        if isinstance(found, SourceFailure):
            self._on_failure(entry, found)
            return None
        self._metrics.count(CACHE_READS, outcome="read")
        self._log.line(
            "cache_read",
            upstream=entry.incarnation,
            version=entry.version,
            parts=len(found),
        )
        numbers = [part_id(entry.service, n) for n in found[:MAX_PARTS_READ]]
        parts = _Parts(at_s, entry, numbers)
        self._found[entry.incarnation] = parts
        return parts

    def _on_failure(self, entry: UpstreamEntry, failure: SourceFailure) -> None:
        self._metrics.count(CACHE_READS, outcome=failure.reason)
        if failure.reason == UNSUPPORTED:
            self._unsupported.add(entry.incarnation)
        else:
            self._unread[entry.incarnation] = entry
        self._log.line(
            "cache_unread",
            upstream=entry.incarnation,
            reason=failure.reason,
            detail=failure.detail,
        )

    def _tell(self, entry: UpstreamEntry, parts: Iterable[int]) -> None:
        told: dict[Address, list[int]] = {}
        for part in parts:
            for peer in self._keepers.to_tell(part):
                told.setdefault(peer.address, []).append(part)
        for address, numbers in told.items():
            for first in range(0, len(numbers), MAX_PARTS_PER_NOTE):
                some = tuple(numbers[first : first + MAX_PARTS_PER_NOTE])
                note = CachedNote(entry.service, entry.version, some)
                data = encode_message(note)
                self._send(data, [address])
                self._rate.spend_on_queries(len(data))

    def forget(self, incarnation: str) -> None:
        """Handles an upstream that has left."""
        found = self._found.pop(incarnation, None)
        if found is not None:
            self._departed[incarnation] = found
        self._unread.pop(incarnation, None)
        self._unsupported.discard(incarnation)
