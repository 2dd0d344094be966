"""Requests that crash the upstreams that run them: found and refused."""

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
