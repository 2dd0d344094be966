"""Parses JSON that may have been made to use up memory.

A value of a few bytes of JSON takes up to forty times as many in memory, so a
limit on a document's bytes does not bound what it becomes.
"""

from typing import Any

import orjson

from hollyknot_gateway._ports import SourceFailure

_SEPARATORS = (b"[", b"{", b",", b":")
"""Each value but the first follows one of these. A few more may stand in
strings."""


def parse_json(data: bytes, max_separators: int) -> Any | SourceFailure:
    """Returns the value of a JSON document, or why it has none.

    Args:
        data: The document.
        max_separators: Most brackets, commas and colons that it may have. Each
            takes about a hundred bytes of memory at most.
    """
    if sum(map(data.count, _SEPARATORS)) > max_separators:
        return SourceFailure("too-many-values")
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return SourceFailure("not-json", str(error))
