"""Measures membership, links and gossip against a data centre's hosts."""

import functools
import random

import attrs
import click

from hollyknot_bench.slopes._documents import (
    DATA_CENTRES,
    declarations,
    hosts_body,
)
from hollyknot_bench.slopes._links import dial_wire_bytes, ping_wire_bytes
from hollyknot_bench.slopes._measure import MEGA, measure_memory
from hollyknot_bench.slopes._network import Network, Node
from hollyknot_bench.slopes._series import Series, make_series
from hollyknot_bench.slopes._spent import Spent
from hollyknot_coordination.membership import Membership, rank_hosts
from hollyknot_state import DocumentKind

DECLARATIONS, HOSTS = DocumentKind.DECLARATIONS, DocumentKind.HOSTS

SIZES = (16, 32, 64, 128, 256)
QUICK_SIZES = (2, 4, 8, 16, 32)
CUSTOMERS = 20
LINKS_SETTLE_S = 65.0
"""Longer than links may idle, so that the rate of dials has become steady."""

QUIET_S = 20.0
CHANGES = 8
CHANGE_EVERY_S = 2.5
RACK_DIVISOR = 16
"""The loss of a rack kills one host in this many at the same time."""

SETTLE_LIMIT_S = 120.0
PROBES = ("Probe", "ProbeAck", "IndirectProbe")
_US = 1e6


def make_network(
    hosts: int, centres: int = 1, seed: int = 1, with_documents: bool = True
) -> Network:
    """Returns a network of hosts and a platform that has both documents.

    Args:
        hosts: Number of hosts.
        centres: Number of data centres, to which hosts are assigned in turn.
        seed: Seed of all random choices.
        with_documents: Whether the hosts start with both documents.
    """
    network = Network(seed)
    names = {
        f"{DATA_CENTRES[n % centres]}-host-{n:05d}": DATA_CENTRES[n % centres]
        for n in range(hosts)
    }
    network.documents[HOSTS] = (1, hosts_body(1, names))
    network.documents[DECLARATIONS] = (1, declarations(CUSTOMERS))
    for name, centre in names.items():
        network.add(name, centre)
    if with_documents:
        network.load_documents()
    return network


def change_declarations(network: Network) -> int:
    """Publishes declarations with one changed customer; returns the version."""
    version = network.documents[DECLARATIONS][0] + 1
    body = declarations(CUSTOMERS, version)
    network.documents[DECLARATIONS] = (version, body)
    return version


def links_wire_bytes(spent: Spent) -> int:
    """Returns the bytes on the wire of dials, pings and pongs."""
    return spent.dials * dial_wire_bytes() + spent.pings * ping_wire_bytes()


@attrs.frozen
class _Run:
    """Measurements of one data centre.

    Messages, bytes, dials, pings and processor time are per host and second;
    `reads` is per second over all hosts, and `change_bytes` is per host and
    change.
    """

    hosts: int
    probe_messages: float
    probe_bytes: float
    gossip_messages: float
    gossip_bytes: float
    link_bytes: float
    dials: float
    pings: float
    cpu_us: float
    reads: float
    change_bytes: float
    change_s: float
    change_worst_s: float
    rack_s: float
    rack_messages: float


def measure(is_quick: bool) -> list[Series]:
    """Measures one data centre with several numbers of hosts."""
    sizes = QUICK_SIZES if is_quick else SIZES
    runs = []
    for hosts in sizes:
        click.echo(f"one data centre of {hosts} hosts ...", err=True)
        runs.append(_run(hosts))
    return [*_series(runs), _memory(sizes)]


def _memory(sizes: tuple[int, ...]) -> Series:
    """Measures the memory of one host's membership state."""
    points = []
    for hosts in sizes:
        names = rank_hosts(f"dc-1-host-{n:05d}" for n in range(hosts))
        membership = Membership(names[0], random.Random(1), 0.0)
        fill = functools.partial(membership.set_hosts, names, 0.0)
        _, kept = measure_memory(fill)
        points.append((hosts, kept / MEGA))
    against = "hosts of a data centre"
    return make_series("membership", "memory", against, "MB", points)


def _run(hosts: int) -> _Run:
    network = make_network(hosts)
    network.run(LINKS_SETTLE_S)
    network.pop_spent()
    network.run(QUIET_S)
    quiet = network.pop_spent()
    began_s = network.now_s
    delays = _change(network)
    changing = network.pop_spent()
    share = (network.now_s - began_s) / QUIET_S
    rack_s = _kill_rack(network)
    after = network.pop_spent()
    each = hosts * QUIET_S
    extra = changing.total_wire() - quiet.total_wire() * share
    dying = after.total_messages() / max(rack_s, 1e-9) / len(network.nodes)
    return _Run(
        hosts=hosts,
        probe_messages=quiet.total_messages(*PROBES) / each,
        probe_bytes=quiet.total_wire(*PROBES) / each,
        gossip_messages=quiet.total_messages("Gossip") / each,
        gossip_bytes=quiet.total_wire("Gossip") / each,
        link_bytes=links_wire_bytes(quiet) / each,
        dials=quiet.dials / each,
        pings=quiet.pings / each,
        cpu_us=quiet.cpu_s * _US / each,
        reads=quiet.reads / QUIET_S,
        change_bytes=max(0.0, extra / CHANGES / hosts),
        change_s=sum(delays) / len(delays),
        change_worst_s=max(delays),
        rack_s=rack_s,
        rack_messages=dying,
    )


def _change(network: Network) -> list[float]:
    """Makes several changes; returns the seconds until each was everywhere."""
    published = []
    for _ in range(CHANGES):
        published.append((change_declarations(network), network.now_s))
        network.run(CHANGE_EVERY_S)
    last = published[-1][0]
    network.run_until(
        lambda: is_applied_everywhere(network, last), SETTLE_LIMIT_S
    )
    return [
        max(_reached_s(n, version) for n in network.nodes.values()) - at_s
        for version, at_s in published
    ]


def is_applied_everywhere(network: Network, version: int) -> bool:
    """Returns whether all hosts have a version of the declarations or newer."""
    return all(
        n.state.version_in_force(DECLARATIONS) >= version
        for n in network.nodes.values()
    )


def _reached_s(node: Node, version: int) -> float:
    """Returns when a host first applied a version or a newer one."""
    return min(
        at_s
        for (document, applied), at_s in node.applied.items()
        if document is DECLARATIONS and applied >= version
    )


def _kill_rack(network: Network) -> float:
    """Kills the hosts of a rack; returns the seconds until all others know."""
    names = sorted(network.nodes)
    lost = set(network.rng.sample(names, max(1, len(names) // RACK_DIVISOR)))
    for name in lost:
        network.kill(name)

    def is_known() -> bool:
        return all(
            lost.isdisjoint(n.state.alive_peers(n.data_centre))
            for n in network.nodes.values()
        )

    return network.run_until(is_known, SETTLE_LIMIT_S)


def _series(runs: list[_Run]) -> list[Series]:
    named = (
        ("membership", "probe messages", "messages/s a host", "probe_messages"),
        ("membership", "probe bytes", "bytes/s a host", "probe_bytes"),
        ("membership", "rack lost until known", "s", "rack_s"),
        ("membership", "rack lost messages", "messages/s a host",
         "rack_messages"),
        ("gossip", "messages", "messages/s a host", "gossip_messages"),
        ("gossip", "bytes", "bytes/s a host", "gossip_bytes"),
        ("gossip", "cpu with probes", "us/s a host", "cpu_us"),
        ("links", "dials and pings bytes", "bytes/s a host", "link_bytes"),
        ("links", "dials", "dials/s a host", "dials"),
        ("links", "pings", "pings/s a host", "pings"),
        ("spread", "reads", "reads/s a data centre", "reads"),
        ("spread", "change bytes", "bytes a host and change", "change_bytes"),
        ("spread", "change everywhere mean", "s", "change_s"),
        ("spread", "change everywhere worst", "s", "change_worst_s"),
    )  # fmt: skip
    return [
        make_series(
            mechanism,
            measure_,
            "hosts of a data centre",
            unit,
            [(r.hosts, getattr(r, field)) for r in runs],
        )
        for mechanism, measure_, unit, field in named
    ]
