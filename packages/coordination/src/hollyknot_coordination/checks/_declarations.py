"""Validates new declarations at a cost proportional to the change.

A change touches one or two of 18,000 customers. Validating the whole document
for each of 19,000 changes a day would alone use more processor time than a
host has for coordination.
"""

from hollyknot_coordination.checks._problems import invalid
from hollyknot_coordination.spread import Candidate, Invalid
from hollyknot_state import (
    Declarations,
    Problems,
    parse_declarations,
    update_declarations,
)


def check_declarations(candidate: Candidate) -> Declarations | Invalid:
    """Returns the declarations, or why they are rejected.

    Both the incremental and the full check accept and reject exactly the
    documents that `parse_declarations` of the whole document does.
    """
    parsed = _parse(candidate)
    return invalid(parsed) if isinstance(parsed, Problems) else parsed


def _parse(candidate: Candidate) -> Declarations | Problems:
    previous = candidate.previous
    if not isinstance(previous, Declarations):
        return parse_declarations(candidate.body, candidate.version)
    change = candidate.change
    return update_declarations(
        previous, candidate.version, change.changed, change.removed
    )
