"""What the users of links between hosts see: results, limits, credentials."""

import enum
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from hollyknot_protocol import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_FRAME_BYTES,
)
from hollyknot_state import Settings

_MAX_KEYS = 2


class LinkErrorReason(enum.Enum):
    """Why a call over a link has no reply."""

    TIMEOUT = "timeout"
    """No reply in time."""

    REFUSED = "refused"
    """No connection; or the last dial failed and the next is not yet due."""

    LOST = "lost"
    """The connection ended, or was silent for too long."""

    REJECTED = "rejected"
    """The handshake failed, another host answers at the address, or the peer
    does not serve the call."""

    QUEUE_FULL = "queue-full"
    """The peer takes messages more slowly than they are sent."""

    CLOSED = "closed"
    """This host closed its links."""


@attrs.frozen
class LinkError:
    """A call without a reply.

    Attributes:
        reason: Why.
        may_have_arrived: False only if it is proved that the peer's handler
            was not given the message.
        detail: For the log.
    """

    reason: LinkErrorReason
    may_have_arrived: bool
    detail: str = ""


class NoReply(enum.Enum):
    """What a handler returns if nothing is to be sent back.

    A call is then left to its timeout, and its link is replaced, as it cannot
    be told from a link that went silent: reply to calls.
    """

    NO_REPLY = "no-reply"


@attrs.frozen
class PeerIdentity:
    """Who is at the other end of a link; proved by the handshake.

    Attributes:
        host: Its name in the host list.
        data_centre: Its data centre.
        ip: The address that it connects from or listens on.
    """

    host: str
    data_centre: str
    ip: str


Handler = Callable[[PeerIdentity, Any, str], Awaitable[Any | NoReply]]
"""Serves a message: given the peer, the message and the traceparent."""


@attrs.frozen
class LinkLimits:
    """Bounds of links. Times are in seconds.

    Attributes:
        max_frame_bytes: Of a message after the handshake.
        max_handshake_frame_bytes: Of a frame before its end.
        max_unproved: Accepted connections whose handshake has not ended.
        max_unproved_per_ip: The same, from one address.
        handshake_s: For a whole handshake, that of TLS included.
        connect_s: For the connection before it.
        queue_messages: Messages that wait to be sent on a link.
        queue_bytes: Their bytes.
        waiting_messages: One-way messages that wait for a dial to end.
        max_running: Handlers that run at once for one link.
        ping_after_s: Silence, while a reply is due, until a ping.
        one_way_ping_after_s: Silence, after one-way messages alone, until a
            ping.
        stall_s: Silence after the ping until the link counts as lost.
        idle_s: Without use until the dialling side closes a link.
        accepted_idle_s: Without a byte until the accepting side closes it;
            above `idle_s`, so that no message meets a closing link.
        sweep_s: Between two checks of all links.
        backoff_first_s: Until the dial after the first one that failed.
        backoff_max_s: Until the dial after many that failed.
    """

    max_frame_bytes: int = MAX_FRAME_BYTES
    max_handshake_frame_bytes: int = MAX_HANDSHAKE_FRAME_BYTES
    max_pending_handshakes: int = 512
    max_pending_handshakes_per_ip: int = 16
    handshake_s: float = 2.0
    connect_s: float = 1.0
    queue_messages: int = 1024
    queue_bytes: int = 4_194_304
    waiting_messages: int = 16
    max_running: int = 256
    ping_after_s: float = 2.0
    one_way_ping_after_s: float = 15.0
    stall_s: float = 2.0
    idle_s: float = 60.0
    accepted_idle_s: float = 150.0
    sweep_s: float = 0.5
    backoff_first_s: float = 0.1
    backoff_max_s: float = 2.0


DEFAULT_LIMITS = LinkLimits()
"""The bounds for the fleet sizes of `docs/CAPACITY.md`."""


def _check_keys(
    _: object,
    field: "attrs.Attribute[tuple[bytes, ...]]",
    value: tuple[bytes, ...],
) -> None:
    if not 0 < len(value) <= _MAX_KEYS or not all(value):
        raise ValueError(
            f"{field.name}: {len(value)} given; set link_keys to one key, or"
            " to two while it is changed, none of them empty"
        )


@attrs.frozen
class LinkCredentials:
    """How this host shows who it is, and checks its peers.

    Attributes:
        host: This host's name.
        data_centre: This host's data centre.
        keys: The shared keys; the first signs, each is accepted.
        accept_tls: The TLS of accepted links; None for none.
        dial_tls: The TLS of dialled links; None for none.
    """

    host: str
    data_centre: str
    keys: tuple[bytes, ...] = attrs.field(validator=_check_keys, repr=False)
    accept_tls: ssl.SSLContext | None = None
    dial_tls: ssl.SSLContext | None = None


def make_link_credentials(settings: Settings) -> LinkCredentials:
    """Returns the credentials that the settings name.

    Raises:
        ValueError: The number of keys is not one or two.
        OSError: A file of the TLS cannot be read, or is none.
    """
    return LinkCredentials(
        settings.host,
        settings.data_centre,
        tuple(key.encode() for key in settings.link_keys),
        _make_tls(settings, ssl.PROTOCOL_TLS_SERVER),
        _make_tls(settings, ssl.PROTOCOL_TLS_CLIENT),
    )


def _make_tls(settings: Settings, side: int) -> ssl.SSLContext | None:
    tls = settings.tls
    if tls is None:
        return None
    context = ssl.SSLContext(side)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Peers are known by IP and prove their names in the handshake of the
    # link; the certificate shows that the authority knows them.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context
