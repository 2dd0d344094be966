"""Tests that a follower keeps up with a source that fails in many ways."""

import asyncio
import os
import random
from collections.abc import Callable

import attrs
import pytest

from hollyknot_gateway import (
    Changes,
    Compacted,
    Listing,
    Source,
    SourceFailure,
)
from hollyknot_gateway._follower import (
    BEHIND_TOLERANCE_S,
    Follower,
    FollowOptions,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Position

Watched = Changes[str] | Compacted | SourceFailure
Listed = Listing[str] | SourceFailure


@attrs.define
class _Transcript:
    """Records a follower's callbacks and its reads of the source."""

    listings: list[tuple[Listing[str], bool]] = attrs.Factory(list)
    changes: list[tuple[Changes[str], bool]] = attrs.Factory(list)
    asked: list[tuple[int, float]] = attrs.Factory(list)
    gaps: int = 0


class _ScriptEndedError(Exception):
    """All answers of the script have been used."""


def _follow(lists: list[Listed], watches: list[Watched]) -> _Transcript:
    """Follows a source that answers by a script.

    Args:
        lists: The answers to lists, in order.
        watches: The answers to watches, in order.
    """
    seen = _Transcript()
    clock = [0.0]

    async def read() -> Listed:
        clock[0] += 0.01
        if not lists:
            raise _ScriptEndedError
        return lists.pop(0)

    async def watch(
        after: int, wait_s: float, _: Callable[[], None]
    ) -> Watched:
        seen.asked.append((after, wait_s))
        clock[0] += wait_s
        if not watches:
            raise _ScriptEndedError
        return watches.pop(0)

    def note_gap() -> None:
        seen.gaps += 1

    follower = Follower(
        Source("test", read, watch),
        lambda: FollowOptions(
            2.0, 2.0, 0.0, 3.0, lapse_after_s=1.9, renewal_s=2.0
        ),
        lambda listing, ends_s: seen.listings.append(
            (listing, ends_s > clock[0])
        ),
        lambda changes, ends_s: seen.changes.append(
            (changes, ends_s > clock[0])
        ),
        Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
        random.Random(1),
        lambda: clock[0],
        note_gap,
    )

    async def main() -> None:
        try:
            await follower.run()
        except _ScriptEndedError:
            return

    asyncio.run(main())
    return seen


FAILED = SourceFailure("timeout")


class TestFollower:
    """Tests of lists and watches whose answers are scripted."""

    def test_watch_continues_from_listed_revision(self) -> None:
        seen = _follow(
            [Listing({"a": "1"}, 5)],
            [Changes({"b": "2"}, (), 7), Changes({}, ("a",), 9)],
        )
        assert [after for after, _ in seen.asked] == [5, 7, 9]
        assert [lapsed for _, lapsed in seen.changes] == [False, False]

    def test_failed_watch_resumes_at_same_revision(self) -> None:
        seen = _follow([Listing({}, 5)], [FAILED, Changes({"b": "2"}, (), 7)])
        assert [after for after, _ in seen.asked] == [5, 5, 7]

    def test_failed_watch_is_followed_by_short_watches(self) -> None:
        """Guards against late versions after a source was unavailable.

        The source returns just after a watch began that it never answers. If
        that watch is a long one, as for a healthy source, a version published
        meanwhile is read only when it times out.
        """
        seen = _follow([Listing({}, 5)], [FAILED, FAILED, Changes({}, (), 6)])
        waits = [wait_s for _, wait_s in seen.asked]
        assert waits[0] == waits[3] == 2.0
        assert max(waits[1:3]) < 0.2

    def test_lists_again_after_repeated_failed_watches(self) -> None:
        """Guards against outdated routes long after the source is back.

        Many large versions are published while the source is unavailable. A
        watch would request all of them again and again, and time out before
        the end of each answer.
        """
        newest = Listing({"a": "60"}, 90)
        seen = _follow(
            [Listing({"a": "1"}, 5), FAILED, newest], [FAILED, FAILED, FAILED]
        )
        assert [after for after, _ in seen.asked] == [5, 5, 5, 90]
        assert seen.listings[-1] == (newest, True)

    def test_removals_after_failure_may_be_lapses(self) -> None:
        seen = _follow(
            [Listing({"a": "1"}, 5)], [FAILED, Changes({}, ("a",), 7)]
        )
        assert seen.changes[0][1]

    def test_lists_again_when_history_is_compacted(self) -> None:
        seen = _follow(
            [Listing({"a": "1"}, 5), Listing({"b": "1"}, 9)],
            [Compacted.COMPACTED],
        )
        assert [listing.revision for listing, _ in seen.listings] == [5, 9]

    def test_lists_again_once_failure_has_settled(self) -> None:
        seen = _follow(
            [Listing({"a": "1"}, 5), Listing({}, 8)],
            [FAILED, *(Changes({}, (), 6 + n) for n in range(3))],
        )
        assert [lapsed for _, lapsed in seen.listings] == [False, False]

    @pytest.mark.parametrize("lost", [[Compacted.COMPACTED], [FAILED] * 3])
    def test_a_list_after_lost_changes_is_a_gap(
        self, lost: list[Watched]
    ) -> None:
        """Guards against versions that came and went in between."""
        seen = _follow(
            [Listing({}, 5), Listing({}, 9)],
            [Changes({"a": "1"}, (), 7), *lost],
        )
        assert seen.gaps == 1

    def test_a_list_of_another_era_is_a_gap(self) -> None:
        seen = _follow(
            [Listing({}, 5, era=1), Listing({}, 9, era=2)],
            [Changes({}, (), 9, era=2)],
        )
        assert seen.gaps == 1

    def test_lists_without_lost_changes_are_no_gaps(self) -> None:
        """Guards against refusals after each short failure of the store."""
        seen = _follow(
            [FAILED, Listing({"a": "1"}, 5), Listing({}, 8)],
            [FAILED, *(Changes({}, (), 6 + n) for n in range(3))],
        )
        assert len(seen.listings) == 2
        assert seen.gaps == 0

    def test_a_list_without_any_change_is_no_gap(self) -> None:
        """Guards against refusals after an outage in which nothing changed."""
        seen = _follow([Listing({}, 5), Listing({}, 5)], [FAILED] * 3)
        assert len(seen.listings) == 2
        assert seen.gaps == 0

    def test_stale_list_is_ignored(self) -> None:
        seen = _follow(
            [Listing({}, 9), Listing({}, 4), Listing({}, 9)],
            [Compacted.COMPACTED],
        )
        assert [listing.revision for listing, _ in seen.listings] == [9, 9]


class _HostWithPeers:
    """A host that follows a source, and peers that follow it too."""

    def __init__(
        self, peer_revisions: list[int], *, newest: int, seed: int = 1
    ) -> None:
        """Creates a host whose source lists revision 5.

        Args:
            peer_revisions: Revisions that a peer reports, one during each long
                watch.
            newest: The source's revision from the first watch on.
            seed: The seed of the follower's random numbers.
        """
        self._peer_revisions = peer_revisions
        self._newest = newest
        self.now_s = 0.0
        self.waits: list[float] = []
        self.read: list[int] = []
        self.follower = Follower(
            Source("test", self._list, self._watch),
            lambda: FollowOptions(18.0, 2.0, 0.0, 3.0),
            lambda *_: None,
            lambda changes, _: self.read.append(changes.changed),
            Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
            random.Random(seed),
            lambda: self.now_s,
        )

    async def _list(self) -> Listed:
        return Listing({}, 5, changed=5)

    async def _watch(
        self, after: int, wait_s: float, _: Callable[[], None]
    ) -> Watched:
        """Answers short watches, and never answers long ones.

        The long watch after the last report of a peer ends the script.
        """
        self.waits.append(wait_s)
        if wait_s > 1:
            if not self._peer_revisions:
                raise _ScriptEndedError
            self.follower.on_peer_read(Position(0, self._peer_revisions.pop(0)))
            await asyncio.Event().wait()
        is_changed = self._newest > after
        items = {"a": "1"} if is_changed else {}
        changed = self._newest if is_changed else 0
        return Changes(items, (), self._newest, changed=changed)

    def run_script(self) -> None:
        """Follows the source until the script ends."""

        async def main() -> None:
            try:
                await self.follower.run()
            except _ScriptEndedError:
                return

        asyncio.run(main())


class TestPeersAhead:
    """Tests that a long watch on a dead connection hides no change."""

    def test_reads_at_once_what_a_peer_has_read(self) -> None:
        """Guards against revoked keys that stay valid until a watch ends.

        The connection of a watch dies silently, and a version is published
        that all peers read. This host must not wait for the end of its watch,
        which takes 18 s in a large fleet.
        """
        fleet = _HostWithPeers([7], newest=7)
        fleet.run_script()
        assert fleet.read == [7]
        assert fleet.waits[0] > 1
        assert fleet.waits[1] < 0.2
        assert fleet.follower.changed == Position(0, 7)

    def test_tells_for_how_long_peers_have_known_more(self) -> None:
        """Guards against a host that trusts a list which peers know is old."""
        host = _HostWithPeers([900], newest=7)
        assert host.follower.behind_s == 0.0
        host.follower.on_peer_read(Position(0, 7))
        host.now_s = 3.0
        assert host.follower.behind_s == 3.0
        host.run_script()
        assert host.follower.behind_s == 0.0

    def test_unconfirmed_peer_position_costs_one_read(self) -> None:
        """Guards against a read for each report of a mistaken peer.

        A peer reports a revision that this host's source does not have. If
        each report led to a read, each host would ask the source several times
        a second.
        """
        fleet = _HostWithPeers([900], newest=6)
        fleet.run_script()
        assert [wait_s > 1 for wait_s in fleet.waits] == [True, False, True]
        fleet.follower.on_peer_read(Position(0, 900))
        assert not fleet.follower._is_behind

    def test_watch_waits_are_jittered_after_a_change(self) -> None:
        """Guards against noticing a dead source only after 18 s.

        A change ends the watches of all hosts, and the source stops answering
        on all open connections. Watches that began together must not all end
        together, or no host would notice until then.
        """
        waits = set()
        for seed in range(20):
            fleet = _HostWithPeers([], newest=5, seed=seed)
            fleet.run_script()
            waits.add(fleet.waits[0])
        assert len(waits) == 20
        assert 2.0 <= min(waits) < 6.0
        assert 14.0 < max(waits) <= 18.0


class _SlowLink:
    """A host whose source answers over a slow link, and a faster peer.

    Revision 7 is written one second after the host's first watch began. The
    peer reads it at once and reports it from then on.
    """

    def __init__(self, *, begins_after_s: float, lasts_s: float) -> None:
        """Creates a host whose source lists revision 5.

        Args:
            begins_after_s: Seconds to the first part of the answer, from the
                change or from the start of the watch, whichever is later.
            lasts_s: Seconds from the first part of the answer to its last.
        """
        self._begins_after_s = begins_after_s
        self._lasts_s = lasts_s
        self.watches = 0
        self.read_at_s = -1.0
        self._done = asyncio.Event()
        self.follower = Follower(
            Source("test", self._list, self._watch),
            lambda: FollowOptions(18.0, 18.0, 0.0, 3.0),
            lambda *_: None,
            self._take,
            Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
            random.Random(1),
            lambda: asyncio.get_running_loop().time(),
        )

    async def _list(self) -> Listed:
        return Listing({}, 5, changed=5)

    async def _watch(
        self, after: int, _: float, on_progress: Callable[[], None]
    ) -> Watched:
        assert after == 5
        self.watches += 1
        await asyncio.sleep(1.0 if self.watches == 1 else 0.0)
        await asyncio.sleep(self._begins_after_s)
        on_progress()
        await asyncio.sleep(self._lasts_s)
        return Changes({"a": "1"}, (), 7, changed=7)

    def _take(self, _: Changes[str], __: float) -> None:
        self.read_at_s = asyncio.get_running_loop().time()
        self._done.set()

    async def _report_change(self) -> None:
        """Reports the change several times a second, as peers do."""
        await asyncio.sleep(1.0)
        while True:
            self.follower.on_peer_read(Position(0, 7))
            await asyncio.sleep(0.1)

    def run_script(self) -> None:
        """Follows the source until the change is read, for 60 s at most."""

        async def main() -> None:
            tasks = [
                asyncio.ensure_future(self.follower.run()),
                asyncio.ensure_future(self._report_change()),
            ]
            async with asyncio.timeout(60):
                await self._done.wait()
            for task in tasks:
                task.cancel()

        run_virtually(main())


class TestSlowAnswers:
    """Tests that reports of peers don't end a read that is under way."""

    def test_awaits_answer_that_has_begun_to_arrive(self) -> None:
        """Guards against a large version that is in force 20 s late.

        A version of a megabyte begins to arrive over a slow link, and a peer
        with a faster one reports it. If the report ended the watch, the same
        would happen to each watch that replaces it.
        """
        link = _SlowLink(begins_after_s=0.05, lasts_s=2.5)
        link.run_script()
        assert link.watches == 1
        assert link.read_at_s < 1.0 + 0.05 + 2.5 + 0.1

    def test_awaits_read_begun_for_a_peer_report(self) -> None:
        """Guards against watches that end before a slow source answers.

        The source answers after 0.8 s, and a peer has read the change. The
        watch that replaces the first one must not be abandoned sooner.
        """
        link = _SlowLink(begins_after_s=0.8, lasts_s=0.1)
        link.run_script()
        assert link.watches == 2
        assert link.read_at_s < 1.0 + BEHIND_TOLERANCE_S + 0.8 + 0.1 + 0.1


class TestLostSource:
    """Tests of how often a source that is down is tried again."""

    def test_lost_source_is_retried_rarely_but_found_soon(self) -> None:
        """Guards against overloading a store while it is down.

        The store refuses all hosts for ten seconds. With the pause of a small
        fleet, each of 83 hosts would try it three times a second.
        """
        tries: list[float] = []
        back_s = 10.0
        found = asyncio.Event()

        def refuse() -> SourceFailure:
            now_s = asyncio.get_running_loop().time()
            tries.append(now_s)
            if now_s >= back_s:
                found.set()
            return FAILED

        async def read() -> Listed:
            return refuse() if tries else Listing({}, 5)

        async def watch(_: int, __: float, ___: Callable[[], None]) -> Watched:
            return refuse()

        async def main() -> None:
            follower = Follower(
                Source("test", read, watch),
                lambda: FollowOptions(18.0, 18.0, 0.0, 3.0, 1.0),
                lambda *_: None,
                lambda *_: None,
                Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
                random.Random(1),
                lambda: asyncio.get_running_loop().time(),
            )
            following = asyncio.ensure_future(follower.run())
            async with asyncio.timeout(60):
                await found.wait()
            following.cancel()

        run_virtually(main())
        assert len(tries) <= 16
        assert tries[-1] < back_s + 1.3


class TestConfirmedReads:
    """Reads that are wanted at once, while a long watch waits."""

    @pytest.mark.parametrize(("revision", "told"), [(5, 0), (4, 0), (6, 7)])
    def test_an_older_copy_proves_nothing(
        self, revision: int, told: int
    ) -> None:
        """Guards against a source that answers from an older copy."""

        async def watch(
            _: int, wait_s: float, __: Callable[[], None]
        ) -> Watched:
            await asyncio.sleep(wait_s)
            return Changes({}, (), revision)

        async def test() -> None:
            follower = _HostWithPeers([], newest=5).follower
            follower._source = attrs.evolve(follower._source, watch=watch)
            follower._clock = asyncio.get_running_loop().time
            running = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            follower.on_peer_read(Position(0, told))
            assert await follower.confirm(0.3) is (revision == 5)
            running.cancel()

        run_virtually(test())
