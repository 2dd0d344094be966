"""Tests that hosts ask the owner of an identity for trials of it."""

import asyncio

from hollyknot_coordination.suspects import Trial
from hollyknot_gateway._trial_requester import (
    MAX_OWNERS,
    SILENCE_S,
    SILENT_WAIT_S,
)
from hollyknot_gateway.tests._neighbour_network import Host, Network
from hollyknot_gateway.tests._virtual_time import run_virtually

HOSTS = 8
KNOWN_S = 8.0
TRIALS = [Trial(identity, 3, True, frozenset()) for identity in range(1, 40)]
"""Trials whose owners are different hosts."""


def _network() -> Network:
    network = Network(HOSTS, 1, is_busy=False)
    network.start()
    return network


async def _ask_all(hosts: list[Host], trial: Trial) -> list[float]:
    asked = (host.neighbours.trials.ask(trial, "r") for host in hosts)
    return list(await asyncio.gather(*asked))


def _owns(host: Host, trial: Trial) -> bool:
    """Whether a host is among those that may decide on a trial."""
    trials = host.neighbours.trials
    owners = trials._owners.first(trial.identity, MAX_OWNERS, trials._own)
    return trials._own in owners


class TestTrialRequester:
    """One host decides, and others take its place if it does not answer."""

    def test_one_host_of_all_gets_a_trial(self) -> None:
        """Guards against a trial for each host that asks."""

        async def main() -> list[int]:
            network = _network()
            await asyncio.sleep(KNOWN_S)
            waits = [await _ask_all(network.hosts, t) for t in TRIALS]
            network.stop()
            return [of_trial.count(0.0) for of_trial in waits]

        assert set(run_virtually(main())) == {1}

    def test_lost_datagrams_do_not_allow_more_trials(self) -> None:
        """Guards against hosts that decide by themselves too soon."""

        async def main() -> list[int]:
            network = _network()
            await asyncio.sleep(KNOWN_S)
            network.loss_fraction = 0.05
            waits = [await _ask_all(network.hosts, t) for t in TRIALS]
            network.stop()
            return [of_trial.count(0.0) for of_trial in waits]

        granted = run_virtually(main())
        assert max(granted) <= 2
        assert sum(granted) <= len(TRIALS) + 2

    def test_host_that_is_cut_off_decides_after_a_while(self) -> None:
        async def main() -> tuple[list[float], list[float]]:
            network = _network()
            await asyncio.sleep(KNOWN_S)
            network.loss_fraction = 1.0
            host = network.hosts[0]
            trials = [t for t in TRIALS if not _owns(host, t)]
            first = [await host.neighbours.trials.ask(trials[0], "r")]
            until_s = asyncio.get_running_loop().time() + SILENCE_S
            while asyncio.get_running_loop().time() < until_s:
                await asyncio.sleep(0.5)
                await host.neighbours.trials.ask(trials[0], "r")
            last = [await host.neighbours.trials.ask(t, "r") for t in trials]
            network.stop()
            return first, last

        first, last = run_virtually(main())
        assert first == [SILENT_WAIT_S]
        assert 0.0 in last

    def test_owner_that_knows_a_conviction_grants_nothing(self) -> None:
        """Guards against trials for hosts that have missed some crashes."""

        async def main() -> list[float]:
            network = _network()
            await asyncio.sleep(KNOWN_S)
            now_s = asyncio.get_running_loop().time()
            for host in network.hosts[1:]:
                for trial in TRIALS:
                    host.all_suspects.parts.convict(trial.identity, now_s)
            host = network.hosts[0]
            waits = [
                await host.neighbours.trials.ask(trial, "r")
                for trial in TRIALS
                if not _owns(host, trial)
            ]
            network.stop()
            return waits

        assert min(run_virtually(main())) > 20
