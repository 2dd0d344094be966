"""Tests of a request that crashes upstreams, before many hosts."""

import asyncio
import random

import attrs

from hollyknot_coordination.suspects import Isolate, Refuse
from hollyknot_gateway.tests._neighbour_network import Host, Network
from hollyknot_gateway.tests._virtual_time import run_virtually
from hollyknot_state import Outcome, Reason, Verdict

LOST = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
CULPRIT = 99
UPSTREAMS = 45
BESIDE = 20
"""Other requests that are in flight where it runs."""

JUDGE_S = 0.83
"""From a crash to the host's verdict."""

CONTACT_S = 4.0
MOST_CRASHES = 3
MOST_LATE = 3
"""What the rule allows after the third crash and the time to tell of it."""

LEARN_S = 12.0
"""Until all hosts know each other."""

LENGTH_S = 18.0


@attrs.define
class _Culprit:
    """A request whose caller sends it again for ever, through any host."""

    network: Network
    rng: random.Random
    crashes: list[float] = attrs.Factory(list)
    sent: list[float] = attrs.Factory(list)

    @property
    def late(self) -> int:
        """Sends after the third crash and the time to tell of it."""
        if len(self.crashes) < MOST_CRASHES:
            return 0
        last_s = self.crashes[MOST_CRASHES - 1] + CONTACT_S
        return sum(at_s > last_s for at_s in self.sent)

    async def repeat(self, a_second: float) -> None:
        """Is sent again and again."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LENGTH_S
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < until_s:
                await asyncio.sleep(self.rng.expovariate(a_second))
                host = self.rng.choice(self.network.hosts)
                tasks.create_task(self._send(host))

    async def _send(self, host: Host) -> None:
        loop = asyncio.get_running_loop()
        gate = host.suspects.gate(CULPRIT, loop.time())
        if isinstance(gate, Refuse):
            return
        names = [f"i-{number:010d}" for number in range(UPSTREAMS)]
        if isinstance(gate, Isolate):
            names = [name for name in names if name not in gate.exclude]
        upstream = self.rng.choice(names)
        self.sent.append(loop.time())
        host.suspects.on_dispatch(CULPRIT, upstream)
        beside = {
            self.rng.getrandbits(60): self.rng.choice(self.network.hosts)
            for _ in range(BESIDE)
        }
        for number, other in beside.items():
            other.suspects.on_dispatch(number, upstream)
        await asyncio.sleep(0.05)
        self.crashes.append(loop.time())
        await asyncio.sleep(JUDGE_S)
        host.suspects.on_end(CULPRIT, upstream, LOST, loop.time())
        for number, other in beside.items():
            other.suspects.on_end(number, upstream, LOST, loop.time())


def _play(hosts: int, seed: int, a_second: float) -> _Culprit:
    async def main() -> _Culprit:
        network = Network(hosts, seed, is_busy=True)
        network.start()
        await asyncio.sleep(LEARN_S)
        culprit = _Culprit(network, random.Random(seed))
        await culprit.repeat(a_second)
        network.stop()
        return culprit

    return run_virtually(main())


class TestCulpritBeforeManyHosts:
    """Hosts that tell each other seldom still learn of crashes in time."""

    def test_is_not_sent_on_where_reports_come_seldom(self) -> None:
        """A request goes on crashing upstreams through hosts not yet told."""
        late = {
            (hosts, seed): _play(hosts, seed, a_second=2.0).late
            for hosts in (8, 83)
            for seed in (1, 2)
        }
        assert max(late.values()) <= MOST_LATE, late
