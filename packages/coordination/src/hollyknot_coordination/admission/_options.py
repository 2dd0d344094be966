"""The constants of admission. Operators never set them; tests do."""

from typing import Any

import attrs

FULL_CREDIT = 1_000_000
"""What an admission by a floor costs; whole numbers, so that sums are exact."""

FLOOR_CREDITS = {2: 100_000, 3: 50_000}
"""What a lower tier that waits earns by another tier's admission: a floor of
one admission in ten others for tier 2 and in twenty for tier 3."""

COST_RATIO_MAX = 20
"""How much dearer than the others an admission by the floor may count.

A tier whose requests run longer than the others' earns less, in proportion, so
that its floor is a share of the slots' time; at most this much less, so that no
tier starves however wrong the estimates are.
"""

LATE_CREDIT = 125_000
"""What a tier's late work earns by an admission of work that is not late."""

FLOOR_SLOT_FRACTION = 0.5
"""The share of one slot that a tier is given by time, while only the pressure
of peers holds it to its floor."""

RESERVE_ERRORS = 3.0
"""Mean errors of the estimate that a whole answer's start leaves as reserve."""

_POSITIVE: Any = attrs.validators.gt(0)


@attrs.frozen
class AdmissionOptions:
    """Sizes and times of a host's admission queue.

    Attributes:
        max_waiting: Requests that may wait in the host, beyond the rooms.
        max_waiting_bytes: Bytes of their input, beyond the rooms.
        room: Requests of each tier that wait outside the shared bound, so that
            a tier whose floor is due always has some work to admit.
        room_bytes: Bytes of their input.
        pressure_fresh_s: Seconds for which a signal of pressure counts.
        pressure_share: The share of its budget that a request may wait before
            its tier counts as pressed.
        floor_interval_min_s: The least seconds between two admissions of a
            tier that only peers' pressure holds to its floor.
        floor_interval_max_s: The most such seconds.
        retry_min_s: The least time to come back that a refusal gives.
        retry_max_s: The most.
        estimate_keys: Customers whose service times are remembered.
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
