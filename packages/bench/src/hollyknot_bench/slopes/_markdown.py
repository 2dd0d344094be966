"""Renders tables and figures in Markdown."""

from collections.abc import Iterable, Sequence

NO_VALUE = "-"
_THOUSAND = 1000


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def figure(value: float) -> str:
    """Returns a value to three digits, or in whole units from 1,000 on.

    Zero is shown as `NO_VALUE`.
    """
    if value == 0:
        return NO_VALUE
    if value >= _THOUSAND:
        return f"{value:,.0f}"
    return f"{value:.3g}"
