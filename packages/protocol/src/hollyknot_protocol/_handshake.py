"""The proof that a side of a handshake knows a shared key."""

import enum
import hashlib
import hmac
import struct
from collections.abc import Sequence

from hollyknot_protocol._peer import MAC_BYTES

_CONTEXT = b"hollyknot link 1"
_LENGTH = struct.Struct(">I")


class Side(enum.Enum):
    """Which side of a link makes a proof.

    The side is part of what is proved. Without it a stranger could dial a
    host, send that host's own frames back, and return its proof as his.
    """

    DIALLER = b"dialler"
    ACCEPTER = b"accepter"


def make_mac(
    key: bytes, side: Side, dialler_hello: bytes, accepter_hello: bytes
) -> bytes:
    """Returns the proof of one side.

    Args:
        key: The shared key.
        side: Whose proof it is.
        dialler_hello: The dialling side's `Hello` as it was sent. It is taken
            as bytes, so that fields that only one side knows are proved too.
        accepter_hello: The accepting side's, likewise.

    Returns:
        HMAC-SHA256 over both nonces, names and data centres.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (_CONTEXT, side.value, dialler_hello, accepter_hello):
        # Lengths keep two different lists of parts from joining to the same
        # bytes.
        mac.update(_LENGTH.pack(len(part)) + part)
    return mac.digest()


def is_valid_proof(
    keys: Sequence[bytes],
    mac: bytes,
    side: Side,
    dialler_hello: bytes,
    accepter_hello: bytes,
) -> bool:
    """Tells whether a proof was made with one of the keys."""
    if len(mac) != MAC_BYTES:
        return False
    found = False
    for key in keys:
        expected = make_mac(key, side, dialler_hello, accepter_hello)
        # Every key is compared, in constant time, so that the time taken
        # tells a stranger nothing of a key.
        found |= hmac.compare_digest(expected, mac)
    return found
