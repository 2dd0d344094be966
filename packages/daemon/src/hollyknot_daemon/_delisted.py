"""Keeps the addresses of hosts that were removed from the host list.

When the holders of a claim slot change, the new holders learn its claims from
the earlier ones. An earlier holder may have just been removed from the host
list and still answer. Without its address the slot might never be learnt, and
its keys could not be claimed.
"""

from collections import OrderedDict
from collections.abc import Mapping

from hollyknot_state import HostListEntry

MAX_ENTRIES = 256
"""Maximum number of addresses. At the planned size a data centre replaces about
120 hosts a day."""


class Delisted:
    """Hosts removed from the host list, the most recently removed last."""

    def __init__(self) -> None:
        """Creates an empty record, before any host list is known."""
        self._listed: Mapping[str, HostListEntry] = {}
        self._gone: OrderedDict[str, HostListEntry] = OrderedDict()

    def note(self, listed: Mapping[str, HostListEntry]) -> None:
        """Records which hosts are missing from a newer host list."""
        for name, entry in self._listed.items():
            if name not in listed:
                self._gone[name] = entry
        for name in listed:
            self._gone.pop(name, None)
        while len(self._gone) > MAX_ENTRIES:
            self._gone.popitem(last=False)
        self._listed = listed

    def find(self, name: str) -> HostListEntry | None:
        """Returns the last known entry of a removed host, if it is kept."""
        return self._gone.get(name)
