"""Records a trace span for each hop and passes on the W3C `traceparent`.

Without a trace file no span is recorded, but the caller's `traceparent` is
still passed on, so that other systems can join the spans before and after
this host into one trace.
"""

import contextlib
import json
from collections.abc import Iterator, Sequence
from typing import TextIO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_PROPAGATOR = TraceContextTextMapPropagator()
_HEADER = "traceparent"


class _JsonLinesExporter(SpanExporter):
    """Writes each span as a JSON object on a line of its own."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self._stream.write(json.dumps(_as_record(span)) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._stream.close()


def _as_record(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{parent.span_id:016x}" if parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
        "resource": dict(span.resource.attributes),
    }


class Tracing:
    """Records the spans of a host; close it when the host stops."""

    def __init__(self, host: str, data_centre: str, trace_file: str) -> None:
        """Creates a tracer and opens its trace file.

        Args:
            host: The name of this host, written on each span.
            data_centre: The data centre of this host, written on each span.
            trace_file: The file to which spans are appended; empty for none.

        Raises:
            OSError: The trace file cannot be opened for writing.
        """
        self._provider: TracerProvider | None = None
        self._tracer: trace.Tracer = trace.NoOpTracer()
        if not trace_file:
            return
        stream = open(trace_file, "a", encoding="utf-8")  # noqa: SIM115
        self._provider = TracerProvider(
            resource=Resource(
                {"host.name": host, "hollyknot.data_centre": data_centre}
            )
        )
        self._provider.add_span_processor(
            BatchSpanProcessor(_JsonLinesExporter(stream))
        )
        self._tracer = self._provider.get_tracer("hollyknot")

    @property
    def is_recording(self) -> bool:
        """Whether spans are written to a trace file."""
        return self._provider is not None

    def span(
        self, name: str, parent: str, **attributes: str | int | float
    ) -> contextlib.AbstractContextManager[str]:
        """Records one hop as a span.

        Args:
            name: The name of the hop.
            parent: The `traceparent` of the previous hop; may be empty.
            **attributes: The attributes of the span.

        Returns:
            A context manager that spans the hop and yields the `traceparent`
            for the next hop.
        """
        if self._provider is None:
            return contextlib.nullcontext(parent)
        return self._recorded_span(name, parent, attributes)

    @contextlib.contextmanager
    def _recorded_span(
        self, name: str, parent: str, attributes: dict[str, str | int | float]
    ) -> Iterator[str]:
        context = _PROPAGATOR.extract({_HEADER: parent})
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ):
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier)
            yield carrier.get(_HEADER, parent)

    def current_traceparent(self) -> str:
        """Returns the `traceparent` of the active span; empty for none."""
        if self._provider is None:
            return ""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        return carrier.get(_HEADER, "")

    def close(self) -> None:
        """Writes the buffered spans and closes the trace file."""
        if self._provider is not None:
            self._provider.shutdown()
