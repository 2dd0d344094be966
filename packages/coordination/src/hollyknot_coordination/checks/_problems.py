"""Turns problems into the text by which a document is refused."""

from hollyknot_coordination.spread import Invalid
from hollyknot_state import Problems

_MAX_LISTED = 5


def invalid(problems: Problems) -> Invalid:
    """Returns the refusal, with the first few problems told."""
    listed = [str(p) for p in problems.problems[:_MAX_LISTED]]
    rest = len(problems.problems) + problems.more - len(listed)
    if rest:
        listed.append(f"and {rest} more")
    return Invalid(" | ".join(listed))
