"""Simulates loads on the product's routing decisions and emulated engines.

    python -m hollyknot_bench.experiment examples/loads/short-answers.json

A policy is a function that builds a host. Compare two policies on the same
seeds:

    play(load, seed)               # the routing decisions of the product
    play(load, seed, make_other)   # another policy
"""

from hollyknot_bench.experiment._host import Host, make_host
from hollyknot_bench.experiment._load import Load, read_load
from hollyknot_bench.experiment._outcome import Outcome, RequestOutcome
from hollyknot_bench.experiment._play import play

__all__ = [
    "Host",
    "Load",
    "Outcome",
    "RequestOutcome",
    "make_host",
    "play",
    "read_load",
]
