"""Measures admission against waiting requests, customers and classes."""

import functools
import random

import click

from hollyknot_bench.slopes._measure import MEGA, cpu_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.admission import (
    AdmissionOptions,
    AdmissionQueue,
    Admit,
)
from hollyknot_state import Nature, RequestInfo, TargetKind

WAITING = (256, 512, 1_024, 2_048, 4_096)
CUSTOMERS = (1_125, 2_250, 4_500, 9_000, 18_000)
CLASSES = (3, 6, 12, 24, 48)
PLAN_WAITING = 1_024
TIERS = 3
POOL = "model-00"
COUNT = 200


def measure(is_quick: bool) -> list[Series]:
    """Measures the admission queue's processor time and memory."""
    del is_quick
    click.echo("admission ...", err=True)
    found = []
    for against, sizes in (
        ("requests waiting", [(n, n, 64, 3) for n in WAITING]),
        ("customers", [(n, PLAN_WAITING, n, 3) for n in CUSTOMERS]),
        ("classes", [(n, PLAN_WAITING, 64, n) for n in CLASSES]),
    ):
        cpu = [
            (size, _request_us(waiting, customers, classes))
            for size, waiting, customers, classes in sizes
        ]
        found.append(
            make_series(
                "admission", "request cpu", against, "us a request", cpu
            )
        )
    return [*found, _waiting_memory(), _served_memory()]


def _info(number: int, customers: int, classes: int) -> RequestInfo:
    named = number % classes
    return RequestInfo(
        f"request-{number:08d}",
        f"customer-{number % customers:05d}",
        f"class-{named}",
        1 + named % TIERS,
        Nature.IDEMPOTENT,
        POOL,
        0.0,
        1e6,
        input_size=1_000,
        target_kind=TargetKind.FIRST_TOKEN,
    )


def _queue() -> AdmissionQueue:
    return AdmissionQueue(AdmissionOptions(), random.Random(1))


def _fill(waiting: int, customers: int, classes: int) -> AdmissionQueue:
    queue = _queue()
    for number in range(waiting):
        queue.offer(_info(number, customers, classes), 0.0)
    return queue


def _request_us(waiting: int, customers: int, classes: int) -> float:
    """Returns the microseconds to queue, admit and finish one request."""
    queue = _fill(waiting, customers, classes)
    number = waiting

    def one() -> None:
        nonlocal number
        queue.offer(_info(number, customers, classes), 0.0)
        number += 1
        for command in queue.on_capacity(POOL, 1, 0.0):
            if isinstance(command, Admit):
                queue.on_finished(command.request_id, 1.0, 200, 0.0)

    return cpu_us(one, COUNT)


def _waiting_memory() -> Series:
    memory = []
    for waiting in WAITING:
        _, kept = measure_memory(functools.partial(_fill, waiting, 64, 3))
        memory.append((waiting, kept / MEGA))
    return make_series("admission", "memory", "requests waiting", "MB", memory)


def _served_memory() -> Series:
    """Measures the memory kept for customers whose requests have ended."""
    memory = []
    for customers in CUSTOMERS:

        def serve(count: int = customers) -> AdmissionQueue:
            queue = _queue()
            for number in range(count):
                info = _info(number, count, TIERS)
                queue.offer(info, 0.0)
                queue.on_capacity(POOL, 1, 0.0)
                queue.on_finished(info.request_id, 1.0, 200, 0.0)
            return queue

        _, kept = measure_memory(serve)
        memory.append((customers, kept / MEGA))
    return make_series("admission", "memory", "customers", "MB", memory)
