"""Computes measures from the results of load rounds on one host."""

import operator
from collections.abc import Callable, Iterator

from hollyknot_bench._cost_messages import StreamResult, WholeResult
from hollyknot_bench._cost_runner import Measure, busiest

HOST = "host"
DIRECT = "direct"
"""Target names in results: requests through the host, and to the upstream."""


def combine_results(results: list[StreamResult]) -> StreamResult:
    """Returns the combined result of load generators that ran concurrently.

    Each generator reports the CPU time of the same processes, so the largest
    value of each is used, not the sum.
    """
    cpu_s = {
        name: max(r.cpu_s[name] for r in results) for name in results[0].cpu_s
    }
    return StreamResult(
        tokens=sum(r.tokens for r in results),
        parts=sum(r.parts for r in results),
        failed=sum(r.failed for r in results),
        cpu_s=cpu_s,
        elapsed_s=max(r.elapsed_s for r in results),
    )


def whole_measures(kind: str, results: list[WholeResult]) -> Iterator[Measure]:
    """Yields the CPU cost and the added latency of unstreamed answers.

    Args:
        kind: Kind of the requests, the prefix of the measures' names.
        results: The result of each round.
    """
    cpu = [r.cpu_s[HOST] / r.latencies[HOST].count * 1e6 for r in results]
    failed = sum(r.failed for r in results)
    note = f"{failed} failed; {_busiest(results[-1])}"
    yield Measure(f"{kind}_cpu", "us/request", tuple(cpu), 0, note)
    for part in ("p50", "p95", "p99"):
        of = operator.attrgetter(part)
        added = [
            (of(r.latencies[HOST]) - of(r.latencies[DIRECT])) / 1000
            for r in results
        ]
        yield Measure(f"{kind}_added_latency_{part}", "ms", tuple(added))


def stream_measures(
    prefix: str, results: list[StreamResult]
) -> Iterator[Measure]:
    """Yields the cost of streamed tokens, and what limited their rate.

    Args:
        prefix: Prefix of the measures' names.
        results: The result of each round.
    """

    def by_round(value: Callable[[StreamResult], float]) -> tuple[float, ...]:
        return tuple(value(r) for r in results)

    failed = sum(r.failed for r in results)
    parts = sum(r.parts for r in results) / sum(r.tokens for r in results)
    yield Measure(
        f"{prefix}streamed_token_cpu",
        "us/token",
        by_round(lambda r: r.cpu_s[HOST] / r.tokens * 1e6),
        1,
        f"{parts:.2f} parts a token, {failed} streams failed",
    )
    yield Measure(
        f"{prefix}streamed_tokens",
        "tokens/s",
        by_round(lambda r: r.tokens / r.elapsed_s),
        0,
        _busiest(results[-1]),
    )
    yield Measure(
        f"{prefix}streaming_host_cpu",
        "cores",
        by_round(lambda r: r.cpu_s[HOST] / r.elapsed_s),
    )


def _busiest(result: WholeResult | StreamResult) -> str:
    shares = {n: cpu / result.elapsed_s for n, cpu in result.cpu_s.items()}
    return busiest(shares)
