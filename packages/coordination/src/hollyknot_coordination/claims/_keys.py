"""Derives claim keys, which identify non-idempotent requests between hosts.

A claim key is 16 bytes: the 48-bit time of the caller's UUID of version 7 and
80 bits of a hash over customer, service and UUID. The time comes first, so
that keys sort by time. Two requests whose keys collide count as one request:
the second is refused, so that a collision never lets a request run twice.
"""

import enum
import hashlib
import uuid

SLOTS = 1024
"""Number of slots that keys are spread over, the same at every host.

With 2,500 hosts a host holds two slots on average. With fewer slots most hosts
would hold none, and the memory of the others would fill up.
"""

_HASH_BYTES = 10
_TIME_BYTES = 6
_SLOT_BYTES = 2
_UUID_TIME_SHIFT = 80
_UUID_VERSION = 7


class KeyFault(enum.Enum):
    """Why a caller's `Idempotency-Key` is rejected."""

    NOT_A_UUID = "the Idempotency-Key is not a UUID"
    NOT_VERSION_7 = "the Idempotency-Key is not a UUID of version 7"


def claim_key(
    customer: str, service: str, idempotency_key: str
) -> bytes | KeyFault:
    """Returns the claim key of a request, or why it has none.

    Args:
        customer: The customer's name.
        service: The plain service's name.
        idempotency_key: The value of the caller's `Idempotency-Key` header.
    """
    try:
        value = uuid.UUID(idempotency_key)
    except ValueError:
        return KeyFault.NOT_A_UUID
    if value.version != _UUID_VERSION:
        return KeyFault.NOT_VERSION_7
    # The lengths keep the names apart: without them customer `a` with service
    # `bc` would share its keys with customer `ab` and service `c`.
    name = f"{len(customer)} {len(service)} {customer}{service}"
    digest = hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES)
    digest.update(value.bytes)
    time_ms = value.int >> _UUID_TIME_SHIFT
    return time_ms.to_bytes(_TIME_BYTES, "big") + digest.digest()


def key_time_ms(key: bytes) -> int:
    """Returns a key's time, in milliseconds since 1970."""
    return int.from_bytes(key[:_TIME_BYTES], "big")


def slot_of(key: bytes) -> int:
    """Returns the slot that a key belongs to."""
    return int.from_bytes(key[-_SLOT_BYTES:], "big") % SLOTS
