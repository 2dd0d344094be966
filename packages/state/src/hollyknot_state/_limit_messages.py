"""Messages between hosts about the rate limits of upstreams.

They may be lost: if an answer is lost, its permit goes unused and the request
goes to another upstream.
"""

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class IssuerClaim:
    """A host's claim that it issues the permits of an upstream.

    Attributes:
        incarnation: Incarnation of the host's process.
        address: Address at which the host receives messages.
        is_near: Whether the host is in the upstream's data centre.
        age_ms: Milliseconds since the host made the claim.
    """

    incarnation: int
    address: Address
    is_near: bool
    age_ms: int = 0


@attrs.frozen
class NamedLimit:
    """The rate limit that an upstream named last, as far as a host knows.

    Attributes:
        upstream: Short name of the upstream.
        age_ms: Milliseconds since the upstream's answer that named the limit.
        rate: Requests per second that the upstream accepts from all hosts
            together; None if it has withdrawn its limit.
        issuer: The host that issues the upstream's permits, where hosts may
            disagree about it; None where all hosts compute the same one.
    """

    upstream: int
    age_ms: int
    rate: float | None = None
    issuer: IssuerClaim | None = None


@attrs.frozen
class PermitQuery:
    """Asks for a permit to send one request to an upstream with a limit.

    Attributes:
        number: Number that the answer returns.
        upstream: Incarnation of the upstream.
        limit: The limit that the sender knows.
        is_least_urgent: Whether the request is among the least urgent of its
            service.
        is_passed_over: Whether the host that should issue permits did not
            answer, so that the receiver issues them in its place.
    """

    number: int
    upstream: str
    limit: NamedLimit
    is_least_urgent: bool = False
    is_passed_over: bool = False


@attrs.frozen
class PermitAnswer:
    """Answers a `PermitQuery`.

    Attributes:
        number: Number of the query.
        is_issued: Whether the request may be sent.
        wait_ms: Milliseconds after which to ask again if it may not.
        limit: The limit that the sender of the answer knows.
        issuer: Address of the host that issues the permits of this upstream, if
            it is not the sender; None otherwise.
    """

    number: int
    is_issued: bool
    wait_ms: int = 0
    limit: NamedLimit | None = None
    issuer: Address | None = None
