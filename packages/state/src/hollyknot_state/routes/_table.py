"""Route tables: routes by host and path, with their services and customers.

Operators publish route tables for gateway hosts, apart from the declarations of
model classes. A table is immutable and replaced as a whole, so that a request
sees the same version from its start to its end.
"""

import enum

import attrs


class RouteKind(enum.Enum):
    """Kinds of routes, by which of their requests may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """Requests are answered by server-sent events."""


@attrs.frozen
class Share:
    """A share of a route's traffic.

    Attributes:
        service: Name of the service that gets the share.
        weight: Weight, relative to those of the route's other shares.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """Services and limits for the requests of one host and path prefix.

    Attributes:
        name: Name of the route, unique in a table.
        host: Host that is compared with the `Host` header without its port.
        prefix: Path prefix, which begins and ends with a slash.
        kind: Kind of the route; decides which requests may be sent again.
        shares: Services that share the traffic; never empty.
        timeout_s: Seconds that a caller waits at most.
        target_s: Target in seconds for the end of the answer, or for the first
            event of a stream.
        gap_target_s: Target in seconds for the longest gap between two events;
            0 for none.
        priority: Priority of the requests; 0 is the most urgent.
        max_attempts: Number of upstreams to which one request may be sent.
        needs_key: Whether a caller must present a customer's key.
        has_prompts: Whether requests name the parts of a prompt, so that an
            upstream that has them cached answers sooner.
        may_resume: Whether a broken stream may resume at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    gap_target_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    needs_key: bool = True
    has_prompts: bool = False
    may_resume: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that may get requests."""
        names = (share.service for share in self.shares if share.weight > 0)
        return tuple(dict.fromkeys(names))

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.may_resume
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class Engine:
    """Capacity of each upstream of a service of model engines, as declared.

    Attributes:
        slots: Number of requests in one batch.
        copy_s: Seconds of link time that the copy of a token to another
            upstream takes; None if the upstreams keep no copies of runs.
    """

    slots: int
    copy_s: float | None = None


@attrs.frozen
class ColdStart:
    """The load that an upstream sustains just after its start.

    Attributes:
        rate: Requests per second that a cold upstream sustains from all hosts
            together; it crashes at a far higher rate.
        lasts_s: Seconds for which an upstream is cold after its start.
    """

    rate: float = attrs.field(validator=attrs.validators.gt(0))
    lasts_s: float = attrs.field(validator=attrs.validators.gt(0))


@attrs.frozen
class Service:
    """A group of upstreams that serve the same calls.

    Attributes:
        name: Name of the service, unique in a table.
        engine: Traits of the upstreams if they are model engines, else None.
        cold_start: Limits of the upstreams just after their start; None if they
            need none.
    """

    name: str
    engine: Engine | None = None
    cold_start: ColdStart | None = None


@attrs.frozen
class CallerLimits:
    """Limits on how much a caller may send and how long it may take.

    Attributes:
        max_head_bytes: Largest request line with headers, in bytes.
        max_body_bytes: Largest request body, in bytes.
        head_timeout_s: Longest time from the first byte of a request's head to
            its last, in seconds.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class KeyOwner:
    """The customer to whom a key belongs.

    Attributes:
        name: Name of the customer, which is sent to upstreams.
        priority: Priority that overrides the route's; None keeps the route's.
    """

    name: str
    priority: int | None = None


class NoKeys(enum.Enum):
    """Says that requests need no key."""

    NOT_REQUIRED = "not-required"


@attrs.frozen
class RequiredKeys:
    """The keys of which a request has to carry one.

    There may be none, such as after the last one was revoked. Then no request
    may run whose route needs a key.

    Attributes:
        owners: Customers by key.
        customers: All customers, with or without a key.
    """

    owners: dict[str, KeyOwner] = attrs.field(factory=dict, repr=False)
    customers: tuple[KeyOwner, ...] = attrs.field(default=(), repr=False)


@attrs.frozen
class RouteTable:
    """All routes, services and customers of one version.

    Attributes:
        version: Version of the table, which only rises.
        routes: Routes in any order.
        services: Services by name.
        limits: Limits for callers.
        keys: The keys that requests need.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.Factory(dict)
    limits: CallerLimits = attrs.Factory(CallerLimits)
    keys: RequiredKeys | NoKeys = NoKeys.NOT_REQUIRED
