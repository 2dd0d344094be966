"""Measures the register of requests suspected of crashing upstreams."""

import functools

import click

from hollyknot_bench.slopes._measure import MEGA, cpu_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_state import Outcome, Reason, SuspectRecord, Verdict

CRASHES = (16, 32, 64, 128, 256)
IN_FLIGHT = (64, 128, 256, 512, 1_024)
FINGERPRINTS_PER_CRASH = 48
"""Fingerprints reported for each crash: the batch that an engine ran."""

UPSTREAMS = 16
CRASH_INTERVAL_S = 4.0
CALLS = 100
_DONE = Verdict(Outcome.COMPLETE)


def measure(is_quick: bool) -> list[Series]:
    """Measures the register against crashes and in-flight requests.

    Quick and full runs are the same.
    """
    del is_quick
    click.echo("fingerprints of requests ...", err=True)
    return [*_against_crashes(), *_against_in_flight()]


def _against_crashes() -> list[Series]:
    memory, record_cpu, gate = [], [], []
    for crashes in CRASHES:
        register, kept = measure_memory(
            functools.partial(_register_with_crashes, crashes)
        )
        memory.append((crashes, kept / MEGA))
        record = SuspectRecord(1, "engine-0", 3, 0)
        now_s = crashes * CRASH_INTERVAL_S
        apply_records = functools.partial(register.on_records, (record,), now_s)
        record_cpu.append((crashes, cpu_us(apply_records, CALLS)))
        check = functools.partial(register.gate, 7, now_s)
        gate.append((crashes, cpu_us(check, CALLS)))
    against = "crashes remembered"
    return [
        make_series("fingerprints", "memory", against, "MB", memory),
        make_series(
            "fingerprints", "record heard cpu", against, "us", record_cpu
        ),
        make_series("fingerprints", "gate cpu", against, "us", gate),
    ]


def _register_with_crashes(crashes: int) -> SuspectRegister:
    """Returns a register that holds the records of this many crashes."""
    register = SuspectRegister(SuspectOptions(retention_s=1e9))
    for crash in range(crashes):
        records = tuple(
            SuspectRecord(
                crash * FINGERPRINTS_PER_CRASH + n + 1, f"engine-{crash}", 47, 0
            )
            for n in range(FINGERPRINTS_PER_CRASH)
        )
        register.on_records(records, crash * CRASH_INTERVAL_S)
    return register


def _against_in_flight() -> list[Series]:
    request, lost = [], []
    for flights in IN_FLIGHT:
        register = SuspectRegister(SuspectOptions())
        for number in range(flights):
            register.on_dispatch(number + 1, f"engine-{number % UPSTREAMS}")

        def run_request(r: SuspectRegister = register) -> None:
            r.gate(999_983, 1.0)
            r.on_dispatch(999_983, "engine-0")
            r.on_end(999_983, "engine-0", _DONE, 1.0)

        request.append((flights, cpu_us(run_request, 200)))
        verdict = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)

        def crash(r: SuspectRegister = register, v: Verdict = verdict) -> None:
            r.on_dispatch(999_979, "engine-1")
            r.on_end(999_979, "engine-1", v, 2.0)

        lost.append((flights, cpu_us(crash, 20)))
    against = "requests in flight"
    return [
        make_series("fingerprints", "request cpu", against, "us", request),
        make_series("fingerprints", "loss cpu", against, "us", lost),
    ]
