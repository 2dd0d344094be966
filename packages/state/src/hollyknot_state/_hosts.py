"""The platform's host list: hosts of hollyknot and upstreams, live or leaving.

The platform publishes one document; its revision only rises. It lags: an entry
may be gone for seconds before the list says so.
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
    """What the host list says of an entry."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.Enum):
    """What listens at an entry's address."""

    HOST = "host"
    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class HostListEntry:
    """One process in the platform's list.

    Attributes:
        name: Unique within the list; a replaced process has a new name.
        role: A host of hollyknot, a model engine or a plain service.
        data_centre: Where it runs.
        ip: Its IP address.
        port: For a host its port for links; else its HTTP port.
        pools: The models or the service that it serves; empty for a host.
        state: Live or leaving.
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
        revision: Rises with every change; a lower one is never applied.
        entries: All entries, of every data centre.
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
