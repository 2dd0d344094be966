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

FIRST_PAUSE_S = 0.5
"""Seconds until seeds are asked again, which double each time."""

SEEDS_ASKED = 3
"""Seeds that are asked: some may be down, or have started late."""

ANSWER_TIMEOUT_S = 0.1
"""Seconds for which answers are awaited."""

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
        self._pause_s = FIRST_PAUSE_S
        self._unanswered = 0
        self._all_answered = asyncio.Event()

    @property
    def has_joined(self) -> bool:
        """Whether this host has run for long enough to have met its peers."""
        return self._clock() - self._started_s >= JOINED_S

    def ask(self) -> None:
        """Asks seeds, unless this host knows its peers or has just asked."""
        now_s = self._clock()
        asked_for_s = now_s - self._asked_s
        if self.has_joined or asked_for_s < self._pause_s or not self._seeds:
            return
        if self._asked_s > -math.inf:
            self._pause_s *= 2
        self._asked_s = now_s
        self._unanswered = min(SEEDS_ASKED, len(self._seeds))
        self._all_answered.clear()
        data = encode_message(HostsQuery(FIRST_HOSTS))
        self._send_to(data, self._rng.sample(self._seeds, self._unanswered))

    async def learn(self) -> None:
        """Asks seeds and waits for their answers."""
        self.ask()
        left_s = self._asked_s + ANSWER_TIMEOUT_S - self._clock()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await self._all_answered.wait()
        except TimeoutError:
            return

    def handle(self, message: HostsMessage, sender: Address) -> None:
        """Handles a message of a peer."""
        if isinstance(message, HostsNote):
            self._known.note(unpack_hosts(message), self._clock())
            self._unanswered -= 1
            if self._unanswered <= 0:
                self._all_answered.set()
            return
        hosts = self._known.to_tell(message.most)
        for start in range(0, len(hosts), _HOSTS_PER_NOTE):
            note = pack_hosts(hosts[start : start + _HOSTS_PER_NOTE])
            self._send_to(encode_message(note), [sender])

    def _send_to(self, data: bytes, addresses: list[Address]) -> None:
        self._send(data, addresses)
        self._rate.spend_on_queries(len(data) * len(addresses))
