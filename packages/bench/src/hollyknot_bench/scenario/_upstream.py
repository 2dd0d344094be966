"""A simple model of an engine: slots, and a rate that falls with the batch."""

import collections
import heapq
import itertools
from collections.abc import Callable

import attrs

from hollyknot_bench.scenario._clock import VirtualClock


@attrs.define(eq=False)
class Job:
    """One try of a request at an engine.

    Attributes:
        prompt_cost: What reading the prompt costs, in tokens of output.
        tokens: The length of the answer.
        on_start: Called when it gets a slot.
        on_first_token: Called with the first token.
        on_end: Called when the answer ends.
        started_s: When it got a slot; negative before that.
        began: The engine's progress at that time.
        is_over: Whether it ended or was cancelled.
    """

    prompt_cost: float
    tokens: float
    on_start: Callable[[], None]
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    started_s: float = -1.0
    start_progress: float = 0.0
    is_over: bool = False


class Upstream:
    """An engine with continuous batching; it queues first come first served.

    All requests of a batch advance alike, so one number, the tokens that a
    request present from the start would have, says when each of them ends.
    """

    def __init__(
        self, clock: VirtualClock, slots: int, rate: float, slowdown: float
    ) -> None:
        """Makes an idle engine."""
        self._clock = clock
        self._slots = slots
        self._rate = rate
        self._slowdown = slowdown
        self._progress = 0.0
        self._updated_s = 0.0
        self._running = 0
        self._queue: collections.deque[Job] = collections.deque()
        self._sequence = itertools.count()
        self._milestones: list[tuple[float, int, Job, bool]] = []
        self._schedule_version = 0

    @property
    def free_slots(self) -> int:
        """Requests that would start at once."""
        return max(0, self._slots - self._running - len(self._queue))

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return self._running + len(self._queue)

    def submit(self, job: Job) -> None:
        """Takes a try in."""
        self._advance()
        self._queue.append(job)
        self._start_some()
        self._schedule()

    def cancel(self, job: Job) -> float:
        """Stops a try, and returns the tokens that it had cost."""
        self._advance()
        job.is_over = True
        if job.started_s < 0:
            self._queue.remove(job)
            return 0.0
        self._running -= 1
        self._start_some()
        self._schedule()
        return self._progress - job.start_progress

    def _start_some(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            self._running += 1
            job.started_s = self._clock.now_s
            job.start_progress = self._progress
            first = self._progress + job.prompt_cost
            self._add_milestone(first, job, False)
            self._add_milestone(first + job.tokens, job, True)
            job.on_start()

    def _add_milestone(self, progress: float, job: Job, is_end: bool) -> None:
        milestone = (progress, next(self._sequence), job, is_end)
        heapq.heappush(self._milestones, milestone)

    def _speed(self) -> float:
        return self._rate / (1 + self._slowdown * max(0, self._running - 1))

    def _advance(self) -> None:
        now_s = self._clock.now_s
        if self._running:
            self._progress += (now_s - self._updated_s) * self._speed()
        self._updated_s = now_s

    def _schedule(self) -> None:
        while self._milestones and self._milestones[0][2].is_over:
            heapq.heappop(self._milestones)
        self._schedule_version += 1
        if not self._milestones:
            return
        version = self._schedule_version
        left = max(0.0, self._milestones[0][0] - self._progress)
        at_s = self._clock.now_s + left / self._speed()
        self._clock.call_at(at_s, lambda: self._on_milestone(version))

    def _on_milestone(self, version: int) -> None:
        if version != self._schedule_version:
            return
        self._advance()
        progress, _, job, is_end = heapq.heappop(self._milestones)
        self._progress = max(self._progress, progress)
        if is_end:
            job.is_over = True
            self._running -= 1
            self._start_some()
        self._schedule()
        if is_end:
            job.on_end()
        else:
            job.on_first_token()
