"""Decides which documents this host reads from the platform."""

import random

from hollyknot_coordination._peer_commands import (
    PeerCommand,
    StartPolling,
    StopPolling,
)
from hollyknot_state import DocumentKind

READ_PAUSE_S = 3.0
"""Mean seconds between two reads of a document by a reader.

Readers read at random times and notify each other at once, so that most reads
ask for a version above the newest one and return no body. A watch that waits at
the platform would send the full body to every reader at each change.
"""

START_JITTER_S = 2.0
"""Maximum seconds for which a new host waits before its first read.

The wait is random, so that a fleet that starts all at once does not read from
the platform all at once.
"""

PEER_WAIT_S = 4.0
"""Seconds for which a new host with a host list waits for documents of peers.

After them it reads from the platform, even if it is not a reader.
"""


class Polling:
    """Starts and stops the reads of each document."""

    def __init__(self, rng: random.Random, now_s: float) -> None:
        self._start_s = now_s + rng.uniform(0, START_JITTER_S)
        self._host_list_since_s = float("inf")
        self._polled: set[DocumentKind] = set()

    def on_tick(
        self,
        held: frozenset[DocumentKind],
        is_reader: bool,
        now_s: float,
    ) -> list[PeerCommand]:
        """Returns the commands that start or stop reads.

        Args:
            held: Documents of which a version is in force.
            is_reader: Whether this host is a reader of its data centre.
            now_s: Current time in monotonic seconds.
        """
        if DocumentKind.HOSTS in held:
            self._host_list_since_s = min(self._host_list_since_s, now_s)
        commands: list[PeerCommand] = []
        for document in DocumentKind:
            wanted = is_reader or document not in held
            wanted = wanted and now_s >= self._earliest_read_s(
                document, is_reader
            )
            if wanted and document not in self._polled:
                self._polled.add(document)
                commands.append(StartPolling(document, READ_PAUSE_S))
            if not wanted and document in self._polled:
                self._polled.discard(document)
                commands.append(StopPolling(document))
        return commands

    def _earliest_read_s(
        self, document: DocumentKind, is_reader: bool
    ) -> float:
        """Returns the earliest time at which a document may be read.

        The host list is read first, because without it there are no peers to
        fetch other documents from.
        """
        if document is DocumentKind.HOSTS:
            return self._start_s
        if is_reader:
            return max(self._start_s, self._host_list_since_s)
        return self._host_list_since_s + PEER_WAIT_S
