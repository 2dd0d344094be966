"""What may follow a try: typed steps."""

import attrs

from hollyknot_state import Nature, Verdict


@attrs.frozen
class Attempt:
    """One request's tries up to and with the one that just ended.

    Attributes:
        nature: Whether the request may run twice.
        tries: Tries so far, at least 1.
        may_have_run_before: Whether a try before the last one ended in
            anything but a proved "not run".
        bytes_relayed: Whether a byte of the answer went to the caller.
        connection_reused: Whether the last try used a connection that had
            been idle.
        deadline_s: When an answer is of no more use, on the host's monotonic
            clock; infinity for never.
    """

    nature: Nature
    tries: int
    may_have_run_before: bool
    bytes_relayed: bool
    connection_reused: bool
    deadline_s: float


@attrs.frozen
class RetryOnNewConnection:
    """Try again by a new connection, at any upstream, the last one included.

    Attributes:
        delay_s: Seconds to wait before.
    """

    delay_s: float


@attrs.frozen
class RetryElsewhere:
    """Try again at an upstream that was not tried yet.

    Attributes:
        delay_s: Seconds to wait before.
    """

    delay_s: float


@attrs.frozen
class Answer:
    """Give the caller its final answer.

    Attributes:
        verdict: The end of the whole request, over all its tries.
    """

    verdict: Verdict


Step = RetryOnNewConnection | RetryElsewhere | Answer
