"""Tests of a planned stop of a host, and of a second signal."""

import asyncio
import signal

import pytest

from hollyknot_daemon.tests.faults.answer_checker import Answer
from hollyknot_daemon.tests.faults.fleet import (
    SLOW_FACTOR,
    A,
    B,
    Drive,
    FaultFleet,
    HostProcess,
    key_at,
)
from hollyknot_daemon.tests.faults.relay import IP

_GRACEFUL = "a planned stop interrupts no request in flight"
_OK = 200


UNENDING_FACTOR = 200 * SLOW_FACTOR
"""Factor on an engine's times at which an answer outlasts any test. An answer
of three seconds can be complete before the second signal on a busy machine."""


async def _start_calls(
    fleet: FaultFleet,
    host: HostProcess,
    keys: list[str],
    slow_s: float,
    straggle: float = SLOW_FACTOR,
) -> list[asyncio.Task[Answer]]:
    """Starts requests of each kind and waits until all are in flight."""
    for engine in fleet.engines.values():
        engine.control.straggle = straggle
    for service in fleet.services.values():
        service.control.slow_s = slow_s
    before = fleet.ran()
    calls = [asyncio.create_task(fleet.call_service(host, key)) for key in keys]
    calls += [
        asyncio.create_task(fleet.chat(host, f"in flight {n}", n % 2 == 0))
        for n in range(4)
    ]
    await fleet.until(lambda: fleet.ran() == before + len(calls))
    return calls


async def _is_ready(fleet: FaultFleet, host: HostProcess) -> bool:
    url = f"http://{IP}:{host.port('operators_port')}/readyz"
    async with fleet.session.get(url) as response:
        return response.status == _OK


class TestStop:
    """A host receives SIGTERM once or twice."""

    @pytest.mark.fault(
        fault="host leave",
        step="mid-stream",
        rule=_GRACEFUL,
        seen_failing="a stop does not wait for requests in flight",
    )
    def test_all_in_flight_completes(self, drive: Drive) -> None:
        """A planned stop lets all requests in flight complete.

        Streams, whole answers and non-idempotent calls are in flight when the
        host is listed as leaving and receives SIGTERM. Answers would break off
        if the process ended once its listeners are closed.
        """

        async def test(fleet: FaultFleet) -> None:
            host, second, _ = fleet.at(A)
            keys = [key_at(A), key_at(B)]
            calls = await _start_calls(fleet, host, keys, 3.0)
            fleet.list_hosts(leaving=(host.name,))
            host.send(signal.SIGTERM)
            while await _is_ready(fleet, host):
                await asyncio.sleep(0)
            refused = await fleet.call_service(host, key_at(A))
            assert (refused.status, refused.verdict) == (503, "not-run")
            assert refused.retry_after
            assert host.is_running
            answers = await asyncio.gather(*calls)
            assert {a.verdict for a in answers} == {"complete"}
            assert host.process is not None
            assert await host.process.wait() == 0
            again = [await fleet.call_service(second, key) for key in keys]
            assert {a.verdict for a in again} == {"may-have-run"}
            await fleet.heal()
            again = [
                await fleet.call_service(fleet.at(A)[-1], key) for key in keys
            ]
            assert {a.verdict for a in again} == {"may-have-run"}

        drive(test)

    @pytest.mark.fault(
        fault="host leave",
        step="sent",
        rule="a second signal ends a host at once, and nothing runs twice",
        seen_failing="the HTTP server waits a minute for its handlers",
    )
    def test_second_signal_ends_it_at_once(self, drive: Drive) -> None:
        """A second SIGTERM ends the host, and no answer looks complete.

        Requests are in flight when two signals arrive; then the caller resends
        its calls. The host could not be ended if a stop always waited, and
        callers would take a truncated stream for complete if its end looked
        like any other.
        """

        async def test(fleet: FaultFleet) -> None:
            host, second, _ = fleet.at(A)
            keys = [key_at(A), key_at(B)]
            calls = await _start_calls(
                fleet, host, keys, 600.0, UNENDING_FACTOR
            )
            host.send(signal.SIGTERM)
            while await _is_ready(fleet, host):
                await asyncio.sleep(0)
            host.send(signal.SIGTERM)
            assert host.process is not None
            assert await host.process.wait() != 0
            answers = await asyncio.gather(*calls)
            assert not any(a.is_complete for a in answers)
            again = [await fleet.call_service(second, key) for key in keys]
            assert {a.verdict for a in again} == {"may-have-run"}

        drive(test)

    @pytest.mark.fault(
        fault="host replace",
        step="claimed",
        rule="a non-idempotent request runs at most once",
        seen_failing="a new holder grants before it has learnt the claims",
    )
    def test_all_hosts_of_a_home_leave_in_turn(self, drive: Drive) -> None:
        """A rolling replacement of all hosts loses no claim.

        Calls run, each host is listed as leaving, stops and is replaced, and
        the caller resends. The calls would run twice if a stopping host's
        claims were lost with it.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = [key_at(A), key_at(B)]
            first = fleet.at(B)[0]
            assert all(
                [(await fleet.call_service(first, k)).is_complete for k in keys]
            )
            for host in fleet.at(A):
                fleet.list_hosts(leaving=(host.name,))
                host.send(signal.SIGTERM)
                assert host.process is not None
                assert await host.process.wait() == 0
                new = await fleet.replace_lost()
                await fleet.until_settled()
                for sender in (first, *new):
                    again = [
                        await fleet.call_service(sender, key) for key in keys
                    ]
                    assert {a.verdict for a in again} == {"may-have-run"}

        drive(test)
