"""Tests that entries that lapsed are kept, and that those removed are not."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

import attrs
import pytest

from hollyknot_gateway import SourceFailure
from hollyknot_gateway._directory import (
    READ_PAUSE_FRACTION,
    RENEWAL_S,
    mass_lapse_s,
)
from hollyknot_gateway._follower import PAUSE_JITTER
from hollyknot_gateway.tests._leased_entries import (
    BOUNDS,
    REFUSED,
    RESET,
    SILENT,
    Follower,
    LeasedEntries,
    entry,
)
from hollyknot_gateway.tests._virtual_time import run_virtually

UPSTREAMS = 12
SEEDS = range(12)
OUTAGES = pytest.mark.parametrize("failure", [SILENT, REFUSED, RESET])
FLEETS = pytest.mark.parametrize("hosts", [6, 83])


@attrs.frozen
class _Play:
    """A directory with upstreams, and a host that follows it."""

    entries: LeasedEntries
    host: Follower
    renewals: dict[str, asyncio.Task[None]]
    rng: random.Random

    def leave(self, name: str) -> None:
        """Has an upstream remove its entry for good."""
        self.renewals[name].cancel()
        self.entries.remove(name)

    async def seconds_in_use(self, name: str) -> float:
        """Returns for how long an upstream still gets requests."""
        clock = asyncio.get_running_loop().time
        began_s = clock()
        while self.host.uses(name):
            await asyncio.sleep(0.01)
        return clock() - began_s

    async def unused_for(self, seconds: float) -> int:
        """Returns how often an upstream got no requests in some time."""
        unused = 0
        for _ in range(int(seconds / 0.05)):
            await asyncio.sleep(0.05)
            names = self.renewals
            unused += sum(not self.host.uses(name) for name in names)
        return unused


def _play(
    test: Callable[[_Play], Awaitable[None]],
    seed: int = 1,
    hosts: int = 6,
    *,
    spread_s: float = 0.002,
) -> None:
    """Runs a test on a virtual clock, once the host uses all upstreams.

    Args:
        test: The test.
        seed: Seed of all random numbers.
        hosts: Number of hosts of the fleet.
        spread_s: Seconds between the renewals of two upstreams.
    """

    async def main() -> None:
        entries = LeasedEntries()
        host = Follower(entries, seed, hosts)
        tasks = [
            asyncio.ensure_future(work)
            for work in (entries.expire(), host.directory.follow_upstreams())
        ]
        renewals = {
            entry(number).name: asyncio.ensure_future(
                entries.renew(entry(number), number * spread_s)
            )
            for number in range(UPSTREAMS)
        }
        await asyncio.sleep(5.0)
        assert all(map(host.uses, renewals))
        await test(_Play(entries, host, renewals, random.Random(seed)))
        for task in (*tasks, *renewals.values()):
            task.cancel()

    run_virtually(main())


async def _cut_watches(play: _Play) -> None:
    """Cuts waiting watches at random times; each next one is answered."""
    while True:
        await asyncio.sleep(play.rng.uniform(0.4, 1.0))
        play.entries.cut_watches()


async def _report(play: _Play) -> None:
    """Reports what a peer has read, which nothing refuses."""
    while True:
        play.host.hear_of(play.entries.revision)
        await asyncio.sleep(0.1)


def _names(play: _Play) -> Iterator[str]:
    return iter(sorted(play.renewals)[::2])


class TestRemovals:
    """Upstreams whose entries are removed while the directory is sound."""

    @FLEETS
    @pytest.mark.parametrize("seed", SEEDS)
    def test_cut_watches_delay_no_removal(self, seed: int, hosts: int) -> None:
        """Guards against requests to upstreams that have left."""

        async def test(play: _Play) -> None:
            cuts = asyncio.ensure_future(_cut_watches(play))
            for name in _names(play):
                await asyncio.sleep(play.rng.uniform(1.0, 2.0))
                play.leave(name)
                assert await play.seconds_in_use(name) < BOUNDS.drain_s
            cuts.cancel()

        _play(test, seed, hosts)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_compacted_history_delays_no_removal(self, seed: int) -> None:
        """Guards against taking a lost history for an outage."""

        async def test(play: _Play) -> None:
            for name in _names(play):
                await asyncio.sleep(play.rng.uniform(1.0, 2.0))
                play.leave(name)
                play.entries.compact()
                assert await play.seconds_in_use(name) < BOUNDS.drain_s

        _play(test, seed)

    @OUTAGES
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_refusal_that_peers_don_t_see_delays_no_removal(
        self, seed: int, failure: SourceFailure
    ) -> None:
        """Guards against taking a refusal of one host for an outage."""

        async def test(play: _Play) -> None:
            reports = asyncio.ensure_future(_report(play))
            play.entries.failure = failure
            play.entries.refuses_reads_only = True
            await asyncio.sleep(4.5)
            play.leave("u-3")
            play.entries.failure = None
            assert await play.seconds_in_use("u-3") < BOUNDS.drain_s
            reports.cancel()

        _play(test, seed)

    @OUTAGES
    @pytest.mark.parametrize("seed", SEEDS)
    def test_a_removal_after_an_outage_is_used_in_time(
        self, seed: int, failure: SourceFailure
    ) -> None:
        """Guards against a grace that is counted from each removal anew."""

        async def test(play: _Play) -> None:
            play.entries.failure = failure
            await asyncio.sleep(4.0)
            play.entries.failure = None
            await asyncio.sleep(BOUNDS.contact_s)
            play.leave("u-3")
            assert await play.seconds_in_use("u-3") < BOUNDS.drain_s

        _play(test, seed)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_most_upstreams_that_leave_at_once_are_used_in_time(
        self, seed: int
    ) -> None:
        """Guards against a grace that exceeds the bound with the read pause."""

        async def test(play: _Play) -> None:
            for name in sorted(play.renewals)[2:]:
                play.leave(name)
            assert await play.seconds_in_use("u-3") < BOUNDS.drain_s

        _play(test, seed)

    def test_pause_jitter_and_grace_stay_below_the_bound(self) -> None:
        """Guards against bounds that hold each alone and not in sum."""
        pause_s = BOUNDS.drain_s * READ_PAUSE_FRACTION * (1 + PAUSE_JITTER)
        assert pause_s + mass_lapse_s(BOUNDS) < BOUNDS.drain_s
        # A grace after an outage ends before the directory counts as sound.
        assert BOUNDS.contact_s > RENEWAL_S


class TestLapses:
    """Upstreams whose entries lapse while the directory is unavailable."""

    @FLEETS
    @OUTAGES
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("outage_s", [2.6, 4.0, 4.5, 9.0])
    def test_upstreams_stay_in_use_until_they_are_written_again(
        self, seed: int, failure: SourceFailure, hosts: int, outage_s: float
    ) -> None:
        """Guards against refusals just when the directory is back."""

        async def test(play: _Play) -> None:
            for _ in range(2):
                play.entries.failure = failure
                assert await play.unused_for(outage_s) == 0
                play.entries.failure = None
                assert await play.unused_for(6.0) == 0

        _play(test, seed, hosts, spread_s=0.1)

    @OUTAGES
    def test_an_upstream_that_ended_in_an_outage_is_used_no_longer(
        self, failure: SourceFailure
    ) -> None:
        """Guards against upstreams that are kept for good."""

        async def test(play: _Play) -> None:
            play.entries.failure = failure
            play.renewals["u-3"].cancel()
            await asyncio.sleep(4.0)
            play.entries.failure = None
            await asyncio.sleep(BOUNDS.contact_s)
            assert not play.host.uses("u-3")

        _play(test)
