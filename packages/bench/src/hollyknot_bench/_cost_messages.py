"""What `make cost` and its load generators, processes of their own, exchange.

Options travel as one JSON argument, results as one JSON line.
"""

from typing import TypeVar

import attrs
import cattrs
import orjson

T = TypeVar("T")

QUOTE_BODY = '{"household": 7}'
"""The body of an idempotent call of the fleet's plain service."""


@attrs.frozen
class Target:
    """Where a load generator sends requests.

    Attributes:
        name: Under which results are reported.
        url: Of the requests.
        headers: Of the requests.
        body: A JSON document.
    """

    name: str
    url: str
    headers: dict[str, str]
    body: str


@attrs.frozen
class WholeLoad:
    """Requests for whole answers, open loop with Poisson arrivals.

    Attributes:
        targets: Dealt in turn, so that all see the same moments.
        rate: Requests a second, all targets together.
        duration_s: Seconds.
        seed: Of the arrivals.
        pids: Whose CPU time is taken.
    """

    targets: tuple[Target, ...]
    rate: float
    duration_s: float
    seed: int
    pids: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class StreamLoad:
    """Streams, each begun again when it ends.

    Attributes:
        target: Where.
        streams: How many at once.
        warm_up_s: Seconds before the measured window.
        duration_s: Seconds of the measured window.
        pids: Whose CPU time is taken over the window.
    """

    target: Target
    streams: int
    warm_up_s: float
    duration_s: float
    pids: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class HeldLoad:
    """Slow streams that are opened in steps and held open.

    Attributes:
        target: Where.
        steps: How many are open at each step; rising.
        settle_s: Seconds from a step's last first byte to its measure.
        pid: Whose memory is taken.
    """

    target: Target
    steps: tuple[int, ...]
    settle_s: float
    pid: int


@attrs.frozen
class Latency:
    """Percentiles over the answers of one target, in microseconds."""

    count: int
    p50: float
    p95: float
    p99: float


@attrs.frozen
class WholeResult:
    """The end of a `WholeLoad`.

    Attributes:
        latencies: By target.
        failed: Requests without a complete answer.
        cpu_s: CPU seconds of each process, the load generator's among them.
        elapsed_s: Seconds.
    """

    latencies: dict[str, Latency]
    failed: int
    cpu_s: dict[str, float]
    elapsed_s: float


@attrs.frozen
class StreamResult:
    """The end of a `StreamLoad`.

    Attributes:
        tokens: Read within the window.
        parts: Reads in which they came.
        failed: Streams without a complete end.
        cpu_s: CPU seconds of each process over the window.
        elapsed_s: Seconds of the window.
    """

    tokens: int
    parts: int
    failed: int
    cpu_s: dict[str, float]
    elapsed_s: float


@attrs.frozen
class HeldResult:
    """The end of a `HeldLoad`.

    Attributes:
        streams: Streams open at each step.
        resident_bytes: Memory at each step.
        failed: Streams that could not be opened.
    """

    streams: tuple[int, ...]
    resident_bytes: tuple[int, ...]
    failed: int


Load = WholeLoad | StreamLoad | HeldLoad
LoadResult = WholeResult | StreamResult | HeldResult


def to_json(value: Load | LoadResult) -> str:
    """Returns a message's JSON."""
    return orjson.dumps(cattrs.unstructure(value)).decode()


def from_json(text: str, kind: type[T]) -> T:
    """Returns the message that a JSON text holds."""
    return cattrs.structure(orjson.loads(text), kind)
