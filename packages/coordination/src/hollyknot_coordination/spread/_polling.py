"""Which documents this host reads from the platform."""

import random

from hollyknot_coordination._peer_commands import (
    PeerCommand,
    StartPolling,
    StopPolling,
)
from hollyknot_state import DocumentKind

READ_PAUSE_S = 3.0
"""Mean seconds between a reader's reads of one document.

Readers read at random times and tell each other at once, so that most ask
after the version that is newest already and get no body. A watch that waits at
the platform would bring the whole body to each reader at each change.
"""

START_JITTER_S = 2.0
"""A new host waits up to this long, so that a fleet that starts at one moment
does not ask the platform at one moment."""

PEER_WAIT_S = 4.0
"""Seconds for which a new host that has the host list waits for its peers."""


class Polling:
    """Starts and stops the reading of each document."""

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
        """Starts or stops reading.

        Args:
            held: Documents of which a version is in force.
            is_reader: Whether this host is a reader of its data centre.
            now_s: Monotonic seconds.
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
        """Returns from when on a document may be read.

        The host list comes first: without it there are no peers to ask.
        """
        if document is DocumentKind.HOSTS:
            return self._start_s
        if is_reader:
            return max(self._start_s, self._host_list_since_s)
        return self._host_list_since_s + PEER_WAIT_S
