"""Simulates a directory of leased entries, and a host that follows it."""

import asyncio
import os
import random
from collections.abc import Callable
from typing import Any, cast

import attrs

from hollyknot_coordination.forwarding import (
    ColdStarts,
    HostCount,
    UpstreamRegistry,
)
from hollyknot_gateway import Changes, Compacted, Listing, Source, SourceFailure
from hollyknot_gateway._directory import (
    Directory,
    DirectoryParts,
    mass_lapse_s,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import Address, ReadRevisions
from hollyknot_state.routes import Bounds, UpstreamEntry

BOUNDS = Bounds(drain_s=2.0, contact_s=3.0, heartbeat_s=1.2)
LEASE_S = 3 * BOUNDS.heartbeat_s
DELAY_S = 0.004

REFUSED = SourceFailure("status", "503")
RESET = SourceFailure("connection-lost")
CUT = SourceFailure("connection-lost")
SILENT = SourceFailure("timeout")

_TIMEOUT_S = 0.8
_WATCH_SLACK_S = 0.6


def entry(number: int) -> UpstreamEntry:
    """Returns an upstream's entry."""
    address = Address("127.0.0.1", number + 1)
    return UpstreamEntry(f"u-{number}", "s", address, "north", 8)


@attrs.define
class LeasedEntries:
    """A directory whose entries lapse unless upstreams renew them.

    Attributes:
        entries: Entries and the times at which they lapse, by name.
        events: Revisions and names of changes; the newest is last.
        failure: How calls fail at present; None if they are answered.
        refuses_reads_only: Whether renewals are accepted meanwhile.
        oldest: The oldest revision from which a watch is possible.
    """

    entries: dict[str, tuple[UpstreamEntry, float]] = attrs.Factory(dict)
    events: list[tuple[int, str]] = attrs.Factory(list)
    revision: int = 1
    failure: SourceFailure | None = None
    refuses_reads_only: bool = False
    oldest: int = 0
    _changed: asyncio.Event = attrs.Factory(asyncio.Event)
    _cut: asyncio.Event = attrs.Factory(asyncio.Event)

    def remove(self, name: str) -> None:
        """Removes an entry."""
        del self.entries[name]
        self._record(name)

    def cut_watches(self) -> None:
        """Ends the waiting watches without an answer."""
        self._cut.set()
        self._cut = asyncio.Event()

    def compact(self) -> None:
        """Drops the history of changes."""
        self.events.clear()
        self.oldest = self.revision
        self._wake()

    async def renew(self, renewed: UpstreamEntry, first_s: float) -> None:
        """Renews an entry as an upstream does, until it is cancelled."""
        await asyncio.sleep(first_s)
        while True:
            if self.failure is None or self.refuses_reads_only:
                lapses_at = asyncio.get_running_loop().time() + LEASE_S
                self.entries[renewed.name] = renewed, lapses_at
                self._record(renewed.name)
            await asyncio.sleep(BOUNDS.heartbeat_s)

    async def expire(self) -> None:
        """Removes entries that have lapsed, until it is cancelled."""
        while True:
            await asyncio.sleep(0.01)
            now_s = asyncio.get_running_loop().time()
            for name, (_, lapses_at) in list(self.entries.items()):
                if now_s >= lapses_at:
                    self.remove(name)

    async def read_all(self) -> Listing[UpstreamEntry] | SourceFailure:
        """Answers a list of all entries."""
        await asyncio.sleep(DELAY_S)
        if self.failure is not None:
            return await self._fail(_TIMEOUT_S)
        items = {name: found for name, (found, _) in self.entries.items()}
        return Listing(items, self.revision, (), self.revision)

    async def watch(
        self, after: int, wait_s: float, _: Callable[[], None]
    ) -> Changes[UpstreamEntry] | Compacted | SourceFailure:
        """Answers a watch for changes after a revision."""
        await asyncio.sleep(DELAY_S)
        until_s = asyncio.get_running_loop().time() + wait_s
        cut = self._cut
        while self.failure is None:
            if after < self.oldest:
                return Compacted.COMPACTED
            left_s = until_s - asyncio.get_running_loop().time()
            if self._names_since(after) or left_s <= 0:
                return self._changes_since(after)
            await self._wait(left_s, cut)
            if cut.is_set():
                return CUT
        return await self._fail(wait_s + _WATCH_SLACK_S)

    async def _wait(self, left_s: float, cut: asyncio.Event) -> None:
        waits = [asyncio.ensure_future(e.wait()) for e in (cut, self._changed)]
        await asyncio.wait(
            waits, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        for waiting in waits:
            waiting.cancel()

    async def _fail(self, timeout_s: float) -> SourceFailure:
        failure = self.failure or SILENT
        if failure == SILENT:
            await asyncio.sleep(timeout_s)
        return failure

    def _changes_since(self, after: int) -> Changes[UpstreamEntry]:
        names = self._names_since(after)
        return Changes(
            {n: self.entries[n][0] for n in names if n in self.entries},
            tuple(n for n in names if n not in self.entries),
            self.revision,
            changed=self.revision if names else 0,
        )

    def _names_since(self, after: int) -> list[str]:
        names = [name for revision, name in self.events if revision > after]
        return sorted(set(names))

    def _record(self, name: str) -> None:
        self.revision += 1
        self.events.append((self.revision, name))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Follower:
    """The part of a host that follows a directory."""

    def __init__(self, entries: LeasedEntries, seed: int, hosts: int) -> None:
        """Creates a host of a fleet, which reads nothing yet.

        Args:
            entries: The directory.
            seed: Seed of its random numbers.
            hosts: Number of hosts of its fleet.
        """
        clock = asyncio.get_running_loop().time
        rng = random.Random(seed)
        size = HostCount(clock(), is_alone=True)
        self._clock = clock
        self._state = RoutingState(UpstreamRegistry(mass_lapse_s(BOUNDS)))
        self.directory = Directory(
            DirectoryParts(
                published=cast(Any, None),
                upstreams=Source("upstreams", entries.read_all, entries.watch),
                in_force=self._state,
                cold_starts=ColdStarts(rng, size, self._state.cold_start),
                pool=Pool(clock),
                on_ended=lambda _: None,
                on_versions=lambda _: None,
                on_moved=lambda _: None,
                on_gap=lambda: None,
                log=Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
                metrics=Metrics(),
                hosts=lambda: hosts,
                rng=rng,
                clock=clock,
            ),
            BOUNDS,
        )

    def uses(self, name: str) -> bool:
        """Whether an upstream gets requests."""
        return self._state.registry.is_usable(name, self._clock())

    def hear_of(self, revision: int) -> None:
        """Handles a peer's report of the newest change that it has read."""
        self.directory.on_peer_read(ReadRevisions(0, revision, 0, 0))
