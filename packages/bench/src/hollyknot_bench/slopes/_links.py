"""Counts the dials and pings that messages between hosts cause.

It models the links of the transport package. Each direction between two hosts
has its own link. The dialler closes it after `idle_s` without a message, and
pings when it has received nothing for `one_way_ping_after_s`. One-way messages
are never answered on the link that carried them, so each burst of them ends
with a ping.
"""

from collections.abc import Callable

import attrs

from hollyknot_bench.slopes._wire import (
    SEGMENT_HEADER_BYTES,
    wire_bytes,
    wire_bytes_of,
)
from hollyknot_protocol import (
    LINK_VERSION,
    NONCE_BYTES,
    Hello,
    Ping,
    Pong,
    Proof,
    Side,
    encode,
    make_mac,
    pack_frame,
)
from hollyknot_transport import LinkLimits

SETUP_SEGMENTS = 7
"""TCP segments that open a connection (3) and close it (4)."""


@attrs.define
class _LinkTimes:
    last_used_s: float
    unanswered_since_s: float


class LinkTracker:
    """Tracks the links of all hosts, by sender and receiver."""

    def __init__(
        self, on_dial: Callable[[], None], on_ping: Callable[[], None]
    ) -> None:
        """Builds a tracker without links.

        Args:
            on_dial: Callback for each link that is opened.
            on_ping: Callback for each ping, which a pong answers.
        """
        self._limits = LinkLimits()
        self._on_dial = on_dial
        self._on_ping = on_ping
        self._links: dict[tuple[str, str], _LinkTimes] = {}

    def on_message(self, sender: str, receiver: str, now_s: float) -> None:
        """Records a one-way message and the dial or ping that it causes."""
        link = self._links.get((sender, receiver))
        if link is None or now_s - link.last_used_s >= self._limits.idle_s:
            self._on_dial()
            self._on_ping()
            self._links[sender, receiver] = _LinkTimes(now_s, now_s)
            return
        if now_s - link.unanswered_since_s >= self._limits.one_way_ping_after_s:
            # The ping after the earlier messages has been answered by now.
            self._on_ping()
            link.unanswered_since_s = now_s
        link.last_used_s = now_s


def dial_wire_bytes() -> int:
    """Returns the bytes to open and close a link, without TLS."""
    hello = Hello(LINK_VERSION, "dc-1-host-00001", "dc-1", bytes(NONCE_BYTES))
    mac = make_mac(b"key", Side.DIALLER, b"", b"")
    frames = (hello, hello, Proof(mac), Proof(mac))
    bodies = sum(wire_bytes(len(pack_frame(encode(f)))) for f in frames)
    return bodies + SETUP_SEGMENTS * SEGMENT_HEADER_BYTES


def ping_wire_bytes() -> int:
    """Returns the bytes on the wire of a ping and its pong."""
    return wire_bytes_of(Ping()) + wire_bytes_of(Pong())
