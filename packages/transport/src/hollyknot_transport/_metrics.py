"""Metrics of a host, in the Prometheus text format.

Names follow Prometheus: base units, `_total` for counters. Labels are bounded
by the declarations (classes, pools) and the host's subset of upstreams, never
by customers, so that a scrape's size does not grow with 18,000 customers.
"""

import enum

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

_LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1.1, 2.0, 5.0, 15.0, 60.0, 3600.0]


class Waste(enum.Enum):
    """Kinds of wasted work."""

    DISCARDED = "discarded"
    DUPLICATED = "duplicated"
    LATE = "late"


class Metrics:
    """All metrics of one host, with their registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        counter = self._counter
        self.requests = counter(
            "hollyknot_requests_total", "Requests by class and verdict."
        )
        self.within_target = counter(
            "hollyknot_requests_within_target_total",
            "Complete requests that met their class's target.",
        )
        self.goodput_bytes = counter(
            "hollyknot_goodput_bytes_total",
            "Answer bytes of requests that met their target, by class.",
        )
        self.wasted = counter(
            "hollyknot_wasted_total", "Tries at upstreams wasted, by kind."
        )
        self.tries = counter(
            "hollyknot_upstream_tries_total", "Tries at upstreams, by pool."
        )
        self.relayed_chunks = counter(
            "hollyknot_relayed_chunks_total", "Parts of streams relayed."
        )
        self.queued = self._gauge("hollyknot_queued", "Requests that wait.")
        self.in_flight = self._gauge(
            "hollyknot_in_flight", "Requests at upstreams, by upstream."
        )
        self.limit = self._gauge(
            "hollyknot_concurrency_limit", "The limit, by upstream."
        )
        self.version = self._gauge(
            "hollyknot_document_version", "Versions in force, by document."
        )
        self.first_byte = Histogram(
            "hollyknot_first_byte_seconds",
            "Arrival to the first byte of the answer, by class.",
            buckets=_LATENCY_BUCKETS,
            registry=self._registry,
        )

    @property
    def registry(self) -> Registry:
        """The registry that is rendered."""
        return self._registry

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns the text of a scrape and its headers."""
        content, headers = render(self._registry, [accept or "text/plain"])
        return content, dict(headers)
