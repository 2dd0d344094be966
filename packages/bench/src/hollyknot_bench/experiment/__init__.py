"""Plays loads through the decisions that serve, against emulated engines.

    python -m hollyknot_bench.experiment examples/loads/short-answers.json

A policy is a function that makes a host; two of them are compared on the same
seeds:

    play(load, seed)               # the decisions of the product
    play(load, seed, make_other)   # another host
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
