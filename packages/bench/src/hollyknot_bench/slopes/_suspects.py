"""Request fingerprints: who is suspected of crashing upstreams."""

import functools

import click

from hollyknot_bench.slopes._measure import MEGA, cpu_us, measure_memory
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_coordination.suspects import SuspectOptions, SuspectRegister
from hollyknot_state import Outcome, Reason, SuspectRecord, Verdict

CRASHES = (16, 32, 64, 128, 256)
IN_FLIGHT = (64, 128, 256, 512, 1_024)
FINGERPRINTS = 48
"""Of each crash: a batch of an engine."""

UPSTREAMS = 16
MERGE_S = 4.0
COUNT = 100
_DONE = Verdict(Outcome.COMPLETE)


def measure(is_quick: bool) -> list[Series]:
    """Measures the register against crashes and requests in flight."""
    del is_quick
    click.echo("fingerprints of requests ...", err=True)
    return [*_against_crashes(), *_against_flights()]


def _against_crashes() -> list[Series]:
    memory, heard, gate = [], [], []
    for crashes in CRASHES:
        register, kept = measure_memory(functools.partial(_crashed, crashes))
        memory.append((crashes, kept / MEGA))
        record = SuspectRecord(1, "engine-0", 3, 0)
        now_s = crashes * MERGE_S
        hear = functools.partial(register.on_records, (record,), now_s)
        heard.append((crashes, cpu_us(hear, COUNT)))
        ask = functools.partial(register.gate, 7, now_s)
        gate.append((crashes, cpu_us(ask, COUNT)))
    against = "crashes remembered"
    return [
        make_series("fingerprints", "memory", against, "MB", memory),
        make_series("fingerprints", "record heard cpu", against, "us", heard),
        make_series("fingerprints", "gate cpu", against, "us", gate),
    ]


def _crashed(crashes: int) -> SuspectRegister:
    register = SuspectRegister(SuspectOptions(retention_s=1e9))
    for crash in range(crashes):
        records = tuple(
            SuspectRecord(
                crash * FINGERPRINTS + n + 1, f"engine-{crash}", 47, 0
            )
            for n in range(FINGERPRINTS)
        )
        register.on_records(records, crash * MERGE_S)
    return register


def _against_flights() -> list[Series]:
    request, lost = [], []
    for flights in IN_FLIGHT:
        register = SuspectRegister(SuspectOptions())
        for number in range(flights):
            register.on_dispatch(number + 1, f"engine-{number % UPSTREAMS}")

        def one(r: SuspectRegister = register) -> None:
            r.gate(999_983, 1.0)
            r.on_dispatch(999_983, "engine-0")
            r.on_end(999_983, "engine-0", _DONE, 1.0)

        request.append((flights, cpu_us(one, 200)))
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
