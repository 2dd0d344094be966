"""Bounds what the clients of a process make it hold, in bytes."""

from hollyknot_coordination.holding._byte_budget import (
    SMALL_BYTES,
    ByteBudget,
    Holder,
    default_capacity_bytes,
)

__all__ = ["SMALL_BYTES", "ByteBudget", "Holder", "default_capacity_bytes"]
