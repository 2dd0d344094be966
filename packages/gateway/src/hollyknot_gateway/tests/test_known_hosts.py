"""Tests of what hosts that have just started know of each other."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from hollyknot_gateway._job import Job
from hollyknot_gateway.tests._neighbour_network import DATA_CENTRES, Network
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

SERVICE = "engines"


def _entry(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        str(number),
        SERVICE,
        Address("10.9.0.1", number + 1),
        DATA_CENTRES[0],
        8,
        version=f"v{number}",
    )


def _job(attempt: str, resumes: str) -> Job:
    job = SimpleNamespace(
        service=SimpleNamespace(name=SERVICE),
        route=SimpleNamespace(may_resume=True, services=(SERVICE,)),
        call=SimpleNamespace(
            resumes=resumes, attempt_id=attempt, last_event_id="4", prompt=()
        ),
        version=None,
    )
    return cast(Job, job)


async def _taken_up(hosts: int, *, began_s: float, taken_up_s: float) -> int:
    """Counts the streams that go on through the next host.

    Each host begins one.

    Args:
        hosts: Number of hosts, which start at once.
        began_s: Seconds from then until the streams begin.
        taken_up_s: Seconds from then until they are taken up.
    """
    network = Network(hosts, 1, is_busy=False, has_same_seeds=True)
    for host in network.hosts:
        for number in range(2):
            host.registry.put(_entry(number))
    network.start()
    await asyncio.sleep(began_s)
    for number, host in enumerate(network.hosts):
        host.neighbours.versions.on_first_event(
            _job(f"first-{number}", ""), "v1", _entry(1).incarnation
        )
    await asyncio.sleep(taken_up_s - began_s)
    jobs = [_job("second", f"first-{number}") for number in range(hosts)]
    await asyncio.gather(
        *(
            network.hosts[(number + 1) % hosts].neighbours.take_ups.resolve(job)
            for number, job in enumerate(jobs)
        )
    )
    network.stop()
    return sum(job.version == "v1" for job in jobs)


async def _taken_up_one_by_one(seed: int) -> int:
    """Counts the streams that go on through another host, of seven.

    Eight hosts with random seeds start one after another. Each one begins a
    stream at once, which the next one takes up as soon as it has started.
    """
    network = Network(8, seed, is_busy=False)
    jobs: list[Job] = []
    began = ""
    for number in range(8):
        host = network.restart(number)
        for version in range(2):
            host.registry.put(_entry(version))
        await asyncio.sleep(0.05)
        if began:
            jobs.append(_job("second", began))
            await host.neighbours.take_ups.resolve(jobs[-1])
        began = f"first-{number}"
        host.neighbours.versions.on_first_event(
            _job(began, ""), "v1", _entry(1).incarnation
        )
    network.stop()
    return sum(job.version == "v1" for job in jobs)


class TestStreamsOfHostsThatStart:
    """The host that began a stream is found before all hosts have met."""

    @pytest.mark.parametrize("hosts", [8, 85])
    @pytest.mark.parametrize("taken_up_s", [0.35, 0.6, 1.5])
    def test_a_stream_that_a_living_peer_began_goes_on(
        self, hosts: int, taken_up_s: float
    ) -> None:
        """Guards against asking only the hosts met so far."""
        found = run_virtually(
            _taken_up(hosts, began_s=0.25, taken_up_s=taken_up_s)
        )
        assert found == hosts

    @pytest.mark.parametrize("seed", range(1, 9))
    def test_hosts_that_start_one_by_one_find_the_stream(
        self, seed: int
    ) -> None:
        """Guards against peers that a host meets only after its take-ups."""
        assert run_virtually(_taken_up_one_by_one(seed)) == 7
