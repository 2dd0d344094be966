"""Spreads documents, liveness and signals between hosts by gossip."""

from hollyknot_coordination._peer_commands import (
    Apply,
    PeerCommand,
    Reject,
    ReportConflict,
    ReportLeftOut,
    ReportMember,
    ReportSignals,
    Send,
    StartPolling,
    StopPolling,
)
from hollyknot_coordination.spread._document import (
    Absent,
    Candidate,
    Check,
    DocumentState,
    Invalid,
    Partial,
)
from hollyknot_coordination.spread._peer_state import TICK_S, PeerState
from hollyknot_coordination.spread._polling import READ_PAUSE_S

__all__ = [
    "READ_PAUSE_S",
    "TICK_S",
    "Absent",
    "Apply",
    "Candidate",
    "Check",
    "DocumentState",
    "Invalid",
    "Partial",
    "PeerCommand",
    "PeerState",
    "Reject",
    "ReportConflict",
    "ReportLeftOut",
    "ReportMember",
    "ReportSignals",
    "Send",
    "StartPolling",
    "StopPolling",
]
