"""Defines the input and the possible results of `next_step`."""

import attrs

from hollyknot_state import Nature, Verdict


@attrs.frozen
class Attempt:
    """State of a request after one or more tries, the last of which has ended.

    Attributes:
        nature: Whether the request may run twice.
        tries: Number of tries so far, at least 1.
        may_have_run_before: Whether a try before the last one ended in
            anything but a proved "not run".
        bytes_relayed: Whether any byte of an answer was sent to the caller.
        connection_reused: Whether the last try used a connection that had
            been idle.
        deadline_s: Time after which an answer is of no use, in seconds of the
            host's monotonic clock; infinity if there is none.
    """

    nature: Nature
    tries: int
    may_have_run_before: bool
    bytes_relayed: bool
    connection_reused: bool
    deadline_s: float


@attrs.frozen
class RetryOnNewConnection:
    """Retry on a new connection at any upstream, including the last one.

    Attributes:
        delay_s: Seconds to wait before the retry.
    """

    delay_s: float


@attrs.frozen
class RetryElsewhere:
    """Retry at an upstream that was not tried yet.

    Attributes:
        delay_s: Seconds to wait before the retry.
    """

    delay_s: float


@attrs.frozen
class Answer:
    """Give the caller its final answer.

    Attributes:
        verdict: Verdict on the request over all its tries.
    """

    verdict: Verdict


Step = RetryOnNewConnection | RetryElsewhere | Answer
