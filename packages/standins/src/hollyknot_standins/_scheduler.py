"""Continuous batching: slots, a queue by priority, and one timer for all."""

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
"""Tokens a step for each sequence when the interval is 0."""
STALLED_WAIT_S = 0.001
"""Seconds to the next step when no reader took a token."""
PACE_POLL_S = 0.02
"""The longest time after which a change of the pace is heeded. A step that was
planned at a pace of a minute would else hold up all that comes after it."""
MAX_STORED_PROMPTS = 10_000
"""Prompts remembered for resuming."""


class End(enum.Enum):
    """How a sequence ended."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    TRUNCATED = "truncated"


Emit = Callable[[int, int], bool]
"""Takes tokens from an index up to another; False if the reader is slow."""


@attrs.define(eq=False)
class Sequence:
    """An answer in the making.

    Attributes:
        prompt: What it answers.
        priority: 1 is the highest.
        position: The next token's index.
        prefill_s: Seconds from its start to its first token.
        emit: Where its tokens go.
        done: Resolved at its end.
    """

    prompt: Prompt
    priority: int
    position: int
    prefill_s: float
    emit: Emit
    done: asyncio.Future[End]
    ready_at_s: float = 0.0


class Pace(NamedTuple):
    """How fast sequences go, and where they end or wait.

    Attributes:
        interval_s: Seconds a token.
        truncate: The token after which answers are cut; 0 for none.
        hold: The token after which answers wait for as long as this is set;
            0 for none.
    """

    interval_s: float
    truncate: int
    hold: int


class Scheduler:
    """Runs sequences in slots, a token each a step."""

    def __init__(
        self,
        slots: int,
        queue: int,
        pace: Callable[[], Pace],
        on_start: Callable[[Prompt, int], None],
    ) -> None:
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
        """Sequences in slots."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Sequences that wait."""
        return len(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether a new sequence is refused."""
        waiting = self.running + self.queued
        return waiting >= self._slots + self._queue_limit

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence, and starts it if there is a slot."""
        entry = (sequence.priority, next(self._serial), sequence)
        heapq.heappush(self._queue, entry)
        self._admit()

    def find_prompt(self, request_id: str) -> Prompt | None:
        """The prompt of a request that ran here, for resuming it."""
        return self._prompts.get(request_id)

    def store_prompt(self, prompt: Prompt) -> None:
        """Keeps a prompt for resuming it."""
        self._prompts[prompt.request_id] = prompt
        if len(self._prompts) > MAX_STORED_PROMPTS:
            self._prompts.popitem(last=False)

    def cancel_request(self, request_id: str) -> int:
        """Cancels all sequences of a request; returns how many."""
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
        """Ends a sequence and gives its slot to the next."""
        if sequence in self._running:
            del self._running[sequence]
        else:
            self._queue = [e for e in self._queue if e[2] is not sequence]
            heapq.heapify(self._queue)
        if not sequence.done.done():
            sequence.done.set_result(end)
        self._admit()

    def drop_all(self) -> None:
        """Loses all work and memory, as a crash does."""
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
        """Plans the next step."""
        self._planned_at_s = asyncio.get_running_loop().time()
        self._due_s = due_s
        self._sleep()

    def _sleep(self) -> None:
        loop = asyncio.get_running_loop()
        wake_s = min(self._due_s, loop.time() + PACE_POLL_S)
        self._timer = loop.call_at(wake_s, self._wake)

    def _wake(self) -> None:
        """Steps, unless that is not due even at the pace of now."""
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
            # Steps keep to their grid, so that a late timer does not lower
            # the rate; a grid that is a whole step behind starts anew.
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
