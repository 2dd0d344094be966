"""Work in flight at upstreams, packed into some ten bytes for each.

As thrift structs the same takes twice to three times as many, and what a host
may send a second is bounded: the smaller a report is, the younger are the loads
that peers decide by. By old ones hosts crowd on the upstream that was idle a
moment ago.

For each upstream: its short name (4 bytes), requests that wait and streams that
run (1 byte each), which urgencies have any (2 bytes, a bit each), then for each
of those the requests (1 byte) and their unread tokens in units (2 bytes).
"""

import struct
from collections.abc import Sequence

from hollyknot_protocol._errors import MalformedMessageError
from hollyknot_state import UpstreamUse

TOKENS_PER_UNIT = 16
"""Rounded up, so that a short prompt is not told as none; the most that fits
is a million tokens."""

_HEAD = struct.Struct(">IBBH")
_URGENCY = struct.Struct(">BH")
_MAX_COUNT = 255
_MAX_UNITS = 65_535
_MAX_URGENCIES = 16


def pack_uses(uses: Sequence[UpstreamUse]) -> bytes:
    """Returns the bytes of some uses; counts are cut at what fits."""
    return b"".join(_pack(use) for use in uses)


def unpack_uses(data: bytes) -> tuple[UpstreamUse, ...]:
    """Returns the uses that bytes hold.

    Raises:
        MalformedMessageError: They end within one.
    """
    uses = []
    offset = 0
    try:
        while offset < len(data):
            use, offset = _unpack(data, offset)
            uses.append(use)
    except struct.error as error:
        raise MalformedMessageError(f"uses: {error}") from error
    return tuple(uses)


def _pack(use: UpstreamUse) -> bytes:
    counts = use.urgencies
    tokens = use.waiting_tokens
    length = min(max(len(counts), len(tokens)), _MAX_URGENCIES)
    counts = counts.ljust(length, b"\0")
    tokens += (0,) * (length - len(tokens))
    present = [n for n in range(length) if counts[n] or tokens[n]]
    parts = [
        _HEAD.pack(
            use.upstream,
            min(use.waiting, _MAX_COUNT),
            min(use.running, _MAX_COUNT),
            sum(1 << n for n in present),
        )
    ]
    for n in present:
        units = -(-tokens[n] // TOKENS_PER_UNIT)
        parts.append(_URGENCY.pack(counts[n], min(units, _MAX_UNITS)))
    return b"".join(parts)


def _unpack(data: bytes, offset: int) -> tuple[UpstreamUse, int]:
    upstream, waiting, running, present = _HEAD.unpack_from(data, offset)
    offset += _HEAD.size
    counts = [0] * present.bit_length()
    tokens = [0] * present.bit_length()
    for n in range(present.bit_length()):
        if present >> n & 1:
            counts[n], units = _URGENCY.unpack_from(data, offset)
            tokens[n] = units * TOKENS_PER_UNIT
            offset += _URGENCY.size
    use = UpstreamUse(upstream, tuple(tokens), waiting, running, bytes(counts))
    return use, offset
