"""Which of several usable upstreams gets a request."""

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
        candidates: At least one upstream with room.
        prefix: Hash of the prompt's head, 0 for none.
        pool_mean: Others' load at the pool's usual upstream.
        options: Constants.
        now_s: The time.
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
    # The least loaded of all would draw every host that sees the same late
    # report to one upstream; of a few at random it draws only a part of them.
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
