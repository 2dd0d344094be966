"""Collects the cost of all roles that a host can have."""

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
    """Returns the rows of all roles, in the order of the page."""
    return (
        *entry_host(look),
        *gossip_peer(look),
        *prober(look),
        *reader(look),
        *holder(look),
        *sender(look),
    )
