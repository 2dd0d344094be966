"""Serves the state of a host as gauges."""

from collections.abc import Callable, Collection

import attrs

from hollyknot_coordination.forwarding import HostCount, NamedLimits
from hollyknot_coordination.holding import ByteBudget
from hollyknot_gateway._caller_server import CallerServer
from hollyknot_gateway._directory import Directory
from hollyknot_gateway._log import Log
from hollyknot_gateway._metrics import Metrics
from hollyknot_gateway._neighbours import Neighbours
from hollyknot_gateway._placement_log import PlacementLog
from hollyknot_gateway._pool import Pool


@attrs.frozen
class GaugeSources:
    """Where the gauges of a host are read.

    Attributes:
        is_ready: Returns whether the balancer may send callers to the host.
        failing_tasks: Returns the tasks that fail again and again.
        table_version: Returns the version of the routes in force; 0 for none.
        upstreams: Returns the incarnations that get requests.
        resting: Returns the incarnations that asked for rest.
        directory: What was read from the directory.
        named_limits: Rate limits of upstreams.
        placement_log: Lane sizes and slow upstreams.
        neighbours: Other hosts.
        size: Number of hosts.
        callers: Connections and requests of callers.
        relays_in_work: Returns the tries made for peers that have not ended.
        cut_off: Returns the services of which no upstream is reached.
        pool: Connections to upstreams.
        log: Lines that wait to be written.
        held: What callers make the host hold.
    """

    is_ready: Callable[[], bool]
    failing_tasks: Callable[[], Collection[str]]
    table_version: Callable[[], int]
    upstreams: Callable[[], Collection[str]]
    resting: Callable[[], Collection[str]]
    directory: Directory
    named_limits: NamedLimits
    placement_log: PlacementLog
    neighbours: Neighbours
    size: HostCount
    callers: CallerServer
    relays_in_work: Callable[[], int]
    cut_off: Callable[[], Collection[str]]
    pool: Pool
    log: Log
    held: ByteBudget


def add_gauges(metrics: Metrics, sources: GaugeSources) -> None:
    """Adds the gauges of a host to its metrics."""
    readers: dict[str, Callable[[], float]] = {
        "ready": sources.is_ready,
        "tasks_failing": lambda: len(sources.failing_tasks()),
        "routes_version": sources.table_version,
        "upstreams_usable": lambda: len(sources.upstreams()),
        "directory_era": lambda: sources.directory.read.upstreams_era,
        "directory_revision": lambda: sources.directory.read.upstreams,
        "upstreams_limited": lambda: sources.named_limits.count,
        "upstreams_resting": lambda: len(sources.resting()),
        "upstreams_slow": lambda: sources.placement_log.slow_count,
        "lanes_sized_here": lambda: sources.placement_log.own_sizes,
        "peers_heard": lambda: sources.neighbours.count,
        "news_dropped": lambda: sources.neighbours.news_dropped,
        "streams_forgotten": lambda: sources.neighbours.streams_forgotten,
        "hosts_counted": lambda: sources.size.hosts,
        "relays_in_work": sources.relays_in_work,
        "services_cut_off": lambda: len(sources.cut_off()),
        "requests_in_work": lambda: sources.callers.in_work,
        "caller_connections": lambda: sources.callers.connections,
        "caller_held_bytes": lambda: sources.held.held_bytes,
        "caller_held_bytes_limit": lambda: sources.held.capacity_bytes,
        "upstream_connections_opened": lambda: sources.pool.opened,
        "log_lines_waiting": lambda: sources.log.waiting,
        "log_lines_dropped": lambda: sources.log.dropped,
    }
    for name, reader in readers.items():
        metrics.gauge(f"hollyknot_{name}", _as_float(reader))


def _as_float(reader: Callable[[], float]) -> Callable[[], float]:
    return lambda: float(reader())
