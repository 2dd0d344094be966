"""Counts how requests ended: targets met, goodput and wasted work."""

from hollyknot_coordination.outcomes._tally import ClassTally, Tallies
from hollyknot_coordination.outcomes._targets import Timing, met_target

__all__ = ["ClassTally", "Tallies", "Timing", "met_target"]
