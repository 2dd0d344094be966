"""Picks one of several candidate upstreams for a request."""

import random
from collections.abc import Sequence

import xxhash

from hollyknot_coordination.routing._options import RoutingOptions
from hollyknot_coordination.routing._upstream import Upstream


def pick(
    candidates: Sequence[Upstream],
    prefix: int,
    pool_mean: float,
    options: RoutingOptions,
    now_s: float,
    rng: random.Random,
) -> Upstream:
    """Returns the upstream for a request.

    Args:
        candidates: Upstreams that may be chosen; at least one.
        prefix: Hash of the start of the prompt, 0 for none.
        pool_mean: Mean load of other hosts at an upstream of the pool.
        options: Options of routing.
        now_s: Current time in monotonic seconds.
        rng: Source of randomness.
    """
    if len(candidates) == 1:
        return candidates[0]
    half_life_s = options.report_half_life_s
    if prefix and options.locality:
        utilisations = [
            c.utilisation(pool_mean, half_life_s, now_s) for c in candidates
        ]
        mean = sum(utilisations) / len(utilisations)
        bound = max(
            options.locality_min_bound, mean * options.locality_bound_factor
        )
        order = _by_prefix(candidates, prefix)
        for index in order[: options.locality_tries]:
            if utilisations[index] <= bound:
                return candidates[index]
    # If each host chose the least loaded of all upstreams, all hosts with the
    # same outdated report would choose the same one. Among a few random
    # candidates only some of the hosts do.
    count = min(options.choices, len(candidates))
    drawn = rng.sample(candidates, count)
    return min(
        drawn, key=lambda c: c.utilisation(pool_mean, half_life_s, now_s)
    )


def _by_prefix(candidates: Sequence[Upstream], prefix: int) -> list[int]:
    seed = prefix & 0xFFFF_FFFF_FFFF_FFFF
    weights = [
        xxhash.xxh3_64_intdigest(c.entry.name.encode(), seed)
        for c in candidates
    ]
    return sorted(range(len(weights)), key=weights.__getitem__)
