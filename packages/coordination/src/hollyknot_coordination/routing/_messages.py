"""What routing answers: a choice or why there is none, and views."""

import enum

import attrs

from hollyknot_state import SignKind


class NoChoiceReason(enum.Enum):
    """Why no upstream was chosen."""

    NONE_KNOWN = "none-known"
    """The host list has no live upstream of the pool."""

    ALL_FULL = "all-full"
    """Each upstream that may be used is at its limit; one may free up soon."""

    ALL_EJECTED = "all-ejected"
    """Each upstream is ejected and already has its one trial, or drains."""


@attrs.frozen
class Choice:
    """An upstream, with the request counted as in flight there.

    Attributes:
        upstream: Its name in the host list.
        ip: Its IP address.
        port: Its HTTP port.
    """

    upstream: str
    ip: str
    port: int


@attrs.frozen
class NoChoice:
    """That no upstream can take the request now.

    Attributes:
        reason: Why.
    """

    reason: NoChoiceReason


class UpstreamState(enum.Enum):
    """What this host holds of an upstream."""

    LIVE = "live"
    RECOVERING = "recovering"
    """Live since a probe; its limit grows again."""

    CHECKING = "checking"
    """A sign against it waits for a probe by a new connection."""

    EJECTED = "ejected"
    DRAINING = "draining"
    LEAVING = "leaving"
    """Named as leaving by the host list, or gone from it."""


@attrs.frozen
class UpstreamView:
    """One upstream, for status pages.

    Attributes:
        name: Its name in the host list.
        state: What this host holds of it.
        in_flight: This host's requests there.
        limit: How many of them this host allows.
        slowness: Its first-byte latency over its pool's usual one.
        last_sign: The last sign seen of it here.
        last_sign_s: When, on the host's monotonic clock.
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
        upstream: Its name in the host list.
        ip: Its IP address.
        port: Its HTTP port.
    """

    upstream: str
    ip: str
    port: int
