"""Makes and checks the proof that a side of a link knows a shared key."""

import enum
import hashlib
import hmac
import struct
from collections.abc import Sequence

from hollyknot_protocol._peer import MAC_BYTES

_CONTEXT = b"hollyknot link 1"
_LENGTH = struct.Struct(">I")


class Side(enum.Enum):
    """The side of a link that makes a proof.

    The MAC covers the side. Without it an attacker without a key could dial a
    host, send that host's own frames back, and return the host's proof as its
    own (a reflection attack).
    """

    DIALLER = b"dialler"
    ACCEPTER = b"accepter"


def make_mac(
    key: bytes, side: Side, dialler_hello: bytes, accepter_hello: bytes
) -> bytes:
    """Returns the proof of one side.

    Args:
        key: The shared key.
        side: The side that makes the proof.
        dialler_hello: The dialling side's encoded `Hello` as it was sent. The
            MAC covers the bytes, so that it also covers fields that only one
            side's version defines.
        accepter_hello: The accepting side's encoded `Hello` as it was sent.

    Returns:
        HMAC-SHA256 over the side and both encoded `Hello` messages, which hold
        the nonces, names and data centres.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (_CONTEXT, side.value, dialler_hello, accepter_hello):
        # The lengths prevent that two different lists of parts are joined to
        # the same bytes.
        mac.update(_LENGTH.pack(len(part)) + part)
    return mac.digest()


def is_valid_proof(
    keys: Sequence[bytes],
    mac: bytes,
    side: Side,
    dialler_hello: bytes,
    accepter_hello: bytes,
) -> bool:
    """Returns whether a proof was made with one of the keys."""
    if len(mac) != MAC_BYTES:
        return False
    found = False
    for key in keys:
        expected = make_mac(key, side, dialler_hello, accepter_hello)
        # All keys are compared, and in constant time, so that the duration
        # reveals nothing about a key to an attacker.
        found |= hmac.compare_digest(expected, mac)
    return found
