"""Tests which upstreams may get requests."""

from hollyknot_coordination.forwarding import Ended, UpstreamRegistry
from hollyknot_coordination.forwarding.tests._builders import upstream

LAPSE_S = 1.7


def _names(fleet: UpstreamRegistry, now_s: float = 0.0) -> list[str]:
    return [e.incarnation for e in fleet.usable("engines", now_s)]


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
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a"))
        assert fleet.put(upstream("a", is_draining=True))
        assert _names(fleet) == []
        assert not fleet.is_usable("a", 0.0)

    def test_renewing_an_entry_changes_nothing(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        assert fleet.put(upstream("a"))
        assert not fleet.put(upstream("a"))

    def test_a_removed_upstream_gets_no_work_at_once(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a"))
        assert fleet.remove("a", 0.0, may_have_lapsed=False)
        assert _names(fleet) == []

    def test_most_entries_going_at_once_have_lapsed(self) -> None:
        """All requests are refused just after the directory has recovered.

        While the directory is down, all entries lapse, and a host whose watch
        stays open notices no failure. It happens if the host takes the missing
        entries for upstreams that have left.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        for name in "abcdefgh":
            fleet.put(upstream(name))
        assert fleet.are_lapses("abcd")
        assert not fleet.are_lapses("abc")
        assert not fleet.are_lapses("wxyzuv")
        fleet.replace([upstream("a")], 0.0, may_have_lapsed=False)
        assert _names(fleet) == list("abcdefgh")
        assert _names(fleet, LAPSE_S) == ["a"]

    def test_a_few_upstreams_of_a_small_fleet_leave(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        for name in "abc":
            fleet.put(upstream(name))
        fleet.replace([], 0.0, may_have_lapsed=False)
        assert _names(fleet) == []

    def test_entries_that_lapse_with_the_directory_keep_their_work(
        self,
    ) -> None:
        """All requests are refused just after the directory has recovered.

        Entries that lapsed with the directory are written again within two
        seconds. It happens if their upstreams get no requests until then.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a"))
        fleet.put(upstream("b"))
        fleet.replace([], 10.0, may_have_lapsed=True)
        assert _names(fleet, 10.1) == ["a", "b"]
        fleet.put(upstream("a"))
        assert _names(fleet, 10.0 + LAPSE_S) == ["a"]
        assert _names(fleet, 99.0) == ["a"]

    def test_a_draining_entry_that_is_gone_did_not_lapse(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", is_draining=True))
        fleet.remove("a", 0.0, may_have_lapsed=True)
        assert "a" not in fleet

    def test_an_address_that_is_given_to_another_ends_the_first(self) -> None:
        """A request to one service runs at another.

        An upstream crashes, and its address is assigned to an upstream of
        another service before its entry lapses. It happens if both entries
        with this address are used.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", port=7))
        fleet.put(upstream("b", service="plain", port=7))
        assert _names(fleet) == []

    def test_another_incarnation_at_the_address_ends_it_for_good(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a"))
        fleet.mark_replaced("a")
        fleet.put(upstream("a"))
        assert _names(fleet) == []

    def test_an_entry_of_an_unknown_service_takes_no_address(self) -> None:
        """A healthy upstream gets no more requests.

        Anybody may write an entry with its address and a service that does not
        exist. It happens if the newer of two entries with one address is kept
        in any case.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.set_services(["engines", "plain"])
        fleet.put(upstream("a", port=7))
        fleet.put(upstream("b", service="none", port=7))
        assert _names(fleet) == ["a"]
        assert fleet.usable("none", 0.0) == []
        assert not fleet.is_usable("b", 0.0)

    def test_a_service_that_begins_to_exist_has_its_upstreams(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.set_services(["plain"])
        fleet.put(upstream("a"))
        assert _names(fleet) == []
        fleet.set_services(["plain", "engines"])
        assert _names(fleet) == ["a"]


class TestIncarnations:
    """Upstreams that restart under the same name."""

    def test_restart_is_another_incarnation(self) -> None:
        """A restarted engine gets prompts that only its predecessor had cached.

        It happens if incarnations are identified by the name alone.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", born_ms=5))
        assert fleet.put(upstream("a", born_ms=9))
        assert _names(fleet) == ["a@9"]
        assert fleet.pop_ended() == [Ended("a@5", is_superseded=True)]
        assert "a@5" not in fleet

    def test_older_incarnation_never_replaces_a_newer_one(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", born_ms=9))
        assert not fleet.put(upstream("a", born_ms=5))
        assert not fleet.put(upstream("a", is_draining=True))
        assert _names(fleet) == ["a@9"]
        assert fleet.pop_ended() == []

    def test_marks_end_with_their_incarnation(self) -> None:
        """A restarted upstream never gets requests again.

        It happens if the marks that it drains or was replaced at its address
        are kept by name.
        """
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", born_ms=5))
        fleet.put(upstream("b", born_ms=5, is_draining=True))
        fleet.mark_replaced("a@5")
        assert _names(fleet) == []
        fleet.put(upstream("a", born_ms=9))
        fleet.put(upstream("b", born_ms=9))
        assert _names(fleet) == ["a@9", "b@9"]

    def test_lapse_of_an_older_incarnation_spares_the_newer(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", born_ms=5))
        fleet.remove("a", 10.0, may_have_lapsed=True)
        fleet.put(upstream("a", born_ms=9))
        assert _names(fleet, 10.0 + 2 * LAPSE_S) == ["a@9"]

    def test_newer_incarnation_keeps_a_shared_address(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a", born_ms=9, port=7))
        fleet.put(upstream("b", born_ms=5, port=7))
        assert _names(fleet) == ["a@9"]
        assert fleet.pop_ended() == [Ended("b@5", is_superseded=True)]

    def test_lapsed_and_removed_upstreams_have_ended(self) -> None:
        fleet = UpstreamRegistry(LAPSE_S)
        fleet.put(upstream("a"))
        fleet.put(upstream("b"))
        fleet.remove("a", 0.0, may_have_lapsed=False)
        fleet.remove("b", 0.0, may_have_lapsed=True)
        assert _names(fleet, LAPSE_S) == []
        assert fleet.pop_ended() == [
            Ended("a", is_superseded=False),
            Ended("b", is_superseded=False),
        ]
        assert fleet.pop_ended() == []
