"""Decides when a link is pinged, lost or idle, without I/O or a clock."""

import enum

from hollyknot_transport._links import LinkLimits


class LivenessAction(enum.Enum):
    """The action that a check of a link asks for."""

    NONE = "none"
    PING = "ping"
    LOST = "lost"
    IDLE = "idle"


class Liveness:
    """Tracks when a link was last used and when bytes were last received.

    A device on the path may lose the state of a connection and drop all packets
    of both ends. Calls on it would time out one after another while a new
    connection works. If nothing is received after a message was sent, the link
    is therefore pinged, and if nothing is received after the ping, it is lost.
    An unused link is not pinged: pings on all links of a host would exceed the
    bandwidth allowed for all of its control traffic.

    Times are monotonic, in seconds.
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
        """Time at which bytes were last received."""
        return self._last_received_s

    def on_bytes(self, now_s: float) -> None:
        """Records that bytes were received from the peer."""
        self._last_received_s = now_s
        self._unanswered_since_s = None
        self._last_ping_s = None

    def on_use(self, now_s: float) -> None:
        """Records a received message or reply, but no ping or pong."""
        self._last_used_s = now_s

    def on_message_sent(self, now_s: float) -> None:
        """Records that this side sent a call or a one-way message.

        Replies and pongs are not recorded here. Otherwise each side would ping
        in response to the other's pong, on every link, without end.
        """
        self._last_used_s = now_s
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s

    def check(self, now_s: float, *, is_reply_due: bool) -> LivenessAction:
        """Returns the action that is due; a ping is recorded as sent.

        Args:
            now_s: Current time in seconds.
            is_reply_due: Whether a call is pending.
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
