"""Traces: a span for each hop, passed on by `traceparent` (W3C).

Without a trace file no span is recorded, but the caller's `traceparent` is
still passed on, so that the ends of a trace can be joined by others.
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
    """Writes each span as one JSON object on a line."""

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
    """The host's tracer; closed with the host."""

    def __init__(self, host: str, data_centre: str, trace_file: str) -> None:
        """Opens the trace file.

        Args:
            host: The host's name, on each span.
            data_centre: Its data centre, on each span.
            trace_file: Where spans go; empty for none.

        Raises:
            OSError: The file can't be written.
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
        """Whether spans are written anywhere."""
        return self._provider is not None

    def span(
        self, name: str, parent: str, **attributes: str | int | float
    ) -> contextlib.AbstractContextManager[str]:
        """Records one hop.

        Args:
            name: The hop.
            parent: The `traceparent` of the hop before; may be empty.
            **attributes: What to note on the span.

        Returns:
            A context manager of the hop; it gives the `traceparent` to hand
            to the next hop.
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
        """Returns the `traceparent` of the span that runs now, if any."""
        if self._provider is None:
            return ""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier)
        return carrier.get(_HEADER, "")

    def close(self) -> None:
        """Writes what is buffered and closes the file."""
        if self._provider is not None:
            self._provider.shutdown()
