"""Tracks which hosts of a data centre are alive and which read the platform."""

from hollyknot_coordination.membership._membership import Membership
from hollyknot_coordination.membership._neighbours import (
    choose_neighbours,
    closest_hosts,
)
from hollyknot_coordination.membership._prober import ROUND_S
from hollyknot_coordination.membership._readers import (
    READERS,
    choose_readers,
    rank_hosts,
)
from hollyknot_coordination.membership._table import MemberChange, MemberTable

__all__ = [
    "READERS",
    "ROUND_S",
    "MemberChange",
    "MemberTable",
    "Membership",
    "choose_neighbours",
    "choose_readers",
    "closest_hosts",
    "rank_hosts",
]
