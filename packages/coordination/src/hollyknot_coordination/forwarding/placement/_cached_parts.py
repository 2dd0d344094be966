"""Tracks which parts of prompts each upstream is believed to have cached.

A prompt is a sequence of parts, of which all but the last may be shared with
other prompts. A "run" is a prefix of the prompt that ends with a shared part;
an upstream can reuse a cached part only together with all parts before it.

There are three sources. All hosts prefer the same upstream for prompts that
share their parts, so that it is the one most likely to have them. A host
remembers which runs it sent to which upstream. And hosts report to each other
the runs that they sent to an upstream that was not known to have them. An
upstream can fetch missing parts from one that has them, in a tenth of the time
that their prefill takes.
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
"""Seconds for which an upstream is believed to keep parts that were sent there:
engines evict the least recently used parts, and parts that nobody sends any
more are old by then."""

REPORTED_S = 0.25
"""Seconds for which a newly held run stays in reports: at ten reports a second
each peer receives it two or three times, so that a lost report does no harm."""

MIN_REPORTED_TOKENS = 500
"""Prompt tokens below which a run is not reported: its prefill takes 10 ms,
which is not worth the bytes."""

_MAX_HOLDERS = 4
"""Holders of the missing parts that are kept as possible sources: nearly always
one of them is reachable and is not the upstream where the parts are missing."""

_MAX_UNTRACKED = 64
"""Runs that wait to be reported to trackers; more come up only while no tracker
is known."""

_MAX_REMEMBERED = 20_000
"""Pairs of an upstream and a run that a host remembers."""

_MAX_CACHED_NAMES = 20_000


@attrs.frozen
class CacheCoverage:
    """Cached shared parts of one prompt at the upstreams of a service.

    Attributes:
        missing_tokens: Shared tokens that each upstream is believed not to
            have cached, by incarnation.
        shared: Tokens in all shared parts.
        uncached_tokens: Shared tokens that no upstream is known to have.
        holders: Upstreams that are known to have the most, a few of them.
        runs: Short names of the runs, from the shortest to the longest.
    """

    missing_tokens: dict[str, int]
    shared: int = 0
    uncached_tokens: int = 0
    holders: tuple[UpstreamEntry, ...] = ()
    runs: tuple[int, ...] = ()

    def preferred_entry(
        self, entries: Sequence[UpstreamEntry]
    ) -> UpstreamEntry | None:
        """Returns the one of these upstreams that all hosts prefer.

        Returns:
            The entry; None without shared parts or entries.
        """
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
        """Returns the upstream from which another can fetch missing parts.

        An upstream that should have all parts gets a source too: while many
        streams run, engines evict parts that were used seconds ago, and nothing
        is fetched if nothing is missing. Where no upstream is known to have the
        parts, the preferred one is the source.

        Args:
            entry: Upstream that may not have all parts.
            preferred_entry: Upstream that all hosts prefer for these parts.
            excluded: Incarnations that must not be a source, since this host
                believes them unreachable: an upstream that waits for one of
                them makes no progress with its prefill.

        Returns:
            The source; None if there is none or the parts are too short.
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
    """Runs that one host believes to be cached at each upstream."""

    def __init__(self) -> None:
        """Builds an empty record."""
        self._sent: OrderedDict[tuple[int, int], float] = OrderedDict()
        self._recent: deque[tuple[float, HeldRun]] = deque()
        # Not yet reported to the trackers of the upstreams.
        self._untracked: deque[HeldRun] = deque(maxlen=_MAX_UNTRACKED)

    def note(
        self, incarnation: str, prompt: Sequence[PromptPart], now_s: float
    ) -> None:
        """Records that a prompt was sent to an upstream."""
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

    def to_report(self, now_s: float) -> tuple[HeldRun, ...]:
        """Returns the newly held runs that this host reports to its peers."""
        while self._recent and self._recent[0][0] < now_s - REPORTED_S:
            self._recent.popleft()
        return tuple(held for _, held in self._recent)

    def pop_untracked(self, upstream: int) -> tuple[HeldRun, ...]:
        """Returns and removes the runs not yet reported to a tracker.

        Args:
            upstream: Short name of the upstream that is tracked.
        """
        found = tuple(h for h in self._untracked if h.upstream == upstream)
        if found:
            rest = (h for h in self._untracked if h.upstream != upstream)
            self._untracked = deque(rest, maxlen=_MAX_UNTRACKED)
        return found

    def apply_reported(self, reported: Iterable[HeldRun], now_s: float) -> None:
        """Adds runs that a peer reported."""
        for held in reported:
            self._keep((held.upstream, held.run), now_s)

    def has(self, held: HeldRun, now_s: float) -> bool:
        """Whether an upstream is believed to have a run."""
        return self._is_held((held.upstream, held.run), now_s)

    def missing(
        self,
        entries: Sequence[UpstreamEntry],
        prompt: Sequence[PromptPart],
        now_s: float,
    ) -> CacheCoverage:
        """Returns which shared parts of a prompt are missing at each upstream.

        Args:
            entries: Upstreams that the prompt may be sent to.
            prompt: Parts of the prompt, of which the last one is not shared.
            now_s: Current time in seconds.
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
    """Returns the short name of each run, from the shortest to the longest."""
    runs: list[int] = []
    name = ""
    for part in prompt[:-1]:
        name = f"{name}/{part.name}"
        runs.append(short_name(name))
    return runs


def _weight(run: int, incarnation: str) -> bytes:
    """Returns the weight of an upstream for a run, for rendezvous hashing.

    A checksum would not do: it is linear, so that the order of two upstreams
    depends on a single bit of the run, and one of three upstreams might never
    come first.
    """
    text = f"{run}|{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
