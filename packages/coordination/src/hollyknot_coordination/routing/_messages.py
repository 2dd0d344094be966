"""Result types of routing: choices, probes and status views."""

import enum

import attrs

from hollyknot_state import SignKind


class NoChoiceReason(enum.Enum):
    """Why no upstream was chosen."""

    NONE_KNOWN = "none-known"
    """The host list has no live upstream of the pool."""

    ALL_FULL = "all-full"
    """Each upstream that may be used is at its limit; one may be free soon."""

    ALL_EJECTED = "all-ejected"
    """Each upstream drains, or is ejected and has its one trial request."""


@attrs.frozen
class Choice:
    """The chosen upstream, at which the request now counts as in flight.

    Attributes:
        upstream: Name of the upstream in the host list.
        ip: IP address of the upstream.
        port: HTTP port of the upstream.
    """

    upstream: str
    ip: str
    port: int


@attrs.frozen
class NoChoice:
    """The result if no upstream can take the request now.

    Attributes:
        reason: Why no upstream can take it.
    """

    reason: NoChoiceReason


class UpstreamState(enum.Enum):
    """Health of an upstream in the judgement of this host."""

    LIVE = "live"
    RECOVERING = "recovering"
    """Usable again after a successful probe; its limit is still growing."""

    CHECKING = "checking"
    """Gets no requests until a probe over a new connection confirms or refutes
    a sign against it."""

    EJECTED = "ejected"
    DRAINING = "draining"
    LEAVING = "leaving"
    """Marked as leaving in the host list, or no longer listed."""


@attrs.frozen
class UpstreamView:
    """The state of one upstream, for status pages.

    Attributes:
        name: Name of the upstream in the host list.
        state: Health in the judgement of this host.
        in_flight: Number of this host's requests in flight there.
        limit: Maximum number of this host's requests in flight there.
        slowness: First-byte latency divided by the usual one of its pool.
        last_sign: The last sign that this host observed itself.
        last_sign_s: Time of that sign on the host's monotonic clock.
    """

    name: str
    state: UpstreamState
    in_flight: int
    limit: int
    slowness: float
    last_sign: SignKind
    last_sign_s: float


@attrs.frozen
class Probe:
    """An upstream to probe by `GET /v1/load` over a new connection.

    Attributes:
        upstream: Name of the upstream in the host list.
        ip: IP address of the upstream.
        port: HTTP port of the upstream.
    """

    upstream: str
    ip: str
    port: int
