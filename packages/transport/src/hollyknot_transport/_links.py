"""Public types of the links between hosts: results, limits, credentials."""

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
    """The reason why a call over a link has no reply."""

    TIMEOUT = "timeout"
    """No reply arrived within the timeout."""

    REFUSED = "refused"
    """The dial failed, or the last one did and the next is not yet due."""

    LOST = "lost"
    """The connection ended, or no bytes were received for too long."""

    REJECTED = "rejected"
    """The handshake failed, another host answers at the address, or the peer
    does not serve the call.
    """

    QUEUE_FULL = "queue-full"
    """The send queue is full: the peer reads more slowly than this host."""

    CLOSED = "closed"
    """This host has closed its links."""


@attrs.frozen
class LinkError:
    """The error of a call without a reply.

    Attributes:
        reason: Why there is no reply.
        may_have_arrived: False only if it is proved that the peer's handler
            did not receive the message.
        detail: Description for the log.
    """

    reason: LinkErrorReason
    may_have_arrived: bool
    detail: str = ""


class NoReply(enum.Enum):
    """The value that a handler returns to send no reply.

    Handlers should reply to calls: a call without a reply times out, and its
    link is then replaced because it can't be distinguished from a dead one.
    """

    NO_REPLY = "no-reply"


@attrs.frozen
class PeerIdentity:
    """The identity of a peer, authenticated by the handshake.

    Attributes:
        host: The peer's name in the host list.
        data_centre: The peer's data centre.
        ip: IP address that the peer connects from or listens on.
    """

    host: str
    data_centre: str
    ip: str


Handler = Callable[[PeerIdentity, Any, str], Awaitable[Any | NoReply]]
"""Serves a message; called with the peer, the message and the traceparent."""


@attrs.frozen
class LinkLimits:
    """The limits of links, with all times in seconds.

    Attributes:
        max_frame_bytes: Maximum size of a frame after the handshake.
        max_handshake_frame_bytes: Maximum size of a frame of the handshake.
        max_pending_handshakes: Maximum number of accepted connections whose
            handshake has not ended.
        max_pending_handshakes_per_ip: Maximum number of such connections from
            one IP address.
        handshake_s: Timeout of the handshake, including that of TLS.
        connect_s: Timeout for opening the connection.
        queue_messages: Maximum number of messages in the send queue of a link.
        queue_bytes: Maximum size in bytes of the send queue of a link.
        waiting_messages: Maximum number of one-way messages that wait for the
            same dial.
        max_running: Maximum number of concurrent handlers of one link.
        ping_after_s: Time without received bytes, while a reply is due, until
            a ping is sent.
        one_way_ping_after_s: Time without received bytes, after one-way
            messages alone, until a ping is sent.
        stall_s: Time without received bytes after a ping until the link counts
            as lost.
        idle_s: Idle time until the dialling side closes a link.
        accepted_idle_s: Idle time until the accepting side closes a link;
            longer than `idle_s`, so that the dialler never sends a message on
            a link that the accepter is closing.
        sweep_s: Interval between two checks of all links.
        backoff_first_s: Maximum pause after the first failed dial.
        backoff_max_s: Maximum pause after any failed dial.
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
"""The limits for the fleet sizes in `docs/CAPACITY.md`."""


def _check_keys(
    _: object,
    field: "attrs.Attribute[tuple[bytes, ...]]",
    value: tuple[bytes, ...],
) -> None:
    if not 0 < len(value) <= _MAX_KEYS or not all(value):
        raise ValueError(
            f"{field.name}: {len(value)} given; set link_keys to one non-empty"
            " key, or to two while the key is being changed"
        )


@attrs.frozen
class LinkCredentials:
    """The credentials that authenticate this host and its peers.

    Attributes:
        host: This host's name in the host list.
        data_centre: This host's data centre.
        keys: One or two shared keys; the first signs this host's proof, and a
            peer's proof may be signed by any.
        accept_tls: TLS context of accepted links; None without TLS.
        dial_tls: TLS context of dialled links; None without TLS.
    """

    host: str
    data_centre: str
    keys: tuple[bytes, ...] = attrs.field(validator=_check_keys, repr=False)
    accept_tls: ssl.SSLContext | None = None
    dial_tls: ssl.SSLContext | None = None


def make_link_credentials(settings: Settings) -> LinkCredentials:
    """Loads the credentials that the settings name.

    Raises:
        ValueError: There are not one or two keys, or one is empty.
        OSError: A certificate or key file is unreadable or invalid.
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
    # Peers are dialled by IP address and prove their names in the handshake of
    # the link. The certificate only proves that the authority issued it.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    return context
