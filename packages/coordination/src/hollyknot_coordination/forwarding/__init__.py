"""Decides how a host forwards calls by routes, without doing any I/O."""

from hollyknot_coordination.forwarding._cached_parts import (
    CachedParts,
    runs_of,
)
from hollyknot_coordination.forwarding._cold_starts import ColdStarts
from hollyknot_coordination.forwarding._events import EventFramer
from hollyknot_coordination.forwarding._forecasts import Forecasts
from hollyknot_coordination.forwarding._health import Health
from hollyknot_coordination.forwarding._host_count import HostCount
from hollyknot_coordination.forwarding._inquiries import (
    ANSWER_TIMEOUT_S,
    MIN_INTERVAL_TO_NOTE_S,
    MIN_INTERVAL_TO_QUERY_S,
    Inquiries,
    Inquiry,
)
from hollyknot_coordination.forwarding._lanes import Demand, GapTolerance, Lanes
from hollyknot_coordination.forwarding._loads import Load, Loads
from hollyknot_coordination.forwarding._named_limits import NamedLimits
from hollyknot_coordination.forwarding._peers import Peers
from hollyknot_coordination.forwarding._permits import (
    PERMIT_ANSWER_TIMEOUT_S,
    PermitRequest,
    Permits,
    Queries,
)
from hollyknot_coordination.forwarding._placement import (
    Choice,
    NoUpstream,
    PlacedRequest,
    Placement,
)
from hollyknot_coordination.forwarding._reachability import Reachability
from hollyknot_coordination.forwarding._report_rate import ReportRate
from hollyknot_coordination.forwarding._rests import Rests
from hollyknot_coordination.forwarding._retry_budget import (
    RetryAccount,
    RetryBudget,
)
from hollyknot_coordination.forwarding._route_index import (
    NoOwner,
    NoRoute,
    RouteIndex,
)
from hollyknot_coordination.forwarding._shedding import (
    SHED_RETRY_AFTER_S,
    Admission,
    Shed,
    Shedding,
    TooSlow,
)
from hollyknot_coordination.forwarding._steps import (
    GiveUp,
    TryAnother,
    TryState,
    give_up,
    next_step,
)
from hollyknot_coordination.forwarding._tracked_loads import (
    RENEW_S,
    TrackedLoads,
)
from hollyknot_coordination.forwarding._trackers import Tracker, Trackers
from hollyknot_coordination.forwarding._upstream_registry import (
    Ended,
    UpstreamRegistry,
)

__all__ = [
    "ANSWER_TIMEOUT_S",
    "MIN_INTERVAL_TO_NOTE_S",
    "MIN_INTERVAL_TO_QUERY_S",
    "PERMIT_ANSWER_TIMEOUT_S",
    "RENEW_S",
    "SHED_RETRY_AFTER_S",
    "Admission",
    "CachedParts",
    "Choice",
    "ColdStarts",
    "Demand",
    "Ended",
    "EventFramer",
    "Forecasts",
    "GapTolerance",
    "GiveUp",
    "Health",
    "HostCount",
    "Inquiries",
    "Inquiry",
    "Lanes",
    "Load",
    "Loads",
    "NamedLimits",
    "NoOwner",
    "NoRoute",
    "NoUpstream",
    "Peers",
    "PermitRequest",
    "Permits",
    "PlacedRequest",
    "Placement",
    "Queries",
    "Reachability",
    "ReportRate",
    "Rests",
    "RetryAccount",
    "RetryBudget",
    "RouteIndex",
    "Shed",
    "Shedding",
    "TooSlow",
    "TrackedLoads",
    "Tracker",
    "Trackers",
    "TryAnother",
    "TryState",
    "UpstreamRegistry",
    "give_up",
    "next_step",
    "runs_of",
]
