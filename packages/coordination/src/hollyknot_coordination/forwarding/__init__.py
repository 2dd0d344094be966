"""Decisions of a host that forwards calls by routes, apart from any I/O."""

from hollyknot_coordination.forwarding._cached_parts import (
    CachedParts,
    runs_of,
)
from hollyknot_coordination.forwarding._cold_starts import ColdStarts
from hollyknot_coordination.forwarding._events import EventCutter
from hollyknot_coordination.forwarding._fleet import Ended, Fleet
from hollyknot_coordination.forwarding._fleet_size import FleetSize
from hollyknot_coordination.forwarding._forecasts import Forecasts
from hollyknot_coordination.forwarding._health import Health
from hollyknot_coordination.forwarding._inquiries import (
    ANSWER_TIMEOUT_S,
    MIN_INTERVAL_TO_NOTE_S,
    MIN_INTERVAL_TO_QUERY_S,
    Inquiries,
    Inquiry,
)
from hollyknot_coordination.forwarding._lanes import Demand, Lanes, Tolerance
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
    NoPlace,
    Placement,
    Work,
)
from hollyknot_coordination.forwarding._reachability import Reachability
from hollyknot_coordination.forwarding._report_rate import ReportRate
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
    COME_BACK_S,
    Admission,
    Shed,
    Shedding,
    TooSlow,
)
from hollyknot_coordination.forwarding._steps import (
    Again,
    GiveUp,
    TryState,
    give_up,
    next_step,
)
from hollyknot_coordination.forwarding._tracked_loads import (
    RENEW_S,
    TrackedLoads,
)
from hollyknot_coordination.forwarding._trackers import Tracker, Trackers

__all__ = [
    "ANSWER_TIMEOUT_S",
    "MIN_INTERVAL_TO_QUERY_S",
    "MIN_INTERVAL_TO_NOTE_S",
    "Inquiries",
    "Inquiry",
    "COME_BACK_S",
    "RENEW_S",
    "TrackedLoads",
    "Tracker",
    "Trackers",
    "runs_of",
    "Admission",
    "Again",
    "CachedParts",
    "Choice",
    "ColdStarts",
    "Demand",
    "Ended",
    "EventCutter",
    "Fleet",
    "FleetSize",
    "Forecasts",
    "GiveUp",
    "Health",
    "Lanes",
    "Load",
    "Loads",
    "NamedLimits",
    "NoOwner",
    "NoPlace",
    "NoRoute",
    "PERMIT_ANSWER_TIMEOUT_S",
    "Peers",
    "PermitRequest",
    "Permits",
    "Placement",
    "Reachability",
    "Queries",
    "ReportRate",
    "RetryAccount",
    "RetryBudget",
    "RouteIndex",
    "Shed",
    "Shedding",
    "TooSlow",
    "Tolerance",
    "TryState",
    "Work",
    "give_up",
    "next_step",
]
