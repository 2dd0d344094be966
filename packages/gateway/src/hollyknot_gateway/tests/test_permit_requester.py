"""Tests queries for permits over datagrams."""

import asyncio
import os
import random

from hollyknot_coordination.forwarding import (
    PERMIT_ANSWER_TIMEOUT_S,
    HostCount,
    NamedLimits,
    Permits,
    ReportRate,
    Tracker,
    Trackers,
)
from hollyknot_gateway._log import Log
from hollyknot_gateway._permit_requester import PermitRequester
from hollyknot_gateway._reports import decode_message
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Address, PermitAnswer, PermitQuery
from hollyknot_state.routes import UpstreamEntry

ENTRY = UpstreamEntry("a", "s", Address("127.0.0.1", 99), "near", 8)
OWN = Tracker(1, Address("127.0.0.1", 1), "far")
FIRST = Tracker(2, Address("127.0.0.1", 2), "near")
SECOND = Tracker(3, Address("127.0.0.1", 3), "near")


class _Host:
    """One host, whose sent datagrams are recorded."""

    def __init__(self) -> None:
        self.sent: list[tuple[PermitQuery, Address]] = []
        clock = asyncio.get_running_loop().time
        named = NamedLimits()
        named.observe("a", 1.2, 0.0, clock())
        self.permits = Permits(
            Trackers(OWN, lambda: (FIRST, SECOND)),
            HostCount(-60.0, is_alone=False),
            named,
            lambda _: ENTRY,
            random.Random(1),
        )
        self.requester = PermitRequester(
            self.permits,
            ReportRate(),
            self._send,
            Log("h", "d", os.open(os.devnull, os.O_WRONLY)),
            clock,
        )

    def _send(self, data: bytes, addresses: list[Address]) -> None:
        message = decode_message(data)
        assert isinstance(message, PermitQuery)
        self.sent += [(message, address) for address in addresses]

    def ask(self) -> "asyncio.Task[bool]":
        """Starts to ask for a permit."""
        asked = self.requester.ask(ENTRY, is_least_urgent=False)
        return asyncio.ensure_future(asked)

    def answer(self, **values: bool | int) -> None:
        """Delivers an answer to the newest query."""
        query, address = self.sent[-1]
        answer = PermitAnswer(query.number, **values)  # type: ignore[arg-type]
        self.requester.handle(answer, address)


class TestPermitRequester:
    """Permits are decided by answers, silent hosts and leaving callers."""

    def test_answer_decides_whether_permit_is_issued(self) -> None:
        async def main() -> None:
            for is_issued in (True, False):
                host = _Host()
                asked = host.ask()
                await asyncio.sleep(0)
                host.answer(is_issued=is_issued)
                assert await asked is is_issued

        run_virtually(main())

    def test_asks_second_host_if_first_is_silent(self) -> None:
        """Guards against upstreams without permits while an issuer is down."""

        async def main() -> None:
            host = _Host()
            asked = host.ask()
            await asyncio.sleep(PERMIT_ANSWER_TIMEOUT_S * 1.5)
            first, second = host.sent
            assert first[1] != second[1]
            assert not first[0].is_passed_over
            assert second[0].is_passed_over
            host.answer(is_issued=True)
            assert await asked

        run_virtually(main())

    def test_silence_of_all_hosts_issues_no_permit(self) -> None:
        async def main() -> None:
            host = _Host()
            assert not await host.ask()
            assert len(host.sent) == 2

        run_virtually(main())

    def test_cancelled_request_leaves_no_state(self) -> None:
        """Guards against unanswered queries that accumulate."""

        async def main() -> None:
            host = _Host()
            asked = host.ask()
            await asyncio.sleep(0)
            asked.cancel()
            await asyncio.gather(asked, return_exceptions=True)
            assert host.permits._waiting == {}

        run_virtually(main())
