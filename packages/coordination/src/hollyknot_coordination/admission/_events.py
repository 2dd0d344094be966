"""Events of an admission queue, by which a run is checked."""

import attrs

from hollyknot_state import RequestInfo, TierPressure, Verdict


@attrs.frozen
class Offered:
    """Records that a request was offered."""

    request: RequestInfo
    at_s: float


@attrs.frozen
class Admitted:
    """Records that a request was given a slot."""

    request_id: str
    at_s: float


@attrs.frozen
class Refused:
    """Records that a request was refused."""

    request_id: str
    verdict: Verdict
    at_s: float


@attrs.frozen
class Withdrawn:
    """Records that a waiting or running request was withdrawn."""

    request_id: str
    at_s: float


@attrs.frozen
class SlotsOffered:
    """Records that free slots of a pool were offered.

    The admissions to these slots follow as separate events.
    """

    pool: str
    slots: int
    at_s: float


@attrs.frozen
class PressureReceived:
    """Records that peers' pressure was received."""

    pressures: tuple[TierPressure, ...]
    at_s: float


RunEvent = (
    Offered | Admitted | Refused | Withdrawn | SlotsOffered | PressureReceived
)
