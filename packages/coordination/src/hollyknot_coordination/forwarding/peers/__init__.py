"""Tracks the other hosts and decides what hosts tell each other."""

from hollyknot_coordination.forwarding.peers._evidence_queries import (
    EvidenceQueries,
)
from hollyknot_coordination.forwarding.peers._host_count import HostCount
from hollyknot_coordination.forwarding.peers._inquiries import (
    ANSWER_TIMEOUT_S,
    BRIEF_RESERVE,
    MIN_INTERVAL_TO_NOTE_S,
    MIN_INTERVAL_TO_QUERY_S,
    PLAIN_RESERVE,
    SIZER_RESERVE,
    Inquiries,
    Inquiry,
)
from hollyknot_coordination.forwarding.peers._known_hosts import (
    FIRST_HOSTS,
    KnownHosts,
    pack_hosts,
    unpack_hosts,
)
from hollyknot_coordination.forwarding.peers._peers import Peers
from hollyknot_coordination.forwarding.peers._relays import Relays
from hollyknot_coordination.forwarding.peers._rendezvous import Rendezvous
from hollyknot_coordination.forwarding.peers._report_rate import ReportRate
from hollyknot_coordination.forwarding.peers._tracked_loads import (
    RENEW_S,
    TrackedLoads,
)
from hollyknot_coordination.forwarding.peers._trackers import Tracker, Trackers

__all__ = [
    "ANSWER_TIMEOUT_S",
    "BRIEF_RESERVE",
    "EvidenceQueries",
    "FIRST_HOSTS",
    "HostCount",
    "Inquiries",
    "Inquiry",
    "KnownHosts",
    "MIN_INTERVAL_TO_NOTE_S",
    "MIN_INTERVAL_TO_QUERY_S",
    "PLAIN_RESERVE",
    "SIZER_RESERVE",
    "Peers",
    "RENEW_S",
    "Relays",
    "Rendezvous",
    "ReportRate",
    "TrackedLoads",
    "Tracker",
    "Trackers",
    "pack_hosts",
    "unpack_hosts",
]
