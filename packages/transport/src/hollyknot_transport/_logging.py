"""Logs: one line of key=value pairs for each event, on standard error."""

import datetime
import logging
import sys
from collections.abc import Callable
from typing import TextIO

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

Renderer = Callable[[WrappedLogger, str, EventDict], str]

_NEEDS_QUOTES = frozenset(' ="\\\n')
"""Characters for which a value is left to the library's renderer."""


def configure_logging(
    host: str, data_centre: str, stream: TextIO | None = None
) -> None:
    """Sets the process's logs up, once, before anything is logged.

    Args:
        host: On each line.
        data_centre: On each line.
        stream: Where lines go; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.ExceptionRenderer(),
            _line_renderer(host, data_centre),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        # In one write: a line's text and its end are two system calls else,
        # if the stream isn't buffered.
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(layer: str) -> FilteringBoundLogger:
    """Returns a logger whose lines carry the name of a layer."""
    logger: FilteringBoundLogger = structlog.get_logger(layer=layer)
    return logger


def _line_renderer(host: str, data_centre: str) -> Renderer:
    """Returns the processor that makes an event's line.

    One in place of the library's four (level, time, context and logfmt), which
    took most of the time of a line; there is a line for each request.
    """
    library_renderer = structlog.processors.LogfmtRenderer(bool_as_flag=False)
    host_pairs = library_renderer(
        None, "", {"host": host, "data_centre": data_centre}
    )
    utc = datetime.UTC
    now = datetime.datetime.now

    def render(_: WrappedLogger, level: str, event: EventDict) -> str:
        name = _pair(library_renderer, "event", event.pop("event", None))
        stamp = now(utc).replace(tzinfo=None).isoformat()
        pairs = [f"timestamp={stamp}Z level={level} {name}"]
        pairs += [
            _pair(library_renderer, key, value) for key, value in event.items()
        ]
        pairs.append(host_pairs)
        return " ".join(pairs)

    return render


def _pair(
    library_renderer: structlog.processors.LogfmtRenderer,
    key: str,
    value: object,
) -> str:
    if value is True:
        return f"{key}=true"
    if value is False:
        return f"{key}=false"
    if value is None:
        return f"{key}="
    text = str(value)
    if _NEEDS_QUOTES.isdisjoint(text):
        return f"{key}={text}"
    return str(library_renderer(None, "", {key: value}))
