"""What the coordinator and the holder want done."""

import attrs

from hollyknot_state import Attempt, ClaimMessage, ClaimOutcome, Verdict


@attrs.frozen
class Instant:
    """The time at an event.

    Attributes:
        now_s: Seconds of the host's monotonic clock, for timers.
        wall_ms: Milliseconds since 1970 by its wall clock, for key times.
    """

    now_s: float
    wall_ms: int


@attrs.frozen
class SendClaim:
    """Send a message to a host, which may be this one.

    Attributes:
        host: The receiver's name.
        message: What to send.
    """

    host: str
    message: ClaimMessage


@attrs.frozen
class ClaimGranted:
    """The request may be dispatched, by this host and this attempt alone.

    Attributes:
        key: The claim key.
        attempt: The attempt, for `finish`.
    """

    key: bytes
    attempt: Attempt


@attrs.frozen
class ClaimRefused:
    """The request must not be dispatched.

    Attributes:
        key: The claim key.
        attempt: The attempt that ended.
        verdict: For the caller.
        earlier: How the attempt that holds the key ended, if a holder knows.
    """

    key: bytes
    attempt: Attempt
    verdict: Verdict
    earlier: ClaimOutcome = ClaimOutcome.UNKNOWN


ClaimCommand = SendClaim | ClaimGranted | ClaimRefused
"""All commands of the coordinator; the holder gives only `SendClaim`."""
