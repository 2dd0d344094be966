"""How many connections a host takes from callers, by its file descriptors."""

import enum

import attrs

_FILES = 200
"""Descriptors that are left to files, probes, peers and the directory."""

_MIN_SOCKETS = 64
_MAX_BACKLOG = 1024
"""Accept queue, large enough for callers that reconnect together after a fault:
if it is full, each waits a second or more until its SYN is resent."""


class Use(enum.IntEnum):
    """What a connection is used for; lower ones are closed first."""

    IDLE = 0
    HEAD = 1
    """A head is being read."""

    BODY = 2
    """A body is being read."""

    UNREAD_ANSWER = 3
    """The caller takes no more of its answer."""

    WORK = 4


@attrs.frozen
class ConnectionLimits:
    """Limits of a server on connections.

    Attributes:
        connections: Most open connections.
        backlog: Most connections that wait to be accepted. As many may be open
            beyond the limit until those in excess are closed.
    """

    connections: int
    backlog: int


def caller_limits(descriptors: int) -> ConnectionLimits:
    """Returns limits for callers on a host with this many file descriptors.

    Each caller may need a connection to an upstream, too.
    """
    sockets = max(_MIN_SOCKETS, descriptors - _FILES)
    return ConnectionLimits(sockets // 2, min(_MAX_BACKLOG, sockets // 4))


UNLIMITED = ConnectionLimits(2**31, _MAX_BACKLOG)
