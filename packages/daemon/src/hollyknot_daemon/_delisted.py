"""Addresses of hosts that the host list no longer names.

Holders of a changed group learn from the earlier holders, one of which may have
just been taken off the list and still answer. Without its address that group
might never be learnt, and its keys stay closed.
"""

from collections import OrderedDict
from collections.abc import Mapping

from hollyknot_state import HostListEntry

MAX_ENTRIES = 256
"""Most addresses kept; at the planned size a data centre replaces some 120
hosts a day."""


class Delisted:
    """The hosts that were listed and are not any more, newest last."""

    def __init__(self) -> None:
        """Has seen no list yet."""
        self._listed: Mapping[str, HostListEntry] = {}
        self._gone: OrderedDict[str, HostListEntry] = OrderedDict()

    def note(self, listed: Mapping[str, HostListEntry]) -> None:
        """Takes the hosts that a newer list names."""
        for name, entry in self._listed.items():
            if name not in listed:
                self._gone[name] = entry
        for name in listed:
            self._gone.pop(name, None)
        while len(self._gone) > MAX_ENTRIES:
            self._gone.popitem(last=False)
        self._listed = listed

    def find(self, name: str) -> HostListEntry | None:
        """Returns the last entry of a host that is gone, if it is kept."""
        return self._gone.get(name)
