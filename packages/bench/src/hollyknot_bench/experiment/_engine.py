"""Emulates an engine under a virtual clock.

The engine works in steps. Each step decodes one token of every running stream
and prefills a chunk of the prompts that need it, which makes the step longer
for all streams. Parts of prompts stay cached until newer ones need the memory.
"""

import random
from collections import OrderedDict
from collections.abc import Callable

import attrs


@attrs.frozen
class EngineParameters:
    """Speed and memory of an engine.

    Attributes:
        slots: Number of requests that run at once.
        step_ms: Length of a step without streams, in milliseconds.
        step_ms_per_slot: Milliseconds that each decoding stream adds to a step.
        context_ms_per_k: Milliseconds that each thousand context tokens of
            decoding streams add to a step.
        tokens_per_ms: Prompt tokens prefilled per millisecond.
        first_ms: Delay from a token to the event that carries it, in
            milliseconds.
        stride: Number of tokens in an event, after a stream's first event.
        chunk: Maximum number of prompt tokens that one step prefills.
        cached_tokens: Memory for running streams and cached parts, in tokens.
        pairs_ms_per_m: Milliseconds that each million pairs of a prefilled
            token and an earlier one add to a step.
        noise_share: Fraction of the periods of `noise_s` in which every step
            takes `noise_times` as long.
        noise_times: Factor on the length of a step in such a period.
        noise_s: Length of a period in seconds.
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
    pairs_ms_per_m: float = 0.0
    noise_share: float = 0.0
    noise_times: float = 1.0
    noise_s: float = 0.6


@attrs.define(eq=False)
class EngineRequest:
    """A request at an engine.

    Attributes:
        prompt: Names of the prompt's parts and their lengths in tokens; the
            last part is never shared with other requests.
        out_tokens: Number of tokens to decode.
        urgency: Priority; lower values run first, from 0.
        on_event: Called for each event with its time in seconds and whether it
            is the last.
        on_lost: Called with the time in seconds if the engine crashes.
        source: Engine from which cached parts are fetched, if any. A real
            fetch takes a few milliseconds, which the emulation neglects.
        unread: Prompt tokens that are still to be prefilled.
        made: Tokens decoded so far.
        read: Tokens that this engine prefilled for the request, including
            those prefilled again after a preemption.
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
        """Tokens that the request holds in the engine's memory."""
        return sum(tokens for _, tokens in self.prompt) + self.made


class Engine:
    """An emulated engine, whose owner must call `step` at the time `next_s`."""

    def __init__(
        self, figures: EngineParameters, slowness: float, seed: int = 0
    ) -> None:
        """Builds an idle engine with an empty cache.

        Args:
            figures: Speed and memory of the engine.
            slowness: Factor on the length of each step; 1 for normal speed.
            seed: Seed of the periods in which the engine is noisy.
        """
        self._figures = figures
        self._slowness = slowness
        self._seed = seed
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
        """Queues a request, and starts a step if the engine is idle."""
        self._waiting.append(run)
        # The sort is stable, so requests of equal urgency keep their order.
        self._waiting.sort(key=lambda waiting: waiting.urgency)
        if self.next_s is None:
            self._begin(now_s)

    def cancel(self, run: EngineRequest) -> None:
        """Removes a request whose caller has disconnected."""
        for runs in (self._waiting, self._active):
            if run in runs:
                runs.remove(run)

    def crash(self, now_s: float) -> None:
        """Drops all requests and the cache, and marks the engine as down."""
        lost = self._waiting + self._active
        self._waiting, self._active, self._prefills = [], [], []
        self._cached.clear()
        self.next_s = None
        self.is_down = True
        for run in lost:
            run.on_lost(now_s)

    def recover(self) -> None:
        """Marks the engine as running again after a crash."""
        self.is_down = False

    def step(self) -> None:
        """Completes the step that ends at `next_s` and starts the next one."""
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
        pairs = 0
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
                pairs += tokens * (run.context - run.unread)
                self._prefills.append((run, tokens))
        read = figures.chunk - budget
        reading_ms = read / figures.tokens_per_ms
        step_ms = (
            figures.step_ms
            + figures.step_ms_per_slot * decoding
            + figures.context_ms_per_k * context / 1000
            + reading_ms
            + figures.pairs_ms_per_m * pairs / 1e6
        ) * self._slowness_at(now_s)
        self.tokens_read += read
        self.prefill_busy_s += reading_ms * self._slowness / 1000
        self.next_s = now_s + step_ms / 1000

    def _slowness_at(self, now_s: float) -> float:
        """Returns the factor on the length of a step that begins now."""
        figures = self._figures
        if not figures.noise_share:
            return self._slowness
        period = int(now_s / figures.noise_s)
        drawn = random.Random(self._seed * 1_000_003 + period).random()
        is_noisy = drawn < figures.noise_share
        return self._slowness * (figures.noise_times if is_noisy else 1.0)

    def _admit(self) -> None:
        while self._waiting and self._make_room():
            run = self._waiting.pop(0)
            # Tokens that a request decoded before it was preempted must be
            # prefilled too.
            run.unread = max(1, self._count_tokens_to_prefill(run)) + run.made
            run.read += run.unread
            self._active.append(run)

    def _make_room(self) -> bool:
        """Returns whether a slot is free, after a preemption if one is needed.

        If all slots are taken, the least urgent running request is preempted
        for a more urgent one.
        """
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
        """Returns the prompt tokens from the first part that is not cached."""
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
        """Returns whether a prefix of parts is cached."""
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
    """Returns a name for each prefix of shared parts of the prompt."""
    names: list[str] = []
    for part, _ in run.prompt[:-1]:
        names.append(f"{names[-1]}/{part}" if names else part)
    return names
