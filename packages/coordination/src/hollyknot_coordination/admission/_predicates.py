"""Checks a run of one host's admission queue against the rules of admission.

The checks read only the ordered inputs and outputs of a queue, so that they
apply to any implementation. `docs/decisions/0005-admission.md` states each rule
in words under the same name.
"""

import enum
import math

import attrs

from hollyknot_coordination.admission._events import (
    Admitted,
    Offered,
    PressureReceived,
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
    """The rules that a run can break.

    Attributes:
        ONE_ANSWER: Each request is admitted or refused at most once.
        TIER_ORDER: While a higher tier waits, a lower one gets no more than
            its floor.
        NO_LOWER_KEPT: No request is shed while a lower tier keeps requests
            beyond its reserve.
        FLOOR: A lower tier that waits is next after a bounded number of
            admissions of other tiers.
        FLOOR_CAP: A tier that peers' pressure throttles gets no more than its
            floor.
        WORK_CONSERVING: No slot stays free while a waiting request may start.
        IMMEDIATE: A request is refused only when a request is offered, and
            for an unreachable target only when it is offered itself.
        HONEST_REFUSAL: A refused request was not run, the refusal says when to
            retry, and a target is called unreachable only if other requests
            of its tier or above wait.
        BOUNDED: The waiting requests stay within the reserves and the shared
            bound.
    """

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
    """One event at which a run broke a rule.

    Attributes:
        rule: The broken rule.
        subject: ID of the request, name of the pool, or `host`.
        at_s: Time of the event, in seconds.
        detail: Description of what was found.
    """

    rule: Rule
    subject: str
    at_s: float
    detail: str


@attrs.define
class _TierState:
    """The state of one tier of one pool that the checks need.

    Attributes:
        waiting: Number of waiting requests.
        credit: Credit for admissions by the floor.
        passed_over: Number of admissions of other tiers since the tier began
            to wait or was last admitted.
        since_s: Time at which the tier began to wait or was last admitted.
        admitted_s: Time of the tier's last admission.
        peer_pressed_s: Latest time at which a peer was short of capacity for
            the tier.
    """

    waiting: int = 0
    credit: int = FULL_CREDIT
    passed_over: int = 0
    since_s: float = -math.inf
    admitted_s: float = -math.inf
    peer_pressed_s: float = -math.inf


def floor_gap(tier: int) -> int:
    """Returns how many admissions of other tiers may precede one of a tier.

    The number is the admissions that fill the tier's credit at the lowest rate,
    and one more for each other lower tier whose floor may be due at the same
    time.
    """
    needed = math.ceil(FULL_CREDIT * COST_RATIO_MAX / FLOOR_CREDITS[tier])
    return needed + len(FLOOR_CREDITS) - 1


class RunChecker:
    """Checks each event of one queue in constant time as it occurs."""

    def __init__(self, options: AdmissionOptions) -> None:
        """Builds a checker for a run that starts with an empty queue.

        Args:
            options: Sizes and times that the rules refer to.
        """
        self._options = options
        self._violations: list[Violation] = []
        self._waiting: dict[str, RequestInfo] = {}
        self._seen: set[str] = set()
        self._states: dict[str, dict[int, _TierState]] = {}
        self._count = dict.fromkeys(TIERS, 0)
        self._size = dict.fromkeys(TIERS, 0)
        self._is_over = False
        self._last_offer: Offered | None = None
        self._slots = SlotsOffered("", 0, 0.0)

    @property
    def violations(self) -> tuple[Violation, ...]:
        """The violations found so far, in order."""
        return tuple(self._violations)

    @property
    def waiting(self) -> int:
        """Number of requests not yet admitted, refused or withdrawn."""
        return len(self._waiting)

    def observe(self, event: RunEvent) -> None:
        """Checks the next event of the run."""
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
                    self._remove_waiting(event.request_id)
            case SlotsOffered():
                self._check_bounds(event.at_s)
                self._slots = event
            case PressureReceived():
                self._on_pressure(event)

    def _on_offered(self, event: Offered) -> None:
        self._check_bounds(event.at_s)
        self._last_offer = event
        request = event.request
        if request.request_id in self._seen:
            self._report(
                Rule.ONE_ANSWER, request, event.at_s, "offered a second time"
            )
        self._seen.add(request.request_id)
        self._waiting[request.request_id] = request
        self._count[request.tier] += 1
        self._size[request.tier] += request.input_size
        state = self._state(request)
        if state.waiting == 0:
            state.passed_over = 0
            state.since_s = event.at_s
        state.waiting += 1

    def _on_admitted(self, event: Admitted) -> None:
        request = self._waiting_request(event.request_id, event.at_s)
        if request is None:
            return
        self._check_order(request, event.at_s)
        for tier, state in self._pool(request.pool).items():
            if tier != request.tier:
                self._count_passed_over(tier, state, request, event.at_s)
        state = self._state(request)
        state.passed_over = 0
        state.admitted_s = event.at_s
        state.since_s = event.at_s
        remaining = self._slots.slots - 1
        self._slots = attrs.evolve(self._slots, slots=remaining)
        self._remove_waiting(event.request_id)

    def _check_order(self, request: RequestInfo, at_s: float) -> None:
        """Checks TIER_ORDER and FLOOR_CAP: a lower tier gets only its floor."""
        states = self._pool(request.pool)
        higher = [t for t in TIERS if t < request.tier]
        lowest_unthrottled = self._lowest_unthrottled(request.pool, at_s)
        local = [
            t for t in higher if states[t].waiting and t <= lowest_unthrottled
        ]
        is_throttled = request.tier > lowest_unthrottled
        if not local and not is_throttled:
            return
        state = states[request.tier]
        since_s = at_s - state.admitted_s
        if not local and since_s >= self._options.floor_interval_min_s:
            return
        if state.credit >= FULL_CREDIT:
            state.credit -= FULL_CREDIT
            return
        rule = Rule.TIER_ORDER if local else Rule.FLOOR_CAP
        self._report(
            rule, request, at_s, f"admitted with a credit of {state.credit}"
        )

    def _count_passed_over(
        self, tier: int, state: _TierState, request: RequestInfo, at_s: float
    ) -> None:
        """Checks FLOOR: a lower tier that waits is admitted eventually."""
        if tier not in FLOOR_CREDITS:
            return
        earned = state.credit + FLOOR_CREDITS[tier]
        state.credit = min(FULL_CREDIT, earned)
        if not state.waiting:
            return
        state.passed_over += 1
        if state.passed_over == floor_gap(tier) + 1:
            detail = f"tier {tier} was passed over {state.passed_over} times"
            self._report(Rule.FLOOR, request, at_s, detail)

    def _on_refused(self, event: Refused) -> None:
        request = self._waiting_request(event.request_id, event.at_s)
        if request is None:
            return
        self._remove_waiting(event.request_id)
        verdict = event.verdict
        retry_s = verdict.retry_after_s
        if verdict.outcome is not Outcome.NOT_RUN or retry_s <= 0:
            detail = f"refused as {verdict.outcome}, retry after {retry_s} s"
            self._report(Rule.HONEST_REFUSAL, request, event.at_s, detail)
        if self._last_offer is None or self._last_offer.at_s != event.at_s:
            self._report(
                Rule.IMMEDIATE, request, event.at_s, "refused without an offer"
            )
            return
        if verdict.reason is Reason.TARGET_UNREACHABLE:
            self._check_unreachable(request, event.at_s)
        else:
            self._check_shed(request, self._last_offer.request, event.at_s)

    def _check_unreachable(self, request: RequestInfo, at_s: float) -> None:
        """Checks a refusal for an unreachable target.

        IMMEDIATE: the request is refused when it is offered.
        HONEST_REFUSAL: another request of its tier or above waits.
        """
        offered = self._last_offer
        if offered is None or offered.request is not request:
            self._report(Rule.IMMEDIATE, request, at_s, "refused after a wait")
        states = self._pool(request.pool)
        if not any(states[t].waiting for t in TIERS if t <= request.tier):
            detail = "refused though no request of its tier or above waits"
            self._report(Rule.HONEST_REFUSAL, request, at_s, detail)

    def _check_shed(
        self, request: RequestInfo, offered: RequestInfo, at_s: float
    ) -> None:
        """Checks NO_LOWER_KEPT: lower tiers keep only their reserves."""
        if offered.tier > request.tier:
            detail = f"shed in favour of tier {offered.tier}"
            self._report(Rule.NO_LOWER_KEPT, request, at_s, detail)
        options = self._options
        for tier in TIERS:
            if tier <= request.tier:
                continue
            is_over = self._count[tier] > options.reserved_requests
            if is_over or self._size[tier] > options.reserved_bytes:
                detail = f"tier {tier} was kept beyond its reserve"
                self._report(Rule.NO_LOWER_KEPT, request, at_s, detail)

    def _check_slots_used(self) -> None:
        """Checks WORK_CONSERVING: no slot is free while a request may start."""
        slots = self._slots
        self._slots = SlotsOffered("", 0, slots.at_s)
        if slots.slots < 0:
            detail = f"{-slots.slots} more admissions than free slots"
            self._add(Rule.WORK_CONSERVING, slots.pool, slots.at_s, detail)
        if slots.slots <= 0:
            return
        lowest_unthrottled = self._lowest_unthrottled(slots.pool, slots.at_s)
        max_hold_s = self._options.floor_interval_max_s
        for tier, state in self._pool(slots.pool).items():
            is_throttled = tier > lowest_unthrottled
            may_hold = slots.at_s - state.since_s < max_hold_s
            if state.waiting and not (is_throttled and may_hold):
                detail = (
                    f"tier {tier} waits though {slots.slots} slots are free"
                )
                self._add(Rule.WORK_CONSERVING, slots.pool, slots.at_s, detail)

    def _check_bounds(self, at_s: float) -> None:
        """Checks BOUNDED: what waits fits the reserves and the shared bound.

        A queue that stays above its bound is reported once, not at each event.
        """
        options = self._options
        count = sum(
            max(0, n - options.reserved_requests) for n in self._count.values()
        )
        sizes = self._size.values()
        size = sum(max(0, n - options.reserved_bytes) for n in sizes)
        was_over = self._is_over
        is_long = count > options.max_waiting
        self._is_over = is_long or size > options.max_waiting_bytes
        if self._is_over and not was_over:
            detail = f"{count} requests, {size} bytes beyond the reserves"
            self._add(Rule.BOUNDED, "host", at_s, detail)

    def _on_pressure(self, event: PressureReceived) -> None:
        for pressure in event.pressures:
            state = self._pool(pressure.pool)[pressure.tier]
            at_s = event.at_s - pressure.age_ms / 1000
            state.peer_pressed_s = max(state.peer_pressed_s, at_s)

    def _lowest_unthrottled(self, pool: str, at_s: float) -> int:
        ttl_s = self._options.pressure_ttl_s
        for tier, state in self._pool(pool).items():
            if state.peer_pressed_s > at_s - ttl_s:
                return tier
        return TIERS[-1]

    def _waiting_request(
        self, request_id: str, at_s: float
    ) -> RequestInfo | None:
        """Checks ONE_ANSWER: only a waiting request is admitted or refused."""
        request = self._waiting.get(request_id)
        if request is None:
            detail = "admitted or refused though it is not waiting"
            self._add(Rule.ONE_ANSWER, request_id, at_s, detail)
        return request

    def _remove_waiting(self, request_id: str) -> None:
        request = self._waiting.pop(request_id)
        self._count[request.tier] -= 1
        self._size[request.tier] -= request.input_size
        self._state(request).waiting -= 1

    def _pool(self, pool: str) -> dict[int, _TierState]:
        states = self._states.get(pool)
        if states is None:
            states = {tier: _TierState() for tier in TIERS}
            self._states[pool] = states
        return states

    def _state(self, request: RequestInfo) -> _TierState:
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
    """Returns the violations of the rules in a complete run."""
    checker = RunChecker(options)
    for event in events:
        checker.observe(event)
    return checker.violations
