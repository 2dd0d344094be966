"""What hosts tell and ask each other about the rate limits of upstreams.

These are soft: a lost answer is a permit that nobody uses, and the request goes
to another upstream.
"""

import attrs

from hollyknot_state._settings import Address


@attrs.frozen
class IssuerClaim:
    """A host that issues the permits of an upstream.

    Attributes:
        incarnation: Of its process.
        address: Where it takes messages.
        is_near: Whether it is in the upstream's data centre.
        age_ms: How long ago it said so.
    """

    incarnation: int
    address: Address
    is_near: bool
    age_ms: int = 0


@attrs.frozen
class NamedLimit:
    """The newest word of an upstream on its rate limit, as a host knows it.

    Attributes:
        upstream: Its short name.
        age_ms: How long ago an answer of the upstream said so.
        rate: Requests a second that it takes from all hosts together; None
            where it has withdrawn its limit.
        issuer: Who issues permits for it, where hosts may not agree on that;
            None for what all find alike.
    """

    upstream: int
    age_ms: int
    rate: float | None = None
    issuer: IssuerClaim | None = None


@attrs.frozen
class PermitQuery:
    """Asks for a permit to send one request to an upstream with a limit.

    Attributes:
        number: Returned in the answer.
        upstream: Its incarnation.
        limit: What the sender knows of its limit.
        is_least_urgent: Whether the request is among the least urgent of its
            service.
        is_passed_over: Whether the host that should issue permits was asked in
            vain, so that the receiver issues them in its place.
    """

    number: int
    upstream: str
    limit: NamedLimit
    is_least_urgent: bool = False
    is_passed_over: bool = False


@attrs.frozen
class PermitAnswer:
    """What became of a query.

    Attributes:
        number: Of the query.
        is_issued: Whether the request may be sent.
        wait_ms: If not, when to ask again.
        limit: What the sender of the answer knows.
        issuer: Who issues the permits of this upstream, if it is another host;
            None for none.
    """

    number: int
    is_issued: bool
    wait_ms: int = 0
    limit: NamedLimit | None = None
    issuer: Address | None = None
