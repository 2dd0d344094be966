"""Sums of what became of requests, and of how fast engines answered."""

import random
import statistics
from array import array
from collections import Counter

import attrs

from hollyknot_ctl._explain_failure import Line
from hollyknot_ctl._request_ends import LOSSES, Fate, RequestEnd, number

MIN_READ_TOKENS = 200
"""Prompt tokens from which the time to the first event tells an engine's pace;
below, other delays outweigh the prompt."""

PACES_KEPT = 256
"""Samples kept of each engine for its median."""

UNNAMED = "-"
"""Stands for an empty name in tables."""


@attrs.frozen
class Row:
    """The sums of one customer, route, data centre or cause.

    Attributes:
        name: Its name.
        requests: All requests that ended.
        in_time: Requests answered in time.
        unjudged: Complete answers of which the lines don't say whether they
            were late.
        late: Complete answers after a target.
        refused: Requests that hosts refused and that have not run.
        failed: Requests without a complete answer that may have run, and those
            whose callers left.
        wrong: Requests refused as wrong by themselves.
        loss_share: Its share of all late, refused and failed requests.
    """

    name: str
    requests: int
    in_time: int
    unjudged: int
    late: int
    refused: int
    failed: int
    wrong: int
    loss_share: float


class Payers:
    """Counts of requests by what became of them, by four keys."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts: dict[str, dict[str, Counter[Fate]]] = {
            "customers": {},
            "routes": {},
            "data_centres": {},
            "causes": {},
        }
        self._total: Counter[Fate] = Counter()

    @property
    def total(self) -> Row:
        """The sums of all requests."""
        return self._row("all", self._total)

    def add(self, end: RequestEnd) -> None:
        """Counts a request."""
        self._total[end.fate] += 1
        self._count("customers", end.customer, end.fate)
        self._count("routes", end.route, end.fate)
        self._count("data_centres", end.data_centre, end.fate)
        if end.cause:
            self._count("causes", end.cause, end.fate)

    def rows(self, by: str) -> list[Row]:
        """Returns the sums by a key, those with the largest loss first.

        Args:
            by: "customers", "routes", "data_centres" or "causes".
        """
        found = [self._row(n, c) for n, c in self._counts[by].items()]
        return sorted(found, key=lambda r: (-r.loss_share, -r.requests, r.name))

    def _count(self, by: str, name: str, fate: Fate) -> None:
        counts = self._counts[by]
        counts.setdefault(name or UNNAMED, Counter())[fate] += 1

    def _row(self, name: str, counts: Counter[Fate]) -> Row:
        lost = sum(self._total[fate] for fate in LOSSES)
        own = sum(counts[fate] for fate in LOSSES)
        return Row(
            name,
            requests=counts.total(),
            in_time=counts[Fate.IN_TIME],
            unjudged=counts[Fate.UNJUDGED],
            late=counts[Fate.LATE],
            refused=counts[Fate.REFUSED],
            failed=counts[Fate.FAILED],
            wrong=counts[Fate.WRONG],
            loss_share=round(own / lost, 4) if lost else 0.0,
        )


@attrs.frozen
class EngineRow:
    """How fast one engine answered.

    Attributes:
        upstream: Its incarnation.
        requests: Complete answers to prompts.
        late: Those of them that were late.
        first_ms: Median milliseconds to the first event per 1,000 prompt
            tokens that it had to read; None if too few were read.
        longest_gap_ms: The longest gap between two events in milliseconds.
    """

    upstream: str
    requests: int
    late: int
    first_ms: float | None
    longest_gap_ms: float


@attrs.define
class _Engine:
    requests: int = 0
    late: int = 0
    paces: "array[float]" = attrs.Factory(lambda: array("d"))
    paced: int = 0
    longest_gap_ms: float = 0.0


class Engines:
    """Counts and paces of engines by the lines of complete tries."""

    def __init__(self, rng: random.Random) -> None:
        """Creates empty counts.

        Args:
            rng: Chooses the samples that are kept.
        """
        self._rng = rng
        self._engines: dict[str, _Engine] = {}

    def add(self, line: Line) -> None:
        """Counts a complete try, if its request had a prompt.

        Raises:
            ValueError: A field that has to be a number is none.
        """
        if not number(line, "tokens"):
            return
        read = number(line, "read") + number(line, "ahead")
        first_ms = number(line, "first_ms")
        gap_ms = number(line, "gap_ms")
        name = line.fields.get("upstream") or UNNAMED
        engine = self._engines.setdefault(name, _Engine())
        engine.requests += 1
        engine.late += bool(line.fields.get("late"))
        engine.longest_gap_ms = max(engine.longest_gap_ms, gap_ms)
        if read >= MIN_READ_TOKENS and first_ms:
            self._sample(engine, first_ms * 1000 / read)

    def rows(self) -> list[EngineRow]:
        """Returns all engines, the slowest first."""
        found = [
            EngineRow(
                name,
                engine.requests,
                engine.late,
                _median(engine.paces),
                engine.longest_gap_ms,
            )
            for name, engine in self._engines.items()
        ]
        return sorted(found, key=lambda r: (-(r.first_ms or 0.0), r.upstream))

    def _sample(self, engine: _Engine, pace: float) -> None:
        """Keeps an even sample of all paces in bounded memory."""
        engine.paced += 1
        if len(engine.paces) < PACES_KEPT:
            engine.paces.append(pace)
            return
        place = self._rng.randrange(engine.paced)
        if place < PACES_KEPT:
            engine.paces[place] = pace


def _median(paces: "array[float]") -> float | None:
    return round(statistics.median(paces), 1) if paces else None
