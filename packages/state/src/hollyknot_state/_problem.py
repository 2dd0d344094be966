"""Mistakes in a document: where they are, what is wrong, what to do.

Checks raise `CheckError` with paths relative to the value they look at; the
reader of a document joins them to whole paths and reports all of them at once.
"""

import difflib
import re
from collections.abc import Callable, Iterable

import attrs

MAX_PROBLEMS = 100
"""The most problems that are told one by one; the rest are counted.

Without it a document with one mistake in each of thousands of entries would
cost seconds to report, and a person reads the first few only.
"""

PathPart = str | int
"""A key of an object, or an index of an array."""

_PLAIN_KEY = re.compile(r"[A-Za-z0-9_-]+")
_MAX_SHOWN_CHARACTERS = 60
_MAX_SHOWN_BITS = 200
_MAX_LISTED_NAMES = 8


@attrs.frozen
class Problem:
    """One mistake.

    Attributes:
        path: Where it is, such as `customers.hall-a.classes[1]`; empty for
            the whole document.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns the line that an operator reads."""
        where = f"{self.path}: " if self.path else ""
        return f"{where}{self.problem}; {self.remedy}"


@attrs.frozen
class Problems:
    """Why a document was refused; there is at least one problem.

    Attributes:
        problems: The first of them, in the document's order of fields.
        more: How many further ones were found and left out.
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
    """A problem whose path is relative to the value that was looked at.

    Attributes:
        path: The way from that value to the mistake.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: tuple[PathPart, ...]
    problem: str
    remedy: str


class CheckError(ValueError):
    """A value that breaks a check was about to be built."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__()

    def __str__(self) -> str:
        """Returns what is wrong; made when it is asked for, as most are not."""
        return "; ".join(
            f"{join_path(f.path)} {f.problem}; {f.remedy}".strip()
            for f in self.findings[:MAX_PROBLEMS]
        )


def check_error(problem: str, remedy: str) -> CheckError:
    """Returns the error of a check that a whole value broke."""
    return CheckError([Finding((), problem, remedy)])


@attrs.define
class ProblemCollector:
    """Collects problems up to `MAX_PROBLEMS` and counts the others."""

    _problems: list[Problem] = attrs.Factory(list)
    _more: int = 0

    @property
    def result(self) -> Problems | None:
        """The problems so far; none if nothing is wrong."""
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
            path: The whole way from the document to the mistake.
            problem: What is wrong.
            remedy: What to do; a function where finding it out is costly.
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
    """Quotes a value for a message: one line, bounded, always encodable."""
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
    """Suggests a known name, or lists some of the known ones."""
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
    # Python refuses to write integers of thousands of digits as decimals with
    # a ValueError, which would turn a report of a mistake into a crash.
    if value.bit_length() > _MAX_SHOWN_BITS:
        return f"an integer of {value.bit_length()} bits"
    return str(value)
