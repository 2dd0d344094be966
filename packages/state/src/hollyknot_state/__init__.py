"""Typed, checked data shared by every layer of hollyknot.

This front re-exports the public names; the work is in the underscore modules.
"""

from hollyknot_state._declarations import (
    TIERS,
    CallPattern,
    ClassDeclaration,
    CustomerDeclaration,
    Declarations,
    ModelDeclaration,
    ServiceDeclaration,
    Target,
)
from hollyknot_state._hosts import EntryState, HostList, HostListEntry, Role
from hollyknot_state._request import Nature, RequestInfo, TargetKind
from hollyknot_state._settings import Address, Platform, Settings, Tls
from hollyknot_state._verdict import Outcome, Reason, Verdict

__all__ = [
    "TIERS",
    "Address",
    "CallPattern",
    "ClassDeclaration",
    "CustomerDeclaration",
    "Declarations",
    "EntryState",
    "HostList",
    "HostListEntry",
    "ModelDeclaration",
    "Nature",
    "Outcome",
    "Platform",
    "Reason",
    "RequestInfo",
    "Role",
    "ServiceDeclaration",
    "Settings",
    "Target",
    "TargetKind",
    "Tls",
    "Verdict",
]
