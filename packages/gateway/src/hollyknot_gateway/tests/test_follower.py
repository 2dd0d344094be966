"""Tests of keeping up with a source that fails in all its ways."""

import asyncio
import os
import random

import attrs

from hollyknot_gateway import (
    Changes,
    Compacted,
    Listing,
    Source,
    SourceFailure,
)
from hollyknot_gateway._follower import Follower, FollowOptions
from hollyknot_gateway._log import Log

Watched = Changes[str] | Compacted | SourceFailure
Listed = Listing[str] | SourceFailure


@attrs.define
class _Told:
    """What a follower told, and what it asked."""

    listings: list[tuple[Listing[str], bool]] = attrs.Factory(list)
    changes: list[tuple[Changes[str], bool]] = attrs.Factory(list)
    asked: list[tuple[int, float]] = attrs.Factory(list)


class _EndedError(Exception):
    """The script has come to its end."""


def _follow(lists: list[Listed], watches: list[Watched]) -> _Told:
    """Plays a script of answers and returns what was told."""
    told = _Told()
    clock = [0.0]

    async def read() -> Listed:
        clock[0] += 0.01
        if not lists:
            raise _EndedError
        return lists.pop(0)

    async def watch(after: int, wait_s: float) -> Watched:
        told.asked.append((after, wait_s))
        clock[0] += wait_s
        if not watches:
            raise _EndedError
        return watches.pop(0)

    follower = Follower(
        Source("test", read, watch),
        lambda: FollowOptions(wait_s=2.0, pause_s=0.0, settle_s=3.0),
        lambda listing, lapsed: told.listings.append((listing, lapsed)),
        lambda changes, lapsed: told.changes.append((changes, lapsed)),
        Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
        random.Random(1),
        lambda: clock[0],
    )

    async def main() -> None:
        try:
            await follower.run()
        except _EndedError:
            return

    asyncio.run(main())
    return told


FAILED = SourceFailure("timeout")


class TestFollower:
    """List, watch, and what goes wrong."""

    def test_watches_from_where_the_list_ended(self) -> None:
        told = _follow(
            [Listing({"a": "1"}, 5)],
            [Changes({"b": "2"}, (), 7), Changes({}, ("a",), 9)],
        )
        assert [after for after, _ in told.asked] == [5, 7, 9]
        assert [lapsed for _, lapsed in told.changes] == [False, False]

    def test_a_failed_watch_goes_on_from_the_same_revision(self) -> None:
        told = _follow([Listing({}, 5)], [FAILED, Changes({"b": "2"}, (), 7)])
        assert [after for after, _ in told.asked] == [5, 5, 7]

    def test_a_failed_watch_is_followed_by_short_ones(self) -> None:
        """A version that was published while the source was away is late.

        Sequence: the source falls silent; it is back just after a long watch
        was begun, which it never answers. Cause: each watch waited for as
        long as one of a healthy source.
        """
        told = _follow([Listing({}, 5)], [FAILED, FAILED, Changes({}, (), 6)])
        waits = [wait_s for _, wait_s in told.asked]
        assert waits[0] == waits[3] == 2.0
        assert max(waits[1:3]) < 0.2

    def test_lists_again_after_some_failed_watches(self) -> None:
        """A host serves by old routes long after the source is back.

        Sequence: the source is away for seconds in which many large versions
        are published; it comes back. Cause: the host asked for all of them
        again and again, and gave up each answer before its end.
        """
        newest = Listing({"a": "60"}, 90)
        told = _follow(
            [Listing({"a": "1"}, 5), FAILED, newest], [FAILED, FAILED, FAILED]
        )
        assert [after for after, _ in told.asked] == [5, 5, 5, 90]
        assert told.listings[-1] == (newest, True)

    def test_removals_just_after_a_failure_may_be_lapses(self) -> None:
        told = _follow(
            [Listing({"a": "1"}, 5)], [FAILED, Changes({}, ("a",), 7)]
        )
        assert told.changes[0][1]

    def test_lists_again_when_the_history_is_gone(self) -> None:
        told = _follow(
            [Listing({"a": "1"}, 5), Listing({"b": "1"}, 9)],
            [Compacted.COMPACTED],
        )
        assert [listing.revision for listing, _ in told.listings] == [5, 9]

    def test_lists_again_once_lapsed_entries_are_back(self) -> None:
        told = _follow(
            [Listing({"a": "1"}, 5), Listing({}, 8)],
            [FAILED, *(Changes({}, (), 6 + n) for n in range(3))],
        )
        assert [lapsed for _, lapsed in told.listings] == [False, False]

    def test_a_stale_list_is_not_believed(self) -> None:
        told = _follow(
            [Listing({}, 9), Listing({}, 4), Listing({}, 9)],
            [Compacted.COMPACTED],
        )
        assert [listing.revision for listing, _ in told.listings] == [9, 9]
