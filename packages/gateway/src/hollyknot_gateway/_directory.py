"""Follows the platform's directory: published routes and upstreams.

What is read from its two collections is put in force in the routing state.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from hollyknot_coordination.forwarding import ColdStarts, Ended
from hollyknot_gateway._follower import (
    LONGEST_PAUSE_S,
    PAUSE_JITTER,
    Follower,
    FollowOptions,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import UNREADABLE, Metrics
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._ports import Changes, Listing, Source, Unreadable
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import Position, ReadRevisions
from hollyknot_state.routes import (
    Bounds,
    Evacuation,
    Published,
    RouteTable,
    UpstreamEntry,
)

RENEWAL_S = 2.0
"""Seconds after a directory outage within which the entries that have only
lapsed are written again. Until then their upstreams stay usable."""

LEASE_HEARTBEATS = 3
"""Heartbeats without a renewal after which an entry lapses."""

REPORT_DELAY_S = 0.5
"""Seconds after which the reports of peers about a change have arrived."""

READ_PAUSE_FRACTION = 0.4
"""The pause between two reads of the upstreams, as a fraction of the time after
which a draining upstream must get no new work. The rest of that time is left
for the read itself and for requests that are already on their way."""

SHORTEST_WATCH_S = 2.0
"""Seconds that a watch waits in a small fleet. A connection that has silently
failed hides a new version for no longer than this plus the slack of a read."""

LONGEST_WATCH_S = 18.0
"""Seconds that a watch waits at most, in a large fleet. A host whose watch has
silently failed learns of a change from its peers; this limit lets it notice the
change by itself soon afterwards."""

FLEET_WATCH_ENDS_PER_S = 4.0
"""Watches that end per second, over all hosts of a fleet. If a source recovers
but never answers the watches that were open, one host notices within a second,
and the others learn it from that host's reports."""


RESTORED_HEARTBEATS = 4
"""How long entries may be outdated after the source was restored from an older
copy, in heartbeats of upstreams. Live upstreams have renewed their entries by
then, and entries of upstreams that have ended lapse after three heartbeats."""

FLEET_RETRIES_PER_S = 40.0
"""Reads of a lost source that are retried per second, over all hosts of a
fleet."""

CONFIRM_TIMEOUT_S = 0.3
"""Seconds to wait for the answer to a read that is wanted at once. A sound
directory answers within milliseconds, or a few hundred where it is slow."""

FLEET_CONFIRMS_PER_S = 400.0
"""Reads that are wanted at once, per second over all hosts of a fleet, if none
of them hears enough of its peers."""

RETRY_PAUSE_FRACTION = 0.25
"""The longest pause between two retries, as a fraction of the time within which
an outage must count as over. Changes made during the outage are then read well
before they have to be in force."""


_MASS_LAPSE_FRACTION = 0.8
"""Fraction of the time that is left to stop the use of an upstream after the
longest pause between two reads; the rest is for the read itself."""


def mass_lapse_s(bounds: Bounds) -> float:
    """Returns how long upstreams are used after most entries went at once.

    If they have left in fact, they get no request later than the bound allows.
    """
    longest_pause_s = bounds.drain_s * READ_PAUSE_FRACTION * (1 + PAUSE_JITTER)
    return (bounds.drain_s - longest_pause_s) * _MASS_LAPSE_FRACTION


@attrs.frozen
class DirectoryParts:
    """The collaborators of a `Directory`.

    Attributes:
        published: The source of route tables and evacuations, which operators
            publish.
        upstreams: The source of upstream entries.
        in_force: The routing state that both collections update.
        cold_starts: Notified of upstreams that are cold or may be cold.
        pool: Connections to upstreams; those to leaving upstreams are closed.
        on_ended: Called with each incarnation that has left for good.
        on_versions: Called with the versions of upstreams by service, whether
            they get requests, are leaving or have left meanwhile.
        on_moved: Called with the services between which routes of streams have
            moved.
        on_gap: Called when upstreams may have come and gone unseen, or routes
            may have moved there and back.
        log: Receives a line for each change of the routing state.
        metrics: Counts items that can't be read.
        hosts: Returns how many hosts this one knows of, itself included.
        rng: Adds jitter to pauses.
        clock: The loop's monotonic clock, in seconds.
    """

    published: Source[Published]
    upstreams: Source[UpstreamEntry]
    in_force: RoutingState
    cold_starts: ColdStarts
    pool: Pool
    on_ended: Callable[[Ended], None]
    on_versions: Callable[[Mapping[str, Collection[str]]], None]
    on_moved: Callable[[Collection[str]], None]
    on_gap: Callable[[], None]
    log: Log
    metrics: Metrics
    hosts: Callable[[], int]
    rng: random.Random
    clock: Callable[[], float]


class Directory:
    """Follows the platform's two collections and applies what changes."""

    def __init__(self, parts: DirectoryParts, bounds: Bounds) -> None:
        """Creates followers of both collections, which read nothing yet.

        Args:
            parts: The sources and the components that they update.
            bounds: Limits on the delay until changes are noticed.
        """
        self._parts = parts
        self._bounds = bounds
        self._unreadable: dict[str, str] = {}
        self._evacuations: dict[str, str] = {}
        self._published = self._published_follower()
        self._upstreams = self._upstream_follower()

    @property
    def read(self) -> ReadRevisions:
        """The newest changes that were read from both collections."""
        tables, upstreams = self._published.changed, self._upstreams.changed
        return ReadRevisions(
            tables.revision, upstreams.revision, tables.era, upstreams.era
        )

    @property
    def proof_age_s(self) -> float:
        """Seconds for which upstreams or routes may have come unread.

        Infinity if a peer has read of a change that this host has not.
        """
        return max(self._upstreams.proof_age_s, self._published.proof_age_s)

    async def confirm(self) -> bool:
        """Reads both collections at once, unless they are known to be silent.

        Returns:
            Whether all upstreams that were written before this call have been
            read, and all routes that peers have read.
        """
        is_confirmed, _ = await asyncio.gather(
            self._upstreams.confirm(CONFIRM_TIMEOUT_S),
            self._published.confirm(CONFIRM_TIMEOUT_S),
        )
        return is_confirmed and not math.isinf(self._published.proof_age_s)

    def on_peer_read(self, read: ReadRevisions) -> None:
        """Reads at once whatever a peer has read and this host has not."""
        self._published.on_peer_read(Position(read.tables_era, read.tables))
        self._upstreams.on_peer_read(
            Position(read.upstreams_era, read.upstreams)
        )

    def is_current(self, *, has_peers: bool, running_s: float) -> bool:
        """Whether the list of upstreams may be taken for the newest one.

        A directory that does not answer may have changed.

        Args:
            has_peers: Whether peers report what they have read, so that it is
                known whether this host is behind them.
            running_s: Seconds for which this host has run without a pause. It
                has missed the changes of a pause until the directory answers.
        """
        if self._upstreams.silent_s > running_s:
            return False
        if has_peers and self._upstreams.behind_s >= self._bounds.drain_s:
            return False
        longest_watch_s = self._options(0.0).wait_s
        silence_s = self._bounds.contact_s + longest_watch_s
        return self._upstreams.silent_s < silence_s

    def set_bounds(self, bounds: Bounds) -> None:
        """Uses other bounds from the next read on."""
        self._bounds = bounds

    async def follow_published(self) -> None:
        """Reads what operators publish until it is cancelled."""
        await self._published.run()

    async def follow_upstreams(self) -> None:
        """Reads upstreams until it is cancelled."""
        await self._upstreams.run()

    def _published_follower(self) -> Follower[Published]:
        parts = self._parts
        return Follower(
            parts.published,
            lambda: self._options(0.0),
            lambda listing, _: self._apply_published_listing(listing),
            lambda changes, _: self._apply_published_changes(changes),
            parts.log,
            parts.rng,
            parts.clock,
        )

    def _upstream_follower(self) -> Follower[UpstreamEntry]:
        parts = self._parts
        return Follower(
            parts.upstreams,
            # Entries are renewed continuously, so a watch ends almost at once.
            # Without a pause each renewal would cost a read.
            lambda: self._options(self._bounds.drain_s * READ_PAUSE_FRACTION),
            self._apply_upstream_listing,
            self._apply_upstream_changes,
            parts.log,
            parts.rng,
            parts.clock,
            parts.on_gap,
        )

    def _options(self, pause_s: float) -> FollowOptions:
        wanted_s = self._parts.hosts() / FLEET_WATCH_ENDS_PER_S
        wait_s = min(max(wanted_s, SHORTEST_WATCH_S), LONGEST_WATCH_S)
        return FollowOptions(
            wait_s=wait_s,
            first_wait_s=SHORTEST_WATCH_S,
            pause_s=pause_s,
            settle_s=self._bounds.contact_s,
            longest_pause_s=self._longest_pause_s(),
            lapse_after_s=self._lapse_after_s(),
            renewal_s=RENEWAL_S,
            restored_s=self._bounds.heartbeat_s * RESTORED_HEARTBEATS,
            confirm_pause_s=self._parts.hosts() / FLEET_CONFIRMS_PER_S,
        )

    def _lapse_after_s(self) -> float:
        """Returns how long an outage lasts at least in which entries lapse.

        The first entries to lapse are those that were due for renewal as it
        began. It seems shorter if a peer's report arrives after it has begun.
        """
        due_s = self._bounds.heartbeat_s * (LEASE_HEARTBEATS - 1)
        return max(due_s - REPORT_DELAY_S, due_s / 2)

    def _longest_pause_s(self) -> float:
        """Returns the longest pause before a lost source is tried again.

        It grows with the number of hosts, since all of them retry during an
        outage and the source has to refuse each attempt.
        """
        wanted_s = self._parts.hosts() / FLEET_RETRIES_PER_S
        longest_s = max(
            LONGEST_PAUSE_S, self._bounds.contact_s * RETRY_PAUSE_FRACTION
        )
        return min(max(wanted_s, LONGEST_PAUSE_S), longest_s)

    def _apply_published_listing(self, listing: Listing[Published]) -> None:
        """Applies a full listing of what operators have published.

        An evacuation that is missing has ended, unless the source was restored
        from an older copy and may have lost it; operators then write it again.
        """
        self._report_unreadable(listing.unreadable)
        if not self._published.is_restored:
            self._evacuations.clear()
        # Evacuations go first, so that no new route leads to an evacuated data
        # centre.
        self._apply_evacuations(listing.items)
        self._apply_tables(listing.items, may_have_missed=True)

    def _apply_published_changes(self, changes: Changes[Published]) -> None:
        """Applies published changes; unreadable items change nothing."""
        self._report_unreadable(changes.unreadable)
        for name in changes.removed:
            self._evacuations.pop(name, None)
        self._apply_evacuations(changes.items)
        self._apply_tables(changes.items, may_have_missed=changes.has_replaced)

    def _report_unreadable(self, unreadable: tuple[Unreadable, ...]) -> None:
        for item in unreadable:
            self._parts.metrics.count(UNREADABLE, source="published")
            self._parts.log.line(
                "unreadable_item", key=item.name, reason=item.reason
            )

    def _apply_evacuations(self, items: dict[str, Published]) -> None:
        """Stops sending new work to the data centres that are evacuated."""
        self._evacuations.update(
            (name, item.data_centre)
            for name, item in items.items()
            if isinstance(item, Evacuation)
        )
        evacuated = frozenset(self._evacuations.values())
        before = self._parts.in_force.evacuate(evacuated)
        for data_centre in sorted(evacuated - before):
            self._parts.log.line("evacuated", where=data_centre)
        for data_centre in sorted(before - evacuated):
            self._parts.log.line("taken_back", where=data_centre)
            self._mark_possibly_cold(data_centre)

    def _mark_possibly_cold(self, data_centre: str) -> None:
        """Treats upstreams of a data centre as cold after its evacuation.

        They may have been restarted while they got no work, and their entries
        say so only some time after work returns. Since they are idle, placement
        would send the requests of all hosts to them at once.
        """
        now_s = self._parts.clock()
        for entry in self._parts.in_force.registry.all_serving(now_s):
            if entry.data_centre == data_centre:
                self._parts.cold_starts.suspect(entry, now_s)

    def _apply_tables(
        self, items: dict[str, Published], *, may_have_missed: bool
    ) -> None:
        """Puts each route table in force unless it is outdated.

        Args:
            items: What was read.
            may_have_missed: Whether there may have been further tables between
                the one before and these.
        """
        tables = [
            item for item in items.values() if isinstance(item, RouteTable)
        ]
        for table in tables:
            began = time.perf_counter()
            if may_have_missed and self._parts.in_force.is_replaced_by(table):
                self._parts.on_gap()
            self._parts.on_moved(self._parts.in_force.moved_services(table))
            is_new = self._parts.in_force.apply_table(table)
            self._parts.log.line(
                "routes",
                version=table.version,
                in_force=is_new,
                routes=len(table.routes),
                ms=round((time.perf_counter() - began) * 1000, 2),
            )

    def _apply_upstream_listing(
        self, listing: Listing[UpstreamEntry], lapse_ends_s: float
    ) -> None:
        in_force = self._parts.in_force
        self._parts.on_versions(_versions(listing.items.values()))
        self._remove_unreadable(listing.unreadable, are_all=True)
        now_s = self._parts.clock()
        changed = in_force.registry.replace(
            listing.items.values(),
            now_s,
            lapse_ends_s=lapse_ends_s,
            may_be_older=self._upstreams.is_restored,
        )
        for entry in changed:
            self._parts.cold_starts.note(entry, now_s)
        in_force.has_upstreams = True
        self._parts.log.line(
            "upstreams",
            listed=len(listing.items),
            known=len(in_force.registry),
            unreadable=len(listing.unreadable),
            era=listing.era,
            revision=listing.revision,
        )
        self._forget_ended()

    def _apply_upstream_changes(
        self, changes: Changes[UpstreamEntry], lapse_ends_s: float
    ) -> None:
        self._parts.on_versions(
            _versions((*changes.items.values(), *changes.past))
        )
        for entry in changes.items.values():
            self._apply_entry(entry, changes.revision)
        lapse_ends_s = self._parts.in_force.registry.lapse_end(
            changes.removed, self._parts.clock(), lapse_ends_s
        )
        for name in changes.removed:
            self._unreadable.pop(name, None)
            self._remove(name, changes.revision, lapse_ends_s)
        self._remove_unreadable(changes.unreadable, are_all=False)
        self._forget_ended()

    def _remove_unreadable(
        self, found: tuple[Unreadable, ...], *, are_all: bool
    ) -> None:
        """Removes upstreams whose entries can't be read.

        An entry is logged only when its problem is new: a writer that renews a
        bad entry every second would otherwise fill the log.

        Args:
            found: The entries that can't be read.
            are_all: Whether these are all such entries of the collection.
        """
        for item in found:
            self._parts.metrics.count(UNREADABLE, source="upstreams")
            if self._unreadable.get(item.name) != item.reason:
                self._parts.log.line(
                    "unreadable_upstream", key=item.name, reason=item.reason
                )
            self._parts.in_force.registry.remove(item.name, self._parts.clock())
        if are_all:
            self._unreadable.clear()
        self._unreadable.update((item.name, item.reason) for item in found)

    def _apply_entry(self, entry: UpstreamEntry, revision: int) -> None:
        self._unreadable.pop(entry.name, None)
        if self._parts.in_force.registry.put(entry):
            self._parts.cold_starts.note(entry, self._parts.clock())
            self._parts.log.line(
                "upstream",
                upstream=entry.incarnation,
                service=entry.service,
                where=entry.data_centre,
                draining=entry.is_draining,
                cold_s=entry.cold_s,
                revision=revision,
            )
        if entry.is_draining:
            self._parts.pool.drop(entry.incarnation)

    def _remove(self, name: str, revision: int, lapse_ends_s: float) -> None:
        parts = self._parts
        registry = parts.in_force.registry
        service = registry.service_of(name)
        now_s = parts.clock()
        incarnation = registry.remove(name, now_s, lapse_ends_s)
        parts.log.line(
            "upstream_gone",
            upstream=incarnation or name,
            service=service,
            lapsed=lapse_ends_s > now_s,
            revision=revision,
        )

    def _forget_ended(self) -> None:
        """Discards all state that is kept for incarnations that have ended."""
        for ended in self._parts.in_force.registry.pop_ended():
            self._parts.pool.drop(ended.incarnation)
            self._parts.on_ended(ended)


def _versions(entries: Iterable[UpstreamEntry]) -> dict[str, set[str]]:
    """Returns the versions of upstreams by service."""
    found: dict[str, set[str]] = {}
    for entry in entries:
        found.setdefault(entry.service, set()).add(entry.version)
    return found
