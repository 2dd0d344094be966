"""Metrics of a host, rendered in the Prometheus text format.

Names follow the conventions of Prometheus: base units, `_total` for counters.
Label values are the classes and pools of the declarations and the host's
subset of upstreams. No label holds a customer, so that the size of a scrape
does not grow with the number of customers, which reaches 18,000.
"""

import enum

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as HistogramData
from aioprometheus.renderer import render

_LATENCY_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1.1, 2.0, 5.0, 15.0, 60.0, 3600.0]


class Waste(enum.Enum):
    """How the work of a try at an upstream was wasted."""

    DISCARDED = "discarded"
    """The answer was not complete."""

    DUPLICATED = "duplicated"
    """The try may have run, and another try followed it."""

    LATE = "late"
    """The answer was complete but missed the target of its class."""


class BufferedCounter:
    """A labelled counter that is copied to the registry at each scrape.

    The counter of aioprometheus encodes the labels as a JSON key and checks
    their names at each addition, of which a request causes several.
    """

    def __init__(self, counter: Counter, labels: tuple[str, ...]) -> None:
        """Creates a counter without any values.

        Args:
            counter: The counter of the registry that receives the values.
            labels: The names of the labels.
        """
        self._counter = counter
        self._labels = labels
        self._values: dict[tuple[str, ...], int] = {}

    def add(self, *labels: str, amount: int = 1) -> None:
        """Adds to the value for these labels, given in the names' order."""
        self._values[labels] = self._values.get(labels, 0) + amount

    def flush(self) -> None:
        """Copies the values to the counter of the registry."""
        for labels, value in self._values.items():
            named = dict(zip(self._labels, labels, strict=True))
            self._counter.set(named, value)


class Metrics:
    """Holds all metrics of one host and their registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: list[BufferedCounter] = []
        self._first_byte_by_class: dict[str, HistogramData] = {}
        self.requests = self._make_counter(
            "hollyknot_requests_total",
            "Requests by class and verdict.",
            "class",
            "verdict",
            "reason",
        )
        self.within_target = self._make_counter(
            "hollyknot_requests_within_target_total",
            "Complete requests that met their class's target.",
            "class",
        )
        self.goodput_bytes = self._make_counter(
            "hollyknot_goodput_bytes_total",
            "Answer bytes of requests that met their target, by class.",
            "class",
        )
        self.wasted = self._make_counter(
            "hollyknot_wasted_total",
            "Tries at upstreams wasted, by kind.",
            "class",
            "kind",
        )
        self.tries = self._make_counter(
            "hollyknot_upstream_tries_total",
            "Tries at upstreams, by pool.",
            "pool",
        )
        self.relayed_chunks = self._make_counter(
            "hollyknot_relayed_chunks_total",
            "Parts of streams relayed, by pool; counted at a try's end.",
            "pool",
        )
        self.queued = self._make_gauge(
            "hollyknot_queued", "Requests that wait."
        )
        self.in_flight = self._make_gauge(
            "hollyknot_in_flight", "Requests at upstreams, by upstream."
        )
        self.limit = self._make_gauge(
            "hollyknot_concurrency_limit", "The limit, by upstream."
        )
        self.version = self._make_gauge(
            "hollyknot_document_version", "Versions in force, by document."
        )
        self._first_byte_histogram = Histogram(
            "hollyknot_first_byte_seconds",
            "Arrival to the first byte of the answer, by class.",
            buckets=_LATENCY_BUCKETS,
            registry=self._registry,
        )

    def first_byte(self, request_class: str, waited_s: float) -> None:
        """Records the seconds from arrival to the first byte of the answer."""
        data = self._first_byte_by_class.get(request_class)
        if data is None:
            data = HistogramData(*_LATENCY_BUCKETS)
            self._first_byte_histogram.set_value({"class": request_class}, data)
            self._first_byte_by_class[request_class] = data
        data.observe(waited_s)

    def _make_counter(
        self, name: str, doc: str, *labels: str
    ) -> BufferedCounter:
        count = BufferedCounter(
            Counter(name, doc, registry=self._registry), labels
        )
        self._counters.append(count)
        return count

    def _make_gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns the body of a scrape and its HTTP headers.

        Args:
            accept: The `Accept` header of the scrape; may be empty.
        """
        for count in self._counters:
            count.flush()
        content, headers = render(self._registry, [accept or "text/plain"])
        return content, dict(headers)
