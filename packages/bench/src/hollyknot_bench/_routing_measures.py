"""Compares routing policies in the model and times the upstream table.

Run `python -m hollyknot_bench._routing_measures NAME` with a name in `PARTS`,
or without a name for all. All output except times depends on seeds alone.
"""

import random
import sys
import time
from collections import Counter
from collections.abc import Callable

import attrs
import xxhash

from hollyknot_bench._routing_model import (
    DATA_CENTRE,
    POOL,
    RoutingModel,
    RoutingResult,
    RoutingScenario,
)
from hollyknot_coordination.routing import (
    Choice,
    RoutingOptions,
    UpstreamTable,
    subset,
)
from hollyknot_state import (
    HostList,
    HostListEntry,
    Nature,
    Outcome,
    RequestInfo,
    Role,
    Verdict,
)

SEEDS = (1, 2, 3)
ALL_UPSTREAMS = RoutingOptions(subset_size=1000)
INFINITE_S = 1e9

Chooser = Callable[[str, list[str], list[str]], tuple[str, ...]]


def _print_result(label: str, scenario: RoutingScenario) -> RoutingResult:
    for seed in SEEDS:
        result = RoutingModel(attrs.evolve(scenario, seed=seed)).run()
        print(
            f"{label:58} seed={seed} attainment={result.attainment:.3f}"
            f" median={result.median_s:.2f} p99={result.p99_s:.2f}"
            f" excess={result.excess:.2f} warm={result.warm:.2f}"
            f" n={result.completed}",
            flush=True,
        )
    return result


def herding() -> None:
    """Compares policies when all hosts get the same delayed load reports."""
    policies = {
        "least reported": RoutingScenario(reports_only=True),
        "one at random": RoutingScenario(
            attrs.evolve(ALL_UPSTREAMS, choices=1)
        ),
        "least of all, reports never discounted": RoutingScenario(
            attrs.evolve(
                ALL_UPSTREAMS, choices=1000, report_half_life_s=INFINITE_S
            )
        ),
        "least of all, discounted": RoutingScenario(
            attrs.evolve(ALL_UPSTREAMS, choices=1000)
        ),
        "two choices, reports never discounted": RoutingScenario(
            attrs.evolve(ALL_UPSTREAMS, report_half_life_s=INFINITE_S)
        ),
        "two choices, discounted": RoutingScenario(ALL_UPSTREAMS),
        "three choices, discounted": RoutingScenario(
            attrs.evolve(ALL_UPSTREAMS, choices=3)
        ),
        "two choices, discounted, subset of 8": RoutingScenario(),
    }
    for hosts, lag_s in ((8, 0.5), (64, 0.5), (64, 5.0)):
        for label, scenario in policies.items():
            _print_result(
                f"{hosts} hosts, lag {lag_s} s, {label}",
                attrs.evolve(scenario, hosts=hosts, report_lag_s=lag_s),
            )


def locality() -> None:
    """Compares routing with and without prefix locality."""
    for hosts in (8, 64):
        for utilisation in (0.6, 0.8, 0.9):
            for is_on in (True, False):
                _print_result(
                    f"{hosts} hosts, use {utilisation}, locality {is_on}",
                    RoutingScenario(
                        RoutingOptions(locality=is_on),
                        hosts=hosts,
                        utilisation=utilisation,
                        prefixes=400,
                        cold_s=0.8,
                        decode_s=1.2,
                    ),
                )


def hot_prefix() -> None:
    """Compares the load of engines when all requests share one prefix."""
    for bound, label in ((1.25, "bounded"), (INFINITE_S, "without a bound")):
        options = RoutingOptions(locality_bound_factor=bound)
        _print_result(
            f"one prefix for all, {label}",
            RoutingScenario(options, prefixes=1, cold_s=0.8, decode_s=1.2),
        )


def straggler() -> None:
    """Prints the limits of an engine that is slow for a time.

    While it is slow, the engine reports that it has no load.
    """
    for hosts in (8, 64):
        scenario = RoutingScenario(
            hosts=hosts,
            slow_factor=5.0,
            slow_from_s=40.0,
            slow_to_s=80.0,
            utilisation=0.6,
        )
        result = _print_result(f"{hosts} hosts, straggler", scenario)
        for sample in result.samples[30::5]:
            print(
                f"  t={sample.at_s:.0f} limits={sample.limit_sum}"
                f" in flight={sample.in_flight}"
            )
        naive = attrs.evolve(scenario, reports_only=True)
        _print_result(f"{hosts} hosts, straggler, least reported", naive)


def _by_ring(size: int) -> Chooser:
    return lambda host, hosts, upstreams: subset(
        host, hosts, upstreams, POOL, size, 2
    )


def _by_rendezvous(size: int) -> Chooser:
    def choose(
        host: str, hosts: list[str], upstreams: list[str]
    ) -> tuple[str, ...]:
        wanted = max(size, -(-2 * len(upstreams) // len(hosts)))

        def weight(name: str) -> int:
            return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())

        return tuple(sorted(upstreams, key=weight)[:wanted])

    return choose


def subsets() -> None:
    """Compares the balance and churn of subsets in a large data centre."""
    for count in (53, 200, 1111):
        for size in (8, 16, 32):
            for label, choose in (
                ("ring", _by_ring(size)),
                ("rendezvous", _by_rendezvous(size)),
            ):
                _print_subsets(
                    f"{count} upstreams, {label} of {size}", count, choose
                )


def _print_subsets(label: str, count: int, choose: Chooser) -> None:
    hosts = [f"h{i}" for i in range(278)]
    upstreams = [f"e{i}" for i in range(count)]
    before = {h: set(choose(h, hosts, upstreams)) for h in hosts}
    shares = Counter(u for chosen in before.values() for u in chosen)
    mean = sum(shares.values()) / count
    fewest = min(shares.get(u, 0) for u in upstreams)
    replaced_host = [*hosts[1:], "new"]
    replaced_upstream = [*upstreams[1:], "new"]
    print(
        f"{label:32} each={len(before['h0'])} hosts an upstream:"
        f" mean={mean:.1f} least={fewest} most={max(shares.values())}"
        f" changed by a replaced host="
        f"{_changed(before, choose, replaced_host, upstreams):.2f}"
        f" upstream={_changed(before, choose, hosts, replaced_upstream):.2f}"
    )


def _changed(
    before: dict[str, set[str]],
    choose: Chooser,
    hosts: list[str],
    upstreams: list[str],
) -> float:
    kept = [h for h in before if h in set(hosts)]
    new = sum(len(set(choose(h, hosts, upstreams)) - before[h]) for h in kept)
    return new / len(kept)


def choose_time() -> None:
    """Times `choose` with `on_finished`, and the update by a host list."""
    for count in (4, 16, 64, 256, 1111):
        for prefix in (0, 1):
            _print_choose_time(count, prefix)


def _print_choose_time(count: int, prefix: int) -> None:
    hosts = [
        HostListEntry(f"h{i}", Role.HOST, DATA_CENTRE, "127.0.0.1", 1)
        for i in range(278)
    ]
    engines = [
        HostListEntry(
            f"e{i}", Role.ENGINE, DATA_CENTRE, "127.0.0.1", 1, (POOL,)
        )
        for i in range(count)
    ]
    table = UpstreamTable(RoutingOptions(), "h0", DATA_CENTRE, random.Random(1))
    started = time.perf_counter()
    table.on_host_list(HostList(1, tuple(hosts + engines)), 0.0)
    list_ms = (time.perf_counter() - started) * 1e3
    runs = 20_000
    spent = 0.0
    for number in range(runs):
        request = RequestInfo(
            f"r{number}",
            "c",
            "day",
            1,
            Nature.IDEMPOTENT,
            POOL,
            0.0,
            1.0,
            0,
            prefix * (number % 97 + 1),
        )
        started = time.perf_counter()
        choice = table.choose(request, 0.0)
        spent += time.perf_counter() - started
        if isinstance(choice, Choice):
            table.on_finished(
                choice.upstream,
                request.request_id,
                Verdict(Outcome.COMPLETE),
                0.0,
                False,
            )
    print(
        f"{count} upstreams, prefix {bool(prefix)}:"
        f" {spent / runs * 1e6:.1f} us a choose, host list {list_ms:.1f} ms"
    )


def host_list_time() -> None:
    """Times the update by a host list of all pools of nine data centres."""
    hosts = [
        HostListEntry(f"h{i}", Role.HOST, f"dc{i % 9}", "127.0.0.1", 1)
        for i in range(2_500)
    ]
    engines = [
        HostListEntry(
            f"e{i}",
            Role.ENGINE,
            f"dc{i % 9}",
            "127.0.0.1",
            1,
            (f"m{i // 9 % 21}",),
        )
        for i in range(10_000)
    ]
    host_list = HostList(1, tuple(hosts + engines))
    table = UpstreamTable(RoutingOptions(), "h0", "dc0", random.Random(1))
    for number in range(3):
        started = time.perf_counter()
        table.on_host_list(host_list, 0.0)
        spent_ms = (time.perf_counter() - started) * 1e3
        print(
            f"host list {number}: {spent_ms:.1f} ms,"
            f" {len(table.view(0.0))} upstreams in use"
        )


PARTS = {
    "herding": herding,
    "locality": locality,
    "hot-prefix": hot_prefix,
    "straggler": straggler,
    "subsets": subsets,
    "choose-time": choose_time,
    "host-list-time": host_list_time,
}


def main() -> None:
    """Runs the parts that the arguments name, or all."""
    for name in sys.argv[1:] or PARTS:
        print(f"# {name}")
        PARTS[name]()


if __name__ == "__main__":
    main()
