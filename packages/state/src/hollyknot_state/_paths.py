"""The one spelling of a path that patterns are matched against.

A pattern names calls that must not run twice. If a caller could write the same
path otherwise (`/%6frders`, `//orders`, `/x/../orders`), the pattern would
miss it while the service behind still ran it: the call would be repeated. So a
path is brought to one spelling, and one that services read differently is
refused.
"""

import enum
import re
import string

_UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")
_PATH = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_ENCODED_SLASHES = ("%2F", "%5C")


class PathFault(enum.Enum):
    """Why a path has no single spelling; the value is a phrase."""

    CHARACTERS = "a character that a path can't hold"
    ENCODED_SLASH = "an encoded slash or backslash"
    SEGMENTS = "an empty or dot segment"


def normalise_path(path: str) -> str | PathFault:
    """Brings a path to one spelling, as RFC 3986 (6.2.2) has it.

    Args:
        path: Beginning with a slash, still percent-encoded, without the query.
    """
    if not _PATH.fullmatch(path):
        return PathFault.CHARACTERS
    normal = _ESCAPE.sub(_decode_unreserved, path)
    if any(code in normal for code in _ENCODED_SLASHES):
        return PathFault.ENCODED_SLASH
    segments = normal.split("/")[1:]
    # The last may be empty: `/orders/` is a path of its own.
    if any(s in (".", "..") for s in segments) or "" in segments[:-1]:
        return PathFault.SEGMENTS
    return normal


def _decode_unreserved(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if character in _UNRESERVED else escape[0].upper()
