"""Tests which upstreams may get requests."""

import random

import pytest

from hollyknot_coordination.forwarding import (
    Ended,
    HostCount,
    Rests,
    UpstreamRegistry,
)
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_coordination.forwarding.upstreams._upstream_registry import (
    MAX_LEAVING,
    NO_LAPSE,
)

LAPSE_S = 1.7
_ALONE = HostCount(0.0, is_alone=True)


def _names(registry: UpstreamRegistry, now_s: float = 0.0) -> list[str]:
    return [e.incarnation for e in registry.usable("engines", now_s)]


class TestUpstreamRegistry:
    """Entries that are added, drain, lapse and are removed."""

    def test_order_is_the_same_whatever_order_entries_came_in(self) -> None:
        one, other = UpstreamRegistry(LAPSE_S), UpstreamRegistry(LAPSE_S)
        for name in ("b", "a", "c"):
            one.put(upstream(name))
        for name in ("c", "b", "a"):
            other.put(upstream(name))
        assert _names(one) == _names(other) == ["a", "b", "c"]

    def test_a_draining_upstream_gets_no_work(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        assert registry.put(upstream("a", is_draining=True))
        assert _names(registry) == []
        assert not registry.is_usable("a", 0.0)

    def test_a_leaving_upstream_gets_no_work(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        registry.put(upstream("b"))
        assert _names(registry) == ["a", "b"]
        assert registry.mark_leaving("a")
        assert not registry.mark_leaving("a")
        assert _names(registry) == ["b"]
        assert not registry.is_usable("a", 0.0)
        assert registry.all_serving(0.0) == [upstream("b")]

    def test_a_resting_upstream_gets_no_work_until_its_rest_ends(self) -> None:
        """Guards against work for it because it looks idle."""
        rests = Rests(_ALONE, random.Random(1))
        registry = UpstreamRegistry(LAPSE_S, rests.resting)
        registry.put(upstream("a"))
        registry.put(upstream("b"))
        rests.observe("a", 3.0, 0.0)
        assert _names(registry, 2.9) == ["b"]
        assert not registry.is_usable("a", 2.9)
        assert registry.resting("engines", 2.9) == [upstream("a")]
        assert registry.all_serving(2.9) == [upstream("a"), upstream("b")]
        assert _names(registry, 3.1) == ["a", "b"]
        assert registry.is_usable("a", 3.1)
        assert registry.resting("engines", 3.1) == []

    def test_an_entry_that_returns_does_not_end_a_rest(self) -> None:
        """Guards against using it too early after a directory outage."""
        rests = Rests(_ALONE, random.Random(1))
        registry = UpstreamRegistry(LAPSE_S, rests.resting)
        registry.put(upstream("a"))
        rests.observe("a", 9.0, 0.0)
        registry.remove("a", 1.0)
        registry.pop_ended()
        registry.put(upstream("a"))
        assert _names(registry, 2.0) == []

    def test_a_leaving_upstream_does_not_rest(self) -> None:
        """Guards against asking callers to wait for it."""
        rests = Rests(_ALONE, random.Random(1))
        registry = UpstreamRegistry(LAPSE_S, rests.resting)
        registry.put(upstream("a"))
        rests.observe("a", 9.0, 0.0)
        registry.mark_leaving("a")
        assert registry.resting("engines", 1.0) == []

    @pytest.mark.parametrize("lapse_s", [LAPSE_S, NO_LAPSE])
    @pytest.mark.parametrize("older", [True, False])
    def test_an_entry_that_returns_does_not_undo_leaving(
        self, lapse_s: float, older: bool
    ) -> None:
        """Guards against using it again after an outage of the directory."""
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        registry.mark_leaving("a")
        registry.put(upstream("a", port=7))
        assert _names(registry) == []
        registry.remove("a", 1.0, 1.0 + lapse_s)
        assert _names(registry, 1.0 + LAPSE_S) == []
        registry.replace(
            [upstream("a")], 9.0, 9.0 + lapse_s, may_be_older=older
        )
        assert _names(registry, 9.0) == []

    def test_incarnations_after_a_leaving_one_get_work_at_once(self) -> None:
        """Guards against carrying the notice over to a restart."""
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=1))
        registry.mark_leaving("a@1")
        registry.put(upstream("a", born_ms=2))
        assert _names(registry) == ["a@2"]
        registry.mark_leaving("a@2")
        registry.put(upstream("b", port=upstream("a").address.port, born_ms=3))
        assert _names(registry) == ["b@3"]

    def test_leaving_upstreams_are_remembered_up_to_a_number(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        for number in range(MAX_LEAVING + 1):
            registry.mark_leaving(f"{number}")
        assert not registry.is_leaving("0")
        assert registry.is_leaving("1")
        assert registry.is_leaving(f"{MAX_LEAVING}")

    def test_renewing_an_entry_changes_nothing(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        assert registry.put(upstream("a"))
        assert not registry.put(upstream("a"))

    def test_a_removed_upstream_gets_no_work_at_once(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        assert registry.remove("a", 0.0)
        assert _names(registry) == []

    def test_most_entries_going_at_once_have_lapsed(self) -> None:
        """All requests are refused just after the directory has recovered.

        While the directory is down, all entries lapse, and a host whose watch
        stays open notices no failure. It happens if the host treats the missing
        entries as upstreams that have left.
        """
        registry = UpstreamRegistry(LAPSE_S)
        for name in "abcdefgh":
            registry.put(upstream(name))
        assert registry.are_lapses("abcd")
        assert not registry.are_lapses("abc")
        assert not registry.are_lapses("wxyzuv")
        registry.replace([upstream("a")], 0.0)
        assert _names(registry) == list("abcdefgh")
        assert _names(registry, LAPSE_S) == ["a"]

    def test_a_few_upstreams_of_a_small_fleet_leave(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        for name in "abc":
            registry.put(upstream(name))
        registry.replace([], 0.0)
        assert _names(registry) == []

    def test_entries_that_lapse_with_the_directory_keep_their_work(
        self,
    ) -> None:
        """All requests are refused just after the directory has recovered.

        Entries that lapsed with the directory are written again within two
        seconds. It happens if their upstreams get no requests until then.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        registry.put(upstream("b"))
        registry.replace([], 10.0, 10.0 + LAPSE_S)
        assert _names(registry, 10.1) == ["a", "b"]
        registry.put(upstream("a"))
        assert _names(registry, 10.0 + LAPSE_S) == ["a"]
        assert _names(registry, 99.0) == ["a"]

    def test_a_draining_entry_that_is_gone_did_not_lapse(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", is_draining=True))
        registry.remove("a", 0.0, LAPSE_S)
        assert "a" not in registry

    def test_an_address_that_is_given_to_another_ends_the_first(self) -> None:
        """A request to one service runs at another.

        An upstream crashes, and its address is assigned to an upstream of
        another service before its entry lapses. It happens if both entries
        with this address are used.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", port=7))
        registry.put(upstream("b", service="plain", port=7))
        assert _names(registry) == []

    def test_another_incarnation_at_the_address_ends_it_for_good(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        registry.mark_replaced("a")
        registry.put(upstream("a"))
        assert _names(registry) == []

    def test_another_incarnation_proves_that_an_upstream_has_ended(
        self,
    ) -> None:
        """A partition must not look like a crash because entries lapse."""
        registry = UpstreamRegistry(LAPSE_S)
        first = upstream("a", born_ms=2)
        registry.put(first)
        assert not registry.has_successor(first, 0.0)
        registry.remove("a", 0.0)
        assert not registry.has_successor(first, 0.0)
        registry.put(upstream("b", port=first.address.port, born_ms=1))
        assert not registry.has_successor(first, 0.0)
        registry.put(upstream("c", port=first.address.port, born_ms=3))
        assert registry.has_successor(first, 0.0)

    def test_a_wrong_entry_does_not_prove_that_an_upstream_has_ended(
        self,
    ) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.set_services(["engines"])
        first = upstream("a")
        registry.put(first)
        registry.put(upstream("b", "unknown", port=first.address.port))
        assert not registry.has_successor(first, 0.0)
        registry.put(upstream("c", port=first.address.port))
        registry.mark_replaced("c")
        assert not registry.has_successor(first, 0.0)
        registry.mark_replaced("a")
        assert registry.has_successor(first, 0.0)

    def test_an_entry_of_an_unknown_service_takes_no_address(self) -> None:
        """A healthy upstream gets no more requests.

        Anybody may write an entry with its address and a service that does not
        exist. It happens if the newer of two entries with one address is kept
        in any case.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.set_services(["engines", "plain"])
        registry.put(upstream("a", port=7))
        registry.put(upstream("b", service="none", port=7))
        assert _names(registry) == ["a"]
        assert registry.usable("none", 0.0) == []
        assert not registry.is_usable("b", 0.0)

    def test_an_entry_that_proved_wrong_holds_no_address(self) -> None:
        """A healthy upstream gets no more requests.

        Anybody may write an entry with its address and a later start. It
        happens if that entry holds the address even after the upstream there
        has said that it is another one.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", port=7, born_ms=5))
        registry.put(upstream("b", port=7, born_ms=9))
        assert _names(registry) == ["b@9"]
        registry.mark_replaced("b@9")
        registry.put(upstream("a", port=7, born_ms=5))
        assert _names(registry) == ["a@5"]

    def test_a_service_that_begins_to_exist_has_its_upstreams(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.set_services(["plain"])
        registry.put(upstream("a"))
        assert _names(registry) == []
        registry.set_services(["plain", "engines"])
        assert _names(registry) == ["a"]


class TestMissingStarts:
    """Entries that don't say when their upstream started."""

    def test_most_entries_name_a_start_so_one_without_it_is_wrong(
        self,
    ) -> None:
        """Requests are sent to whatever another program's entry names.

        It happens if an entry is believed that lacks a field which the
        upstreams of its service write.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=5))
        registry.put(upstream("x"))
        registry.put(upstream("b", born_ms=6))
        assert _names(registry) == ["a@5", "b@6"]
        assert not registry.is_usable("x", 0.0)

    def test_few_entries_with_a_start_exclude_no_others(self) -> None:
        """One entry of another program takes a whole service out of use."""
        registry = UpstreamRegistry(LAPSE_S)
        for name in ("a", "b"):
            registry.put(upstream(name))
        registry.put(upstream("x", born_ms=5))
        for name in ("y", "z"):
            registry.put(upstream(name, service="plain", born_ms=5))
        assert _names(registry) == ["a", "b", "x@5"]


class TestIncarnations:
    """Upstreams that restart under the same name."""

    def test_restart_is_another_incarnation(self) -> None:
        """A restarted engine gets prompts that only its predecessor had cached.

        It happens if incarnations are identified by the name alone.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=5))
        assert registry.put(upstream("a", born_ms=9))
        assert _names(registry) == ["a@9"]
        assert registry.pop_ended() == [Ended("a@5", is_superseded=True)]
        assert "a@5" not in registry

    def test_older_incarnation_never_replaces_a_newer_one(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=9))
        assert not registry.put(upstream("a", born_ms=5))
        assert not registry.put(upstream("a", is_draining=True))
        assert _names(registry) == ["a@9"]
        assert registry.pop_ended() == []

    def test_marks_end_with_their_incarnation(self) -> None:
        """A restarted upstream never gets requests again.

        It happens if the marks that it drains or was replaced at its address
        are kept by name.
        """
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=5))
        registry.put(upstream("b", born_ms=5, is_draining=True))
        registry.mark_replaced("a@5")
        assert _names(registry) == []
        registry.put(upstream("a", born_ms=9))
        registry.put(upstream("b", born_ms=9))
        assert _names(registry) == ["a@9", "b@9"]

    def test_lapse_of_an_older_incarnation_spares_the_newer(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=5))
        registry.remove("a", 10.0, 10.0 + LAPSE_S)
        registry.put(upstream("a", born_ms=9))
        assert _names(registry, 10.0 + 2 * LAPSE_S) == ["a@9"]

    def test_newer_incarnation_keeps_a_shared_address(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a", born_ms=9, port=7))
        registry.put(upstream("b", born_ms=5, port=7))
        assert _names(registry) == ["a@9"]
        assert registry.pop_ended() == [Ended("b@5", is_superseded=True)]

    def test_lapsed_and_removed_upstreams_have_ended(self) -> None:
        registry = UpstreamRegistry(LAPSE_S)
        registry.put(upstream("a"))
        registry.put(upstream("b"))
        registry.remove("a", 0.0)
        registry.remove("b", 0.0, LAPSE_S)
        assert _names(registry, LAPSE_S) == []
        assert registry.pop_ended() == [
            Ended("a", is_superseded=False),
            Ended("b", is_superseded=False),
        ]
        assert registry.pop_ended() == []
