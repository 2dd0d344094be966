"""Network I/O of a host.

Holds the HTTP servers, the client towards upstreams, the links between hosts,
the platform watches, and the export of traces and metrics.
"""

from hollyknot_transport._answers import Refusal, bad_request
from hollyknot_transport._caller_response import CallerResponse
from hollyknot_transport._caller_server import (
    MAX_CONNECTIONS,
    CallerServer,
    start_server,
)
from hollyknot_transport._calls import (
    MODEL_PATHS,
    SERVICE_PREFIX,
    BodyLimits,
    CallerCall,
    new_request_id,
    read_call,
)
from hollyknot_transport._counted_json import VALUE_BYTES
from hollyknot_transport._exchange import (
    IDLE_CONNECTION_S,
    Result,
    Sink,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from hollyknot_transport._held_body import HeldBody
from hollyknot_transport._links import (
    Handler,
    LinkCredentials,
    LinkError,
    LinkErrorReason,
    LinkLimits,
    NoReply,
    PeerIdentity,
    make_link_credentials,
)
from hollyknot_transport._links_counters import KindTraffic, LinkCounters
from hollyknot_transport._links_pool import LinkPool
from hollyknot_transport._links_server import LinkServer
from hollyknot_transport._logging import configure_logging, get_logger
from hollyknot_transport._metrics import Metrics, Waste
from hollyknot_transport._operators_server import Readiness, operators_server
from hollyknot_transport._platform import (
    PlatformDocument,
    PlatformFailure,
    poll_document,
)
from hollyknot_transport._stall_guard import StallGuard
from hollyknot_transport._tracing import Tracing

__all__ = [
    "IDLE_CONNECTION_S",
    "MAX_CONNECTIONS",
    "MODEL_PATHS",
    "SERVICE_PREFIX",
    "BodyLimits",
    "CallerCall",
    "CallerResponse",
    "CallerServer",
    "Handler",
    "HeldBody",
    "KindTraffic",
    "LinkCounters",
    "LinkCredentials",
    "LinkError",
    "LinkErrorReason",
    "LinkLimits",
    "LinkPool",
    "LinkServer",
    "Metrics",
    "NoReply",
    "PeerIdentity",
    "PlatformDocument",
    "PlatformFailure",
    "Readiness",
    "Refusal",
    "Result",
    "Sink",
    "StallGuard",
    "Tracing",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamRequest",
    "VALUE_BYTES",
    "Waste",
    "bad_request",
    "configure_logging",
    "get_logger",
    "make_link_credentials",
    "new_request_id",
    "operators_server",
    "poll_document",
    "read_call",
    "start_server",
]
