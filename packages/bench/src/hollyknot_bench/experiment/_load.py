"""Describes the load of an experiment and draws its requests.

A load is a JSON file, so that the load of another customer needs no change of
code. The fields of the file are the attributes of the classes below.
"""

import math
import pathlib
import random

import attrs
import orjson

from hollyknot_bench.experiment._engine import EngineParameters
from hollyknot_state import TIERS, Problem, structure_or_first_problem

HINT_SIGMA = 0.5
"""Error of callers' estimates of the answer length, as a lognormal sigma."""


@attrs.frozen
class PartFigures:
    """Shared part of prompts, such as a system prompt or a document.

    Attributes:
        tokens: Mean length in tokens.
        spread: Sigma of the lognormal distribution of the length.
        things: Number of different contents that this part can have.
    """

    tokens: float
    things: int
    spread: float = 0.4


@attrs.frozen
class ClassFigures:
    """Class of streaming requests.

    Attributes:
        name: Name of the class in the printed results.
        per_s: Requests per second outside of bursts.
        parts: Shared parts of its prompts, in order.
        own_tokens: Mean length of the prompt part that only one request has.
        out_tokens: Mean length of an answer in tokens.
        first_s: Target for the time to first token.
        gap_s: Target for the longest inter-token gap.
        timeout_s: Time after which an answer is worth nothing.
        worth: Value of an answer that meets both targets.
        late_worth: Value of a complete answer that misses a target.
        priority: Priority of the class; 0 is the most urgent.
        own_spread: Sigma of the lognormal distribution of `own_tokens`.
        out_spread: Sigma of the lognormal distribution of `out_tokens`.
        resumes: Whether a request is sent again after its engine has crashed.
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
    resumes: bool = True


@attrs.frozen
class Burst:
    """Period in which a class sends requests at a higher rate.

    Attributes:
        name: Name of the class.
        at_s: Start of the burst.
        for_s: Duration of the burst.
        times: Factor by which the rate of the class is multiplied, at least 1.
    """

    name: str
    at_s: float
    for_s: float
    times: float


@attrs.frozen
class Crash:
    """Crash of engines, which lose all requests and restart with empty caches.

    Attributes:
        at_s: Time of the crash.
        for_s: Time from the crash to the restart.
        engines: Number of engines that crash, drawn at random.
    """

    at_s: float
    for_s: float
    engines: int


@attrs.frozen
class Limit:
    """Period in which engines name a rate limit in their answers.

    Attributes:
        at_s: Start of the period.
        for_s: Duration of the period.
        engines: Numbers of the engines.
        rate: Requests per second that each engine accepts from all hosts
            together.
    """

    at_s: float
    for_s: float
    engines: tuple[int, ...]
    rate: float


@attrs.frozen
class Load:
    """Load of one simulated run.

    Attributes:
        length_s: Time during which requests are sent.
        hosts: Number of hosts that receive them.
        report_s: Interval between two reports that a host receives from each
            peer; 0 for as many reports as the byte budget of a host allows.
        engines: Number of engines.
        engine: Properties that all engines share.
        slowness: Factors by which engines are slower, assigned in turn.
        classes: Classes of requests.
        bursts: Periods of a higher request rate.
        crashes: Crashes of engines.
        limits: Periods in which engines name a rate limit.
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
    """Request, as its caller sends it.

    Attributes:
        number: Number of the request, unique within a run.
        kind: Class of the request.
        at_s: Time at which it is sent.
        host: Number of the host that receives the first try.
        prompt: Names and lengths of the prompt parts; the last part is the
            request's own, the others are shared.
        out_tokens: Length of its answer in tokens.
        rank: Rank of its customer; 0 is the most urgent.
        hint: Caller's estimate of the answer length in tokens.
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
        """Length of the whole prompt in tokens."""
        return sum(tokens for _, tokens in self.prompt)


def read_load(path: pathlib.Path) -> Load | Problem:
    """Reads a load from a file, or returns the first problem found in it."""
    try:
        document = orjson.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        return Problem(str(path), str(error), "name a file of JSON")
    return structure_or_first_problem(document, Load)


def draw_requests(load: Load, seed: int) -> list[Request]:
    """Draws all requests of a run, in the order of their times."""
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
        hint=_lognormal(out_tokens, HINT_SIGMA, rng),
    )


def _times(load: Load, kind: ClassFigures, rng: random.Random) -> list[float]:
    bursts = [b for b in load.bursts if b.name == kind.name]
    max_factor = max([1.0, *(b.times for b in bursts)])
    times: list[float] = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(kind.per_s * max_factor)
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
        if rng.random() < factor / max_factor:
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
