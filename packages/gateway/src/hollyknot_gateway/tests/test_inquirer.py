"""Tests queries to trackers over real datagrams."""

import asyncio
import os
from collections.abc import Awaitable, Callable

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Forecasts,
    Inquiries,
    LaneShares,
    Loads,
    ReportRate,
    Speeds,
    Tracker,
    Trackers,
)
from hollyknot_gateway._inquirer import Inquirer
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import Message, ReportSocket
from hollyknot_state import Address, LoadAnswer, LoadNote, LoadQuery
from hollyknot_state.routes import UpstreamEntry

UPSTREAM = UpstreamEntry("i-1", "s", Address("127.0.0.1", 9), "north", 8)


class _Host:
    """One host's socket and inquirer."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.loads = Loads()
        self.rate = ReportRate()
        self.heard = asyncio.Event()
        self.is_unresponsive = False
        self.log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        self.socket = ReportSocket(self._handle, self.log)
        self.inquirer: Inquirer | None = None

    async def open(self) -> Tracker:
        """Opens the socket and returns this host as other hosts know it."""
        await self.socket.open(Address("127.0.0.1", 0))
        transport = self.socket._transport
        assert transport is not None
        ip, port = transport.get_extra_info("sockname")
        return Tracker(self.number, Address(ip, port), "north")

    def set_peers(self, own: Tracker, peers: tuple[Tracker, ...]) -> None:
        """Builds an inquirer that knows the given peers."""
        trackers = Trackers(own, lambda: peers)
        self.inquirer = Inquirer(
            Inquiries(
                self.number,
                trackers,
                self.loads,
                CachedParts(),
                Forecasts(),
                Demand(),
                Speeds(),
                LaneShares(self.number),
            ),
            self.rate,
            self.socket.send,
            lambda name: UPSTREAM if name == UPSTREAM.incarnation else None,
            self.log,
            asyncio.get_running_loop().time,
        )

    def _handle(self, message: Message, sender: Address) -> None:
        assert isinstance(message, LoadNote | LoadQuery | LoadAnswer)
        assert self.inquirer is not None
        if not self.is_unresponsive:
            self.inquirer.handle(message, sender)
            self.heard.set()


def _run_with_two_hosts(
    test: Callable[[_Host, _Host], Awaitable[None]],
) -> None:
    """Runs a test with a querying host and the tracker of the upstream."""

    async def main() -> None:
        asker, tracker = _Host(1), _Host(2)
        known = [await asker.open(), await tracker.open()]
        # The tracker is the only host in the upstream's data centre, so that
        # both choose it.
        asker.set_peers(Tracker(1, known[0].address, "south"), (known[1],))
        tracker.set_peers(known[1], ())
        try:
            await test(asker, tracker)
        finally:
            asker.socket.close()
            tracker.socket.close()

    asyncio.run(main())


class TestInquirer:
    """Queries, answers and notes are exchanged as datagrams."""

    def test_notes_and_queries_reach_tracker(self) -> None:
        async def test(asker: _Host, tracker: _Host) -> None:
            assert asker.inquirer is not None
            assert tracker.inquirer is not None
            tracker.loads.begin("i-1", 100, 2)
            tracker.inquirer.send_notes()
            asker.loads.begin("i-1", 50, 2)
            asker.inquirer.schedule_notes()
            await tracker.heard.wait()
            tracker.heard.clear()
            await asker.inquirer.ask([UPSTREAM], ())
            await asker.heard.wait()
            now_s = asyncio.get_running_loop().time()
            load = asker.loads.at("i-1", now_s)
            assert load.requests in (1, 2)
            assert asker.loads._tracked

        _run_with_two_hosts(test)

    def test_silent_tracker_does_not_block_requests(self) -> None:
        """Guards against requests that hang while a tracker is unresponsive.

        If its process is frozen or its network path is cut, the wait for an
        answer must be bounded.
        """

        async def test(asker: _Host, tracker: _Host) -> None:
            assert asker.inquirer is not None
            tracker.is_unresponsive = True
            for _ in range(3):
                assert not await asker.inquirer.ask([UPSTREAM], ())

        _run_with_two_hosts(test)

    def test_query_for_no_upstreams_is_not_answered(self) -> None:
        async def test(asker: _Host, _: _Host) -> None:
            assert asker.inquirer is not None
            assert not await asker.inquirer.ask([], ())

        _run_with_two_hosts(test)
