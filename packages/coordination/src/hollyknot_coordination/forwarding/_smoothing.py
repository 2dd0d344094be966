"""Computes exponential moving averages."""

_NEWEST = 0.1
"""Weight of the newest value. For intervals between reports, at ten a second,
the average then covers about one second."""


def smoothed(before: float, new: float) -> float:
    """Returns a moving average updated with a new value.

    Args:
        before: Average so far; 0 without any value yet.
        new: Newest value.
    """
    return new if not before else before + _NEWEST * (new - before)
