"""Tests that a placement made from an earlier one equals a new one."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_coordination.claims import Placement, make_placement
from hollyknot_state import HostList, HostListEntry, Role

_SLOTS = range(24)
_CENTRES = ("hall-a", "hall-b", "hall-c")
_LISTS = st.lists(
    st.dictionaries(
        st.sampled_from([f"h{n}" for n in range(12)]),
        st.sampled_from(_CENTRES),
    ),
    min_size=2,
    max_size=4,
)


def _host_list(revision: int, hosts: dict[str, str]) -> HostList:
    entries = tuple(
        HostListEntry(name, Role.HOST, centre, "127.0.0.1", 1)
        for name, centre in hosts.items()
    )
    return HostList(revision, entries)


def _groups(placement: Placement) -> list[tuple[str, tuple[str, ...]]]:
    return [(placement.home(n), placement.group(n)) for n in _SLOTS]


class TestMakePlacement:
    """Tests that reusing the results of an earlier placement is safe."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(lists=_LISTS, centres=st.lists(st.integers(2, 3), min_size=4))
    def test_equals_one_made_anew(
        self, lists: list[dict[str, str]], centres: list[int]
    ) -> None:
        """Two hosts with the same documents have the same holders.

        Symptom: a key is granted to two attempts by two groups.
        Sequence: a list moves a host to another data centre; one host has
        seen the list before it, another has not.
        Cause: groups taken over from a placement that differs.
        """
        placement = None
        for revision, hosts in enumerate(lists, 1):
            declared = _CENTRES[: centres[revision - 1]]
            host_list = _host_list(revision, hosts)
            placement = make_placement(host_list, declared, placement)
            anew = make_placement(host_list, declared)
            assert _groups(placement) == _groups(anew)
