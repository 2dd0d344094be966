"""Stores the advisory signals that hosts of a data centre gossip."""

from hollyknot_coordination.signals._aged_table import AgedTable, AgedValue
from hollyknot_coordination.signals._store import (
    HEALTHY_MARGIN_S,
    PRESSURE_TTL_S,
    SIGN_TTL_S,
    SUSPECT_TTL_S,
    SignalStore,
)

__all__ = [
    "HEALTHY_MARGIN_S",
    "PRESSURE_TTL_S",
    "SIGN_TTL_S",
    "SUSPECT_TTL_S",
    "AgedTable",
    "AgedValue",
    "SignalStore",
]
