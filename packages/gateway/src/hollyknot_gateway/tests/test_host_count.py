"""Tests the estimate of the number of hosts that share a bound."""

import asyncio

import pytest

from hollyknot_gateway.tests._neighbour_network import Network
from hollyknot_gateway.tests._virtual_time import run_virtually

HOSTS = 83
DISCOVERY_S = 16.0
"""Seconds from the start of all hosts to the first requests of a deployment."""

MIN_HEARD_FRACTION = 0.8
"""Least fraction of all hosts from which a host must count itself to receive
reports. It issues permits for this fraction of three quarters of a rate limit,
and six tenths of the limit are to be usable."""


class TestHostCount:
    """Hosts of one deployment count each other."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_counts_most_hosts_soon_after_start(self, seed: int) -> None:
        """Guards against hosts that use too little of a bound after a start.

        If hosts that have just started estimate far too many hosts, they use
        only a tenth of the bound for a minute.
        """

        async def main() -> list[float]:
            network = Network(HOSTS, seed, is_busy=False)
            network.start()
            await asyncio.sleep(DISCOVERY_S)
            network.stop()
            return [host.host_count.heard_fraction for host in network.hosts]

        parts = run_virtually(main())
        assert sum(parts) / len(parts) >= MIN_HEARD_FRACTION, sorted(parts)
