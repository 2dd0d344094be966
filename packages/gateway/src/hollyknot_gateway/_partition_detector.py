"""Detects that a data centre may be behind a network partition.

Two signs show it before requests time out there: no report arrives from its
hosts, and its upstreams become unreachable one after the other. Either may have
another cause, so a few upstreams are probed.
"""

import random
from collections.abc import Callable, Sequence

from hollyknot_coordination.forwarding import Reachability, UpstreamRegistry
from hollyknot_gateway._log import Log
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._prober import Prober
from hollyknot_state.routes import UpstreamEntry

PARTITION_DETECTION_S = 1.5
"""Seconds within which the upstreams behind one network partition are found to
be unreachable, one after the other."""

SILENT = "silent"
"""The sign of a partition that no report arrives from the data centre."""

MAX_OTHERS_PROBED = 3
"""Most upstreams that are probed to tell a partition from a crash."""


class PartitionDetector:
    """Collects the signs of partitions at one host."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        reachability: Reachability,
        prober: Prober,
        log: Log,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Builds a detector that has seen no sign.

        Args:
            registry: Known upstreams.
            reachability: Records which upstreams can't be connected to.
            prober: Probes upstreams of data centres that may be partitioned.
            log: Logs silent data centres.
            rng: Chooses the upstreams to probe.
            clock: The loop's monotonic clock, in seconds.
        """
        self._registry = registry
        self._reachability = reachability
        self._prober = prober
        self._log = log
        self._rng = rng
        self._clock = clock
        self._silent: frozenset[str] = frozenset()

    def set_silent(self, silent: frozenset[str]) -> None:
        """Sets which data centres send no reports.

        One upstream of each that has just fallen silent is probed. It suffices
        to show whether the data centre is partitioned; the others are probed
        only if it is. A silence may be due to chance, and each probe opens a
        connection.
        """
        for data_centre in sorted(silent - self._silent):
            self._log.line("data_centre_silent", silent=data_centre)
            self._probe_one(self._serving_in(data_centre))
        self._silent = silent

    def sign(self, entry: UpstreamEntry) -> str:
        """Returns why a refusing upstream may be behind a partition.

        That is so if its data centre is silent or if another upstream there has
        just become unreachable, which two upstreams that crash in quick
        succession do too. An upstream that has been unreachable for longer
        doesn't count: upstreams may take minutes to start, and until then no
        crash in the same data centre would be attributed to a request.

        Returns:
            `SILENT`, the other upstream, or an empty string for no sign.
        """
        if entry.data_centre in self._silent:
            return SILENT
        since_s = self._clock() - PARTITION_DETECTION_S
        return self._reachability.first_unreachable_since(
            self._others_in_data_centre(entry), since_s
        )

    def others_to_probe(self, entry: UpstreamEntry) -> list[UpstreamEntry]:
        """Returns upstreams that tell a partition from a crash if probed.

        Returns:
            At most `MAX_OTHERS_PROBED` others of the same data centre that are
            not known to be unreachable.
        """
        reachable = self._reachable(self._others_in_data_centre(entry))
        count = min(MAX_OTHERS_PROBED, len(reachable))
        return self._rng.sample(reachable, count)

    def on_upstream_unreachable(
        self, entry: UpstreamEntry, failure: ConnectFailure
    ) -> None:
        """Probes upstreams of a data centre that may be partitioned.

        A refused connection is mostly a crash, so only one other upstream is
        probed; it refuses too if it is the network that refuses. All others are
        probed if the data centre is silent or if a connection hung: in a
        partition, requests would wait for a timeout at each of them in turn.

        Args:
            entry: The upstream that became unreachable.
            failure: Reason why the connection attempt failed.
        """
        others = self._others_in_data_centre(entry)
        is_silent = entry.data_centre in self._silent
        if failure is ConnectFailure.REFUSED and not is_silent:
            self._probe_one(others)
            return
        self._prober.check_all(self._reachable(others))

    def _probe_one(self, entries: Sequence[UpstreamEntry]) -> None:
        reachable = self._reachable(entries)
        if reachable:
            self._prober.check(self._rng.choice(reachable))

    def _reachable(
        self, entries: Sequence[UpstreamEntry]
    ) -> list[UpstreamEntry]:
        """Returns the upstreams that are not known to be unreachable."""
        unreachable = self._reachability.unreachable(entries)
        return [
            entry for entry in entries if entry.incarnation not in unreachable
        ]

    def _others_in_data_centre(
        self, entry: UpstreamEntry
    ) -> list[UpstreamEntry]:
        return [
            other
            for other in self._serving_in(entry.data_centre)
            if other.incarnation != entry.incarnation
        ]

    def _serving_in(self, data_centre: str) -> list[UpstreamEntry]:
        """Returns the upstreams of a data centre that get requests."""
        return [
            entry
            for entry in self._registry.all_serving(self._clock())
            if entry.data_centre == data_centre
        ]
