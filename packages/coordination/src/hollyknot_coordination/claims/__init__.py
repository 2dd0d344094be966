"""Claims ensure that a non-idempotent request runs at most once.

Before a host (the coordinator) dispatches a request, it asks the holders of
the request's key for grants. A majority grants a key to at most one attempt
ever. This package does no I/O: it takes events and returns commands.
"""

from hollyknot_coordination.claims._commands import (
    ClaimCommand,
    ClaimGranted,
    ClaimRefused,
    Instant,
    SendClaim,
)
from hollyknot_coordination.claims._coordinator import Coordinator
from hollyknot_coordination.claims._holder import Holder
from hollyknot_coordination.claims._keys import (
    SLOTS,
    KeyFault,
    claim_key,
    key_time_ms,
    slot_of,
)
from hollyknot_coordination.claims._options import ClaimOptions
from hollyknot_coordination.claims._placement import (
    GROUP_SIZE,
    Placement,
    holders,
    home,
    make_placement,
)

__all__ = [
    "GROUP_SIZE",
    "SLOTS",
    "ClaimCommand",
    "ClaimGranted",
    "ClaimOptions",
    "ClaimRefused",
    "Coordinator",
    "Holder",
    "Instant",
    "KeyFault",
    "Placement",
    "SendClaim",
    "claim_key",
    "holders",
    "home",
    "key_time_ms",
    "make_placement",
    "slot_of",
]
