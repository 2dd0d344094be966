"""Which upstream has which parts of prompts cached, as far as a host knows.

Three sources: all hosts send prompts that share their parts to the same
upstream where they can, so that it is the one most likely to have them; a host
remembers where it sent what itself; and hosts tell each other where they sent
parts that nobody was known to have sent there. What an upstream lacks it can
fetch from one that has it, in a tenth of the time that reading takes.
"""

import functools
import hashlib
import heapq
from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Sequence

import attrs

from hollyknot_state import HeldRun, short_name
from hollyknot_state.routes import PromptPart, UpstreamEntry

REMEMBERED_S = 30.0
"""How long a host takes an upstream to keep what was sent there: engines drop
the least recently used parts, and those that nobody sends are old by then."""

REPORTED_S = 0.25
"""How long news stay in reports: with ten reports a second each peer hears them
two or three times, so that one that is lost does no harm."""

MIN_REPORTED_TOKENS = 500
"""Shorter runs are not worth the bytes: they are read in 10 ms."""

_MAX_HOLDERS = 4
"""Of which one can be reached and is not the one that asks, mostly."""

_MAX_UNTRACKED = 64
"""More come up only while no tracker is known."""

_MAX_REMEMBERED = 20_000
_MAX_CACHED_NAMES = 20_000


@attrs.frozen
class CacheCoverage:
    """What upstreams lack of the shared parts of one prompt, in tokens.

    Attributes:
        lacks: By incarnation, as far as it is known.
        shared: All of the shared parts.
        to_read: What no upstream is known to have.
        holders: Those that are known to have the most, a few of them.
        runs: Short names of the runs of shared parts.
    """

    missing_tokens: dict[str, int]
    shared: int = 0
    uncached_tokens: int = 0
    holders: tuple[UpstreamEntry, ...] = ()
    runs: tuple[int, ...] = ()

    def preferred_entry(
        self, entries: Sequence[UpstreamEntry]
    ) -> UpstreamEntry | None:
        """Returns the one of some upstreams that all hosts prefer."""
        if not self.runs or not entries:
            return None
        last = self.runs[-1]
        return max(entries, key=lambda e: _weight(last, e.incarnation))

    def source(
        self,
        entry: UpstreamEntry,
        preferred_entry: UpstreamEntry | None,
        excluded: Collection[str],
    ) -> UpstreamEntry | None:
        """Returns where an upstream can fetch what it lacks; None for nowhere.

        One that should have all of it is told a source too: while many streams
        run, engines drop parts that were used seconds ago, and nothing is
        fetched where nothing lacks. The preferred one is asked where nobody is
        known to have the parts.

        Args:
            entry: The upstream.
            preferred_entry: The one that all hosts prefer.
            excluded: Incarnations that can't be reached, as far as this host
                knows: an upstream that waits for them reads nothing meanwhile.
        """
        if self.shared < MIN_REPORTED_TOKENS:
            return None
        for source in (*self.holders, preferred_entry):
            if source is None or source is entry:
                continue
            if source.incarnation not in excluded:
                return source
        return None


class CachedParts:
    """What one host believes of upstreams' caches."""

    def __init__(self) -> None:
        """Has sent nothing yet."""
        self._sent: OrderedDict[tuple[int, int], float] = OrderedDict()
        self._recent: deque[tuple[float, HeldRun]] = deque()
        # Not yet told to the upstreams' trackers.
        self._untracked: deque[HeldRun] = deque(maxlen=_MAX_UNTRACKED)

    def note(
        self, incarnation: str, prompt: Sequence[PromptPart], now_s: float
    ) -> None:
        """Notes that a prompt was sent to an upstream."""
        upstream = _short(incarnation)
        tokens = 0
        for part, run in zip(prompt, _runs(prompt), strict=False):
            held = (upstream, run)
            tokens += part.tokens
            is_new = not self._is_held(held, now_s)
            self._keep(held, now_s)
            if is_new and tokens >= MIN_REPORTED_TOKENS:
                self._recent.append((now_s, HeldRun(*held)))
                self._untracked.append(HeldRun(*held))

    def told(self, now_s: float) -> tuple[HeldRun, ...]:
        """Returns what was sent lately that was not known before."""
        while self._recent and self._recent[0][0] < now_s - REPORTED_S:
            self._recent.popleft()
        return tuple(held for _, held in self._recent)

    def pop_untracked(self, upstream: int) -> tuple[HeldRun, ...]:
        """Returns what the tracker of an upstream was not told yet, once."""
        found = tuple(h for h in self._untracked if h.upstream == upstream)
        if found:
            rest = (h for h in self._untracked if h.upstream != upstream)
            self._untracked = deque(rest, maxlen=_MAX_UNTRACKED)
        return found

    def take(self, told: Iterable[HeldRun], now_s: float) -> None:
        """Takes in what a peer has told."""
        for held in told:
            self._keep((held.upstream, held.run), now_s)

    def has(self, held: HeldRun, now_s: float) -> bool:
        """Whether an upstream is taken to have some parts."""
        return self._is_held((held.upstream, held.run), now_s)

    def missing(
        self,
        entries: Sequence[UpstreamEntry],
        prompt: Sequence[PromptPart],
        now_s: float,
    ) -> CacheCoverage:
        """Returns what each upstream lacks of the shared parts.

        Args:
            entries: The upstreams among which prompts are spread.
            prompt: All parts; the last one is nobody else's.
            now_s: The time.
        """
        shared = prompt[:-1]
        if not shared:
            return CacheCoverage({entry.incarnation: 0 for entry in entries})
        runs = _runs(prompt)
        total = sum(part.tokens for part in shared)
        missing_tokens = {}
        holders: list[UpstreamEntry] = []
        least = total
        for entry in entries:
            tokens = self._lacking(entry, shared, runs, now_s)
            missing_tokens[entry.incarnation] = tokens
            if tokens < least:
                least = tokens
                holders = [entry]
            elif tokens < total and tokens == least:
                holders.append(entry)
        return CacheCoverage(
            missing_tokens,
            total,
            least,
            tuple(holders[:_MAX_HOLDERS]),
            tuple(runs),
        )

    def _lacking(
        self,
        entry: UpstreamEntry,
        shared: Sequence[PromptPart],
        runs: Sequence[int],
        now_s: float,
    ) -> int:
        upstream = _short(entry.incarnation)
        for index, run in enumerate(runs):
            if not self._is_held((upstream, run), now_s):
                return sum(part.tokens for part in shared[index:])
        return 0

    def _is_held(self, held: tuple[int, int], now_s: float) -> bool:
        return self._sent.get(held, float("-inf")) >= now_s - REMEMBERED_S

    def _keep(self, held: tuple[int, int], now_s: float) -> None:
        self._sent[held] = now_s
        self._sent.move_to_end(held)
        while len(self._sent) > _MAX_REMEMBERED:
            self._sent.popitem(last=False)


def runs_of(prompt: Sequence[PromptPart]) -> tuple[int, ...]:
    """Returns the short names of the runs of a prompt's shared parts."""
    return tuple(_runs(prompt))


def preferred(
    entries: Sequence[UpstreamEntry], run: int, count: int
) -> list[UpstreamEntry]:
    """Returns the upstreams that all hosts prefer for a run, best first."""
    return heapq.nlargest(
        count, entries, key=lambda e: _weight(run, e.incarnation)
    )


_short = functools.lru_cache(maxsize=_MAX_CACHED_NAMES)(short_name)


def _runs(prompt: Sequence[PromptPart]) -> list[int]:
    """Returns a name for each run of shared parts from the prompt's start."""
    runs: list[int] = []
    name = ""
    for part in prompt[:-1]:
        name = f"{name}/{part.name}"
        runs.append(short_name(name))
    return runs


def _weight(run: int, incarnation: str) -> bytes:
    """Returns a hash whose order for two upstreams depends on all of the name.

    A checksum would not do: it is linear, so that the order of two upstreams
    hangs on one bit of the name, and of three upstreams one may never be first.
    """
    text = f"{run}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
