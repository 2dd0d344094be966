"""The declarations and the host list in force on this host."""

import attrs

from hollyknot_coordination.classification import index_keys
from hollyknot_state import Declarations, HostList

_NOTHING_DECLARED = Declarations(version=0)
_NO_HOSTS = HostList(revision=0)


@attrs.frozen
class DocumentsView:
    """One consistent view; a new one is made for each change.

    A request keeps the view that it arrived under, so that a change in its
    midst can't give it the class of one version and the target of another.

    Attributes:
        declarations: The highest good version known here.
        hosts: The highest revision known here.
        customers_by_key: Customers' names by the SHA-256 of their keys.
    """

    declarations: Declarations = _NOTHING_DECLARED
    hosts: HostList = _NO_HOSTS
    customers_by_key: dict[str, str] = attrs.field(factory=dict, repr=False)

    @property
    def is_complete(self) -> bool:
        """Whether there is something to serve by."""
        return self.declarations.version > 0 and self.hosts.revision > 0

    def with_declarations(self, declarations: Declarations) -> "DocumentsView":
        """Returns a view with newer declarations; an older one is ignored.

        A restored configuration service offers old versions as if they were
        new. Taking one would bring back, say, a customer's revoked key.
        """
        if declarations.version <= self.declarations.version:
            return self
        by_key = index_keys(declarations.customers)
        return attrs.evolve(
            self, declarations=declarations, customers_by_key=by_key
        )

    def with_hosts(self, hosts: HostList) -> "DocumentsView":
        """Returns a view with a newer host list; an older one is ignored."""
        if hosts.revision <= self.hosts.revision:
            return self
        return attrs.evolve(self, hosts=hosts)
