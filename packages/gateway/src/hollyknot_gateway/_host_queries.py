"""Asks seeds for the other hosts while a host has met few of them."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import (
    FIRST_HOSTS,
    KnownHosts,
    ReportRate,
    pack_hosts,
    unpack_hosts,
)
from hollyknot_gateway._reports import HostsMessage, encode_message
from hollyknot_state import Address, HostsNote, HostsQuery

JOINED_S = 15.0
"""Seconds after the start of a host by which it gets reports of its peers."""

ASK_PAUSE_S = 0.5
"""Seconds between two times at which seeds are asked."""

SEEDS_ASKED = 2
"""Seeds that are asked at a time: one may be down, or have started late."""

ANSWER_TIMEOUT_S = 0.1
"""Seconds for which an answer is awaited."""

_HOSTS_PER_NOTE = 128
"""Most hosts in a datagram, at 9 bytes each."""


class HostQueries:
    """Queries of one host for others, and its answers."""

    def __init__(
        self,
        known: KnownHosts,
        seeds: Sequence[Address],
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates an instance that has asked nobody.

        Args:
            known: Receives the hosts that this one is told of.
            seeds: Addresses of other hosts, by the settings.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            rng: Chooses among the seeds.
            clock: The loop's monotonic clock, in seconds.
        """
        self._known = known
        self._seeds = seeds
        self._rate = rate
        self._send = send
        self._rng = rng
        self._clock = clock
        self._started_s = clock()
        self._asked_s = -math.inf
        self._answered = asyncio.Event()

    @property
    def has_joined(self) -> bool:
        """Whether this host has run for long enough to have met its peers."""
        return self._clock() - self._started_s >= JOINED_S

    def ask(self) -> None:
        """Asks seeds, unless this host knows its peers or has just asked."""
        now_s = self._clock()
        if self.has_joined or now_s - self._asked_s < ASK_PAUSE_S:
            return
        self._asked_s = now_s
        self._answered.clear()
        count = min(SEEDS_ASKED, len(self._seeds))
        data = encode_message(HostsQuery(FIRST_HOSTS))
        self._send_to(data, self._rng.sample(self._seeds, count))

    async def learn(self) -> None:
        """Asks seeds and waits for the first answer."""
        if self.has_joined or not self._seeds:
            return
        self.ask()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._answered.wait()
        except TimeoutError:
            return

    def handle(self, message: HostsMessage, sender: Address) -> None:
        """Handles a message of a peer."""
        if isinstance(message, HostsNote):
            self._known.note(unpack_hosts(message), self._clock())
            self._answered.set()
            return
        hosts = self._known.to_tell(message.most)
        for start in range(0, len(hosts), _HOSTS_PER_NOTE):
            note = pack_hosts(hosts[start : start + _HOSTS_PER_NOTE])
            self._send_to(encode_message(note), [sender])

    def _send_to(self, data: bytes, addresses: list[Address]) -> None:
        self._send(data, addresses)
        self._rate.spend_on_queries(len(data) * len(addresses))
