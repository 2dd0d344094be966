"""Packs the work in flight at upstreams into about ten bytes per upstream.

Thrift structs take two to three times as many bytes. The bytes that a host may
send per second are bounded, so the smaller a report is, the more recent are the
loads by which peers place requests. With outdated loads, many hosts send
requests to the same upstream because it was idle a moment ago.

The format of one upstream is: its short name (4 bytes); the requests without an
answer and the running streams (1 byte each); a bit set of the urgencies with
any work (2 bytes); and for each of these urgencies the requests (1 byte) and
their tokens that wait for prefill, in units of `TOKENS_PER_UNIT` (2 bytes).
"""

import struct
from collections.abc import Sequence

from hollyknot_protocol._errors import MalformedMessageError
from hollyknot_state import UpstreamUse

TOKENS_PER_UNIT = 16
"""Tokens in a unit of the packed token counts.

Counts are rounded up to whole units, so that a short prompt is not reported as
none. The largest count that fits is about a million tokens.
"""

_HEAD = struct.Struct(">IBBH")
_URGENCY = struct.Struct(">BH")
_MAX_COUNT = 255
_MAX_UNITS = 65_535
_MAX_URGENCIES = 16


def pack_uses(uses: Sequence[UpstreamUse]) -> bytes:
    """Returns packed uses; counts that do not fit are set to the maximum."""
    return b"".join(_pack(use) for use in uses)


def unpack_uses(data: bytes) -> tuple[UpstreamUse, ...]:
    """Returns the uses that were packed into bytes.

    Raises:
        MalformedMessageError: The bytes end within a use.
    """
    uses = []
    offset = 0
    try:
        while offset < len(data):
            use, offset = _unpack(data, offset)
            uses.append(use)
    except struct.error as error:
        raise MalformedMessageError(
            f"packed uses are truncated: {error}"
        ) from error
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
