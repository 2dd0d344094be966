"""Builds what watches whether a host reaches its upstreams."""

import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.forwarding import (
    ColdStarts,
    Reachability,
    UpstreamRegistry,
)
from hollyknot_gateway._cut_off_services import CutOffServices
from hollyknot_gateway._log import Log
from hollyknot_gateway._loss_classifier import PartitionSigns
from hollyknot_gateway._partition_detector import PartitionDetector
from hollyknot_gateway._pool import ConnectFailure, Pool
from hollyknot_gateway._prober import Prober
from hollyknot_gateway._silent_upstreams import SilentUpstreams
from hollyknot_gateway._stalls import Stalls
from hollyknot_state.routes import UpstreamEntry


@attrs.frozen
class UpstreamWatch:
    """The components that observe upstreams by their connections.

    Attributes:
        reachability: Records which upstreams can't be connected to.
        stalls: The tries in flight that are ended if an upstream is silent.
        prober: Checks by new connections whether upstreams can be reached.
        partitions: Detects data centres that are behind a partition.
        cut_off_services: Services of which no upstream is reached.
        partition_signs: What tells a crash from a partition.
    """

    reachability: Reachability
    stalls: Stalls
    prober: Prober
    partitions: PartitionDetector
    cut_off_services: CutOffServices
    partition_signs: PartitionSigns


def watch_upstreams(
    pool: Pool,
    registry: UpstreamRegistry,
    cold_starts: ColdStarts,
    log: Log,
    rng: random.Random,
    clock: Callable[[], float],
) -> UpstreamWatch:
    """Builds the components, which tell each other what they observe.

    Args:
        pool: Opens connections and keeps those that succeed.
        registry: Known upstreams.
        cold_starts: Told which upstreams may have restarted.
        log: Logs what is observed.
        rng: Chooses the upstreams to probe.
        clock: The loop's monotonic clock, in seconds.
    """

    def on_unreachable(entry: UpstreamEntry, failure: ConnectFailure) -> None:
        """Ends silent tries at an upstream and probes others beside it."""
        if failure is ConnectFailure.TIMEOUT:
            silent_upstreams.on_timeout(entry)
        partitions.on_upstream_unreachable(entry, failure)

    def on_reachable(entry: UpstreamEntry) -> None:
        """Treats an upstream as cold that may have restarted under its name.

        Where entries don't say when a run began, each run has a new name, so
        an upstream that is reachable again has not restarted.
        """
        if entry.born_ms:
            cold_starts.suspect(entry, clock())

    reachability = Reachability()
    stalls = Stalls(clock)
    prober = Prober(
        pool, reachability, on_unreachable, on_reachable, log, clock
    )
    silent_upstreams = SilentUpstreams(
        stalls, registry, reachability, prober, rng, clock
    )
    partitions = PartitionDetector(
        registry, reachability, prober, log, rng, clock
    )
    return UpstreamWatch(
        reachability,
        stalls,
        prober,
        partitions,
        CutOffServices(registry, reachability, log, clock),
        PartitionSigns(
            partitions.sign,
            partitions.others_to_probe,
            lambda entry: registry.has_successor(entry, clock()),
        ),
    )
