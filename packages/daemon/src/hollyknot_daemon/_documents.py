"""Holds the documents in force on this host and reports their changes."""

from collections.abc import Callable

from hollyknot_coordination.checks import check_declarations, check_hosts
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_state import Declarations, DocumentKind, HostList


class Documents:
    """Keeps the newest valid declarations and host list."""

    def __init__(self, on_change: Callable[[DocumentsView], None]) -> None:
        """Creates a view without declarations and hosts.

        Args:
            on_change: Callback that gets each new view before any request
                uses it.
        """
        self._view = DocumentsView()
        self._on_change = on_change

    @property
    def view(self) -> DocumentsView:
        """View of the documents that are in force now."""
        return self._view

    def put(self, value: object) -> None:
        """Puts a checked document in force unless it is an older one.

        Raises:
            TypeError: The value is neither declarations nor a host list.
        """
        if isinstance(value, HostList):
            view = self._view.with_hosts(value)
        elif isinstance(value, Declarations):
            view = self._view.with_declarations(value)
        else:
            raise TypeError(
                f"expected Declarations or a HostList, got"
                f" {type(value).__name__}"
            )
        if view is not self._view:
            self._view = view
            self._on_change(view)


CHECKS = {
    DocumentKind.DECLARATIONS: check_declarations,
    DocumentKind.HOSTS: check_hosts,
}
"""Functions that check a newer version of each document as a whole before it
is put in force."""
