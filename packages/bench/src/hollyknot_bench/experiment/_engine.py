"""A model engine under a virtual clock.

It works in steps: each makes one token for every stream that runs, and reads
a piece of the prompts that wait, which makes the step longer for all of them.
Parts of prompts are cached until newer ones need their memory.
"""

from collections import OrderedDict
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineParameters:
    """What an engine is like.

    Attributes:
        slots: Requests at once.
        step_ms: The shortest step.
        step_ms_per_slot: What each stream adds to it.
        context_ms_per_k: What each thousand tokens of running streams add.
        tokens_per_ms: How fast prompts are read.
        first_ms: From a stream's first token to its first event.
        stride: Tokens in an event.
        chunk: Prompt tokens that a step reads at most.
        cached_tokens: Memory for running streams and cached parts.
    """

    slots: int
    step_ms: float
    step_ms_per_slot: float
    context_ms_per_k: float
    tokens_per_ms: float
    first_ms: float
    stride: int
    chunk: int
    cached_tokens: int


@attrs.define(eq=False)
class EngineRequest:
    """A request at an engine.

    Attributes:
        prompt: Names and lengths of its parts; the last is its own.
        out_tokens: To be made.
        urgency: 0 is the first.
        on_event: Told of each event with its time and whether it is the last.
        on_lost: Told that the engine has crashed.
        source: An engine from which cached parts are fetched; a fetch takes
            some milliseconds, which are left out.
        unread: Prompt tokens still to be read.
        made: Tokens made so far.
        read: Prompt tokens that were read for it.
    """

    prompt: tuple[tuple[str, int], ...]
    out_tokens: int
    urgency: int
    on_event: Callable[[float, bool], None]
    on_lost: Callable[[float], None]
    source: "Engine | None" = None
    unread: int = 0
    made: int = 0
    read: int = 0

    @property
    def context(self) -> int:
        """Tokens that it holds in memory."""
        return sum(tokens for _, tokens in self.prompt) + self.made


class Engine:
    """One engine; its owner calls `step` when `next_s` has come."""

    def __init__(self, figures: EngineParameters, slowness: float) -> None:
        """Starts empty."""
        self._figures = figures
        self._slowness = slowness
        self._waiting: list[EngineRequest] = []
        self._active: list[EngineRequest] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._prefills: list[tuple[EngineRequest, int]] = []
        self.next_s: float | None = None
        self.is_down = False
        self.is_scheduled = False
        self.tokens_read = 0
        self.tokens_read_again = 0
        self.prefill_busy_s = 0.0
        self.preemptions = 0
        self._ever_cached: set[str] = set()

    def submit(self, run: EngineRequest, now_s: float) -> None:
        """Takes a request."""
        self._waiting.append(run)
        # Stable: of equal urgency the first to come is the first served.
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        if self.next_s is None:
            self._begin(now_s)

    def cancel(self, run: EngineRequest) -> None:
        """Ends a request whose caller has gone."""
        for runs in (self._waiting, self._active):
            if run in runs:
                runs.remove(run)

    def crash(self, now_s: float) -> None:
        """Loses all requests and all memory."""
        lost = self._waiting + self._active
        self._waiting, self._active, self._prefills = [], [], []
        self._cached.clear()
        self.next_s = None
        self.is_down = True
        for run in lost:
            run.on_lost(now_s)

    def recover(self) -> None:
        """Takes requests again."""
        self.is_down = False

    def step(self) -> None:
        """Ends the step that was due, and begins the next one."""
        assert self.next_s is not None
        now_s = self.next_s
        for run, tokens in self._prefills:
            run.unread -= tokens
        for run in list(self._active):
            if run.unread == 0:
                self._make_token(run, now_s)
        self._begin(now_s)

    def _make_token(self, run: EngineRequest, now_s: float) -> None:
        run.made += 1
        is_last = run.made >= run.out_tokens
        if run.made == 1:
            self._cache_prefixes(run)
        if is_last:
            self._active.remove(run)
        if is_last or run.made == 1 or run.made % self._figures.stride == 0:
            run.on_event(now_s + self._figures.first_ms / 1000, is_last)

    def _begin(self, now_s: float) -> None:
        figures = self._figures
        self._admit()
        if not self._active:
            self.next_s = None
            return
        budget = figures.chunk
        self._prefills = []
        decoding = 0
        context = 0
        for run in self._active:
            if run.unread == 0:
                decoding += 1
                context += run.context
                continue
            tokens = min(run.unread, budget)
            if tokens:
                budget -= tokens
                self._prefills.append((run, tokens))
        read = figures.chunk - budget
        reading_ms = read / figures.tokens_per_ms
        step_ms = (
            figures.step_ms
            + figures.step_ms_per_slot * decoding
            + figures.context_ms_per_k * context / 1000
            + reading_ms
        ) * self._slowness
        self.tokens_read += read
        self.prefill_busy_s += reading_ms * self._slowness / 1000
        self.next_s = now_s + step_ms / 1000

    def _admit(self) -> None:
        while self._waiting and self._make_room():
            run = self._waiting.pop(0)
            # What a run had made before it was put back is read again.
            run.unread = max(1, self._count_tokens_to_prefill(run)) + run.made
            run.read += run.unread
            self._active.append(run)

    def _make_room(self) -> bool:
        """Makes a place, if need be, by putting back what is less urgent."""
        if len(self._active) < self._figures.slots:
            return True
        last = max(reversed(self._active), key=lambda run: run.urgency)
        if last.urgency <= self._waiting[0].urgency:
            return False
        self._active.remove(last)
        self._prefills = [
            (run, n) for run, n in self._prefills if run is not last
        ]
        self.preemptions += 1
        self._waiting.append(last)
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        return True

    def _count_tokens_to_prefill(self, run: EngineRequest) -> int:
        """Returns what has to be read: all from the first part that lacks."""
        for index, name in enumerate(_prefix_names(run)):
            if name not in self._cached:
                if run.source is not None and run.source.holds(name):
                    continue
                again = [
                    tokens
                    for part, (_, tokens) in zip(
                        _prefix_names(run)[index:],
                        run.prompt[index:-1],
                        strict=True,
                    )
                    if part in self._ever_cached
                ]
                self.tokens_read_again += sum(again)
                return sum(tokens for _, tokens in run.prompt[index:])
            self._cached.move_to_end(name)
        return run.prompt[-1][1]

    def holds(self, name: str) -> bool:
        """Whether a run of parts is cached."""
        return name in self._cached

    def _cache_prefixes(self, run: EngineRequest) -> None:
        for name, (_, tokens) in zip(
            _prefix_names(run), run.prompt, strict=False
        ):
            self._cached[name] = tokens
            self._cached.move_to_end(name)
            self._ever_cached.add(name)
        held = sum(r.context for r in self._active)
        while self._cached and (
            sum(self._cached.values()) + held > self._figures.cached_tokens
        ):
            self._cached.popitem(last=False)


def _prefix_names(run: EngineRequest) -> list[str]:
    """Returns a name for each run of shared parts from the prompt's start."""
    names: list[str] = []
    for part, _ in run.prompt[:-1]:
        names.append(f"{names[-1]}/{part}" if names else part)
    return names
