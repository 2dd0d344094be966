"""Finds requests that crash the upstreams that run them and refuses them."""

from hollyknot_coordination.suspects._messages import (
    Clear,
    Gate,
    Isolate,
    Refuse,
    SuspectOptions,
)
from hollyknot_coordination.suspects._register import SuspectRegister

__all__ = [
    "Clear",
    "Gate",
    "Isolate",
    "Refuse",
    "SuspectOptions",
    "SuspectRegister",
]
