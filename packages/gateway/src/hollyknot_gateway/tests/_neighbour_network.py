"""Simulates many hosts that exchange real datagrams in virtual time."""

import asyncio
import os
import random
from collections.abc import Callable
from typing import cast

import attrs

from hollyknot_coordination.forwarding import (
    CachedParts,
    CustomerShares,
    Demand,
    Forecasts,
    HostCount,
    LaneShares,
    Loads,
    NamedLimits,
    Reachability,
    Speeds,
    UpstreamRegistry,
)
from hollyknot_coordination.suspects import SuspectRegister, Suspects
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._partition_detector import PartitionDetector
from hollyknot_gateway._ports import (
    ReadParts,
    read_no_parts,
)
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._report_contents import SharedState
from hollyknot_gateway._revision_gossip import RevisionGossip
from hollyknot_gateway._routing_state import RoutingState
from hollyknot_state import Address, ReadRevisions
from hollyknot_state.routes import GatewaySettings

ONE_WAY_DELAY_S = 0.0014
PORT = 7300
SEEDS = 3
DATA_CENTRES = ("north", "south", "west")

BUFFERED = 100
"""Datagrams that wait for a host that stands still; later ones are lost."""

_ROUND_S = 0.1
_ABOVE_BUDGET_BYTES = 100_000


def address(number: int) -> Address:
    """Returns the address at which a host receives datagrams."""
    return Address(
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}", PORT
    )


def data_centre_at(target: Address) -> str:
    """Returns the data centre of the host with an address."""
    _, high, middle, low = map(int, target.ip.split("."))
    number = high * 62500 + middle * 250 + low - 1
    return DATA_CENTRES[number % len(DATA_CENTRES)]


@attrs.define
class _Transport:
    """Passes the datagrams of one host to the simulated network."""

    network: "Network"
    own: Address

    def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        """Sends a datagram, which may be lost."""
        self.network.send(self.own, Address(*target), data)

    def close(self) -> None:
        """Does nothing, as there is no socket."""


@attrs.define
class Host:
    """One simulated host and the parts that tests look at."""

    all_suspects: Suspects
    neighbours: Neighbours
    host_count: HostCount
    limits: NamedLimits
    registry: UpstreamRegistry
    reachability: Reachability
    partitions: PartitionDetector
    task: asyncio.Task[None] | None = None

    @property
    def suspects(self) -> SuspectRegister:
        """The register of requests."""
        return self.all_suspects.requests

    async def run(self) -> None:
        """Exchanges reports and reads upstreams until it is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.neighbours.run())
            tasks.create_task(self.neighbours.cache_searches.run())


class Network:
    """Hosts that exchange reports, each within its own byte budget."""

    def __init__(
        self,
        count: int,
        seed: int,
        *,
        is_busy: bool,
        read_parts: ReadParts = read_no_parts,
        has_same_seeds: bool = False,
    ) -> None:
        """Builds a network whose hosts are not started yet.

        Args:
            count: Number of hosts.
            seed: Seed of all random choices. `is_cut` may be replaced to
                drop datagrams between two data centres.
            is_busy: Whether load queries use up their part of each host's byte
                budget, so that only the least part is left for reports.
            read_parts: Reads the parts of prompts that an upstream holds.
            has_same_seeds: Whether the settings of all hosts name the first
                ones as seeds, and not random ones.
        """
        self._has_same_seeds = has_same_seeds
        self._read_parts = read_parts
        self.rng = random.Random(seed)
        self.loss_fraction = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda *_: False
        self.sent_bytes = 0
        self._is_busy = is_busy
        self._log = Log("h", "d", os.open(os.devnull, os.O_WRONLY))
        self._clock = asyncio.get_running_loop().time
        self.hosts = [self._make_host(number, count) for number in range(count)]
        self._by_address = {
            address(number): host for number, host in enumerate(self.hosts)
        }
        # Datagrams that wait for hosts that stand still, with their senders.
        self._buffers: dict[Address, list[tuple[Address, bytes]]] = {}

    def start(self) -> None:
        """Starts all hosts at random times within a round of reports."""
        for host in self.hosts:
            host.task = asyncio.create_task(self._run(host))

    def stop(self) -> None:
        """Stops all hosts."""
        for host in self.hosts:
            if host.task is not None:
                host.task.cancel()

    def end(self, number: int) -> None:
        """Ends a host, which then neither sends nor receives."""
        ended = self.hosts[number]
        if ended.task is not None:
            ended.task.cancel()
        self._by_address.pop(address(number), None)

    def restart(self, number: int) -> Host:
        """Replaces a host by a newly started one without any state."""
        self.end(number)
        host = self._make_host(number, len(self.hosts))
        self.hosts[number] = host
        self._by_address[address(number)] = host
        host.task = asyncio.create_task(self._run(host))
        return host

    def freeze(self, number: int) -> None:
        """Has a host stand still; the first datagrams to it wait."""
        frozen = self.hosts[number]
        if frozen.task is not None:
            frozen.task.cancel()
        self._buffers[address(number)] = []

    async def thaw(self, number: int) -> None:
        """Has a host go on: it reads what has waited, around its next round."""
        waiting = self._buffers.pop(address(number))
        host = self.hosts[number]
        host.task = asyncio.create_task(host.run())
        half = len(waiting) // 2
        for sender, data in waiting[:half]:
            self._deliver(sender, address(number), data)
        await asyncio.sleep(_ROUND_S + ONE_WAY_DELAY_S)
        for sender, data in waiting[half:]:
            self._deliver(sender, address(number), data)

    def send(self, sender: Address, target: Address, data: bytes) -> None:
        """Delivers a datagram after the one-way delay, or loses it."""
        self.sent_bytes += len(data)
        if self.loss_fraction and self.rng.random() < self.loss_fraction:
            return
        if self.is_cut(data_centre_at(sender), data_centre_at(target)):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_DELAY_S, self._deliver, sender, target, data)

    def _deliver(self, sender: Address, target: Address, data: bytes) -> None:
        host = self._by_address.get(target)
        buffer = self._buffers.get(target)
        if buffer is not None:
            if len(buffer) < BUFFERED:
                buffer.append((sender, data))
        elif host is not None:
            host.neighbours._socket.datagram_received(
                data, (sender.ip, sender.port)
            )

    async def _run(self, host: Host) -> None:
        await asyncio.sleep(self.rng.uniform(0, _ROUND_S))
        if not self._is_busy:
            await host.run()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(host.run())
            tasks.create_task(self._use_up_query_budget(host))

    async def _use_up_query_budget(self, host: Host) -> None:
        """Spends the byte budget for queries again in every round."""
        while True:
            host.neighbours._rate.spend_on_queries(_ABOVE_BUDGET_BYTES)
            await asyncio.sleep(_ROUND_S)

    def _make_host(self, number: int, count: int) -> Host:
        others = [n for n in range(count) if n != number]
        chosen = self.rng.sample(others, min(SEEDS, len(others)))
        seeds = others[:SEEDS] if self._has_same_seeds else chosen
        settings = GatewaySettings(
            host=f"host-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            callers=Address("127.0.0.1", 1),
            readiness=Address("127.0.0.1", 2),
            peers=address(number),
            directory=Address("127.0.0.1", 4),
            seeds=tuple(map(address, seeds)),
        )
        suspects = Suspects()
        registry = UpstreamRegistry(1.0)
        reachability = Reachability()
        host_count = HostCount(
            self._clock(), is_alone=not seeds, data_centres=len(DATA_CENTRES)
        )
        limits = NamedLimits()
        rng = random.Random(self.rng.random())
        partitions = PartitionDetector(
            registry,
            reachability,
            cast(Prober, None),
            self._log,
            rng,
            self._clock,
        )
        neighbours = Neighbours(
            settings,
            SharedState(
                Loads(),
                Demand(),
                CachedParts(),
                Forecasts(),
                Speeds(),
                LaneShares(1),
                suspects,
                host_count,
                limits,
                CustomerShares(host_count),
            ),
            RoutingState(registry),
            partitions,
            RevisionGossip(ReadRevisions, lambda _: None),
            self._read_parts,
            Metrics(),
            self._log,
            rng,
            self._clock,
        )
        neighbours._socket.connection_made(
            cast(asyncio.BaseTransport, _Transport(self, address(number)))
        )
        return Host(
            suspects,
            neighbours,
            host_count,
            limits,
            registry,
            reachability,
            partitions,
        )
