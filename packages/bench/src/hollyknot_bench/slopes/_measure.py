"""Measures the processor time and memory of calls."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

from hollyknot_bench.slopes._series import Series

T = TypeVar("T")

MICRO = 1e6
MEGA = 1e6

Measurement = Callable[[bool], list[Series]]
"""Measures one mechanism; the argument asks for smaller, quicker sizes."""


def cpu_us(call: Callable[[], object], count: int, rounds: int = 5) -> float:
    """Returns the processor time of a call in microseconds.

    It is the minimum over several rounds, since other processes that compete
    for the caches can only increase it.

    Args:
        call: Function to measure.
        count: Calls per round.
        rounds: Number of rounds.
    """
    best = float("inf")
    for _ in range(rounds):
        began_s = time.process_time()
        for _ in range(count):
            call()
        best = min(best, time.process_time() - began_s)
    return best / count * MICRO


def cpu_once_us(call: Callable[[], object]) -> float:
    """Returns the microseconds of processor time of a single call.

    It suits calls that can't be repeated.
    """
    began_s = time.process_time()
    call()
    return (time.process_time() - began_s) * MICRO


def measure_memory(make: Callable[[], T]) -> tuple[T, int]:
    """Returns the result of a call and the bytes of memory that it retains."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        value = make()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return value, after - before
