"""The documents in force on this host, and who is told of a change."""

from collections.abc import Callable

from hollyknot_coordination.spread import Candidate, Invalid
from hollyknot_daemon._in_force import InForce
from hollyknot_state import (
    Declarations,
    DocumentKind,
    HostList,
    Problems,
    parse_declarations,
    parse_host_list,
)

_TOLD_PROBLEMS = 5


class Documents:
    """The view in force."""

    def __init__(self, on_change: Callable[[InForce], None]) -> None:
        """Starts with nothing in force.

        Args:
            on_change: Called with each new view, before any request sees it.
        """
        self._view = InForce()
        self._on_change = on_change

    @property
    def view(self) -> InForce:
        """The view of this moment."""
        return self._view

    def put(self, value: object) -> None:
        """Puts a checked document in force; an older one changes nothing."""
        if isinstance(value, HostList):
            view = self._view.with_hosts(value)
        elif isinstance(value, Declarations):
            view = self._view.with_declarations(value)
        else:
            raise TypeError(f"{type(value).__name__} is not a document")
        if view is not self._view:
            self._view = view
            self._on_change(view)


def _check_declarations(candidate: Candidate) -> Declarations | Invalid:
    parsed = parse_declarations(candidate.body, candidate.version)
    return _invalid(parsed) if isinstance(parsed, Problems) else parsed


def _check_hosts(candidate: Candidate) -> HostList | Invalid:
    parsed = parse_host_list(candidate.body)
    return _invalid(parsed) if isinstance(parsed, Problems) else parsed


def _invalid(problems: Problems) -> Invalid:
    told = [str(p) for p in problems.problems[:_TOLD_PROBLEMS]]
    rest = len(problems.problems) + problems.more - len(told)
    if rest:
        told.append(f"and {rest} more")
    return Invalid(" | ".join(told))


CHECKS = {
    DocumentKind.DECLARATIONS: _check_declarations,
    DocumentKind.HOSTS: _check_hosts,
}
"""How a newer version of each document is checked, whole, before it is in
force."""
