"""Formats the problems of a rejected document."""

from hollyknot_coordination.spread import Invalid
from hollyknot_state import Problems

_MAX_LISTED = 5


def invalid(problems: Problems) -> Invalid:
    """Returns a rejection that lists the first few problems."""
    listed = [str(p) for p in problems.problems[:_MAX_LISTED]]
    rest = len(problems.problems) + problems.more - len(listed)
    if rest:
        listed.append(f"and {rest} more")
    return Invalid(" | ".join(listed))
