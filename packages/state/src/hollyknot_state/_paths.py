"""Normalises request paths, so that patterns can be matched against them.

A pattern names calls that must not run twice. If a caller wrote the same path
in another spelling (`/%6frders`, `//orders`, `/x/../orders`), the pattern would
not match although the service would run the call, and the call could be
repeated. Paths are therefore normalised, and paths that services may interpret
differently are refused.
"""

import enum
import re
import string

_UNRESERVED = frozenset(string.ascii_letters + string.digits + "-._~")
_PATH = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_ENCODED_SLASHES = ("%2F", "%5C")


class PathFault(enum.Enum):
    """Reasons why a path can't be normalised, as phrases for messages."""

    CHARACTERS = "a character that a path can't hold"
    ENCODED_SLASH = "an encoded slash or backslash"
    SEGMENTS = "an empty or dot segment"


def normalise_path(path: str) -> str | PathFault:
    """Normalises a path as RFC 3986 (6.2.2) describes.

    Args:
        path: Percent-encoded path that begins with a slash, without a query.
    """
    if not _PATH.fullmatch(path):
        return PathFault.CHARACTERS
    normal = _ESCAPE.sub(_decode_unreserved, path)
    if any(code in normal for code in _ENCODED_SLASHES):
        return PathFault.ENCODED_SLASH
    segments = normal.split("/")[1:]
    # The last segment may be empty: `/orders/` differs from `/orders`.
    if any(s in (".", "..") for s in segments) or "" in segments[:-1]:
        return PathFault.SEGMENTS
    return normal


def _decode_unreserved(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if character in _UNRESERVED else escape[0].upper()
