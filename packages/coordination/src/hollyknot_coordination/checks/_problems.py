"""Turns problems into the text by which a document is refused."""

from hollyknot_coordination.spread import Invalid
from hollyknot_state import Problems

_TOLD = 5


def invalid(problems: Problems) -> Invalid:
    """Returns the refusal, with the first few problems told."""
    told = [str(p) for p in problems.problems[:_TOLD]]
    rest = len(problems.problems) + problems.more - len(told)
    if rest:
        told.append(f"and {rest} more")
    return Invalid(" | ".join(told))
