"""Defines the immutable view of declarations and host list of one moment."""

import attrs

from hollyknot_coordination.classification import index_keys
from hollyknot_state import Declarations, HostList

_NOTHING_DECLARED = Declarations(version=0)
_NO_HOSTS = HostList(revision=0)


@attrs.frozen
class DocumentsView:
    """A consistent view of the documents, replaced at each change.

    A request keeps the view that was in force when it arrived. A change during
    the request can't give it the class of one version and the target of
    another.

    Attributes:
        declarations: Highest valid version of the declarations known here.
        hosts: Highest revision of the host list known here.
        customers_by_key: Customers' names by the SHA-256 of their API keys.
    """

    declarations: Declarations = _NOTHING_DECLARED
    hosts: HostList = _NO_HOSTS
    customers_by_key: dict[str, str] = attrs.field(factory=dict, repr=False)

    @property
    def is_complete(self) -> bool:
        """Whether both declarations and a host list are known."""
        return self.declarations.version > 0 and self.hosts.revision > 0

    def with_declarations(self, declarations: Declarations) -> "DocumentsView":
        """Returns a view with newer declarations; older ones are ignored.

        A configuration service that was restored from a backup offers old
        versions as the newest. Applying one could, for example, make a
        customer's revoked key valid again.
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
