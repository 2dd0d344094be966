"""Tests of network partitions of hosts, data centres and the platform."""

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
    """Resends a call, as callers do, until it has run."""
    while not (await fleet.call_service(host, key)).is_complete:
        await asyncio.sleep(0)


def _is_retryable_refusal(answer: Answer) -> bool:
    return answer.verdict == NOT_RUN and bool(answer.retry_after)


class TestCutBetweenHosts:
    """Some hosts of a data centre are partitioned from the others."""

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

        One host is partitioned, and the caller sends to it and to another. The
        call would run twice if the isolated host granted alone, and never if
        its refused attempt kept the key.
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
        seen_failing=(
            "the release of a refused attempt is sent once and not repeated"
        ),
    )
    def test_refused_while_its_grants_were_lost(self, drive: Drive) -> None:
        """A key that was granted and refused in a partition can run after it.

        The holders grant, and a partition loses their answers. The host gives
        up, answers "not-run", and its releases are lost, too. If the holders
        kept the grant, a caller that was asked to retry would be told for ever
        that its call may have run.
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
            # A message that waits for a dial is lost when that dial fails.
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
        seen_failing="a new holder grants before it has learnt the claims",
    )
    def test_partitions_use_different_host_lists(self, drive: Drive) -> None:
        """Majorities of two host lists never both grant a key.

        Two hosts are partitioned with the old list. A new list on the other
        side replaces one of them, and the caller sends to both sides. The call
        would run twice if the new holders granted before a majority of the old
        ones had reported the claims that they hold.
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
    """The data centres are partitioned from each other."""

    @pytest.mark.fault(
        fault="cut between data centres",
        step="queued",
        rule=_ONCE,
        seen_failing="a claim needs no grant",
    )
    def test_home_is_cut_off(self, drive: Drive) -> None:
        """A key is refused by hosts that can't reach its home, and runs there.

        The data centres are partitioned and the caller sends to both, then
        again. The call would run in both if each side chose holders among the
        hosts that it can reach.
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
        """Grants that a partition delays never lead to a second run.

        The home grants, its answers are held, the caller resends at the home,
        and the answers arrive late. The call would run twice if the home
        granted the key to another attempt because the first is silent.
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
        seen_failing="a failed read of the platform makes hosts not ready",
    )
    @pytest.mark.parametrize("side", [A, B])
    def test_each_side_serves_alone(self, drive: Drive, side: str) -> None:
        """A data centre that is partitioned from all else serves what it can.

        Its hosts can reach neither the other data centre nor the platform. It
        would answer nothing if readiness or routing waited for something that
        serving does not need.
        """

        async def test(fleet: FaultFleet) -> None:
            fleet.partition_hosts(fleet.at(A), fleet.at(B))
            fleet.partition_platform(fleet.hosts.values())
            for name, relay in fleet.relays.items():
                if not name.startswith(side):
                    relay.set(Flow.CUT)
            await fleet.until_platform_loss_noticed()
            for host in fleet.at(side):
                # The first requests may be sent to unreachable upstreams.
                await _until_all_kinds_served(fleet, host, side)

        drive(test)


async def _until_all_kinds_served(
    fleet: FaultFleet, host: HostProcess, side: str
) -> None:
    """Sends each kind of request until its answer is complete."""
    for streamed in (False, True):
        while not (await fleet.chat(host, "alone", streamed)).is_complete:
            await asyncio.sleep(0)
    await _until_complete(fleet, host, key_at(side))


class TestCutFromPlatform:
    """All hosts are partitioned from the platform."""

    @pytest.mark.fault(
        fault="cut from platform",
        step="accepted",
        rule=_SERVES,
        seen_failing="a failed read of the platform makes hosts not ready",
    )
    @pytest.mark.parametrize("flow", [Flow.CUT, Flow.HOLD])
    def test_hosts_go_on_and_catch_up(self, drive: Drive, flow: Flow) -> None:
        """Hosts serve without the platform and catch up when it is back.

        The platform is unreachable or silent while a version is published.
        Hosts would refuse all requests if readiness depended on the platform,
        and keep the old version if a poll waited for ever.
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
