"""Typed data of a gateway host, which forwards HTTP calls by routes."""

from hollyknot_state.routes._calls import (
    AnswerTraits,
    CallTraits,
    Dispatch,
    NoLimit,
    NoRest,
    PromptPart,
    RunCopy,
)
from hollyknot_state.routes._evacuation import Evacuation
from hollyknot_state.routes._gateway_settings import (
    Bounds,
    GatewaySettings,
    parse_gateway_settings,
)
from hollyknot_state.routes._relayed import RelayedHeader, RelayedRequest
from hollyknot_state.routes._table import (
    CallerLimits,
    ColdStart,
    Engine,
    KeyOwner,
    NoKeys,
    RequiredKeys,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
)
from hollyknot_state.routes._upstreams import UpstreamEntry

Published = RouteTable | Evacuation
"""Documents that operators publish, each under its own name."""

__all__ = [
    "AnswerTraits",
    "Bounds",
    "CallTraits",
    "CallerLimits",
    "ColdStart",
    "Dispatch",
    "Engine",
    "Evacuation",
    "GatewaySettings",
    "KeyOwner",
    "NoKeys",
    "NoLimit",
    "NoRest",
    "PromptPart",
    "Published",
    "RelayedHeader",
    "RelayedRequest",
    "RequiredKeys",
    "Route",
    "RouteKind",
    "RouteTable",
    "RunCopy",
    "Service",
    "Share",
    "UpstreamEntry",
    "parse_gateway_settings",
]
