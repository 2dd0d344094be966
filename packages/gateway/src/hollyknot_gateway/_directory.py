"""Keeps what a host's platform lists: what operators publish, and upstreams."""

import random
import time
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import ColdStarts, Ended
from hollyknot_gateway._follower import (
    LONGEST_PAUSE_S,
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

LAPSE_GRACE_S = 1.7
"""How long an upstream keeps its work whose entry has gone while the directory
was away: entries that only lapsed are back within two seconds."""

READ_PAUSE_FRACTION = 0.4
"""Of the bound for leaving upstreams, the pause between two reads of them. The
rest is for the read itself and for what is on its way."""

SHORTEST_WATCH_S = 2.0
"""How long a watch waits where few hosts are heard: a connection that fell
silent hides a new version for no longer than this and the slack of a read."""

LONGEST_WATCH_S = 18.0
"""The longest wait, in a large fleet. A host whose watch is silent learns of a
change by its peers; with this it also notices by itself, soon after."""

FLEET_WATCH_ENDS_PER_S = 4.0
"""How many hosts of a fleet end a watch each second. A source that returns in
silence, so that no open watch is ever answered, is noticed by one of them
within a second and by the others by what that one tells."""


RESTORED_HEARTBEATS = 4
"""After the source came back from an older copy, how long its entries may be
old, in heartbeats of upstreams. Live ones have renewed theirs by then, and
those of upstreams that have ended have lapsed after three."""

FLEET_RETRIES_PER_S = 40.0
"""How many hosts of a fleet try a lost source again each second."""

RETRY_PAUSE_FRACTION = 0.25
"""Of the time in which an outage counts as over, the longest pause between two
tries: what changed meanwhile is then read well before it has to be in force."""


@attrs.frozen
class DirectoryParts:
    """What the directory is made of.

    Attributes:
        published: The source of what operators publish.
        upstreams: The source of upstreams.
        in_force: Where both are put in force.
        cold_starts: Told of upstreams that are cold, or may be.
        pool: Connections, closed to upstreams that leave.
        on_ended: Told of an incarnation that has left for good.
        log: Told of what is believed.
        metrics: Counts what can't be read.
        hosts: How many hosts there are, as far as this one knows.
        rng: Spreads pauses.
        clock: The loop's monotonic clock, in seconds.
    """

    published: Source[Published]
    upstreams: Source[UpstreamEntry]
    in_force: RoutingState
    cold_starts: ColdStarts
    pool: Pool
    on_ended: Callable[[Ended], None]
    log: Log
    metrics: Metrics
    hosts: Callable[[], int]
    rng: random.Random
    clock: Callable[[], float]


class Directory:
    """Follows the platform's two collections."""

    def __init__(self, parts: DirectoryParts, bounds: Bounds) -> None:
        """Wires the parts.

        Args:
            parts: Sources and what they feed.
            bounds: How soon changes have to be noticed.
        """
        self._parts = parts
        self._bounds = bounds
        self._unreadable: dict[str, str] = {}
        self._evacuations: dict[str, str] = {}
        self._published = self._published_follower()
        self._upstreams = self._upstream_follower()

    @property
    def read(self) -> ReadRevisions:
        """The newest changes that were read."""
        tables, upstreams = self._published.changed, self._upstreams.changed
        return ReadRevisions(
            tables.revision, upstreams.revision, tables.era, upstreams.era
        )

    def on_peer_read(self, read: ReadRevisions) -> None:
        """Takes what a peer has read: what lacks here is read at once."""
        self._published.on_peer_read(Position(read.tables_era, read.tables))
        self._upstreams.on_peer_read(
            Position(read.upstreams_era, read.upstreams)
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Puts other bounds in force from the next read on."""
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
            # Entries are renewed all the time, so that a watch ends at once:
            # without a pause each renewal would cost a read.
            lambda: self._options(self._bounds.drain_s * READ_PAUSE_FRACTION),
            self._apply_upstream_listing,
            self._apply_upstream_changes,
            parts.log,
            parts.rng,
            parts.clock,
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
            restored_s=self._bounds.heartbeat_s * RESTORED_HEARTBEATS,
        )

    def _longest_pause_s(self) -> float:
        """Returns how long a host waits before it tries a lost source again.

        All hosts try at once, and the source refuses them all.
        """
        wanted_s = self._parts.hosts() / FLEET_RETRIES_PER_S
        longest_s = max(
            LONGEST_PAUSE_S, self._bounds.contact_s * RETRY_PAUSE_FRACTION
        )
        return min(max(wanted_s, LONGEST_PAUSE_S), longest_s)

    def _apply_published_listing(self, listing: Listing[Published]) -> None:
        """Takes all that is published: an evacuation that lacks is over.

        Not while the source may have lost it: operators write it again.
        """
        self._report_unreadable(listing.unreadable)
        if not self._published.is_restored:
            self._evacuations.clear()
        # First, so that no new route leads to an evacuated data centre.
        self._apply_evacuations(listing.items)
        self._apply_tables(listing.items)

    def _apply_published_changes(self, changes: Changes[Published]) -> None:
        """Takes what has changed; what can't be read changes nothing."""
        self._report_unreadable(changes.unreadable)
        for name in changes.removed:
            self._evacuations.pop(name, None)
        self._apply_evacuations(changes.items)
        self._apply_tables(changes.items)

    def _report_unreadable(self, unreadable: tuple[Unreadable, ...]) -> None:
        for item in unreadable:
            self._parts.metrics.count(UNREADABLE, source="published")
            self._parts.log.line(
                "unreadable_item", key=item.name, reason=item.reason
            )

    def _apply_evacuations(self, items: dict[str, Published]) -> None:
        """Keeps new work from the data centres that are evacuated now."""
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
        """Spares upstreams that may have been restarted while they were idle.

        Their entries say so only some time after they are taken back, and idle
        as they are they would draw the requests of all hosts at once.
        """
        now_s = self._parts.clock()
        for entry in self._parts.in_force.fleet.all_usable(now_s):
            if entry.data_centre == data_centre:
                self._parts.cold_starts.suspect(entry, now_s)

    def _apply_tables(self, items: dict[str, Published]) -> None:
        """Puts tables in force."""
        tables = [
            item for item in items.values() if isinstance(item, RouteTable)
        ]
        for table in tables:
            began = time.perf_counter()
            is_new = self._parts.in_force.apply_table(table)
            self._parts.log.line(
                "routes",
                version=table.version,
                in_force=is_new,
                routes=len(table.routes),
                ms=round((time.perf_counter() - began) * 1000, 2),
            )

    def _apply_upstream_listing(
        self, listing: Listing[UpstreamEntry], may_have_lapsed: bool
    ) -> None:
        in_force = self._parts.in_force
        self._remove_unreadable(listing.unreadable, are_all=True)
        now_s = self._parts.clock()
        changed = in_force.fleet.replace(
            listing.items.values(),
            now_s,
            may_have_lapsed=may_have_lapsed,
            may_be_older=self._upstreams.is_restored,
        )
        for entry in changed:
            self._parts.cold_starts.note(entry, now_s)
        in_force.has_fleet = True
        self._parts.log.line(
            "upstreams",
            listed=len(listing.items),
            known=len(in_force.fleet),
            unreadable=len(listing.unreadable),
            era=listing.era,
            revision=listing.revision,
        )
        self._forget_ended()

    def _apply_upstream_changes(
        self, changes: Changes[UpstreamEntry], may_have_lapsed: bool
    ) -> None:
        for entry in changes.items.values():
            self._apply_entry(entry, changes.revision)
        fleet = self._parts.in_force.fleet
        lapsed = may_have_lapsed or fleet.are_lapses(changes.removed)
        for name in changes.removed:
            self._unreadable.pop(name, None)
            self._remove(name, changes.revision, lapsed)
        self._remove_unreadable(changes.unreadable, are_all=False)
        self._forget_ended()

    def _remove_unreadable(
        self, found: tuple[Unreadable, ...], *, are_all: bool
    ) -> None:
        """Takes upstreams whose entries can't be read for gone.

        A line is written where something is new: a writer that renews a bad
        entry every second would otherwise fill the log.
        """
        for item in found:
            self._parts.metrics.count(UNREADABLE, source="upstreams")
            if self._unreadable.get(item.name) != item.reason:
                self._parts.log.line(
                    "unreadable_upstream", key=item.name, reason=item.reason
                )
            self._parts.in_force.fleet.remove(
                item.name, self._parts.clock(), may_have_lapsed=False
            )
        if are_all:
            self._unreadable.clear()
        self._unreadable.update((item.name, item.reason) for item in found)

    def _apply_entry(self, entry: UpstreamEntry, revision: int) -> None:
        self._unreadable.pop(entry.name, None)
        if self._parts.in_force.fleet.put(entry):
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

    def _remove(self, name: str, revision: int, may_have_lapsed: bool) -> None:
        parts = self._parts
        fleet = parts.in_force.fleet
        service = fleet.service_of(name)
        incarnation = fleet.remove(
            name, parts.clock(), may_have_lapsed=may_have_lapsed
        )
        parts.log.line(
            "upstream_gone",
            upstream=incarnation or name,
            service=service,
            lapsed=may_have_lapsed,
            revision=revision,
        )

    def _forget_ended(self) -> None:
        """Lets go of all that was learnt of incarnations that have ended."""
        for ended in self._parts.in_force.fleet.take_ended():
            self._parts.pool.drop(ended.incarnation)
            self._parts.on_ended(ended)
