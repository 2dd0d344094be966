"""Constants and options of admission, which operators cannot set."""

from typing import Any

import attrs

FULL_CREDIT = 1_000_000
"""Credit that an admission by the floor uses up.

Credits are integers, so that their sums are exact.
"""

FLOOR_CREDITS = {2: 100_000, 3: 50_000}
"""Credit that a waiting lower tier earns per admission of another tier.

It sets the tier's floor, the minimum share of the admissions that it gets: one
for ten of other tiers for tier 2, and one for twenty for tier 3.
"""

COST_RATIO_MAX = 20
"""Largest factor by which long requests reduce the credit that a tier earns.

A tier whose requests run longer than those of other tiers earns proportionally
less credit, so that its floor is a share of the slots' time. The reduction is
limited, so that no tier starves however wrong the estimates are.
"""

LATE_CREDIT = 125_000
"""Credit that a tier's late requests earn per admission of one that is on time.

Late requests have missed their target. They get one admission for eight of
requests that can still meet theirs.
"""

FLOOR_SLOT_FRACTION = 0.5
"""Fraction of one slot's time that a tier gets while only peers' pressure
throttles it."""

RESERVE_ERRORS = 3.0
"""Number of mean errors added to the expected time of a whole answer.

The sum is the time that must remain of the budget when the answer starts.
"""

_POSITIVE: Any = attrs.validators.gt(0)


@attrs.frozen
class AdmissionOptions:
    """Sizes and times of a host's admission queue.

    Attributes:
        max_waiting: Maximum number of requests that wait in the host beyond
            the reserves of the tiers.
        max_waiting_bytes: Maximum input of these requests, in bytes.
        reserved_requests: Number of requests of each tier that may wait in
            addition to the shared bound, so that a tier whose floor is due
            always has a request to admit.
        reserved_bytes: Input that may wait of each tier in addition to the
            shared bound, in bytes.
        pressure_ttl_s: Seconds for which a report of pressure is valid.
        pressure_wait_fraction: Fraction of its budget that the oldest request
            of a class may wait before its tier is under pressure.
        floor_interval_min_s: Minimum seconds between two admissions of a tier
            that only peers' pressure throttles.
        floor_interval_max_s: Maximum seconds between two such admissions.
        retry_min_s: Minimum seconds that a refusal asks the caller to wait.
        retry_max_s: Maximum seconds that a refusal asks the caller to wait,
            before jitter is applied.
        max_estimated_customers: Number of customers, counted once per pool and
            class, whose service times are kept.
    """

    max_waiting: int = attrs.field(default=4096, validator=_POSITIVE)
    max_waiting_bytes: int = attrs.field(
        default=64 * 1024 * 1024, validator=_POSITIVE
    )
    reserved_requests: int = attrs.field(default=16, validator=_POSITIVE)
    reserved_bytes: int = attrs.field(
        default=4 * 1024 * 1024, validator=_POSITIVE
    )
    pressure_ttl_s: float = attrs.field(default=3.0, validator=_POSITIVE)
    pressure_wait_fraction: float = attrs.field(
        default=0.5, validator=_POSITIVE
    )
    floor_interval_min_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    floor_interval_max_s: float = attrs.field(default=60.0, validator=_POSITIVE)
    retry_min_s: float = attrs.field(default=1.0, validator=_POSITIVE)
    retry_max_s: float = attrs.field(default=120.0, validator=_POSITIVE)
    max_estimated_customers: int = attrs.field(
        default=20_000, validator=_POSITIVE
    )
