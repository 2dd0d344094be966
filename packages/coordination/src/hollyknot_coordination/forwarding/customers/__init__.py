"""Shares what little room a service has between its customers."""

from hollyknot_coordination.forwarding.customers._customer_shares import (
    CustomerShares,
    OfferedRequest,
)
from hollyknot_coordination.forwarding.customers._fair_refusals import (
    FairRefusals,
    fair_refusals,
)
from hollyknot_coordination.forwarding.customers._offered_work import (
    OfferedWork,
)

__all__ = [
    "CustomerShares",
    "FairRefusals",
    "OfferedRequest",
    "OfferedWork",
    "fair_refusals",
]
