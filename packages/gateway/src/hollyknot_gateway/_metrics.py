"""Counters, gauges and latency histograms of a host, served to Prometheus.

Metric names end in a base unit, or in `_total` for counters. Label values are
routes, services and fixed words, never customers or upstreams, so that the size
of a scrape does not grow with those.
"""

import bisect
from collections import Counter
from collections.abc import Callable, Mapping

import attrs

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds of histogram buckets in seconds, from the latency that a host
adds to the longest request timeouts."""

_SHORT_BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1)

Labels = tuple[tuple[str, str], ...]


@attrs.define
class _Histogram:
    """Counts of values by bucket, and the sum of the values."""

    bounds: tuple[float, ...]
    counts: list[int]
    total: float = 0.0

    def add(self, value: float) -> None:
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class Metrics:
    """All metrics of one process, rendered only when they are scraped."""

    def __init__(self) -> None:
        """Creates an empty set of metrics."""
        self._counts: Counter[tuple[str, Labels]] = Counter()
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        self._counts[name, tuple(labels.items())] += 1

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Adds a duration to a histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            is_short = name in (ADDED_SECONDS, ASKED_SECONDS)
            bounds = _SHORT_BUCKETS_S if is_short else BUCKETS_S
            histogram = _Histogram(bounds, [0] * (len(bounds) + 1))
            self._histograms[key] = histogram
        histogram.add(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read at each scrape."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format.

        The library is imported here, so that a host that is never scraped does
        not keep it in memory.
        """
        from aioprometheus.collectors import (  # noqa: PLC0415
            Counter as CounterCollector,
        )
        from aioprometheus.collectors import (  # noqa: PLC0415
            Gauge,
            Registry,
        )
        from aioprometheus.renderer import render  # noqa: PLC0415

        registry = Registry()
        collectors: dict[str, CounterCollector] = {}
        for (name, labels), value in self._values().items():
            if name not in collectors:
                # Without a registry the collector would be registered with the
                # default one, which refuses it at the next scrape.
                collectors[name] = CounterCollector(
                    name, _HELP.get(name, name), registry=registry
                )
            collectors[name].set(dict(labels), value)
        for name, read in self._gauges.items():
            gauge = Gauge(name, _HELP.get(name, name), registry=registry)
            gauge.set({}, read())
        content, _ = render(registry, [])
        return bytes(content)

    def _values(self) -> Mapping[tuple[str, Labels], float]:
        """Returns counters, and histograms as counters by bucket."""
        values: dict[tuple[str, Labels], float] = dict(self._counts)
        for (name, labels), histogram in self._histograms.items():
            below = 0
            for bound, count in zip(
                (*histogram.bounds, float("inf")),
                histogram.counts,
                strict=True,
            ):
                below += count
                edge = "+Inf" if bound == float("inf") else f"{bound:g}"
                values[f"{name}_bucket", (*labels, ("le", edge))] = below
            values[f"{name}_count", labels] = below
            values[f"{name}_sum", labels] = histogram.total
        return values


REQUESTS = "hollyknot_requests_total"
TRIES = "hollyknot_tries_total"
FIRST_EVENT_SECONDS = "hollyknot_first_event_seconds"
LONGEST_GAP_SECONDS = "hollyknot_longest_gap_seconds"
ANSWER_SECONDS = "hollyknot_answer_seconds"
ADDED_SECONDS = "hollyknot_added_seconds"
ASKED_SECONDS = "hollyknot_asked_seconds"
PERMITS = "hollyknot_permits_total"
RETRIES = "hollyknot_retries_total"
TRIALS = "hollyknot_trials_total"
SHED = "hollyknot_shed_total"
LATE = "hollyknot_late_requests_total"
UNREADABLE = "hollyknot_unreadable_items_total"
RELAYED = "hollyknot_relayed_total"
RELAYS_TAKEN = "hollyknot_relays_taken_total"
OFFERS_WITHHELD = "hollyknot_offers_withheld_total"
FLOODS = "hollyknot_floods_total"
GARBLED = "hollyknot_garbled_streams_total"
TASK_FAILURES = "hollyknot_task_failures_total"
TAKE_UPS = "hollyknot_take_ups_total"
CACHE_READS = "hollyknot_cache_reads_total"
COPY_TRIES = "hollyknot_copy_tries_total"

_HELP = {
    REQUESTS: "Requests by route, status and reason of their end.",
    UNREADABLE: "Items of the directory that could not be read, by source.",
    LATE: "Complete answers after a target, by route and first cause.",
    RETRIES: "Retries by service, sent or denied by the budget.",
    TRIALS: "Trials of what may crash upstreams, by service and outcome.",
    SHED: "Requests shed by load, by whether the customer is above its share.",
    PERMITS: "Permits asked for upstreams with a rate limit, by outcome.",
    RELAYED: "Tries relayed through peers, by service, outcome and reason.",
    RELAYS_TAKEN: "Tries made for peers, by service and outcome.",
    OFFERS_WITHHELD: "Offers not made, as peers accept few, by service.",
    FLOODS: "Tries that ended as the upstream sent no end, by service.",
    GARBLED: "Tries that ended at bytes that are no event, by service.",
    TASK_FAILURES: "Ends of tasks that should run all the time, by task.",
    TAKE_UPS: "Streams taken up, by the ground of their version.",
    CACHE_READS: "Upstreams asked which parts of prompts they hold.",
    COPY_TRIES: "Tries to go on with a stream from the copy of its run.",
    TRIES: "Tries at upstreams by service, outcome and reason.",
}
