"""Simulates continuous batching with slots and a priority queue."""

import asyncio
import enum
import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import attrs

from hollyknot_standins._openai import Prompt

BURST_TOKENS = 32
"""Tokens per step for each sequence when the interval is 0."""
STALLED_WAIT_S = 0.001
"""Seconds until the next step when no sequence emitted a token."""
PACE_POLL_S = 0.02
"""Longest time in seconds until a change of the pace takes effect.

Otherwise a step that was scheduled at a pace of one minute per token would
delay all later ones.
"""
MAX_STORED_PROMPTS = 10_000
"""Prompts that are kept for resuming; the oldest are dropped."""


class End(enum.Enum):
    """How a sequence ended."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    TRUNCATED = "truncated"


Emit = Callable[[int, int], bool]
"""Sends tokens from an index up to another; False if the reader is slow."""


@attrs.define(eq=False)
class Sequence:
    """An answer that is being generated.

    Attributes:
        prompt: Prompt that is answered.
        priority: Priority in the queue; 1 is the highest.
        position: Index of the next token.
        prefill_s: Seconds from its start to its first token.
        emit: Function that sends its tokens.
        done: Future that is resolved when the sequence ends.
        ready_at_s: Time in seconds of the event loop's clock from which it may
            emit tokens; set when it starts.
    """

    prompt: Prompt
    priority: int
    position: int
    prefill_s: float
    emit: Emit
    done: asyncio.Future[End]
    ready_at_s: float = 0.0


class Pace(NamedTuple):
    """How fast sequences emit tokens, and where they end or wait.

    Attributes:
        interval_s: Seconds between two tokens of a sequence.
        truncate: Number of tokens after which answers are cut off; 0 for none.
        hold: Number of tokens after which answers wait while this is set; 0
            for none.
    """

    interval_s: float
    truncate: int
    hold: int


class Scheduler:
    """Runs sequences in slots, one token per sequence in each step."""

    def __init__(
        self,
        slots: int,
        queue: int,
        pace: Callable[[], Pace],
        on_start: Callable[[Prompt, int], None],
    ) -> None:
        """Builds an idle scheduler.

        Args:
            slots: Sequences that run at once.
            queue: Sequences that may wait for a slot.
            pace: Returns the current pace.
            on_start: Called when a sequence starts, with its prompt and the
                index of its first token.
        """
        self._slots = slots
        self._queue_limit = queue
        self._pace = pace
        self._on_start = on_start
        self._serial = itertools.count()
        self._queue: list[tuple[int, int, Sequence]] = []
        self._running: dict[Sequence, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._planned_at_s = 0.0
        self._due_s = 0.0
        self._prompts: OrderedDict[str, Prompt] = OrderedDict()
        self.tokens = 0

    @property
    def running(self) -> int:
        """The number of sequences in slots."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of sequences that wait for a slot."""
        return len(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether all slots and places in the queue are in use."""
        waiting = self.running + self.queued
        return waiting >= self._slots + self._queue_limit

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence, and starts it if a slot is free."""
        entry = (sequence.priority, next(self._serial), sequence)
        heapq.heappush(self._queue, entry)
        self._admit()

    def find_prompt(self, request_id: str) -> Prompt | None:
        """Returns the stored prompt of a request; None if there is none."""
        return self._prompts.get(request_id)

    def store_prompt(self, prompt: Prompt) -> None:
        """Stores a prompt, so that its request can be resumed."""
        self._prompts[prompt.request_id] = prompt
        if len(self._prompts) > MAX_STORED_PROMPTS:
            self._prompts.popitem(last=False)

    def cancel_request(self, request_id: str) -> int:
        """Cancels all sequences of a request and returns their number."""
        queued = [sequence for _, _, sequence in self._queue]
        found = [
            sequence
            for sequence in [*self._running, *queued]
            if sequence.prompt.request_id == request_id
        ]
        for sequence in found:
            self.finish(sequence, End.CANCELLED)
        return len(found)

    def finish(self, sequence: Sequence, end: End) -> None:
        """Ends a sequence and starts the next one in its slot."""
        if sequence in self._running:
            del self._running[sequence]
        else:
            self._queue = [e for e in self._queue if e[2] is not sequence]
            heapq.heapify(self._queue)
        if not sequence.done.done():
            sequence.done.set_result(end)
        self._admit()

    def drop_all(self) -> None:
        """Drops all sequences and stored prompts, as a crash does."""
        self._queue.clear()
        self._running.clear()
        self._prompts.clear()

    def _admit(self) -> None:
        now_s = asyncio.get_running_loop().time()
        while self._queue and len(self._running) < self._slots:
            _, _, sequence = heapq.heappop(self._queue)
            sequence.ready_at_s = now_s + sequence.prefill_s
            self._running[sequence] = None
            self.store_prompt(sequence.prompt)
            self._on_start(sequence.prompt, sequence.position)
        if self._running and self._timer is None:
            now_s = asyncio.get_running_loop().time()
            self._schedule(now_s + self._pace().interval_s)

    def _schedule(self, due_s: float) -> None:
        """Schedules the next step."""
        self._planned_at_s = asyncio.get_running_loop().time()
        self._due_s = due_s
        self._sleep()

    def _sleep(self) -> None:
        loop = asyncio.get_running_loop()
        wake_s = min(self._due_s, loop.time() + PACE_POLL_S)
        self._timer = loop.call_at(wake_s, self._wake)

    def _wake(self) -> None:
        """Runs a step if it is due by its schedule or by the current pace."""
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        at_this_pace_s = self._planned_at_s + self._pace().interval_s
        self._due_s = min(self._due_s, at_this_pace_s)
        if now_s < self._due_s:
            self._sleep()
        else:
            self._step(self._due_s)

    def _step(self, due_s: float) -> None:
        pace = self._pace()
        interval_s = pace.interval_s
        now_s = asyncio.get_running_loop().time()
        burst = 1 if interval_s else BURST_TOKENS
        before = self.tokens
        for sequence in list(self._running):
            if sequence.ready_at_s <= now_s and sequence in self._running:
                self._advance(sequence, burst, pace)
        if not self._running or self._timer is not None:
            return
        if interval_s:
            # The next step is due one interval after this one was due, so
            # that a late timer does not lower the rate. If that has passed
            # already, it is due now.
            self._schedule(max(due_s + interval_s, now_s))
        else:
            progressed = self.tokens > before
            self._schedule(now_s if progressed else now_s + STALLED_WAIT_S)

    def _advance(self, sequence: Sequence, burst: int, pace: Pace) -> None:
        start = sequence.position
        truncate = pace.truncate
        stop = min(start + burst, sequence.prompt.length)
        for limit in (truncate, pace.hold):
            if limit:
                stop = min(stop, max(limit, start))
        if stop > start and not sequence.emit(start, stop):
            return
        sequence.position = stop
        self.tokens += stop - start
        if truncate and stop >= truncate and stop < sequence.prompt.length:
            self.finish(sequence, End.TRUNCATED)
        elif stop == sequence.prompt.length:
            self.finish(sequence, End.COMPLETE)
