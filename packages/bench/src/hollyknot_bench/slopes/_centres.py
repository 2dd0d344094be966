"""Measures gossip between data centres, and their losses and restarts."""

import functools

import click

from hollyknot_bench.slopes._documents import DATA_CENTRES
from hollyknot_bench.slopes._gossip import (
    change_declarations,
    is_applied_everywhere,
    make_network,
)
from hollyknot_bench.slopes._network import Network
from hollyknot_bench.slopes._series import Series, make_series

HOSTS_PER_CENTRE = 8
CENTRES = (1, 2, 4, 8, 16)
HOSTS = (16, 32, 64, 128, 256)
CHANGE_COUNTS = (1, 2, 4, 8, 16)
"""Changes of the declarations within `WINDOW_S`."""

QUICK_HOSTS = (2, 4, 8, 16, 32)
WINDOW_S = 40.0
QUIET_S = 20.0
PARTITION_S = 30.0
SETTLE_LIMIT_S = 120.0
ROUNDS = 5
RATE_HOSTS = 32
REGION_CENTRES = 3
"""Data centres per region."""

Point = tuple[float, float]


def measure(is_quick: bool) -> list[Series]:
    """Measures several data centres, losses, partitions and restarts."""
    hosts = QUICK_HOSTS if is_quick else HOSTS
    return [*_against_centres(), *_against_rate(), *_against_hosts(hosts)]


def _against_centres() -> list[Series]:
    reads: list[Point] = []
    delays: list[Point] = []
    worst: list[Point] = []
    sent: list[Point] = []
    lost: list[Point] = []
    bodies: list[Point] = []
    for centres in CENTRES:
        click.echo(
            f"{centres} data centres of {HOSTS_PER_CENTRE} hosts", err=True
        )
        network = make_network(centres * HOSTS_PER_CENTRE, centres)
        network.run(5.0)
        network.pop_spent()
        network.run(QUIET_S)
        spent = network.pop_spent()
        found = [_change_everywhere_s(network) for _ in range(ROUNDS)]
        changed = network.pop_spent()
        bodies.append((centres, changed.bodies / ROUNDS))
        each = QUIET_S * len(network.nodes)
        reads.append((centres, spent.reads / QUIET_S))
        sent.append((centres, spent.total_wire() / each))
        delays.append((centres, sum(found) / ROUNDS))
        worst.append((centres, max(found)))
        lost.append((centres, _kill_centre(network)))
    against = "data centres"
    return [
        make_series("spread", "reads", against, "reads/s", reads),
        make_series("spread", "bodies a change", against, "bodies", bodies),
        make_series("spread", "bytes", against, "bytes/s a host", sent),
        make_series("spread", "change everywhere mean", against, "s", delays),
        make_series("spread", "change everywhere worst", against, "s", worst),
        make_series(
            "spread", "change everywhere, one centre lost", against, "s", lost
        ),
    ]


def _change_everywhere_s(network: Network) -> float:
    version = change_declarations(network)
    found = network.run_until(
        lambda: is_applied_everywhere(network, version), SETTLE_LIMIT_S
    )
    # A random wait places the next change at another phase of the readers'
    # pauses.
    network.run(network.rng.uniform(0.5, 3.0))
    return found


def _kill_centre(network: Network) -> float:
    """Kills a data centre and times a change among the remaining hosts.

    If there is only one data centre, half of its hosts are killed instead.

    Returns:
        Seconds until all remaining hosts have the change.
    """
    names = sorted(network.nodes)
    lost = [n for n in names if network.nodes[n].data_centre == "dc-1"]
    if len(lost) == len(names):
        lost = lost[::2]
    for name in lost:
        network.kill(name)
    return _change_everywhere_s(network)


def _against_rate() -> list[Series]:
    """Measures bytes, processor time and backlog against the change rate."""
    bytes_: list[Point] = []
    delays: list[Point] = []
    cpu: list[Point] = []
    for changes in CHANGE_COUNTS:
        click.echo(f"{changes} changes in {WINDOW_S:g} s ...", err=True)
        network = make_network(RATE_HOSTS)
        network.run(5.0)
        network.pop_spent()
        version = 0
        for _ in range(changes):
            version = change_declarations(network)
            network.run(WINDOW_S / changes)
        spent = network.pop_spent()
        each = RATE_HOSTS * WINDOW_S
        rate = changes / WINDOW_S
        bytes_.append((rate, spent.total_wire() / each))
        cpu.append((rate, spent.cpu_s * 1e6 / each))
        done = network.run_until(
            functools.partial(is_applied_everywhere, network, version),
            SETTLE_LIMIT_S,
        )
        delays.append((rate, done))
    against = "changes/s"
    return [
        make_series("spread", "bytes", against, "bytes/s a host", bytes_),
        make_series("spread", "cpu", against, "us/s a host", cpu),
        make_series("spread", "backlog after the last", against, "s", delays),
    ]


def _against_hosts(sizes: tuple[int, ...]) -> list[Series]:
    restart: list[Point] = []
    reads: list[Point] = []
    messages: list[Point] = []
    heal: list[Point] = []
    heal_messages: list[Point] = []
    for hosts in sizes:
        click.echo(f"mass restart and partition, {hosts} hosts ...", err=True)
        network = make_network(hosts, with_documents=False)
        took = network.run_until(
            functools.partial(_all_ready, network), SETTLE_LIMIT_S
        )
        spent = network.pop_spent()
        restart.append((hosts, took))
        reads.append((hosts, spent.reads))
        messages.append((hosts, spent.total_messages() / hosts))
        took, sent = _partition_and_heal(hosts)
        heal.append((hosts, took))
        heal_messages.append((hosts, sent))
    against = "hosts"
    return [
        make_series(
            "spread", "mass restart until ready", against, "s", restart
        ),
        make_series(
            "spread", "mass restart reads", against, "reads, all hosts", reads
        ),
        make_series(
            "spread",
            "mass restart messages",
            against,
            "messages a host",
            messages,
        ),
        make_series(
            "spread", "cut healed until everywhere", against, "s", heal
        ),
        make_series(
            "spread",
            "cut healed messages",
            against,
            "messages/s a host",
            heal_messages,
        ),
    ]


def _all_ready(network: Network) -> bool:
    return all(n.state.is_ready for n in network.nodes.values())


def _partition_and_heal(hosts: int) -> tuple[float, float]:
    """Partitions a third of the data centres from the rest and the platform.

    Returns:
        Seconds from the end of the partition until all hosts have the change
        that was made during it, and messages per host and second in that time.
    """
    centres = min(2 * REGION_CENTRES, hosts)
    network = make_network(hosts, centres)
    far = set(DATA_CENTRES[: centres // 3 or 1])

    def is_far(name: str) -> bool:
        return network.nodes[name].data_centre in far

    network.run(5.0)
    network.is_partitioned = lambda a, b: is_far(a) != is_far(b)
    network.is_platform_unreachable = is_far
    version = change_declarations(network)
    network.run(PARTITION_S)
    network.is_partitioned = lambda _a, _b: False
    network.is_platform_unreachable = lambda _name: False
    network.pop_spent()
    took = network.run_until(
        lambda: is_applied_everywhere(network, version), SETTLE_LIMIT_S
    )
    spent = network.pop_spent()
    return took, spent.total_messages() / max(took, 0.05) / hosts
