"""Tests of how many hosts a host takes to share a bound."""

import asyncio

import pytest

from hollyknot_gateway.tests._neighbour_network import Network
from hollyknot_gateway.tests._virtual_time import run_virtually

HOSTS = 83
DISCOVERY_S = 16.0
"""From the start of all hosts, as before the first requests of a deployment."""

MIN_HEARD_FRACTION = 0.8
"""The part of all hosts that one must take itself to hear: it issues this part
of three quarters of a limit, of which six tenths are to be used."""


class TestHostCount:
    """What hosts of one deployment count."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_counts_most_hosts_soon_after_start(self, seed: int) -> None:
        """Hosts use a tenth of a bound for a minute after they were started."""

        async def main() -> list[float]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(DISCOVERY_S)
            network.stop()
            return [host.host_count.heard_part for host in network.hosts]

        parts = run_virtually(main())
        assert sum(parts) / len(parts) >= MIN_HEARD_FRACTION, sorted(parts)
