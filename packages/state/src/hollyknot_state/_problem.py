"""Problems of a document: where they are, what is wrong, what to do.

Checks raise `CheckError` with paths relative to the checked value. The reader
of a document extends these to full paths and reports all problems together.
"""

import difflib
import re
from collections.abc import Callable, Iterable

import attrs

MAX_PROBLEMS = 100
"""Most problems that are reported one by one; further ones are only counted.

Without a bound, a document with a mistake in each of thousands of entries would
take seconds to report, and a person reads the first few only.
"""

PathPart = str | int
"""A key of an object or an index of an array."""

_PLAIN_KEY = re.compile(r"[A-Za-z0-9_-]+")
_MAX_SHOWN_CHARACTERS = 60
_MAX_SHOWN_BITS = 200
_MAX_LISTED_NAMES = 8


@attrs.frozen
class Problem:
    """One mistake in a document.

    Attributes:
        path: Path of the mistake, such as `customers.hall-a.classes[1]`; empty
            for the whole document.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns one line for operators."""
        where = f"{self.path}: " if self.path else ""
        return f"{where}{self.problem}; {self.remedy}"


@attrs.frozen
class Problems:
    """The problems for which a document was refused, at least one.

    Attributes:
        problems: The first problems, in the order of the document's fields.
        more: Number of further problems that were found and left out.
    """

    problems: tuple[Problem, ...]
    more: int = 0

    def __str__(self) -> str:
        """Returns one line for each problem."""
        lines = [str(p) for p in self.problems]
        if self.more:
            lines.append(f"and {self.more} more")
        return "\n".join(lines)


@attrs.frozen
class Finding:
    """A problem whose path is relative to the checked value.

    Attributes:
        path: Path from the checked value to the mistake.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: tuple[PathPart, ...]
    problem: str
    remedy: str


class CheckError(ValueError):
    """Raised when a value that fails a check would be built."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__()

    def __str__(self) -> str:
        """Returns the text, built on demand since most texts are never read."""
        return "; ".join(
            f"{join_path(f.path)} {f.problem}; {f.remedy}".strip()
            for f in self.findings[:MAX_PROBLEMS]
        )


def check_error(problem: str, remedy: str) -> CheckError:
    """Returns the error of a check that a value fails as a whole."""
    return CheckError([Finding((), problem, remedy)])


@attrs.define
class ProblemCollector:
    """Collects problems up to `MAX_PROBLEMS` and counts the others."""

    _problems: list[Problem] = attrs.Factory(list)
    _more: int = 0

    @property
    def result(self) -> Problems | None:
        """The problems so far; None if there are none."""
        if not self._problems:
            return None
        return Problems(tuple(self._problems), self._more)

    @property
    def is_full(self) -> bool:
        """Whether a further problem would only be counted."""
        return len(self._problems) >= MAX_PROBLEMS

    def add(
        self,
        path: tuple[PathPart, ...],
        problem: str,
        remedy: str | Callable[[], str],
    ) -> None:
        """Adds a problem.

        Args:
            path: Path from the document to the mistake.
            problem: What is wrong.
            remedy: What to do about it, or a function that returns it where it
                is expensive to compute.
        """
        if self.is_full:
            self._more += 1
            return
        text = remedy if isinstance(remedy, str) else remedy()
        self._problems.append(Problem(join_path(path), problem, text))


def join_path(path: Iterable[PathPart]) -> str:
    """Writes a path as `customers.hall-a.classes[1]`."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        elif _PLAIN_KEY.fullmatch(part):
            text += f".{part}" if text else part
        else:
            text += f"[{format_value(part)}]"
    return text


def format_value(value: object) -> str:
    """Formats a value for a message as one short line that can be encoded."""
    if isinstance(value, str):
        return _quote(value)
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int):
        return _format_integer(value)
    if isinstance(value, float):
        return repr(value)
    return "an object" if isinstance(value, dict) else "an array"


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Returns the most similar known name, or some of the known names."""
    names = sorted(known)
    close = difflib.get_close_matches(name[:_MAX_SHOWN_CHARACTERS], names, n=1)
    if close:
        return f"did you mean {format_value(close[0])}?"
    if not names:
        return "none is declared"
    listed = ", ".join(format_value(n) for n in names[:_MAX_LISTED_NAMES])
    return (
        f"known are {listed}{', ...' if len(names) > _MAX_LISTED_NAMES else ''}"
    )


def _quote(value: str) -> str:
    head = value[:_MAX_SHOWN_CHARACTERS]
    quoted = "".join(
        c
        if c.isprintable() and c != '"'
        else c.encode("unicode_escape").decode()
        for c in head
    )
    return f'"{quoted}"' + ("..." if len(value) > _MAX_SHOWN_CHARACTERS else "")


def _format_integer(value: int) -> str:
    # For integers of thousands of digits, `str` raises a ValueError; the report
    # of a mistake would then fail itself.
    if value.bit_length() > _MAX_SHOWN_BITS:
        return f"an integer of {value.bit_length()} bits"
    return str(value)
