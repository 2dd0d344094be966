"""The rules of admission as predicates over a run of one host's queue.

They read only what went in and came out, in order, so that they judge this
queue, a naive one or a later one alike. `docs/decisions/0005-admission.md`
states each rule in words under the same name.
"""

import enum
import math

import attrs

from hollyknot_coordination.admission._events import (
    Admitted,
    Offered,
    PressureHeard,
    Refused,
    RunEvent,
    SlotsOffered,
    Withdrawn,
)
from hollyknot_coordination.admission._options import (
    COST_RATIO_MAX,
    FLOOR_CREDITS,
    FULL_CREDIT,
    AdmissionOptions,
)
from hollyknot_state import TIERS, Outcome, Reason, RequestInfo


class Rule(enum.Enum):
    """The rules that a run can break."""

    ONE_ANSWER = "one-answer"
    TIER_ORDER = "tier-order"
    NO_LOWER_KEPT = "no-lower-kept"
    FLOOR = "floor"
    FLOOR_CAP = "floor-cap"
    WORK_CONSERVING = "work-conserving"
    IMMEDIATE = "immediate"
    HONEST_REFUSAL = "honest-refusal"
    BOUNDED = "bounded"


@attrs.frozen
class Violation:
    """One place where a run broke a rule."""

    rule: Rule
    subject: str
    at_s: float
    detail: str


@attrs.define
class _Lane:
    """What the rules need to know of one tier of one pool."""

    waiting: int = 0
    bucket: int = FULL_CREDIT
    passed_over: int = 0
    since_s: float = -math.inf
    admitted_s: float = -math.inf
    heard_s: float = -math.inf


def floor_gap(tier: int) -> int:
    """Returns how many admissions of others may go before one of a tier.

    All that its floor needs at the least credit, and one more for each other
    lower tier whose floor may be due at the same moment.
    """
    needed = math.ceil(FULL_CREDIT * COST_RATIO_MAX / FLOOR_CREDITS[tier])
    return needed + len(FLOOR_CREDITS) - 1


class RunChecker:
    """Checks the events of one queue as they come, each in constant time."""

    def __init__(self, options: AdmissionOptions) -> None:
        """Makes a checker of a run that starts empty."""
        self._options = options
        self._violations: list[Violation] = []
        self._waiting: dict[str, RequestInfo] = {}
        self._seen: set[str] = set()
        self._lanes: dict[str, dict[int, _Lane]] = {}
        self._count = dict.fromkeys(TIERS, 0)
        self._size = dict.fromkeys(TIERS, 0)
        self._is_over = False
        self._offered: Offered | None = None
        self._slots = SlotsOffered("", 0, 0.0)

    @property
    def violations(self) -> tuple[Violation, ...]:
        """What was found, in order."""
        return tuple(self._violations)

    @property
    def waiting(self) -> int:
        """Requests that have had no answer and were not withdrawn."""
        return len(self._waiting)

    def observe(self, event: RunEvent) -> None:
        """Takes the next event in."""
        if not isinstance(event, Admitted):
            self._check_slots_used()
        match event:
            case Offered():
                self._on_offered(event)
            case Admitted():
                self._on_admitted(event)
            case Refused():
                self._on_refused(event)
            case Withdrawn():
                if event.request_id in self._waiting:
                    self._leave(event.request_id)
            case SlotsOffered():
                self._check_bounds(event.at_s)
                self._slots = event
            case PressureHeard():
                self._on_pressure(event)

    def _on_offered(self, event: Offered) -> None:
        self._check_bounds(event.at_s)
        self._offered = event
        request = event.request
        if request.request_id in self._seen:
            self._report(Rule.ONE_ANSWER, request, event.at_s, "seen before")
        self._seen.add(request.request_id)
        self._waiting[request.request_id] = request
        self._count[request.tier] += 1
        self._size[request.tier] += request.input_size
        lane = self._lane(request)
        if lane.waiting == 0:
            lane.passed_over = 0
            lane.since_s = event.at_s
        lane.waiting += 1

    def _on_admitted(self, event: Admitted) -> None:
        request = self._answer(event.request_id, event.at_s)
        if request is None:
            return
        self._check_order(request, event.at_s)
        for tier, lane in self._pool(request.pool).items():
            if tier != request.tier:
                self._pass_over(tier, lane, request, event.at_s)
        lane = self._lane(request)
        lane.passed_over = 0
        lane.admitted_s = event.at_s
        lane.since_s = event.at_s
        left = self._slots.slots - 1
        self._slots = attrs.evolve(self._slots, slots=left)
        self._leave(event.request_id)

    def _check_order(self, request: RequestInfo, at_s: float) -> None:
        """TIER_ORDER and FLOOR_CAP: a lower tier gets its floor, no more."""
        lanes = self._pool(request.pool)
        higher = [t for t in TIERS if t < request.tier]
        held_above = self._held_above(request.pool, at_s)
        local = [t for t in higher if lanes[t].waiting and t <= held_above]
        is_held = request.tier > held_above
        if not local and not is_held:
            return
        lane = lanes[request.tier]
        since_s = at_s - lane.admitted_s
        if not local and since_s >= self._options.floor_interval_min_s:
            return
        if lane.bucket >= FULL_CREDIT:
            lane.bucket -= FULL_CREDIT
            return
        rule = Rule.TIER_ORDER if local else Rule.FLOOR_CAP
        self._report(rule, request, at_s, f"credit is {lane.bucket}")

    def _pass_over(
        self, tier: int, lane: _Lane, request: RequestInfo, at_s: float
    ) -> None:
        """FLOOR: a lower tier that waits is not passed over for ever."""
        if tier not in FLOOR_CREDITS:
            return
        earned = lane.bucket + FLOOR_CREDITS[tier]
        lane.bucket = min(FULL_CREDIT, earned)
        if not lane.waiting:
            return
        lane.passed_over += 1
        if lane.passed_over == floor_gap(tier) + 1:
            detail = f"tier {tier} was passed over {lane.passed_over} times"
            self._report(Rule.FLOOR, request, at_s, detail)

    def _on_refused(self, event: Refused) -> None:
        request = self._answer(event.request_id, event.at_s)
        if request is None:
            return
        self._leave(event.request_id)
        verdict = event.verdict
        back_s = verdict.retry_after_s
        if verdict.outcome is not Outcome.NOT_RUN or back_s <= 0:
            detail = f"{verdict.outcome}, come back in {back_s}"
            self._report(Rule.HONEST_REFUSAL, request, event.at_s, detail)
        if self._offered is None or self._offered.at_s != event.at_s:
            self._report(Rule.IMMEDIATE, request, event.at_s, "no offer")
            return
        if verdict.reason is Reason.TARGET_UNREACHABLE:
            self._check_unreachable(request, event.at_s)
        else:
            self._check_shed(request, self._offered.request, event.at_s)

    def _check_unreachable(self, request: RequestInfo, at_s: float) -> None:
        """IMMEDIATE, HONEST_REFUSAL: at its own offer, behind its equals."""
        offered = self._offered
        if offered is None or offered.request is not request:
            self._report(Rule.IMMEDIATE, request, at_s, "refused after a wait")
        lanes = self._pool(request.pool)
        if not any(lanes[t].waiting for t in TIERS if t <= request.tier):
            detail = "no request of its tier or above waits"
            self._report(Rule.HONEST_REFUSAL, request, at_s, detail)

    def _check_shed(
        self, request: RequestInfo, offered: RequestInfo, at_s: float
    ) -> None:
        """NO_LOWER_KEPT: none lower stays, but what its own room holds."""
        if offered.tier > request.tier:
            detail = f"shed for tier {offered.tier}"
            self._report(Rule.NO_LOWER_KEPT, request, at_s, detail)
        options = self._options
        for tier in TIERS:
            if tier <= request.tier:
                continue
            is_over = self._count[tier] > options.room
            if is_over or self._size[tier] > options.room_bytes:
                detail = f"tier {tier} was kept beyond its room"
                self._report(Rule.NO_LOWER_KEPT, request, at_s, detail)

    def _check_slots_used(self) -> None:
        """WORK_CONSERVING: no slot stays free before work that may start."""
        slots = self._slots
        self._slots = SlotsOffered("", 0, slots.at_s)
        if slots.slots < 0:
            detail = f"{-slots.slots} more than were offered"
            self._add(Rule.WORK_CONSERVING, slots.pool, slots.at_s, detail)
        if slots.slots <= 0:
            return
        held_above = self._held_above(slots.pool, slots.at_s)
        patience_s = self._options.floor_interval_max_s
        for tier, lane in self._pool(slots.pool).items():
            is_held = tier > held_above
            is_patient = slots.at_s - lane.since_s < patience_s
            if lane.waiting and not (is_held and is_patient):
                detail = f"tier {tier} waits before {slots.slots} free slots"
                self._add(Rule.WORK_CONSERVING, slots.pool, slots.at_s, detail)

    def _check_bounds(self, at_s: float) -> None:
        """BOUNDED: the rooms and the shared bound hold all that waits.

        A queue that stays above its bound is reported once, not at each event.
        """
        options = self._options
        count = sum(max(0, n - options.room) for n in self._count.values())
        sizes = self._size.values()
        size = sum(max(0, n - options.room_bytes) for n in sizes)
        was_over = self._is_over
        is_long = count > options.max_waiting
        self._is_over = is_long or size > options.max_waiting_bytes
        if self._is_over and not was_over:
            detail = f"{count} requests, {size} bytes beyond the rooms"
            self._add(Rule.BOUNDED, "host", at_s, detail)

    def _on_pressure(self, event: PressureHeard) -> None:
        for pressure in event.pressures:
            lane = self._pool(pressure.pool)[pressure.tier]
            at_s = event.at_s - pressure.age_ms / 1000
            lane.heard_s = max(lane.heard_s, at_s)

    def _held_above(self, pool: str, at_s: float) -> int:
        fresh_s = self._options.pressure_fresh_s
        for tier, lane in self._pool(pool).items():
            if lane.heard_s > at_s - fresh_s:
                return tier
        return TIERS[-1]

    def _answer(self, request_id: str, at_s: float) -> RequestInfo | None:
        """ONE_ANSWER: only a request that waits is answered."""
        request = self._waiting.get(request_id)
        if request is None:
            detail = "answered though it does not wait"
            self._add(Rule.ONE_ANSWER, request_id, at_s, detail)
        return request

    def _leave(self, request_id: str) -> None:
        request = self._waiting.pop(request_id)
        self._count[request.tier] -= 1
        self._size[request.tier] -= request.input_size
        self._lane(request).waiting -= 1

    def _pool(self, pool: str) -> dict[int, _Lane]:
        lanes = self._lanes.get(pool)
        if lanes is None:
            lanes = {tier: _Lane() for tier in TIERS}
            self._lanes[pool] = lanes
        return lanes

    def _lane(self, request: RequestInfo) -> _Lane:
        return self._pool(request.pool)[request.tier]

    def _report(
        self, rule: Rule, request: RequestInfo, at_s: float, detail: str
    ) -> None:
        self._add(rule, request.request_id, at_s, detail)

    def _add(self, rule: Rule, subject: str, at_s: float, detail: str) -> None:
        self._violations.append(Violation(rule, subject, at_s, detail))


def check_run(
    events: tuple[RunEvent, ...], options: AdmissionOptions
) -> tuple[Violation, ...]:
    """Returns where a whole run breaks the rules."""
    checker = RunChecker(options)
    for event in events:
        checker.observe(event)
    return checker.violations
