"""Counts the values of a JSON document before it is parsed.

A value of a few bytes takes up to a hundred in memory, so that a limit on a
document's bytes does not bound what it becomes.
"""

VALUE_BYTES = 100
"""Memory in bytes that a value takes at most, beside its text."""

_SEPARATORS = (b"[", b"{", b",", b":")
"""Each value but the first follows one of these."""


def has_more_values(data: bytes, limit: int) -> bool:
    """Tells whether a document has more values than a limit.

    The time and memory that this takes are bounded by the document's size and
    the limit. What stands in strings is counted only while the sum is small.

    Args:
        data: The document, of which nothing is known.
        limit: Most values that are allowed.
    """
    if _count(data) <= limit:
        return False
    unescaped = data.replace(b"\\\\", b"").replace(b'\\"', b"")
    if unescaped.count(b'"') > 2 * limit:
        return True
    outside_strings = b"".join(unescaped.split(b'"')[::2])
    return _count(outside_strings) > limit


def _count(data: bytes) -> int:
    return sum(map(data.count, _SEPARATORS))
