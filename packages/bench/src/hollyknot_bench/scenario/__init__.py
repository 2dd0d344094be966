"""Compares hollyknot's admission with a naive baseline on one seeded load.

Run it as `python -m hollyknot_bench.scenario --seed 1`.
"""

from hollyknot_bench.scenario._load import CLASSES, ClassLoad, Scenario
from hollyknot_bench.scenario._measures import (
    ClassMeasures,
    RunMeasures,
    measure,
)
from hollyknot_bench.scenario._play import Play, play
from hollyknot_bench.scenario._policies import Policy
from hollyknot_bench.scenario._report import render, to_json

__all__ = [
    "CLASSES",
    "ClassLoad",
    "ClassMeasures",
    "Play",
    "Policy",
    "RunMeasures",
    "Scenario",
    "measure",
    "play",
    "render",
    "to_json",
]
