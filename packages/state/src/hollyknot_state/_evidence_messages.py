"""Messages by which a host learns from a peer what may crash upstreams.

A host that has just started knows nothing of it, and neither do the hosts of a
data centre that was cut off. An answer takes as many datagrams as it needs, up
to a limit, and may be lost: then another peer is asked.
"""

import attrs
from attrs import validators

from hollyknot_state._signals import SuspectNews

_not_negative = validators.ge(0)


@attrs.frozen
class EvidenceQuery:
    """Asks a peer for all evidence that it has.

    Attributes:
        number: Number that the answer returns.
    """

    number: int


@attrs.frozen
class EvidenceAnswer:
    """One datagram of the answer to an `EvidenceQuery`.

    Attributes:
        number: Number of the query.
        index: Number of this datagram in the answer, from 0.
        count: Number of datagrams in the answer.
        is_informed: Whether the sender has learnt what its peers know; one that
            has just started has not.
        left_out: Number of losses for which the answer had no room.
        news: A part of the evidence.
    """

    number: int
    index: int = attrs.field(validator=_not_negative)
    count: int = attrs.field(validator=validators.ge(1))
    is_informed: bool
    left_out: int = attrs.field(validator=_not_negative)
    news: SuspectNews
