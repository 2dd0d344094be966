"""Decides when a link is pinged, lost or idle. No I/O, no clock."""

import enum

from hollyknot_transport._links import LinkLimits


class LivenessAction(enum.Enum):
    """What to do with a link."""

    NONE = "none"
    PING = "ping"
    LOST = "lost"
    IDLE = "idle"


class Liveness:
    """What a link knows of its silence. Times are in seconds, monotonic.

    A connection can go silent for good: something between the two ends has
    forgotten it, and drops what either sends. Calls on it would time out one
    after another while a new connection works. So silence after a message was
    sent leads to a ping, and silence after the ping ends the link. Nothing is
    sent on a link that is not used: pings on all links of a host would cost
    more than all of its control traffic may.
    """

    def __init__(self, limits: LinkLimits, idle_s: float, now_s: float) -> None:
        self._limits = limits
        self._idle_s = idle_s
        self._last_received_s = now_s
        self._last_used_s = now_s
        self._unanswered_since_s: float | None = None
        self._last_ping_s: float | None = None

    @property
    def last_received_s(self) -> float:
        """When bytes last came."""
        return self._last_received_s

    def on_bytes(self, now_s: float) -> None:
        """Takes note of bytes from the peer, whatever they are."""
        self._last_received_s = now_s
        self._unanswered_since_s = None
        self._last_ping_s = None

    def on_use(self, now_s: float) -> None:
        """Takes note of a message either way, other than ping and pong."""
        self._last_used_s = now_s

    def on_message_sent(self, now_s: float) -> None:
        """Takes note of a call or a one-way message of this side.

        Replies and pongs are not noted here. If they were, each side would
        ping because of the other's pong, on every link, for ever.
        """
        self._last_used_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def check(self, now_s: float, *, is_reply_due: bool) -> LivenessAction:
        """Returns what to do; takes note of the ping that it asks for.

        Args:
            now_s: The time.
            is_reply_due: Whether a call waits for its reply.
        """
        if self._last_ping_s is not None:
            if now_s - self._last_ping_s >= self._limits.stall_s:
                return LivenessAction.LOST
            return LivenessAction.NONE
        if self._is_ping_due(now_s, is_reply_due=is_reply_due):
            self._last_ping_s = now_s
            return LivenessAction.PING
        if not is_reply_due and now_s - self._last_used_s >= self._idle_s:
            return LivenessAction.IDLE
        return LivenessAction.NONE

    def _is_ping_due(self, now_s: float, *, is_reply_due: bool) -> bool:
        limits = self._limits
        since_s = self._unanswered_since_s
        if is_reply_due:
            since_s = self._last_received_s if since_s is None else since_s
            return now_s - since_s >= limits.ping_after_s
        if since_s is None:
            return False
        return now_s - since_s >= limits.one_way_ping_after_s
