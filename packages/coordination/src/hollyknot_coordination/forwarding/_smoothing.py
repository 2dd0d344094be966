"""Averages that follow what they are of."""

_NEWEST = 0.1
"""Weight of the newest value: of times between reports, a second's worth at
ten a second."""


def smoothed(before: float, new: float) -> float:
    """Returns a moving average with its newest value taken in.

    Args:
        before: The average so far; 0 for none.
        new: The newest value.
    """
    return new if not before else before + _NEWEST * (new - before)
