"""Renders the tables into the capacity page, between their markers."""

import re

from hollyknot_bench.slopes._series import Slopes
from hollyknot_bench.slopes._tables import TABLES

_TABLE_PATTERN = re.compile(
    r"(<!-- table ([a-z-]+) -->\n).*?(<!-- end of \2 -->)", re.DOTALL
)


def render_page(page: str, slopes: Slopes) -> str:
    """Returns the page with its tables computed from slopes.

    Args:
        page: Current text of the page.
        slopes: Measured slopes.

    Raises:
        ValueError: The markers of a table are missing, repeated or unknown.
    """
    found = [match.group(2) for match in _TABLE_PATTERN.finditer(page)]
    if sorted(found) != sorted(TABLES):
        raise ValueError(
            f"docs/CAPACITY.md has the tables {found}; write the markers"
            f" '<!-- table NAME -->' and '<!-- end of NAME -->' of each of"
            f" {list(TABLES)} once"
        )

    def replace(match: re.Match[str]) -> str:
        table = TABLES[match.group(2)](slopes)
        return f"{match.group(1)}\n{table}\n\n{match.group(3)}"

    return _TABLE_PATTERN.sub(replace, page)
