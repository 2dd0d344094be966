"""Routes by host and path, their services and customers: one version of them.

This is what operators publish for a host that forwards any HTTP call, beside
the declarations of model classes. A table is immutable and swapped as a whole,
so that one request sees one version from its start to its end.
"""

import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """Answered by server-sent events."""


@attrs.frozen
class Share:
    """A part of a route's traffic.

    Attributes:
        service: Where it goes.
        weight: Relative to the weights of the route's other shares.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and what they expect.

    Attributes:
        name: Unique in a table.
        host: Compared with the `Host` header, without its port.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        shares: The services that share the traffic; never empty.
        timeout_s: The longest that a caller is kept waiting.
        target_s: Until the whole answer, of a stream until its first event.
        gap_target_s: The longest pause between two events; 0 for none.
        priority: 0 is the most urgent.
        max_attempts: Upstreams that one request may be sent to.
        needs_key: Whether a caller has to show a customer's key.
        has_prompts: Whether requests name the parts of a prompt, so that an
            upstream that has them cached answers sooner.
        may_resume: Whether a broken stream may go on at another upstream.
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
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.may_resume
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class Engine:
    """What a service of model engines says of each of its upstreams.

    Attributes:
        slots: Requests in one batch.
    """

    slots: int


@attrs.frozen
class ColdStart:
    """What an upstream bears just after its start.

    Attributes:
        rate: Requests a second, of all hosts together; far beyond it crashes.
        lasts_s: How long it is cold after a start.
    """

    rate: float = attrs.field(validator=attrs.validators.gt(0))
    lasts_s: float = attrs.field(validator=attrs.validators.gt(0))


@attrs.frozen
class Service:
    """A group of upstreams that serve the same calls.

    Attributes:
        name: Unique in a table.
        engine: Set if the upstreams are model engines.
        cold_start: Set if its upstreams are cold just after their start.
    """

    name: str
    engine: Engine | None = None
    cold_start: ColdStart | None = None


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        max_head_bytes: Of a request's line and headers.
        max_body_bytes: Of a request's body.
        head_timeout_s: From the first byte of a head to its last.
        idle_timeout_s: A kept connection without a request is closed then.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class KeyOwner:
    """The customer who holds a key.

    Attributes:
        name: Told to upstreams.
        priority: Goes before the route's; None leaves the route's.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class RouteTable:
    """All routes, services and customers of one version.

    Attributes:
        version: Only rises.
        routes: In any order.
        services: By name.
        limits: Of callers.
        owners_by_key: Customers by key; empty if no key is asked for.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.Factory(dict)
    limits: CallerLimits = attrs.Factory(CallerLimits)
    owners_by_key: dict[str, KeyOwner] = attrs.field(factory=dict, repr=False)
