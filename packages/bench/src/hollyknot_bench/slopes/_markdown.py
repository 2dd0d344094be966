"""Tables in Markdown."""

from collections.abc import Iterable, Sequence

NO_VALUE = "-"
_THOUSAND = 1000


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def figure(value: float) -> str:
    """Returns three digits of a value, all of a large one."""
    if value == 0:
        return NO_VALUE
    if value >= _THOUSAND:
        return f"{value:,.0f}"
    return f"{value:.3g}"
