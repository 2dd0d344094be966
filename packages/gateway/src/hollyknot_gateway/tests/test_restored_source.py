"""Tests of hosts that follow a source that is restored from older copies."""

import asyncio
import os
import random
from collections.abc import Callable

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_gateway import (
    Changes,
    Compacted,
    Listing,
    Source,
    SourceFailure,
)
from hollyknot_gateway._follower import Follower, FollowOptions
from hollyknot_gateway._log import Log
from hollyknot_gateway.tests._virtual_time import run_virtually

RESTORED_S = 4.8
"""Seconds after a restore in which items may be missing because of it."""

SETTLED_S = 15.0
"""Seconds after the last change within which all hosts hold what the source
holds: the time in which a restore still counts, a long watch and two reads."""

HOSTS = 3
NAMES = "abcd"


_Event = tuple[int, str, int | None]
"""A revision, a name and the value written; None for a removal."""

_Copy = tuple[dict[str, int], list[_Event], int]
"""The items, events and revision of a copy."""


@attrs.define
class _Directory:
    """A source with eras, whose answers may be slow or fail."""

    items: dict[str, int] = attrs.Factory(dict)
    events: list[_Event] = attrs.Factory(list)
    revision: int = 1
    era: int = 1
    written: int = 0
    is_unavailable: bool = False
    delay_s: float = 0.004
    lists: int = 0
    copies: list[_Copy] = attrs.Factory(list)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def write(self, name: str) -> None:
        """Writes a value that was never written before to an item."""
        self.written += 1
        self._record(name, self.written)

    def remove(self, name: str) -> None:
        """Removes an item."""
        if name in self.items:
            self._record(name, None)

    def copy(self) -> None:
        """Saves a copy that can be restored."""
        copied = dict(self.items), list(self.events), self.revision
        self.copies.append(copied)

    def restore(self) -> None:
        """Restores the last copy in a new era; later writes are lost."""
        if not self.copies:
            return
        items, events, self.revision = self.copies.pop()
        self.items, self.events = dict(items), list(events)
        self.era += 1
        self._wake()

    def _record(self, name: str, value: int | None) -> None:
        self.revision += 1
        self.events.append((self.revision, name, value))
        if value is None:
            del self.items[name]
        else:
            self.items[name] = value
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_all(self) -> Listing[int] | SourceFailure:
        """Answers a list of all items."""
        self.lists += 1
        await asyncio.sleep(self.delay_s)
        if self.is_unavailable:
            return SourceFailure("unavailable")
        found = Listing(
            dict(self.items), self.revision, (), self.revision, self.era
        )
        await asyncio.sleep(self.delay_s)
        return found

    async def watch(
        self, after: int, wait_s: float, _: Callable[[], None]
    ) -> Changes[int] | Compacted | SourceFailure:
        """Answers a watch for changes after a revision."""
        await asyncio.sleep(self.delay_s)
        try:
            async with asyncio.timeout(wait_s):
                while after <= self.revision and not self._since(after):
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.is_unavailable:
            return SourceFailure("unavailable")
        if after > self.revision:
            return Compacted.COMPACTED
        newest = {name: value for _, name, value in self._since(after)}
        found = Changes(
            {n: value for n, value in newest.items() if value is not None},
            tuple(n for n, value in newest.items() if value is None),
            self.revision,
            (),
            self.revision if newest else 0,
            self.era,
        )
        await asyncio.sleep(self.delay_s)
        return found

    def _since(self, after: int) -> list[_Event]:
        return [event for event in self.events if event[0] > after]


@attrs.define
class _Host:
    """A host and the items that it holds."""

    holds: dict[str, int] = attrs.Factory(dict)
    follower: Follower[int] = attrs.field(init=False)

    def apply_listing(self, listing: Listing[int], lapse_ends_s: float) -> None:
        """Applies a list, and keeps items that may only have lapsed."""
        now_s = asyncio.get_running_loop().time()
        kept = self.holds if lapse_ends_s > now_s else {}
        self.holds = {**kept, **listing.items}

    def apply_changes(self, changes: Changes[int], _: float) -> None:
        """Applies changes."""
        self.holds.update(changes.items)
        for name in changes.removed:
            self.holds.pop(name, None)


def _make_host(directory: _Directory, number: int) -> _Host:
    host = _Host()
    host.follower = Follower(
        Source("test", directory.read_all, directory.watch),
        lambda: FollowOptions(
            6.0,
            2.0,
            0.0,
            3.0,
            longest_pause_s=0.4,
            lapse_after_s=1.9,
            renewal_s=2.0,
            restored_s=RESTORED_S,
        ),
        host.apply_listing,
        host.apply_changes,
        Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
        random.Random(number),
        asyncio.get_running_loop().time,
    )
    return host


async def _exchange_reports(hosts: list[_Host]) -> None:
    """Has hosts report to each other what they have read."""
    while True:
        await asyncio.sleep(0.2)
        # Of several reports at one moment, only the newest has an effect.
        newest = max(host.follower.changed for host in hosts)
        for host in hosts:
            host.follower.on_peer_read(newest)


Step = Callable[[_Directory], None]


def _become_unavailable(directory: _Directory) -> None:
    directory.is_unavailable = True


def _become_available(directory: _Directory) -> None:
    directory.is_unavailable = False


def _become_slow(directory: _Directory) -> None:
    directory.delay_s = 0.3


def _become_fast(directory: _Directory) -> None:
    directory.delay_s = 0.004


def _run_steps(
    steps: list[tuple[float, Step]], hosts: int = HOSTS
) -> tuple[_Directory, list[_Host]]:
    """Runs steps, each after a pause, and waits until hosts have settled."""

    async def main() -> tuple[_Directory, list[_Host]]:
        directory = _Directory()
        directory.write("a")
        followers = [_make_host(directory, n) for n in range(hosts)]
        tasks = [asyncio.ensure_future(f.follower.run()) for f in followers]
        tasks.append(asyncio.ensure_future(_exchange_reports(followers)))
        await asyncio.sleep(1.0)
        for pause_s, step in steps:
            await asyncio.sleep(pause_s)
            step(directory)
        directory.is_unavailable = False
        directory.delay_s = 0.004
        await asyncio.sleep(SETTLED_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return directory, followers

    return run_virtually(main())


_WRITES = st.sampled_from(NAMES).map(lambda name: lambda d: d.write(name))
_REMOVALS = st.sampled_from(NAMES).map(lambda name: lambda d: d.remove(name))
_FAULTS = st.sampled_from(
    [
        _Directory.copy,
        _Directory.restore,
        _become_unavailable,
        _become_available,
        _become_slow,
        _become_fast,
    ]
)
_PAUSES = st.sampled_from([0.0, 0.01, 0.2, 1.0, 3.0])
_STEPS = st.lists(
    st.tuples(_PAUSES, st.one_of(_WRITES, _REMOVALS, _FAULTS)), max_size=25
)


class TestRestoredSource:
    """Tests that each host ends with exactly what the source holds."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(_STEPS)
    def test_converges_after_any_sequence_of_steps(
        self, steps: list[tuple[float, Step]]
    ) -> None:
        """Guards against hosts that rely on revisions of an older era."""
        directory, hosts = _run_steps(steps)
        assert [host.holds for host in hosts] == [directory.items] * HOSTS

    def test_lower_revision_of_new_era_is_not_stale(self) -> None:
        """Guards against ignoring lists of a new era as stale."""
        steps: list[tuple[float, Step]] = [(0.5, _Directory.copy)]
        steps += [(0.1, lambda d: d.write("b"))] * 8
        steps += [(0.1, _Directory.restore), (0.5, lambda d: d.write("c"))]
        directory, hosts = _run_steps(steps)
        assert set(directory.items) == {"a", "c"}
        assert [host.holds for host in hosts] == [directory.items] * HOSTS

    def test_new_era_past_old_revision_is_listed(self) -> None:
        """Guards against changes that no watch returns."""
        steps: list[tuple[float, Step]] = [
            (0.5, _Directory.copy),
            (0.1, lambda d: d.write("b")),
            (0.1, _become_unavailable),
            (0.5, _Directory.restore),
            (0.0, lambda d: d.write("c")),
            (0.0, lambda d: d.write("d")),
            (0.0, lambda d: d.write("d")),
            (0.5, _become_available),
        ]
        directory, hosts = _run_steps(steps)
        assert set(directory.items) == {"a", "c", "d"}
        assert [host.holds for host in hosts] == [directory.items] * HOSTS

    @pytest.mark.parametrize("count", [8, 83, 300])
    def test_restore_costs_at_most_two_lists_per_host(self, count: int) -> None:
        """Guards against hosts that read the list again and again."""
        lists_before: list[int] = []

        def restore(directory: _Directory) -> None:
            lists_before.append(directory.lists)
            directory.restore()

        steps: list[tuple[float, Step]] = [
            (0.5, _Directory.copy),
            (0.1, lambda d: d.write("b")),
            (5.0, restore),
            (0.2, lambda d: d.write("c")),
        ]
        directory, hosts = _run_steps(steps, count)
        assert [host.holds for host in hosts] == [directory.items] * count
        assert directory.lists - lists_before[0] <= 2 * count
