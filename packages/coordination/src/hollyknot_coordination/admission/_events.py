"""What happened at an admission queue, in order: the matter of the checks."""

import attrs

from hollyknot_state import RequestInfo, TierPressure, Verdict


@attrs.frozen
class Offered:
    """A request was offered."""

    request: RequestInfo
    at_s: float


@attrs.frozen
class Admitted:
    """A request was given a slot."""

    request_id: str
    at_s: float


@attrs.frozen
class Refused:
    """A request was refused."""

    request_id: str
    verdict: Verdict
    at_s: float


@attrs.frozen
class Withdrawn:
    """A request was withdrawn, waiting or running."""

    request_id: str
    at_s: float


@attrs.frozen
class SlotsOffered:
    """Free slots of a pool were offered; the admissions on them follow."""

    pool: str
    slots: int
    at_s: float


@attrs.frozen
class PressureReceived:
    """Peers' pressure was heard."""

    pressures: tuple[TierPressure, ...]
    at_s: float


RunEvent = (
    Offered | Admitted | Refused | Withdrawn | SlotsOffered | PressureReceived
)
