"""Messages by which hosts ask for trials of what may crash upstreams.

They may be lost: a query is repeated, and another host is asked if the first
one does not answer.
"""

import attrs
from attrs import validators

_not_negative = validators.ge(0)


@attrs.frozen
class TrialQuery:
    """Asks the owner of an identity whether a request with it may be sent.

    Attributes:
        number: Number that the answer returns.
        identity: What is suspected: a request or a part of prompts, unsigned
            64 bits.
        crashes: Number of upstreams at which it was lost, as the sender knows.
        is_alone: Whether nothing else in the request is suspected.
    """

    number: int
    identity: int
    crashes: int = attrs.field(validator=_not_negative)
    is_alone: bool


@attrs.frozen
class TrialAnswer:
    """Answers a `TrialQuery`.

    Attributes:
        number: Number of the query.
        wait_ms: Milliseconds until a trial may be granted; 0 if it is granted
            now.
    """

    number: int
    wait_ms: int = attrs.field(validator=_not_negative)
