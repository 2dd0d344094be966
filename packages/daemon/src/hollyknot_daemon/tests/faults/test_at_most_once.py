"""Tests that a non-idempotent request runs at most once under faults.

A host claims the idempotency key of a call before it sends the call. The
holders of the claim are the hosts of the data centre in which the key has its
home; a majority of them must grant it.
"""

import asyncio

import pytest

from hollyknot_daemon.tests.faults.answer_checker import Answer
from hollyknot_daemon.tests.faults.fleet import (
    A,
    B,
    Drive,
    FaultFleet,
    HostProcess,
    claim_key_of,
    key_at,
)
from hollyknot_daemon.tests.faults.relay import Flow

_ONCE = "a non-idempotent request runs at most once"


def _keys() -> list[str]:
    """Returns a key with its home in A and one with its home in B."""
    return [key_at(A), key_at(B)]


def _start_calls(
    fleet: FaultFleet, host: HostProcess, keys: list[str]
) -> list[asyncio.Task[Answer]]:
    """Sends a call for each key to a host without awaiting the answers."""
    return [asyncio.create_task(fleet.call_service(host, key)) for key in keys]


async def _resend(
    fleet: FaultFleet, keys: list[str], *hosts: HostProcess
) -> list[Answer]:
    """Sends all keys again to each host in turn and returns the answers."""
    answers = []
    for host in hosts:
        answers += await asyncio.gather(*_start_calls(fleet, host, keys))
    return answers


def _holders(
    fleet: FaultFleet, host: HostProcess, keys: list[str]
) -> list[tuple[HostProcess, bytes]]:
    """Returns all holders but a host, each with the claim key it holds."""
    return [
        (holder, claim_key_of(key))
        for key, data_centre in zip(keys, (A, B), strict=True)
        for holder in fleet.at(data_centre)
        if holder is not host
    ]


def _hold_grants(fleet: FaultFleet, host: HostProcess, keys: list[str]) -> None:
    """Holds what each holder sends to a host from its grant on.

    Links that were silent before the claims are sent could be noticed by a
    slow host, which would then send no claims.
    """
    for holder, claim in _holders(fleet, host, keys):
        host.links.hold_after(claim, holder.name)


async def _until_granted(
    fleet: FaultFleet, host: HostProcess, keys: list[str]
) -> None:
    """Waits until the answers of all other holders have reached a relay.

    It is the relay before the host, which may hold them.
    """
    for holder, claim in _holders(fleet, host, keys):
        await host.links.until_seen(claim, holder.name)


def _hold_services(fleet: FaultFleet, flow: Flow) -> None:
    for name in fleet.services:
        fleet.relays[name].set(flow)


def _runs(fleet: FaultFleet, keys: list[str]) -> list[int]:
    return [fleet.answer_checker.runs(key) for key in keys]


class TestHostKilled:
    """The host is killed and the caller resends through other hosts."""

    @pytest.mark.fault(
        fault="host kill",
        step="claimed",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_killed_before_it_receives_its_grants(self, drive: Drive) -> None:
        """Grants to a host that dies never lead to two runs.

        The host dies before it receives its grants, and the caller resends
        through both data centres. The call would run twice if two attempts
        could each get a majority.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, _ = fleet.at(A)
            await fleet.open_links(first)
            _hold_grants(fleet, first, keys)
            calls = _start_calls(fleet, first, keys)
            await _until_granted(fleet, first, keys)
            await first.kill()
            await asyncio.gather(*calls)
            await _resend(fleet, keys, second, fleet.at(B)[0])
            await fleet.heal()
            await _resend(fleet, keys, *fleet.hosts.values())
            assert max(_runs(fleet, keys)) <= 1

        drive(test)

    @pytest.mark.fault(
        fault="host kill",
        step="sent",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_killed_while_its_call_is_in_flight(self, drive: Drive) -> None:
        """A call that arrives after its host died is not run again.

        The host dies when it has sent the call, the caller resends through
        other hosts, and the first call reaches the service late. The call
        would run twice if a host's death freed its claims.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, _ = fleet.at(A)
            _hold_services(fleet, Flow.HOLD)
            calls = _start_calls(fleet, first, keys)
            for key in keys:
                await _until_sent(fleet, key)
            await first.kill()
            lost = await asyncio.gather(*calls)
            assert [a.status for a in lost] == [0, 0]
            _hold_services(fleet, Flow.FORWARD)
            await _resend(fleet, keys, second, fleet.at(B)[0])
            await fleet.until(lambda: min(_runs(fleet, keys)) >= 1)
            await fleet.heal()
            answers = await _resend(fleet, keys, *fleet.hosts.values())
            assert {a.verdict for a in answers} == {"may-have-run"}
            assert _runs(fleet, keys) == [1, 1]

        drive(test)

    @pytest.mark.fault(
        fault="host kill",
        step="last byte",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_service_ran_it_and_the_answer_is_lost(self, drive: Drive) -> None:
        """A call that ran while its host died is not run again.

        The service runs the call and the host dies before the answer. The
        caller resends through other hosts and the replacement. The call would
        run twice if only the dead host knew that it had been sent.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, _ = fleet.at(A)
            for service in fleet.services.values():
                service.control.slow_s = 600.0
            calls = _start_calls(fleet, first, keys)
            await fleet.until(lambda: min(_runs(fleet, keys)) >= 1)
            await first.kill()
            await asyncio.gather(*calls)
            for service in fleet.services.values():
                service.control.slow_s = 0.0
            answers = await _resend(fleet, keys, second, fleet.at(B)[0])
            await fleet.heal()
            answers += await _resend(fleet, keys, *fleet.hosts.values())
            assert {a.verdict for a in answers} == {"may-have-run"}
            assert _runs(fleet, keys) == [1, 1]

        drive(test)


async def _until_sent(fleet: FaultFleet, key: str) -> None:
    """Waits until a call has reached the relay before either service."""
    waits = [
        asyncio.ensure_future(fleet.relays[name].until_seen(key.encode()))
        for name in fleet.services
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


class TestHostPaused:
    """The host is paused and resumes after the caller resent elsewhere."""

    @pytest.mark.fault(
        fault="host pause",
        step="claimed",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_granted_while_it_is_paused(self, drive: Drive) -> None:
        """A host that resumes with old grants does not run the call again.

        The host is paused before it receives its grants, the caller resends
        elsewhere, and the host resumes, receives the grants and sends. The
        call would run twice if grants expired and went to another attempt.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, _ = fleet.at(A)
            await fleet.open_links(first)
            _hold_grants(fleet, first, keys)
            calls = _start_calls(fleet, first, keys)
            await _until_granted(fleet, first, keys)
            first.pause()
            first.links.heal()
            await _resend(fleet, keys, second, fleet.at(B)[0])
            first.resume()
            await asyncio.gather(*calls)
            assert max(_runs(fleet, keys)) <= 1

        drive(test)

    @pytest.mark.fault(
        fault="host pause",
        step="queued",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_claim_requests_arrive_late(self, drive: Drive) -> None:
        """Late claim requests get no grant for a key that ran elsewhere.

        The host's claim requests are delayed and it is paused. The caller
        resends elsewhere and the call runs; then the claim requests arrive and
        the host resumes. The call would run twice if a holder granted the key
        again.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, third = fleet.at(A)
            await fleet.open_links(first)
            others = [h for h in fleet.hosts.values() if h is not first]
            for host in others:
                host.links.set(Flow.HOLD, first.name)
            calls = _start_calls(fleet, first, keys)
            for holder in (second, third):
                await holder.links.until_seen(claim_key_of(keys[0]), first.name)
            for holder in fleet.at(B):
                await holder.links.until_seen(claim_key_of(keys[1]), first.name)
            first.pause()
            await _resend(fleet, keys, second)
            for host in others:
                host.links.set(Flow.FORWARD, first.name)
            first.resume()
            late = await asyncio.gather(*calls)
            await _resend(fleet, keys, third)
            assert _runs(fleet, keys) == [1, 1]
            assert "complete" not in {a.verdict for a in late}

        drive(test)

    @pytest.mark.fault(
        fault="host pause",
        step="sent",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_paused_while_its_call_runs(self, drive: Drive) -> None:
        """A paused host's call is not run again, and is answered later.

        The host is paused when it has sent the call. The service runs it, and
        the caller resends elsewhere before the host resumes. The call would
        run twice if a silent owner of a claim were taken for dead.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            first, second, _ = fleet.at(A)
            _hold_services(fleet, Flow.HOLD)
            calls = _start_calls(fleet, first, keys)
            for key in keys:
                await _until_sent(fleet, key)
            first.pause()
            _hold_services(fleet, Flow.FORWARD)
            await fleet.until(lambda: min(_runs(fleet, keys)) >= 1)
            answers = await _resend(fleet, keys, second, fleet.at(B)[0])
            assert {a.verdict for a in answers} == {"may-have-run"}
            first.resume()
            own = await asyncio.gather(*calls)
            # A long pause may exceed the call's own time limit.
            assert {a.verdict for a in own} <= {"complete", "may-have-run"}
            assert _runs(fleet, keys) == [1, 1]

        drive(test)


class TestHostReplaced:
    """Holders are replaced by hosts with new names and no state."""

    @pytest.mark.fault(
        fault="host replace",
        step="recorded",
        rule=_ONCE,
        seen_failing="a new holder grants before it has learnt the claims",
    )
    def test_all_holders_are_replaced_one_by_one(self, drive: Drive) -> None:
        """A key stays claimed when all its first holders are gone.

        A call runs, each host of the key's home is killed and replaced in
        turn, and the caller resends. The call would run twice if a new holder
        granted before it had learnt the claims of the earlier ones.
        """

        async def test(fleet: FaultFleet) -> None:
            keys = _keys()
            answers = await _resend(fleet, keys, fleet.at(A)[0])
            assert {a.verdict for a in answers} == {"complete"}
            for host in fleet.at(A):
                await host.kill()
                await _resend(fleet, keys, fleet.at(B)[0])
                new = await fleet.replace_lost()
                await _resend(fleet, keys, fleet.at(B)[0])
                await fleet.until_settled()
                answers = await _resend(fleet, keys, *new)
                assert {a.verdict for a in answers} == {"may-have-run"}
            assert _runs(fleet, keys) == [1, 1]

        drive(test)
