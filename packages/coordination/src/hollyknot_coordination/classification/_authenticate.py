"""Finds the customer that a bearer key belongs to."""

import hashlib
from collections.abc import Mapping

from hollyknot_state import CustomerDeclaration, Outcome, Reason, Verdict

_SCHEME = "bearer"
_BLANKS = " \t"


def index_keys(customers: Mapping[str, CustomerDeclaration]) -> dict[str, str]:
    """Returns the customers' names by the SHA-256 digests of their keys.

    The time taken grows with the number of customers, so the index should be
    built once for each version of the declarations.
    """
    return {c.key_sha256: name for name, c in customers.items()}


def authenticate(
    owners: Mapping[str, str], authorization: str
) -> str | Verdict:
    """Finds the customer that sent a request.

    A key is looked up by its hash, so that the time of the lookup doesn't
    reveal how much of a guessed key is right.

    Args:
        owners: Customer names by key digest, as `index_keys` returns them.
        authorization: Value of the header `Authorization`, empty if the
            request had none.

    Returns:
        The customer's name, or the refusal of the request.
    """
    scheme, _, key = authorization.strip(_BLANKS).partition(" ")
    key = key.strip(_BLANKS)
    if scheme.lower() != _SCHEME or not key:
        return _refusal("send the header 'Authorization: Bearer KEY'")
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape"))
    owner = owners.get(digest.hexdigest())
    if owner is None:
        return _refusal("the bearer key belongs to no customer")
    return owner


def _refusal(detail: str) -> Verdict:
    return Verdict(Outcome.NOT_RUN, Reason.BAD_KEY, detail)
