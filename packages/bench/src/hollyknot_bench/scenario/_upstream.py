"""Models an engine by its slots and a speed that falls with the batch size."""

import collections
import heapq
import itertools
from collections.abc import Callable

import attrs

from hollyknot_bench.scenario._clock import VirtualClock


@attrs.define(eq=False)
class Job:
    """Try of a request at an engine.

    Attributes:
        prompt_cost: Cost of the prompt's prefill, in tokens of output.
        tokens: Length of the answer.
        on_start: Called when the job gets a slot.
        on_first_token: Called at the first token of the answer.
        on_end: Called at the end of the answer.
        started_s: Time at which the job got a slot; negative before that.
        start_progress: Progress of the engine at that time, in tokens.
        is_over: Whether the job ended or was cancelled.
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
    """Models an engine with continuous batching and a first-in first-out queue.

    All requests of a batch advance at the same speed. So the engine keeps one
    number, its progress: the tokens of a request that had run from the start.
    A job ends when the progress reaches the job's milestone for its end.
    """

    def __init__(
        self, clock: VirtualClock, slots: int, rate: float, slowdown: float
    ) -> None:
        """Creates an idle engine.

        Args:
            clock: Clock that schedules the engine's events.
            slots: Requests that the engine batches at most.
            rate: Tokens per second of a request that runs alone.
            slowdown: Increase of the time per token for each further request in
                the batch, as a fraction of the time with one request.
        """
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
        """Number of further requests that would start at once."""
        return max(0, self._slots - self._running - len(self._queue))

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait here."""
        return self._running + len(self._queue)

    def submit(self, job: Job) -> None:
        """Queues a job, and starts it if a slot is free."""
        self._advance()
        self._queue.append(job)
        self._start_some()
        self._schedule()

    def cancel(self, job: Job) -> float:
        """Cancels a job, and returns the tokens computed for it so far."""
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
