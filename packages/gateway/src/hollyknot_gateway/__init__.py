"""A gateway host that forwards HTTP requests to upstreams by a route table.

Platforms plug in their interfaces through `Ports`.
"""

from hollyknot_gateway._bounded_json import parse_json
from hollyknot_gateway._fetch import Document, FetchFailure, fetch
from hollyknot_gateway._host import Host, Ports
from hollyknot_gateway._neighbours import REPORT_INTERVAL_S
from hollyknot_gateway._pool import Pool
from hollyknot_gateway._ports import (
    Changes,
    Compacted,
    Dialect,
    Fields,
    Headers,
    Listing,
    Source,
    SourceFailure,
    Unreadable,
)
from hollyknot_gateway._report_sender import COMPLETE_REPORT_EVERY
from hollyknot_gateway._reports import encode_message, encode_report
from hollyknot_gateway._run import run

__all__ = [
    "COMPLETE_REPORT_EVERY",
    "REPORT_INTERVAL_S",
    "Changes",
    "Compacted",
    "Dialect",
    "Document",
    "FetchFailure",
    "Fields",
    "Headers",
    "Host",
    "Listing",
    "Pool",
    "Ports",
    "Source",
    "SourceFailure",
    "Unreadable",
    "encode_message",
    "encode_report",
    "fetch",
    "parse_json",
    "run",
]
