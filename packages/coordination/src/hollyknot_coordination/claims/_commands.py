"""Commands that the coordinator and the holder return to their caller."""

import attrs

from hollyknot_state import Attempt, ClaimMessage, ClaimOutcome, Verdict


@attrs.frozen
class Instant:
    """The time at an event.

    Attributes:
        now_s: Time of the host's monotonic clock in seconds, for timers.
        wall_ms: Time of the host's wall clock in milliseconds since 1970, to
            compare with the times of keys.
    """

    now_s: float
    wall_ms: int


@attrs.frozen
class SendClaim:
    """Commands to send a message to a host, which may be this one.

    Attributes:
        host: The receiver's name.
        message: The message to send.
    """

    host: str
    message: ClaimMessage


@attrs.frozen
class ClaimGranted:
    """Allows the request to be dispatched, by this host and attempt alone.

    Attributes:
        key: The claim key.
        attempt: The attempt to which the key is granted.
    """

    key: bytes
    attempt: Attempt


@attrs.frozen
class ClaimRefused:
    """Forbids to dispatch the request.

    Attributes:
        key: The claim key.
        attempt: The attempt that was refused.
        verdict: The verdict that the caller gets.
        earlier: How the attempt that holds the key ended, if a holder knows.
    """

    key: bytes
    attempt: Attempt
    verdict: Verdict
    earlier: ClaimOutcome = ClaimOutcome.UNKNOWN


ClaimCommand = SendClaim | ClaimGranted | ClaimRefused
"""All commands of the coordinator; the holder returns only `SendClaim`."""
