"""Keeps up with a collection by listing and watching it.

A source may be slow, refuse, lose answers, forget its history or fall silent
on an open connection. Whatever it does, what was learnt is kept, and reading
goes on with pauses that grow to a bound.

A watch costs its source a call, so that in a large fleet it waits for long. One
on a connection that fell silent would then hide all changes for as long. But
hosts tell each other the newest change that each has read: one that is behind
the others gives its watch up and reads at once. It gives up no answer for that
which has begun to arrive, and no read that was begun for that: a large version
over a small link takes longer than its news, and would be begun again and again
without being read once.
"""

import asyncio
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
"""Between failed reads, where hosts are few: short enough that a version is in
force within its bound once the source is back."""

_PAUSE_JITTER = 0.25
"""By how much of it such a pause varies either way, so that all hosts don't
read at the same moment when a source returns."""

_PROBE_WAIT_S = 0.05
"""How long a watch waits after a failed one. A silent source swallows a long
watch, and one would learn of its return only when that has timed out: a
version that was published meanwhile would be late."""


BEHIND_TOLERANCE_S = 0.3
"""How long a watch without an answer may lack what a peer has read before it is
given up. All watches are answered within milliseconds of a change, those of a
slow source within a few hundred, and a report of it can arrive as soon."""

_MAX_LOWER_ERAS = 3
"""Answers of a lower era in a row that are taken for late ones."""

_MAX_FAILED_WATCHES = 3
"""Failed watches after which the list is read instead. A watch tells all that
has changed meanwhile: after a storm of large versions its answer may not be
read in time, and a host would stay behind long after the source is back."""


@attrs.frozen
class FollowOptions:
    """How a collection is watched.

    Attributes:
        wait_s: How long a watch waits for a change.
        first_wait_s: The least that the one after a change waits. All hosts
            begin theirs at the same moment then; unless their ends are spread
            again, none of them would notice a silent source for `wait_s`.
        pause_s: Between a watch that told changes and the next.
        settle_s: After a failure, how long removals may only be lapses.
        longest_pause_s: Between failed reads.
        restored_s: After the source came back from an older copy, how long
            what it lacks or has again may only be owed to that.
    """

    wait_s: float
    first_wait_s: float
    pause_s: float
    settle_s: float
    longest_pause_s: float = LONGEST_PAUSE_S
    restored_s: float = 0.0


class Follower(Generic[T]):
    """Reads one source for ever."""

    def __init__(
        self,
        source: Source[T],
        options: Callable[[], FollowOptions],
        on_listing: Callable[[Listing[T], bool], None],
        on_changes: Callable[[Changes[T], bool], None],
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Wires the parts.

        Args:
            source: What to read.
            options: How; asked for at each read, since settings may change.
            on_listing: Takes a whole list, and whether what it lacks may only
                have lapsed while the source was away.
            on_changes: Takes changes, likewise.
            log: Told when the source is lost and regained.
            rng: Spreads pauses.
            clock: Seconds.
        """
        self._source = source
        self._options = options
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._log = log
        self._rng = rng
        self._clock = clock
        self._position = Position()
        self._changed = Position()
        self._peer_position = Position()
        self._unconfirmed = Position()
        self._restored_at = float("-inf")
        self._lower_eras = 0
        self._era_problem = ""
        self._peer_read = asyncio.Event()
        self._failures = 0
        self._failed_at = float("-inf")

    @property
    def position(self) -> Position:
        """The newest position that was read."""
        return self._position

    @property
    def is_restored(self) -> bool:
        """Whether the source may still lack what it lost, or have it again."""
        return self._clock() - self._restored_at < self._options().restored_s

    @property
    def changed(self) -> Position:
        """The newest change that was read."""
        return self._changed

    def on_peer_read(self, changed: Position) -> None:
        """Takes a peer's word that something was changed at a position."""
        if changed > max(
            self._position, self._peer_position, self._unconfirmed
        ):
            self._peer_position = changed
            self._peer_read.set()

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if await self._list():
                await self._watch()

    async def _list(self) -> bool:
        told = self._peer_position
        found = await self._source.list()
        if isinstance(found, SourceFailure):
            await self._back_off(found)
            return False
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
        may_have_lapsed = self._is_settling()
        self._record_success()
        self._record_answer(found, told)
        self._on_listing(found, may_have_lapsed)
        return True

    async def _watch(self) -> None:
        """Follows changes until the list has to be read again."""
        needs_second_list = self._is_settling()
        wait_s = self._jittered_wait_s()
        while True:
            options = self._options()
            if self._failures or self._is_behind:
                wait_s = _PROBE_WAIT_S
            told = self._peer_position
            found = await self._watch_once(wait_s)
            wait_s = options.wait_s
            if found is None:
                continue
            if isinstance(found, SourceFailure):
                await self._back_off(found)
                needs_second_list = True
                if self._failures >= _MAX_FAILED_WATCHES:
                    return
                continue
            if found is Compacted.COMPACTED:
                self._log.line("history_lost", source=self._source.name)
                self._failed_at = self._clock()
                return
            era = self._era(found)
            if era != self._position.era:
                # A watch from a revision of another era tells only a part of
                # what is new.
                self._log.line(
                    "watch_of_another_era",
                    source=self._source.name,
                    **_fields(Position(era, found.revision)),
                    known_era=self._position.era,
                )
                await self._pause(_FIRST_PAUSE_S * self._rng.random())
                return
            may_have_lapsed = self._is_settling()
            self._record_success()
            self._record_answer(found, told)
            if found.items or found.removed or found.unreadable:
                self._on_changes(found, may_have_lapsed)
                await self._pause(options.pause_s)
                wait_s = self._jittered_wait_s()
            if needs_second_list and not self._is_settling():
                return

    async def _watch_once(
        self, wait_s: float
    ) -> Changes[T] | Compacted | SourceFailure | None:
        """Watches until the answer, or until peers have read what it lacks.

        Returns:
            The answer; None if it was not waited for.
        """
        behind = asyncio.ensure_future(self._wait_until_behind())

        def await_answer() -> None:
            behind.cancel()

        watch = asyncio.ensure_future(
            self._source.watch(self._position.revision, wait_s, await_answer)
        )
        try:
            if self._is_behind:
                # Begun to read what lacks: what peers tell is no reason to
                # read that anew.
                return await watch
            await asyncio.wait(
                (watch, behind), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done() or behind.cancelled():
                return await watch
        finally:
            behind.cancel()
            watch.cancel()
        self._log.line(
            "watch_behind",
            source=self._source.name,
            **_fields(self._position),
            told_era=self._peer_position.era,
            told=self._peer_position.revision,
        )
        return None

    async def _wait_until_behind(self) -> None:
        """Returns once a peer has read what this host still lacks."""
        while True:
            self._peer_read.clear()
            if self._is_behind:
                await asyncio.sleep(BEHIND_TOLERANCE_S)
                return
            await self._peer_read.wait()

    @property
    def _is_behind(self) -> bool:
        return self._peer_position > max(self._position, self._unconfirmed)

    def _era(self, found: Listing[T] | Changes[T]) -> int:
        """Returns the era of an answer.

        One that is not told is taken for the known one. A lower one is an
        answer that comes late, unless the source goes on with it.
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
        """Logs what is wrong with eras, once until they are good again."""
        if self._era_problem != event:
            self._era_problem = event
            self._log.line(event, source=self._source.name, **values)

    def _record_restore(self, position: Position) -> None:
        """Notes that the source has come back from an older copy."""
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
        self, found: Listing[T] | Changes[T], told: Position
    ) -> None:
        """Notes what an answer covers.

        A read that began after a peer told of a change covers it. If it does
        not, the peer reads another directory: heeding it would cost a read at
        each of its reports.

        Args:
            found: The answer.
            told: The newest change that was known of when the read began.
        """
        era = max(self._position.era, found.era or 0)
        self._position = max(self._position, Position(era, found.revision))
        self._changed = max(self._changed, Position(era, found.changed))
        if told > self._position:
            self._unconfirmed = told
            self._log.line(
                "peer_ahead",
                source=self._source.name,
                **_fields(self._position),
                told_era=told.era,
                told=told.revision,
            )

    def _jittered_wait_s(self) -> float:
        """Returns how long the first watch after a change waits."""
        options = self._options()
        least_s = min(options.first_wait_s, options.wait_s)
        return self._rng.uniform(least_s, options.wait_s)

    def _is_settling(self) -> bool:
        is_failed = self._clock() - self._failed_at < self._options().settle_s
        return is_failed or self.is_restored

    def _record_success(self) -> None:
        if self._failures:
            self._log.line(
                "source_regained",
                source=self._source.name,
                after_failures=self._failures,
                **_fields(self._position),
            )
        self._failures = 0

    async def _back_off(self, failure: SourceFailure) -> None:
        self._failures += 1
        self._failed_at = self._clock()
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

    async def _pause(self, seconds: float) -> None:
        if seconds > 0:
            spread = self._rng.uniform(1 - _PAUSE_JITTER, 1 + _PAUSE_JITTER)
            await asyncio.sleep(seconds * spread)


def _fields(position: Position) -> dict[str, int]:
    """Returns a position as fields of a log line."""
    return {"era": position.era, "revision": position.revision}
