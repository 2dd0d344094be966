"""Documents between hosts: spreading, catching up, and what must not happen."""

from hollyknot_coordination.spread.tests.network import (
    DECLARATIONS,
    HOSTS,
    Network,
)


def make_network(hosts: dict[str, str], seed: int = 1) -> Network:
    """Starts listed hosts over a platform that has version 5."""
    network = Network(seed)
    network.platform.publish_hosts(1, hosts)
    network.platform.publish(DECLARATIONS, 5, {"customers": {"c0": {"n": 0}}})
    for name, data_centre in hosts.items():
        network.add(name, data_centre)
    return network


def in_force(network: Network) -> set[int]:
    """Returns the versions of declarations that are in force somewhere."""
    return {
        n.state.version_in_force(DECLARATIONS) for n in network.nodes.values()
    }


class TestSpread:
    """Documents reach all hosts, and few hosts read the platform."""

    def test_a_change_comes_in_force_on_all_hosts(self) -> None:
        network = make_network({f"h{i}": "ab"[i % 2] for i in range(12)})
        network.run(12)
        assert in_force(network) == {5}
        assert all(n.state.is_ready for n in network.nodes.values())
        network.platform.publish(
            DECLARATIONS, 6, {"customers": {"c0": {"n": 1}}}
        )
        network.run(8)
        assert in_force(network) == {6}

    def test_only_the_readers_read(self) -> None:
        network = make_network({f"h{i}": "a" for i in range(12)})
        network.run(15)
        watching = [n for n in network.nodes.values() if n.watching]
        assert len(watching) == 3
        assert all(n.watching == {DECLARATIONS, HOSTS} for n in watching)
