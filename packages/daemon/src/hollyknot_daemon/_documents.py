"""The documents in force on this host, and who is told of a change."""

from collections.abc import Callable

from hollyknot_coordination.checks import check_declarations, check_hosts
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_state import Declarations, DocumentKind, HostList


class Documents:
    """The view in force."""

    def __init__(self, on_change: Callable[[DocumentsView], None]) -> None:
        """Starts with nothing in force.

        Args:
            on_change: Called with each new view, before any request sees it.
        """
        self._view = DocumentsView()
        self._on_change = on_change

    @property
    def view(self) -> DocumentsView:
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


CHECKS = {
    DocumentKind.DECLARATIONS: check_declarations,
    DocumentKind.HOSTS: check_hosts,
}
"""How a newer version of each document is checked, whole, before it is in
force."""
