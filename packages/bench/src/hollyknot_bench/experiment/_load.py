"""The load of an experiment: what is asked for, of which engines, when.

A load is a JSON file, so that days of other customers are played without a
change of code. Its fields are those of the classes below.
"""

import math
import pathlib
import random

import attrs
import orjson

from hollyknot_bench.experiment._engine import EngineParameters
from hollyknot_state import TIERS, Problem, structure_or_first_problem

HINT_SPREAD = 0.5
"""How far callers' estimates of their answers are off, as a sigma."""


@attrs.frozen
class PartFigures:
    """A part of prompts that requests share.

    Attributes:
        tokens: Its length, on the mean.
        spread: Of the length, as the sigma of a lognormal distribution.
        things: How many different ones there are.
    """

    tokens: float
    things: int
    spread: float = 0.4


@attrs.frozen
class ClassFigures:
    """A class of streams.

    Attributes:
        name: In reports.
        per_s: Requests a second outside of bursts.
        parts: Shared parts of its prompts, in order.
        own_tokens: The part that is a request's own, on the mean.
        out_tokens: Of the answer, on the mean.
        first_s: Until the first event, to be in time.
        gap_s: Between two events, likewise.
        timeout_s: After which an answer is worth nothing.
        worth: Of an answer in time.
        late_worth: Of one that is late.
        priority: 0 is the most urgent.
        own_spread: As of parts.
        out_spread: As of parts.
    """

    name: str
    per_s: float
    parts: tuple[PartFigures, ...]
    own_tokens: float
    out_tokens: float
    first_s: float
    gap_s: float
    timeout_s: float
    worth: float
    late_worth: float
    priority: int
    own_spread: float = 1.0
    out_spread: float = 1.0


@attrs.frozen
class Burst:
    """A time in which a class sends more.

    Attributes:
        name: The class.
        at_s: Its begin.
        for_s: Its length.
        times: The usual rate.
    """

    name: str
    at_s: float
    for_s: float
    times: float


@attrs.frozen
class Crash:
    """Engines that stop, lose all and come back empty.

    Attributes:
        at_s: When.
        for_s: How long they are away.
        engines: How many.
    """

    at_s: float
    for_s: float
    engines: int


@attrs.frozen
class Limit:
    """Engines that name a rate limit in their answers.

    Attributes:
        at_s: From when on.
        for_s: How long.
        engines: Their numbers.
        rate: Requests a second that each takes from all hosts together.
    """

    at_s: float
    for_s: float
    engines: tuple[int, ...]
    rate: float


@attrs.frozen
class Load:
    """A day.

    Attributes:
        length_s: How long requests are sent.
        hosts: That take them.
        report_s: Between two reports that a host hears of each peer; 0 for as
            many as the budget of bytes allows.
        engines: Their number.
        engine: What all are like.
        slowness: By how much each is slower, in turn.
        classes: What is asked for.
        bursts: When more of it is.
        crashes: Of engines.
        limits: Of engines in need.
    """

    length_s: float
    hosts: int
    report_s: float
    engines: int
    engine: EngineParameters
    slowness: tuple[float, ...]
    classes: tuple[ClassFigures, ...]
    bursts: tuple[Burst, ...] = ()
    crashes: tuple[Crash, ...] = ()
    limits: tuple[Limit, ...] = ()


@attrs.frozen
class Request:
    """One request, as its caller sends it.

    Attributes:
        number: Unique in a day.
        kind: Its class.
        at_s: When it is sent.
        host: The number of the host that takes it first.
        prompt: Names and lengths of its parts; the last is its own.
        out_tokens: That its answer will have.
        rank: Of its customer; 0 is the first.
        hint: What the caller takes the answer's length to be.
    """

    number: int
    kind: ClassFigures
    at_s: float
    host: int
    prompt: tuple[tuple[str, int], ...]
    out_tokens: int
    rank: int
    hint: int

    @property
    def tokens(self) -> int:
        """Of the whole prompt."""
        return sum(tokens for _, tokens in self.prompt)


def read_load(path: pathlib.Path) -> Load | Problem:
    """Reads a load, or tells the first mistake in it."""
    try:
        document = orjson.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        return Problem(str(path), str(error), "name a file of JSON")
    return structure_or_first_problem(document, Load)


def requests_of(load: Load, seed: int) -> list[Request]:
    """Draws all requests of a day, in the order of their times."""
    rng = random.Random(seed)
    drawn = [
        (at_s, kind)
        for kind in load.classes
        for at_s in _times(load, kind, rng)
    ]
    drawn.sort(key=lambda pair: pair[0])
    lengths: dict[str, int] = {}
    return [
        _request(load, kind, at_s, number, rng, lengths)
        for number, (at_s, kind) in enumerate(drawn)
    ]


def _request(
    load: Load,
    kind: ClassFigures,
    at_s: float,
    number: int,
    rng: random.Random,
    lengths: dict[str, int],
) -> Request:
    out_tokens = _lognormal(kind.out_tokens, kind.out_spread, rng)
    return Request(
        number=number,
        kind=kind,
        at_s=at_s,
        host=rng.randrange(load.hosts),
        prompt=_prompt(kind, number, rng, lengths),
        out_tokens=out_tokens,
        rank=rng.randrange(len(TIERS)),
        hint=_lognormal(out_tokens, HINT_SPREAD, rng),
    )


def _times(load: Load, kind: ClassFigures, rng: random.Random) -> list[float]:
    bursts = [b for b in load.bursts if b.name == kind.name]
    most = max([1.0, *(b.times for b in bursts)])
    times: list[float] = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(kind.per_s * most)
        if now_s >= load.length_s:
            return times
        factor = max(
            [
                1.0,
                *(
                    b.times
                    for b in bursts
                    if b.at_s <= now_s < b.at_s + b.for_s
                ),
            ]
        )
        if rng.random() < factor / most:
            times.append(now_s)


def _prompt(
    kind: ClassFigures,
    number: int,
    rng: random.Random,
    lengths: dict[str, int],
) -> tuple[tuple[str, int], ...]:
    parts = []
    for depth, part in enumerate(kind.parts):
        name = f"{kind.name}-{depth}-{rng.randrange(part.things)}"
        if name not in lengths:
            lengths[name] = _lognormal(part.tokens, part.spread, rng)
        parts.append((name, lengths[name]))
    own = _lognormal(kind.own_tokens, kind.own_spread, rng)
    parts.append((f"own-{number}", own))
    return tuple(parts)


def _lognormal(mean: float, sigma: float, rng: random.Random) -> int:
    drawn = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return max(1, int(drawn))
