"""Messages between `make cost` and its load generator processes.

A load is passed as one JSON argument; the result is printed as one JSON line.
"""

from typing import TypeVar

import attrs
import cattrs
import orjson

T = TypeVar("T")

QUOTE_BODY = '{"household": 7}'
"""Body of an idempotent call to the fleet's service."""


@attrs.frozen
class Target:
    """A URL to which a load generator sends one fixed request.

    Attributes:
        name: Name under which results are reported.
        url: URL of the requests.
        headers: Headers of the requests.
        body: JSON document that is sent as the body.
    """

    name: str
    url: str
    headers: dict[str, str]
    body: str


@attrs.frozen
class WholeLoad:
    """Requests for unstreamed answers, open loop with Poisson arrivals.

    Attributes:
        targets: Targets that get requests in turn, so that all are compared
            under the same conditions.
        rate: Requests per second, over all targets.
        duration_s: Time during which requests are sent, in seconds.
        seed: Seed of the arrivals.
        pids: Processes whose CPU time is reported, by name.
    """

    targets: tuple[Target, ...]
    rate: float
    duration_s: float
    seed: int
    pids: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class StreamLoad:
    """A constant number of streams; each is reopened when it ends.

    Attributes:
        target: Target of the streams.
        streams: Number of concurrent streams.
        warm_up_s: Time before the measured window, in seconds.
        duration_s: Length of the measured window, in seconds.
        pids: Processes whose CPU time in the window is reported, by name.
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
        target: Target of the streams.
        steps: Number of open streams at each step, in rising order.
        settle_s: Time to wait before memory is read, in seconds, once each
            stream of a step has sent its first byte.
        pid: Process whose resident memory is read.
    """

    target: Target
    steps: tuple[int, ...]
    settle_s: float
    pid: int


@attrs.frozen
class Latency:
    """Latency percentiles of one target's answers, in microseconds."""

    count: int
    p50: float
    p95: float
    p99: float


@attrs.frozen
class WholeResult:
    """The result of a `WholeLoad`.

    Attributes:
        latencies: Latencies by name of the target.
        failed: Number of requests without a complete answer.
        cpu_s: CPU seconds by process, including the load generator.
        elapsed_s: Time from the first request to the last answer, in seconds.
    """

    latencies: dict[str, Latency]
    failed: int
    cpu_s: dict[str, float]
    elapsed_s: float


@attrs.frozen
class StreamResult:
    """The result of a `StreamLoad`.

    Attributes:
        tokens: Tokens received within the window.
        parts: Reads from sockets that delivered the tokens.
        failed: Number of streams that ended without the final event.
        cpu_s: CPU seconds by process, within the window.
        elapsed_s: Length of the window, in seconds.
    """

    tokens: int
    parts: int
    failed: int
    cpu_s: dict[str, float]
    elapsed_s: float


@attrs.frozen
class HeldResult:
    """The result of a `HeldLoad`.

    Attributes:
        streams: Number of open streams at each step.
        resident_bytes: Resident memory of the process at each step, in bytes.
        failed: Number of streams that could not be opened.
    """

    streams: tuple[int, ...]
    resident_bytes: tuple[int, ...]
    failed: int


Load = WholeLoad | StreamLoad | HeldLoad
LoadResult = WholeResult | StreamResult | HeldResult


def to_json(value: Load | LoadResult) -> str:
    """Returns a message as JSON text."""
    return orjson.dumps(cattrs.unstructure(value)).decode()


def from_json(text: str, kind: type[T]) -> T:
    """Returns the message of a type that a JSON text represents."""
    return cattrs.structure(orjson.loads(text), kind)
