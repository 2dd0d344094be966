"""Logs: one line of key=value pairs for each event, on standard error."""

import logging
import sys
from typing import TextIO

import structlog
from structlog.typing import FilteringBoundLogger


def configure_logging(
    host: str, data_centre: str, stream: TextIO | None = None
) -> None:
    """Sets the process's logs up, once, before anything is logged.

    Args:
        host: Bound to each line.
        data_centre: Bound to each line.
        stream: Where lines go; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host, data_centre=data_centre)


def get_logger(layer: str) -> FilteringBoundLogger:
    """Returns a logger whose lines carry the name of a layer."""
    logger: FilteringBoundLogger = structlog.get_logger(layer=layer)
    return logger
