"""Checks declarations, at the cost of what changed where that is possible.

A change touches a customer or two of 18,000. Checking the whole document for
each of 19,000 changes a day would alone spend more processor time than a host
has for control. So where only customers changed, the changed ones are checked
against everything else, which was checked before.
"""

import enum
from collections.abc import Iterable

import attrs
import orjson

from hollyknot_coordination.checks._problems import invalid
from hollyknot_coordination.classification import index_keys
from hollyknot_coordination.spread import Candidate, Invalid
from hollyknot_state import (
    CustomerDeclaration,
    Declarations,
    Problems,
    dump_declarations,
    parse_declarations,
)

_CUSTOMER_PREFIX = "customers/"


class _Refused(enum.Enum):
    """The changed customers can't be taken; the whole check tells why."""

    REFUSED = "refused"


def check_declarations(candidate: Candidate) -> Declarations | Invalid:
    """Returns the declarations, or why they are refused.

    Whichever way the check goes, it takes and refuses the same documents as
    `parse_declarations` of the whole.
    """
    previous = candidate.previous
    if isinstance(previous, Declarations) and _only_customers(candidate):
        merged = _merge(previous, candidate)
        if isinstance(merged, Declarations):
            return merged
    # Also after a refused merge: the whole document gives the paths, and the
    # other mistakes, that the operator needs.
    parsed = parse_declarations(candidate.body, candidate.version)
    return invalid(parsed) if isinstance(parsed, Problems) else parsed


def _only_customers(candidate: Candidate) -> bool:
    paths = [record.path for record in candidate.change.changed]
    paths += candidate.change.removed
    return all(path.startswith(_CUSTOMER_PREFIX) for path in paths)


def _merge(
    previous: Declarations, candidate: Candidate
) -> Declarations | _Refused:
    changed = _changed_customers(previous, candidate)
    if isinstance(changed, Problems):
        return _Refused.REFUSED
    removed = {_name(path) for path in candidate.change.removed}
    kept = {
        name: customer
        for name, customer in previous.customers.items()
        if name not in removed and name not in changed
    }
    if _shares_a_key(kept, changed.values()):
        return _Refused.REFUSED
    return attrs.evolve(
        previous, version=candidate.version, customers=kept | changed
    )


def _changed_customers(
    previous: Declarations, candidate: Candidate
) -> dict[str, CustomerDeclaration] | Problems:
    """Reads the changed customers against the classes that they may name."""
    rest = attrs.evolve(previous, customers={})
    document = orjson.loads(dump_declarations(rest))
    document["customers"] = {
        _name(record.path): orjson.loads(record.body)
        for record in candidate.change.changed
    }
    parsed = parse_declarations(orjson.dumps(document), candidate.version)
    return parsed if isinstance(parsed, Problems) else parsed.customers


def _shares_a_key(
    kept: dict[str, CustomerDeclaration],
    changed: Iterable[CustomerDeclaration],
) -> bool:
    owners = index_keys(kept)
    return any(customer.key_sha256 in owners for customer in changed)


def _name(path: str) -> str:
    return path[len(_CUSTOMER_PREFIX) :]
