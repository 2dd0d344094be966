"""All roles of a host."""

from hollyknot_bench.slopes._cost import Row
from hollyknot_bench.slopes._lookup import Lookup
from hollyknot_bench.slopes._peer_roles import (
    gossip_peer,
    prober,
    reader,
    sender,
)
from hollyknot_bench.slopes._request_roles import entry_host, holder


def roles(look: Lookup) -> tuple[Row, ...]:
    """Returns the rows of all roles."""
    return (
        *entry_host(look),
        *gossip_peer(look),
        *prober(look),
        *reader(look),
        *holder(look),
        *sender(look),
    )
