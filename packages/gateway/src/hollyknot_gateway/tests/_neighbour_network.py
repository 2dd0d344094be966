"""Many hosts' neighbours that send each other real datagrams, virtually."""

import asyncio
import os
import random
from typing import cast

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    Demand,
    Forecasts,
    HostCount,
    Loads,
    NamedLimits,
    Reachability,
    UpstreamRegistry,
)
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_gateway._in_force import InForce
from hollyknot_gateway._log import Log
from hollyknot_gateway._neighbours import Neighbours, Shared
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._read_news import ReadNews
from hollyknot_state import Address, ReadRevisions
from hollyknot_state.routes import GatewaySettings

ONE_WAY_S = 0.0014
PORT = 7300
SEEDS = 3
ZONES = ("north", "south", "west")

_DRAIN_S = 0.1
_ANY_BYTES = 100_000


def address(number: int) -> Address:
    """Returns where a host takes datagrams."""
    return Address(
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}", PORT
    )


@attrs.define
class _Transport:
    """Hands datagrams to the hosts of a network."""

    network: "Network"
    own: Address

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        """Sends a datagram, which may be lost."""
        self.network.send(self.own, Address(*target), data)

    def close(self) -> None:
        """Nothing to close."""


@attrs.define
class Host:
    """One host: its register of suspects and its neighbours."""

    suspects: SuspectRegister
    neighbours: Neighbours
    size: HostCount
    task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Tells and counts until it is cancelled."""
        await self.neighbours.run()


class Network:
    """Hosts that tell each other, by a budget of bytes of each."""

    def __init__(self, count: int, seed: int, *, is_busy: bool) -> None:
        """Has nobody run.

        Args:
            count: How many hosts.
            seed: Of all chance.
            is_busy: Whether questions for loads leave reports the least.
        """
        self.rng = random.Random(seed)
        self.lost_part = 0.0
        self.sent_bytes = 0
        self._is_busy = is_busy
        self._log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        self._clock = asyncio.get_running_loop().time
        self.hosts = [self._make(number, count) for number in range(count)]
        self._by_address = {
            address(number): host for number, host in enumerate(self.hosts)
        }

    def start(self) -> None:
        """Starts all hosts at random moments within a round of reports."""
        for host in self.hosts:
            host.task = asyncio.create_task(self._run(host))

    def stop(self) -> None:
        """Stops all hosts."""
        for host in self.hosts:
            if host.task is not None:
                host.task.cancel()

    def restart(self, number: int) -> Host:
        """Replaces a host by one that knows nothing."""
        before = self.hosts[number]
        if before.task is not None:
            before.task.cancel()
        host = self._make(number, len(self.hosts))
        self.hosts[number] = host
        self._by_address[address(number)] = host
        host.task = asyncio.create_task(self._run(host))
        return host

    def send(self, sender: Address, target: Address, data: bytes) -> None:
        """Delivers a datagram a moment later."""
        self.sent_bytes += len(data)
        if self.lost_part and self.rng.random() < self.lost_part:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_S, self._deliver, sender, target, data)

    def _deliver(self, sender: Address, target: Address, data: bytes) -> None:
        host = self._by_address.get(target)
        if host is not None:
            host.neighbours._socket.datagram_received(
                data, (sender.ip, sender.port)
            )

    async def _run(self, host: Host) -> None:
        await asyncio.sleep(self.rng.uniform(0, _DRAIN_S))
        if not self._is_busy:
            await host.run()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(host.run())
            tasks.create_task(self._drain(host))

    async def _drain(self, host: Host) -> None:
        """Spends what questions for loads may, again and again."""
        while True:
            host.neighbours._rate.spend_on_queries(_ANY_BYTES)
            await asyncio.sleep(_DRAIN_S)

    def _make(self, number: int, count: int) -> Host:
        others = [n for n in range(count) if n != number]
        seeds = self.rng.sample(others, min(SEEDS, len(others)))
        settings = GatewaySettings(
            host=f"host-{number}",
            data_centre=ZONES[number % len(ZONES)],
            callers=Address("127.0.0.1", 1),
            readiness=Address("127.0.0.1", 2),
            peers=address(number),
            directory=Address("127.0.0.1", 4),
            seeds=tuple(map(address, seeds)),
        )
        suspects = SuspectRegister(SuspectOptions())
        size = HostCount(
            self._clock(), is_alone=not seeds, data_centres=len(ZONES)
        )
        neighbours = Neighbours(
            settings,
            Shared(
                Loads(),
                Demand(),
                CachedParts(),
                Forecasts(),
                suspects,
                size,
                NamedLimits(),
            ),
            InForce(UpstreamRegistry(1.0)),
            Reachability(),
            cast(Prober, None),
            ReadNews(ReadRevisions, lambda _: None),
            self._log,
            random.Random(self.rng.random()),
            self._clock,
        )
        neighbours._socket.connection_made(
            cast(asyncio.BaseTransport, _Transport(self, address(number)))
        )
        return Host(suspects, neighbours, size)
