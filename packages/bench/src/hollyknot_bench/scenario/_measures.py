"""Computes attainment, goodput, waste, fairness and recovery of a run."""

import collections
from collections.abc import Iterable

import attrs

from hollyknot_bench.scenario._load import ClassLoad, Scenario
from hollyknot_bench.scenario._records import CallRecord, RunRecord
from hollyknot_state import TIERS, TargetKind

_WINDOW_S = 30.0
"""Width of the time windows in which recovery is checked."""

_STEADY_WINDOWS = 4
"""Consecutive windows that must reach the attainment for a recovery."""

_RECOVERED_SHARE = 0.95
"""Fraction of the attainment before the burst that counts as recovered."""

_REFUSAL_WINDOW_S = 3.0
"""Time after a refusal of tier 1 in which other hosts' tier 3 is counted."""


@attrs.frozen
class ClassMeasures:
    """Measures of one class, or of all classes together.

    Attributes:
        name: Name of the class; `whole` for all.
        arrivals: Requests whose deadline lies within the run.
        attainment: Fraction of them that met their target, counted from the
            first try.
        burst_attainment: The same fraction of those that arrived in the burst.
        goodput: Tokens per second of answers that met their target.
        discarded: Fraction of the computed tokens that no caller received.
        duplicated: Fraction of the computed tokens that repeat the work of an
            earlier try.
        late: Fraction of the computed tokens in answers that missed their
            target.
        refusals: Number of refusals; each refused try counts.
    """

    name: str
    arrivals: int
    attainment: float
    burst_attainment: float
    goodput: float
    discarded: float
    duplicated: float
    late: float
    refusals: int


@attrs.frozen
class RunMeasures:
    """Measures of a run.

    Attributes:
        policy: Name of the policy.
        classes: Measures of each class, then of all together.
        refused_by_tier: Refusals by tier, highest first.
        violations: Number of violations by admission rule.
        jain_index: Jain's fairness index over tier 1's customers in the burst,
            each relative to its max-min fair share; 1 is fair.
        is_recovered: Whether the first class recovered after the burst.
        recovery_s: Time from the end of the burst to the recovery; -1 for none.
        lower_starts_while_shed: Starts of tier 3 on a host in the 3 s after
            another host refused tier 1.
        seconds_while_shed: Duration of that state, summed over all hosts.
        lower_starts_otherwise: Starts of tier 3 in the rest of the run.
        service_mean_s: Mean service time.
        service_error_s: Mean absolute error of the hosts' estimates of it.
    """

    policy: str
    classes: tuple[ClassMeasures, ...]
    refused_by_tier: tuple[int, ...]
    violations: dict[str, int]
    jain_index: float
    is_recovered: bool
    recovery_s: float
    lower_starts_while_shed: int
    seconds_while_shed: float
    lower_starts_otherwise: int
    service_mean_s: float
    service_error_s: float


def measure(scenario: Scenario, name: str, run: RunRecord) -> RunMeasures:
    """Computes the measures of a run."""
    classes = [_measure_class(scenario, c, run) for c in scenario.classes]
    refused = collections.Counter(r.tier for r in run.refusals)
    broken = collections.Counter(v.rule.value for v in run.violations)
    recovery_s = _recovery_s(scenario, run.calls)
    starts_shed, shed_s = _while_shed(scenario, run)
    lower_starts = sum(s.tier == TIERS[-1] for s in run.starts)
    return RunMeasures(
        policy=name,
        classes=(*classes, _measure_calls(scenario, "whole", run.calls)),
        refused_by_tier=tuple(refused[tier] for tier in TIERS),
        violations=dict(sorted(broken.items())),
        jain_index=_jain_index(scenario, run.calls),
        is_recovered=recovery_s >= 0,
        recovery_s=recovery_s,
        lower_starts_while_shed=starts_shed,
        seconds_while_shed=shed_s,
        lower_starts_otherwise=lower_starts - starts_shed,
        service_mean_s=run.service_mean_s,
        service_error_s=run.service_error_s,
    )


def is_met(call: CallRecord) -> bool:
    """Returns whether a request met the target of its class."""
    if call.ended_s < 0:
        return False
    load = call.arrival.load
    is_first = load.target_kind is TargetKind.FIRST_TOKEN
    at_s = call.first_token_s if is_first else call.ended_s
    return at_s - call.arrival.at_s <= load.budget_s


def _measure_class(
    scenario: Scenario, load: ClassLoad, run: RunRecord
) -> ClassMeasures:
    calls = [c for c in run.calls if c.arrival.load.name == load.name]
    return _measure_calls(scenario, load.name, calls)


def _measure_calls(
    scenario: Scenario, name: str, calls: Iterable[CallRecord]
) -> ClassMeasures:
    calls = tuple(calls)
    judged = [c for c in calls if _has_deadline_within(scenario, c)]
    burst = [c for c in judged if scenario.is_burst(c.arrival.at_s)]
    computed = sum(c.full_runs * _tokens(c) + c.cancelled_tokens for c in calls)
    computed = max(computed, 1.0)
    good = sum(_tokens(c) for c in calls if is_met(c))
    late = sum(_tokens(c) for c in calls if c.ended_s >= 0 and not is_met(c))
    discarded = sum(_discarded(c) for c in calls)
    again = sum(max(0, c.full_runs - 1) * _tokens(c) for c in calls)
    return ClassMeasures(
        name=name,
        arrivals=len(judged),
        attainment=_share(judged),
        burst_attainment=_share(burst),
        goodput=good / scenario.horizon_s,
        discarded=discarded / computed,
        duplicated=again / computed,
        late=late / computed,
        refusals=sum(c.refusals for c in calls),
    )


def _tokens(call: CallRecord) -> float:
    return call.arrival.tokens + call.arrival.load.prompt_cost


def _discarded(call: CallRecord) -> float:
    undelivered = call.full_runs > 0 and call.ended_s < 0
    return call.cancelled_tokens + (_tokens(call) if undelivered else 0.0)


def _has_deadline_within(scenario: Scenario, call: CallRecord) -> bool:
    arrival = call.arrival
    return arrival.at_s + arrival.load.budget_s <= scenario.horizon_s


def _share(calls: list[CallRecord]) -> float:
    return sum(is_met(c) for c in calls) / max(1, len(calls))


def _recovery_s(scenario: Scenario, calls: Iterable[CallRecord]) -> float:
    """Returns the time that the first class took to recover; -1 for never."""
    name = scenario.classes[0].name
    own = [c for c in calls if c.arrival.load.name == name]
    before = [c for c in own if c.arrival.at_s < scenario.burst_start_s]
    needed = _RECOVERED_SHARE * _share(before)
    windows: dict[int, list[CallRecord]] = collections.defaultdict(list)
    for call in own:
        since_s = call.arrival.at_s - scenario.burst_end_s
        if since_s >= 0 and _has_deadline_within(scenario, call):
            windows[int(since_s / _WINDOW_S)].append(call)
    good = 0
    for index in range(max(windows, default=-1) + 1):
        is_good = _share(windows[index]) >= needed or not windows[index]
        good = good + 1 if is_good else 0
        if good == _STEADY_WINDOWS:
            return (index + 1 - _STEADY_WINDOWS) * _WINDOW_S
    return -1.0


def _jain_index(scenario: Scenario, calls: Iterable[CallRecord]) -> float:
    """Returns Jain's index of tier 1's customers in the burst."""
    wanted: dict[str, float] = collections.defaultdict(float)
    served: dict[str, float] = collections.defaultdict(float)
    for call in calls:
        arrival = call.arrival
        if arrival.load.tier != 1 or not scenario.is_burst(arrival.at_s):
            continue
        wanted[arrival.customer] += _tokens(call)
        if is_met(call):
            served[arrival.customer] += _tokens(call)
    fair = _max_min_shares(wanted, sum(served.values()))
    shares = [served[c] / fair[c] for c in sorted(wanted) if fair[c] > 0]
    squares = sum(x * x for x in shares)
    if squares == 0:
        return 0.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _max_min_shares(
    wanted: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divides a capacity among customers by max-min fairness."""
    shares: dict[str, float] = {}
    left = capacity
    by_size = sorted(wanted, key=lambda c: (wanted[c], c))
    for index, customer in enumerate(by_size):
        share = min(wanted[customer], left / (len(by_size) - index))
        shares[customer] = share
        left -= share
    return shares


def _while_shed(scenario: Scenario, run: RunRecord) -> tuple[int, float]:
    """Counts tier 3's starts on hosts while other hosts refuse tier 1.

    Returns:
        The number of starts, and the duration of that state in seconds summed
        over all hosts.
    """
    starts = 0
    seconds = 0.0
    for host in range(scenario.hosts):
        spans = _spans(
            [
                r.at_s
                for r in run.refusals
                if r.tier == TIERS[0] and r.host != host
            ]
        )
        seconds += sum(end - start for start, end in spans)
        own = [s for s in run.starts if s.tier == TIERS[-1] and s.host == host]
        starts += sum(
            any(start < s.at_s < end for start, end in spans) for s in own
        )
    return starts, seconds


def _spans(times: list[float]) -> list[tuple[float, float]]:
    """Merges the 3 s after each of the sorted times into disjoint spans."""
    spans: list[tuple[float, float]] = []
    for at_s in times:
        if spans and at_s <= spans[-1][1]:
            spans[-1] = (spans[-1][0], at_s + _REFUSAL_WINDOW_S)
        else:
            spans.append((at_s, at_s + _REFUSAL_WINDOW_S))
    return spans
