"""Tests of the hosts that one host knows by reports or was told of."""

from hypothesis import given
from hypothesis import strategies as st

from hollyknot_coordination.forwarding import (
    FIRST_HOSTS,
    KnownHosts,
    Tracker,
    pack_hosts,
    unpack_hosts,
)
from hollyknot_state import Address, HostsNote


def _host(number: int, data_centre: str = "north") -> Tracker:
    ip = f"10.0.{number // 250}.{number % 250}"
    return Tracker(0, Address(ip, 7300), data_centre)


_OWN = _host(0)


class TestKnownHosts:
    """Hosts count that send reports, or that were named lately."""

    def test_told_hosts_count_until_they_have_had_time_to_report(self) -> None:
        known = KnownHosts(_OWN, lambda: ())
        known.note([_OWN, _host(1)], 1.0)
        known.expire(20.9)
        assert list(known.hosts) == [_host(1)]
        known.expire(21.0)
        assert not known.hosts

    def test_the_same_object_is_returned_until_hosts_change(self) -> None:
        """Guards against rankings that are made anew for each key."""
        known = KnownHosts(_OWN, lambda: ())
        known.note([_host(1)], 1.0)
        hosts = known.hosts
        known.note([_host(1)], 2.0)
        assert known.hosts is hosts

    def test_hosts_that_were_told_of_are_not_told_on(self) -> None:
        """Guards against dead hosts that hosts keep telling each other of."""
        known = KnownHosts(_OWN, lambda: ())
        known.note([_host(1)], 1.0)
        assert known.to_tell(FIRST_HOSTS) == (_OWN,)

    def test_all_hosts_choose_the_same_first_ones(self) -> None:
        """Guards against parts that are told to other hosts than are asked."""
        hosts = [_host(n, "north" if n % 2 else "south") for n in range(200)]
        chosen = set()
        readers = 0
        for own in hosts:
            peers = tuple(host for host in hosts if host is not own)
            known = KnownHosts(own, lambda peers=peers: peers)  # type: ignore[misc]
            first = {*known.first, *([own] if known.is_first else [])}
            chosen.add(frozenset(first))
            readers += known.is_first
        assert len(chosen) == 1
        assert readers == 2 * FIRST_HOSTS


class TestPacking:
    """Packed hosts are unpacked as they were."""

    @given(
        st.lists(
            st.builds(
                Tracker,
                st.just(0),
                st.builds(
                    Address,
                    st.ip_addresses(v=4).map(str),
                    st.integers(1, 2**16 - 1),
                ),
                st.sampled_from(["north", "south", "west"]),
            )
        )
    )
    def test_hosts_are_unpacked_as_they_were_packed(
        self, hosts: list[Tracker]
    ) -> None:
        assert list(unpack_hosts(pack_hosts(hosts))) == hosts

    def test_a_data_centre_without_name_is_left_out(self) -> None:
        """Guards against datagrams that end a host's exchange."""
        assert not list(unpack_hosts(HostsNote(("north",), (2**63,))))
