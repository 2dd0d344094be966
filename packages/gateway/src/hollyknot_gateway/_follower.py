"""Follows a collection of the directory by listing and then watching it.

A source may be slow, refuse requests, lose answers, compact its history or stop
answering on an open connection. In all these cases the follower keeps what it
has read and retries, with pauses that grow up to a limit.

Each watch costs the source a request, so watches in a large fleet are long. A
watch on a dead connection would hide all changes for that time. Hosts therefore
report the newest change that they have read to each other, and a host that is
behind its peers abandons its watch and reads at once. It never abandons an
answer that has begun to arrive, nor a read that it began because it was behind:
a large version takes longer to arrive over a slow link than the report that
announces it, and would be requested again and again without ever being read.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from hollyknot_gateway._log import Log
from hollyknot_gateway._ports import (
    Changes,
    Compacted,
    Listing,
    Source,
    SourceFailure,
)
from hollyknot_state import Position

T = TypeVar("T")

_FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.4
"""The longest pause between failed reads in a small fleet, in seconds. It is
short enough that a version is in force within its bound once the source is
back."""

PAUSE_JITTER = 0.25
"""The fraction by which a pause varies either way, so that the hosts of a fleet
don't all read at the same moment when a source returns."""

_PROBE_WAIT_S = 0.05
"""Seconds that a watch waits after a failed one. A source that is down may
never answer a long watch, and its return would be noticed only when that watch
times out, so that a version published meanwhile would be late."""


BEHIND_TOLERANCE_S = 0.3
"""Seconds that an unanswered watch is kept after a peer reported a newer
change. Watches are answered within milliseconds of a change, or a few hundred
where the source is slow, and a peer's report can arrive just as early."""

_MAX_LOWER_ERAS = 3
"""Consecutive answers of a lower era that are ignored as late. After these the
source is taken to stay in that era, and its answers count again."""

_MAX_FAILED_WATCHES = 3
"""Consecutive failed watches after which the list is read instead. The answer
to a watch holds every change since its revision. After many large versions it
may be too large to be read in time, and the host would stay behind long after
the source is back."""


@attrs.frozen
class FollowOptions:
    """Options for watching a collection.

    Attributes:
        wait_s: Seconds that a watch waits for a change.
        first_wait_s: The shortest wait of the watch that follows a change, in
            seconds. All hosts begin that watch at the same moment; without
            jitter in its length, none of them would notice a source that has
            stopped answering for `wait_s`.
        pause_s: Seconds between a watch that returned changes and the next.
        settle_s: Seconds after a failure after which the list is read again.
        longest_pause_s: The longest pause between failed reads, in seconds.
        lapse_after_s: Seconds without a proof that the source is available
            after which items may have lapsed.
        renewal_s: Seconds after the end of an outage within which items that
            have lapsed are written again.
        restored_s: Seconds after a restore of the source from an older copy in
            which items may be missing or present again only because of that.
        confirm_pause_s: Least seconds between two reads by `confirm`.
    """

    wait_s: float
    first_wait_s: float
    pause_s: float
    settle_s: float
    longest_pause_s: float = LONGEST_PAUSE_S
    lapse_after_s: float = float("inf")
    renewal_s: float = 0.0
    restored_s: float = 0.0
    confirm_pause_s: float = 0.0


def _ignore_gap() -> None:
    return


class Follower(Generic[T]):
    """Reads one source continuously and reports what it holds."""

    def __init__(
        self,
        source: Source[T],
        options: Callable[[], FollowOptions],
        on_listing: Callable[[Listing[T], float], None],
        on_changes: Callable[[Changes[T], float], None],
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
        on_gap: Callable[[], None] = _ignore_gap,
    ) -> None:
        """Creates a follower that has read nothing yet.

        Args:
            source: The source to read.
            options: Returns how to read it. Called at each read, since settings
                may change.
            on_listing: Called with each full list, and the time until which
                items missing from it may be written again, in seconds. It has
                passed unless they may only have lapsed.
            on_changes: Called with each set of changes, and the same time for
                removed items.
            log: Receives a line when the source is lost or regained.
            rng: Adds jitter to pauses and waits.
            clock: A monotonic clock, in seconds.
            on_gap: Called before a list that is read since changes may have
                been lost.
        """
        self._source = source
        self._options = options
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._log = log
        self._rng = rng
        self._clock = clock
        self._on_gap = on_gap
        self._position = Position()
        self._changed = Position()
        self._peer_position = Position()
        self._unconfirmed = Position()
        self._restored_at = float("-inf")
        self._lower_eras = 0
        self._era_problem = ""
        self._behind_at = float("inf")
        self._answered_at = float("-inf")
        self._proven_s = -math.inf
        self._confirmed_s = -math.inf
        self._peer_read = asyncio.Event()
        # Set while a read is wanted at once.
        self._wanted = asyncio.Event()
        # Set, and replaced, at each answer or failure.
        self._ended = asyncio.Event()
        self._failures = 0
        self._failed_at = float("-inf")
        self._available_at = float("-inf")
        self._returned_at = float("-inf")

    @property
    def position(self) -> Position:
        """The newest position that was read."""
        return self._position

    @property
    def is_restored(self) -> bool:
        """Whether a recent restore may still affect what the source holds."""
        return self._clock() - self._restored_at < self._options().restored_s

    @property
    def behind_s(self) -> float:
        """Seconds without an answer since a peer has known newer changes."""
        if not self._is_behind:
            return 0.0
        return self._clock() - max(self._behind_at, self._answered_at)

    @property
    def silent_s(self) -> float:
        """Seconds since the source last answered this host."""
        return self._clock() - self._answered_at

    @property
    def proof_age_s(self) -> float:
        """Seconds for which items may have been written that were not read.

        Infinity if a peer has read some. An answer older than what a peer has
        read comes from another copy of the source and proves nothing.
        """
        if self._peer_position > self._position:
            return math.inf
        return self._clock() - self._proven_s

    @property
    def changed(self) -> Position:
        """The position of the newest change that was read."""
        return self._changed

    def on_peer_read(self, changed: Position) -> None:
        """Notes the newest change that a peer reports to have read.

        It proves that the source is available, even if it refuses this host.
        """
        if changed > max(
            self._position, self._peer_position, self._unconfirmed
        ):
            self._record_availability()
            if not self._is_behind:
                self._behind_at = self._clock()
            self._peer_position = changed
            self._peer_read.set()

    async def confirm(self, timeout_s: float) -> bool:
        """Reads at once, unless the source is known not to answer.

        Args:
            timeout_s: Seconds to wait for the answer.

        Returns:
            Whether all that was written before this call has been read.
        """
        wanted_s = self._clock()
        if self._failures:
            return False
        if wanted_s - self._confirmed_s >= self._options().confirm_pause_s:
            self._confirmed_s = wanted_s
            self._wanted.set()
            self._peer_read.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._proven_s < wanted_s and not self._failures:
                    await self._ended.wait()
        return (
            self._proven_s >= wanted_s and self._peer_position <= self._position
        )

    async def run(self) -> None:
        """Reads until it is cancelled."""
        # A failed run may have lost changes that it was about to report.
        may_have_missed = True
        while True:
            if await self._list(may_have_missed=may_have_missed):
                may_have_missed = await self._watch()
            else:
                may_have_missed = True

    async def _list(self, *, may_have_missed: bool) -> bool:
        known = self._position
        peer_position = self._peer_position
        self._wanted.clear()
        began_s = self._clock()
        found = await self._source.list()
        if isinstance(found, SourceFailure):
            await self._back_off(found)
            return False
        self._record_availability()
        position = Position(self._era(found), found.revision)
        if position < self._position:
            self._record_success()
            self._log.line(
                "stale_read",
                source=self._source.name,
                **_fields(position),
                known_era=self._position.era,
                known=self._position.revision,
            )
            await self._pause(_FIRST_PAUSE_S)
            return False
        if position.era > self._position.era:
            self._record_restore(position)
        self._record_success()
        self._proven_s = began_s
        self._record_answer(found, peer_position)
        is_other_era = position.era != known.era
        may_have_missed = is_other_era or (may_have_missed and position > known)
        if known != Position() and may_have_missed:
            self._on_gap()
        self._on_listing(found, self._lapse_end())
        return True

    async def _watch(self) -> bool:
        """Follows changes until the list has to be read again.

        Returns:
            Whether changes may have been missed.
        """
        needs_second_list = self._is_settling()
        wait_s = self._jittered_wait_s()
        while True:
            options = self._options()
            is_urgent = self._is_behind or self._wanted.is_set()
            if self._failures or is_urgent:
                wait_s = _PROBE_WAIT_S
            peer_position = self._peer_position
            self._wanted.clear()
            began_s = self._clock()
            found = await self._watch_once(wait_s, is_urgent=is_urgent)
            unchanged_s = began_s + wait_s
            wait_s = options.wait_s
            if found is None:
                continue
            if isinstance(found, SourceFailure):
                await self._back_off(found)
                needs_second_list = True
                if self._failures >= _MAX_FAILED_WATCHES:
                    return True
                continue
            self._record_availability()
            if found is Compacted.COMPACTED:
                self._log.line("history_lost", source=self._source.name)
                return True
            era = self._era(found)
            if era != self._position.era:
                # A watch that began at a revision of another era returns only
                # a part of the changes.
                self._log.line(
                    "watch_of_another_era",
                    source=self._source.name,
                    **_fields(Position(era, found.revision)),
                    known_era=self._position.era,
                )
                await self._pause(_FIRST_PAUSE_S * self._rng.random())
                return True
            self._record_success()
            has_changes = found.items or found.removed or found.unreadable
            if Position(era, found.revision) >= self._position:
                # An answer may have been on its way for long, but one without
                # changes was not sent before its watch had waited.
                has_waited = self._clock() >= unchanged_s and not has_changes
                self._proven_s = unchanged_s if has_waited else began_s
            self._record_answer(found, peer_position)
            if has_changes:
                self._on_changes(found, self._lapse_end())
                await self._pause_unless_wanted(options.pause_s)
                wait_s = self._jittered_wait_s()
            if needs_second_list and not self._is_settling():
                return False

    async def _watch_once(
        self, wait_s: float, *, is_urgent: bool
    ) -> Changes[T] | Compacted | SourceFailure | None:
        """Watches until an answer arrives or this host must read anew.

        Args:
            wait_s: Seconds that the watch waits for a change.
            is_urgent: Whether to wait for the answer in any case. It then reads
                the changes that the host has not read, so that further reports
                of peers and further wishes don't restart it.

        Returns:
            The answer; None if the watch was abandoned.
        """
        behind = asyncio.ensure_future(self._wait_until_outdated())

        def await_answer() -> None:
            behind.cancel()

        watch = asyncio.ensure_future(
            self._source.watch(self._position.revision, wait_s, await_answer)
        )
        try:
            if is_urgent:
                return await watch
            await asyncio.wait(
                (watch, behind), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done() or behind.cancelled():
                return await watch
        finally:
            behind.cancel()
            watch.cancel()
        if not self._wanted.is_set():
            self._log.line(
                "watch_behind",
                source=self._source.name,
                **_fields(self._position),
                told_era=self._peer_position.era,
                told=self._peer_position.revision,
            )
        return None

    async def _wait_until_outdated(self) -> None:
        """Returns when a watch has been behind a peer for too long.

        It also does so when a read is wanted at once.
        """
        while True:
            self._peer_read.clear()
            if self._wanted.is_set():
                return
            if self._is_behind:
                await asyncio.sleep(BEHIND_TOLERANCE_S)
                return
            await self._peer_read.wait()

    @property
    def _is_behind(self) -> bool:
        return self._peer_position > max(self._position, self._unconfirmed)

    def _era(self, found: Listing[T] | Changes[T]) -> int:
        """Returns the era of an answer.

        An answer without an era counts as one of the known era. A lower era
        marks a late answer, unless the source keeps answering with it; then
        the known era is returned.
        """
        known = self._position.era
        if found.era is None:
            if known:
                self._log_era_problem("era_missing")
            return known
        if found.era >= known:
            self._lower_eras = 0
            self._era_problem = ""
            return found.era
        self._log_era_problem("era_fell", era=found.era, known_era=known)
        self._lower_eras += 1
        if self._lower_eras <= _MAX_LOWER_ERAS:
            return found.era
        return known

    def _log_era_problem(self, event: str, **values: int) -> None:
        """Logs a problem with eras once, until an answer is valid again."""
        if self._era_problem != event:
            self._era_problem = event
            self._log.line(event, source=self._source.name, **values)

    def _record_restore(self, position: Position) -> None:
        """Notes that the source was restored from an older copy."""
        if self._position == Position():
            return
        self._restored_at = self._clock()
        self._log.line(
            "source_restored",
            source=self._source.name,
            **_fields(position),
            known_era=self._position.era,
            known=self._position.revision,
        )

    def _record_answer(
        self, found: Listing[T] | Changes[T], peer_position: Position
    ) -> None:
        """Notes the position that an answer covers.

        A read that began after a peer reported a change has to cover that
        change. If it does not, the peer reads another directory, and reading
        again at each of its reports would be of no use.

        Args:
            found: The answer.
            peer_position: The newest change that peers had reported when the
                read began.
        """
        era = max(self._position.era, found.era or 0)
        self._position = max(self._position, Position(era, found.revision))
        self._changed = max(self._changed, Position(era, found.changed))
        if peer_position > self._position:
            self._unconfirmed = peer_position
            self._log.line(
                "peer_ahead",
                source=self._source.name,
                **_fields(self._position),
                told_era=peer_position.era,
                told=peer_position.revision,
            )

    def _jittered_wait_s(self) -> float:
        """Returns how long the first watch after a list or change waits."""
        options = self._options()
        least_s = min(options.first_wait_s, options.wait_s)
        return self._rng.uniform(least_s, options.wait_s)

    def _record_availability(self) -> None:
        """Notes that the source is available, and the end of an outage."""
        now_s = self._clock()
        away_s = now_s - self._available_at
        has_failed = self._failed_at > self._available_at
        self._available_at = now_s
        if has_failed and away_s >= self._options().lapse_after_s:
            self._returned_at = now_s

    def _lapse_end(self) -> float:
        """Returns the time until which missing items may be written again."""
        renewal_s = self._options().renewal_s
        if self.is_restored:
            return self._clock() + renewal_s
        return self._returned_at + renewal_s

    def _is_settling(self) -> bool:
        now_s = self._clock()
        is_failed = now_s - self._failed_at < self._options().settle_s
        return is_failed or now_s < self._lapse_end()

    def _record_success(self) -> None:
        if self._failures:
            self._log.line(
                "source_regained",
                source=self._source.name,
                after_failures=self._failures,
                **_fields(self._position),
            )
        self._failures = 0
        self._answered_at = self._clock()
        self._note_end()

    async def _back_off(self, failure: SourceFailure) -> None:
        self._failures += 1
        self._failed_at = self._clock()
        self._note_end()
        if self._failures == 1:
            self._log.line(
                "source_lost",
                source=self._source.name,
                reason=failure.reason,
                detail=failure.detail,
                **_fields(self._position),
            )
        factor = 2 ** min(self._failures - 1, 8)
        longest_s = self._options().longest_pause_s
        await self._pause(min(_FIRST_PAUSE_S * factor, longest_s))

    def _note_end(self) -> None:
        """Wakes those that wait for the end of a read."""
        self._ended.set()
        self._ended = asyncio.Event()

    async def _pause_unless_wanted(self, seconds: float) -> None:
        """Pauses, at most until a read is wanted at once."""
        pause = asyncio.ensure_future(self._pause(seconds))
        wanted = asyncio.ensure_future(self._wanted.wait())
        try:
            await asyncio.wait(
                (pause, wanted), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            pause.cancel()
            wanted.cancel()

    async def _pause(self, seconds: float) -> None:
        if seconds > 0:
            factor = self._rng.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
            await asyncio.sleep(seconds * factor)


def _fields(position: Position) -> dict[str, int]:
    """Returns a position as the fields of a log line."""
    return {"era": position.era, "revision": position.revision}
