"""Chooses an upstream for each request and tracks their health."""

from hollyknot_coordination.routing._messages import (
    Choice,
    NoChoice,
    NoChoiceReason,
    Probe,
    UpstreamState,
    UpstreamView,
)
from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._subset import subset
from hollyknot_coordination.routing._table import UpstreamTable
from hollyknot_coordination.routing._timeouts import (
    CONNECT_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    Timeouts,
    timeouts,
)

__all__ = [
    "CONNECT_TIMEOUT_S",
    "PROBE_TIMEOUT_S",
    "Choice",
    "NoChoice",
    "NoChoiceReason",
    "Probe",
    "RoutingOptions",
    "Timeouts",
    "UpstreamState",
    "UpstreamTable",
    "UpstreamView",
    "subset",
    "timeouts",
]
