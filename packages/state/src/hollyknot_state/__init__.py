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
from hollyknot_state._gossip_messages import (
    DocumentDelta,
    DocumentKind,
    DocumentPage,
    DocumentRecord,
    DocumentVersion,
    FetchDocument,
    Gossip,
    IndirectProbe,
    MemberState,
    MemberUpdate,
    PeerMessage,
    Probe,
    ProbeAck,
)
from hollyknot_state._hosts import EntryState, HostList, HostListEntry, Role
from hollyknot_state._parse import (
    dump_declarations,
    parse_declarations,
    parse_host_list,
    parse_settings,
)
from hollyknot_state._paths import PathFault, normalise_path
from hollyknot_state._problem import CheckError, Problem, Problems
from hollyknot_state._references import check_references
from hollyknot_state._request import Nature, RequestInfo, TargetKind
from hollyknot_state._settings import Address, Platform, Settings, Tls
from hollyknot_state._signals import (
    LoadReport,
    SignKind,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)
from hollyknot_state._verdict import Outcome, Reason, Verdict

__all__ = [
    "TIERS",
    "Address",
    "CallPattern",
    "CheckError",
    "ClassDeclaration",
    "CustomerDeclaration",
    "Declarations",
    "DocumentDelta",
    "DocumentKind",
    "DocumentPage",
    "DocumentRecord",
    "DocumentVersion",
    "EntryState",
    "FetchDocument",
    "Gossip",
    "HostList",
    "HostListEntry",
    "IndirectProbe",
    "LoadReport",
    "MemberState",
    "MemberUpdate",
    "ModelDeclaration",
    "Nature",
    "Outcome",
    "PathFault",
    "PeerMessage",
    "Platform",
    "Probe",
    "ProbeAck",
    "Problem",
    "Problems",
    "Reason",
    "RequestInfo",
    "Role",
    "ServiceDeclaration",
    "Settings",
    "SignKind",
    "SuspectRecord",
    "Target",
    "TargetKind",
    "TierPressure",
    "Tls",
    "UpstreamSign",
    "Verdict",
    "check_references",
    "dump_declarations",
    "normalise_path",
    "parse_declarations",
    "parse_host_list",
    "parse_settings",
]
