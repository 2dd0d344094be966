"""The platform's host list: hosts of hollyknot and upstreams, live or leaving.

The platform publishes the list as one document with a rising revision. The list
lags: a process may have ended seconds before its entry changes.
"""

import enum

import attrs

from hollyknot_state._validators import (
    each,
    has_distinct_names,
    is_between,
    is_ip,
    is_long_name,
    is_name,
)

MAX_PORT = 65_535
MAX_REVISION = 2**63 - 1


class EntryState(enum.Enum):
    """The state of a process according to the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.Enum):
    """Kinds of servers that listen at an entry's address."""

    HOST = "host"
    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class HostListEntry:
    """One process in the platform's list.

    Attributes:
        name: Name, unique within the list; a replacement process has a new one.
        role: Whether it is a host of hollyknot, a model engine or a plain
            service.
        data_centre: Data centre in which the process runs.
        ip: IP address of the process.
        port: Port for links of a host; HTTP port of any other process.
        pools: Models or services that the process serves; empty for a host.
        state: Whether the process is live or leaving.
    """

    name: str = attrs.field(validator=is_long_name)
    role: Role
    data_centre: str = attrs.field(validator=is_name)
    ip: str = attrs.field(validator=is_ip)
    port: int = attrs.field(validator=is_between(1, MAX_PORT))
    pools: tuple[str, ...] = attrs.field(
        default=(), validator=each(is_long_name)
    )
    state: EntryState = EntryState.LIVE


@attrs.frozen
class HostList:
    """One revision of the platform's list.

    Attributes:
        revision: Number that rises with every change; a lower one is never
            applied.
        entries: The entries of all data centres.
    """

    revision: int = attrs.field(validator=is_between(0, MAX_REVISION))
    entries: tuple[HostListEntry, ...] = attrs.field(
        default=(), validator=has_distinct_names
    )

    def hosts(self, data_centre: str) -> tuple[HostListEntry, ...]:
        """Returns the live hosts of hollyknot in a data centre."""
        return tuple(
            e
            for e in self.entries
            if e.role is Role.HOST
            and e.data_centre == data_centre
            and e.state is EntryState.LIVE
        )

    def upstreams(self, pool: str) -> tuple[HostListEntry, ...]:
        """Returns the live upstreams of a pool, in every data centre."""
        return tuple(
            e
            for e in self.entries
            if e.role is not Role.HOST
            and pool in e.pools
            and e.state is EntryState.LIVE
        )
