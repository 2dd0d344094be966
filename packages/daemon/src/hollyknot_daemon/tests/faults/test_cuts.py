"""Tests of cuts between hosts, between data centres and from the platform."""

import asyncio

import pytest

from hollyknot_daemon.tests.faults.answer_checker import NOT_RUN, Answer
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
_NOT_RUN = "not run is told only of what did not run, with when to come back"
_SERVES = "a data centre that is cut off goes on serving"


async def _until_complete(
    fleet: FaultFleet, host: HostProcess, key: str
) -> None:
    """Comes back as callers do, until the call has run."""
    while not (await fleet.call_service(host, key)).is_complete:
        await asyncio.sleep(0)


def _is_retryable_refusal(answer: Answer) -> bool:
    return answer.verdict == NOT_RUN and bool(answer.retry_after)


class TestCutBetweenHosts:
    """Some hosts of one data centre can't reach the others."""

    @pytest.mark.fault(
        fault="cut between hosts",
        step="queued",
        rule=_NOT_RUN,
        seen_failing="one grant is enough for a claim",
    )
    def test_isolated_host_refuses_and_the_rest_runs(
        self, drive: Drive
    ) -> None:
        """A host without a majority refuses; what it refused can run later.

        Symptom: a decision is posted twice, or never.
        Sequence: a host is cut off; the caller sends to it and to another.
        Cause: the host granted alone; or its refused attempt held the key.
        """

        async def test(fleet: FaultFleet) -> None:
            isolated, second, third = fleet.at(A)
            others = [h for h in fleet.hosts.values() if h is not isolated]
            fleet.partition_hosts([isolated], others)
            both, late = key_at(A), key_at(A)
            answers = await asyncio.gather(
                fleet.call_service(isolated, both),
                fleet.call_service(second, both),
                fleet.call_service(isolated, late),
            )
            assert [a.is_complete for a in answers] == [False, True, False]
            assert _is_retryable_refusal(answers[2])
            await fleet.heal()
            await _until_complete(fleet, third, late)
            assert fleet.answer_checker.runs(both) == 1

        drive(test)

    @pytest.mark.fault(
        fault="cut between hosts",
        step="claimed",
        rule="no request is lost",
        seen_failing="an attempt that is given up is released once, unanswered",
    )
    def test_refused_while_its_grants_were_lost(self, drive: Drive) -> None:
        """A key that was granted and refused in a cut can run after it.

        Symptom: a caller that was told to come back is told ever after that
        its call may have run; the piazza has no barriers.
        Sequence: the holders grant; a cut loses their answers; the host gives
        up and answers "not run"; its releases are lost in the cut, too.
        Cause: the holders keep the grant of an attempt that has ended.
        """

        async def test(fleet: FaultFleet) -> None:
            first, second, third = fleet.at(A)
            await fleet.open_links(first)
            key = key_at(A)
            names = (second.name, third.name)
            first.links.set(Flow.HOLD, *names)
            call = asyncio.create_task(fleet.call_service(first, key))
            for name in names:
                await first.links.until_seen(claim_key_of(key), name)
            fleet.partition_hosts([first], [second, third])
            assert _is_retryable_refusal(await call)
            # What waited for the first dial is lost with it.
            lost = [
                h.links.reset_count(first.name) + 2 for h in (second, third)
            ]
            await fleet.until(
                lambda: (
                    second.links.reset_count(first.name) >= lost[0]
                    and third.links.reset_count(first.name) >= lost[1]
                )
            )
            await fleet.heal()
            await _until_complete(fleet, second, key)
            assert fleet.answer_checker.runs(key) == 1

        drive(test)

    @pytest.mark.fault(
        fault="host list late",
        step="claimed",
        rule=_ONCE,
        seen_failing="a new holder grants before it has learnt",
    )
    def test_partitions_use_different_host_lists(self, drive: Drive) -> None:
        """Majorities of two host lists never both grant a key.

        Symptom: a crew is ordered twice.
        Sequence: a cut leaves two hosts with the old list; on the other side
        a new list replaces one of them; the caller sends to both sides.
        Cause: the new holders granted before a majority of the old ones had
        told them what it knew.
        """

        async def test(fleet: FaultFleet) -> None:
            old, kept, other = fleet.at(A)
            side = [old, kept]
            rest = [h for h in fleet.hosts.values() if h not in side]
            fleet.partition_hosts(side, rest)
            fleet.partition_platform(side)
            new = await fleet.prepare(A)
            fleet.partition_hosts(side, [new])
            del fleet.hosts[old.name]
            await fleet.start(new)
            fleet.list_hosts()
            revision = fleet.host_list.control.published.number
            await fleet.until_status(
                [other, new, *fleet.at(B)],
                lambda status: status["versions"]["hosts"] == revision,
            )
            keys = [key_at(A) for _ in range(4)]
            calls = [
                fleet.call_service(host, key)
                for key in keys
                for host in (old, other, new, fleet.at(B)[0])
            ]
            await asyncio.gather(*calls)
            fleet.hosts[old.name] = old
            await old.kill()
            del fleet.hosts[old.name]
            await old.stack.aclose()
            await fleet.heal()
            for host in fleet.hosts.values():
                await asyncio.gather(
                    *(fleet.call_service(host, k) for k in keys)
                )
            assert {fleet.answer_checker.runs(key) for key in keys} <= {0, 1}

        drive(test)


class TestCutBetweenDataCentres:
    """The data centres can't reach each other."""

    @pytest.mark.fault(
        fault="cut between data centres",
        step="queued",
        rule=_ONCE,
        seen_failing="a claim needs no grant",
    )
    def test_home_is_cut_off(self, drive: Drive) -> None:
        """A key whose home is cut off is refused here and runs there.

        Symptom: a decision is posted in both data centres.
        Sequence: a cut; the caller sends to both sides, then again.
        Cause: each side chose holders among the hosts that it could reach.
        """

        async def test(fleet: FaultFleet) -> None:
            here, there = fleet.at(A)[0], fleet.at(B)[0]
            fleet.partition_hosts(fleet.at(A), fleet.at(B))
            keys = [key_at(A), key_at(B)]
            far = await asyncio.gather(
                fleet.call_service(here, keys[1]),
                fleet.call_service(there, keys[0]),
            )
            assert all(map(_is_retryable_refusal, far))
            near = await asyncio.gather(
                fleet.call_service(here, keys[0]),
                fleet.call_service(there, keys[1]),
            )
            assert all(answer.is_complete for answer in near)
            await fleet.heal()
            again = await asyncio.gather(
                fleet.call_service(here, keys[1]),
                fleet.call_service(there, keys[0]),
            )
            assert {a.verdict for a in again} == {"may-have-run"}

        drive(test)

    @pytest.mark.fault(
        fault="cut between data centres",
        step="claimed",
        rule=_ONCE,
        seen_failing="a holder grants a key that another attempt holds",
    )
    def test_cut_while_the_home_answers(self, drive: Drive) -> None:
        """Grants that a cut delays never lead to a second run.

        Symptom: a crew is ordered twice.
        Sequence: the home grants; a cut holds its answers; the caller sends
        again at the home; the answers arrive after all.
        Cause: the home gave the key to another since the first was silent.
        """

        async def test(fleet: FaultFleet) -> None:
            first = fleet.at(A)[0]
            key = key_at(B)
            await fleet.open_links(first)
            first.links.set(Flow.HOLD, *(h.name for h in fleet.at(B)))
            call = asyncio.create_task(fleet.call_service(first, key))
            for holder in fleet.at(B):
                await first.links.until_seen(claim_key_of(key), holder.name)
            await asyncio.gather(
                *(fleet.call_service(h, key) for h in fleet.at(B))
            )
            first.links.heal()
            await call
            assert fleet.answer_checker.runs(key) <= 1

        drive(test)

    @pytest.mark.fault(
        fault="cut between data centres",
        step="accepted",
        rule=_SERVES,
        seen_failing="a failed read of the platform ends readiness",
    )
    @pytest.mark.parametrize("side", [A, B])
    def test_each_side_serves_alone(self, drive: Drive, side: str) -> None:
        """A side that is cut off from all else serves what it can.

        Symptom: a hall answers nothing while the network between is down.
        Sequence: the hosts and upstreams of a side can reach neither the
        other data centre nor the platform.
        Cause: readiness or routing waited for what is not needed.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.partition_hosts(fleet.at(A), fleet.at(B))
            fleet.partition_platform(fleet.hosts.values())
            for name, relay in fleet.relays.items():
                if not name.startswith(side):
                    relay.set(Flow.CUT)
            await fleet.until_platform_loss_noticed()
            for host in fleet.at(side):
                # Its first requests may meet the lost upstreams.
                await _until_all_kinds_served(fleet, host, side)

        drive(test)


async def _until_all_kinds_served(
    fleet: FaultFleet, host: HostProcess, side: str
) -> None:
    """Asks each kind of request until it is answered whole."""
    for streamed in (False, True):
        while not (await fleet.chat(host, "alone", streamed)).is_complete:
            await asyncio.sleep(0)
    await _until_complete(fleet, host, key_at(side))


class TestCutFromPlatform:
    """No host can reach the platform."""

    @pytest.mark.fault(
        fault="cut from platform",
        step="accepted",
        rule=_SERVES,
        seen_failing="a failed read of the platform ends readiness",
    )
    @pytest.mark.parametrize("flow", [Flow.CUT, Flow.HOLD])
    def test_hosts_go_on_and_catch_up(self, drive: Drive, flow: Flow) -> None:
        """Without the platform hosts go on, and learn what they missed after.

        Symptom: all hosts refuse, or keep an old version for good.
        Sequence: the platform is cut off, or silent; a version is published;
        the cut heals.
        Cause: a watch that waits for ever, or readiness that ends.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.partition_platform(fleet.hosts.values(), flow)
            version = fleet.publish_model()
            await fleet.until_platform_loss_noticed()
            for host in fleet.hosts.values():
                for streamed in (False, True):
                    assert (
                        await fleet.chat(host, "go on", streamed)
                    ).is_complete
            assert (
                await fleet.call_service(fleet.at(A)[0], key_at(B))
            ).is_complete
            for host in fleet.hosts.values():
                status = await fleet.status(host)
                assert status["versions"]["declarations"] < version
            await fleet.heal()
            await fleet.until_version(version)

        drive(test)
