"""Tests of what a host remembers of versions and streams."""

from hollyknot_coordination.forwarding.peers._trackers import Tracker
from hollyknot_coordination.forwarding.streams import (
    Keepers,
    StreamVersions,
    VersionHistory,
    stream_id,
)
from hollyknot_coordination.forwarding.streams import (
    _stream_versions as stream_versions,
)
from hollyknot_coordination.forwarding.streams._version_history import (
    CHANGE_S,
    MIN_RETENTION_S,
)
from hollyknot_state import Address
from hollyknot_state.routes import UpstreamEntry

FIRST = UpstreamEntry("u1", "s", Address("10.0.0.1", 1), "d", 8, version="v1")
SECOND = UpstreamEntry("u2", "s", Address("10.0.0.1", 2), "d", 8, version="v2")


class TestVersionHistory:
    """Tests when a service counts as served by several versions."""

    def test_versions_change_for_a_while_after_one_has_left(self) -> None:
        history = VersionHistory()
        history.update("s", [FIRST], 1.0)
        assert not history.is_changing("s", 1.0)
        history.update("s", [FIRST, SECOND], 5.0)
        assert history.is_changing("s", 5.0 + MIN_RETENTION_S)
        history.update("s", [SECOND], 100.0)
        assert history.is_changing("s", 100.0 + CHANGE_S - 1)
        assert not history.is_changing("s", 100.0 + CHANGE_S)

    def test_a_second_version_is_reported_once(self) -> None:
        history = VersionHistory()
        alone, both = [FIRST], [FIRST, SECOND]
        assert not history.update("s", alone, 1.0)
        assert not history.is_mixed("s", 1.0)
        assert history.update("s", both, 2.0)
        assert not history.update("s", both, 3.0)
        assert history.is_mixed("s", 3.0)
        assert not history.is_mixed("other", 3.0)

    def test_a_version_that_left_counts_for_the_longest_stream(self) -> None:
        """Guards against streams that go on once their version has left."""
        history = VersionHistory()
        history.update("s", [FIRST], 1.0)
        history.update("s", [SECOND], 5.0)
        assert history.is_mixed("s", 5.0 + MIN_RETENTION_S - 1)
        assert not history.is_mixed("s", 5.0 + MIN_RETENTION_S + 1)

    def test_a_new_host_may_have_missed_a_version(self) -> None:
        """Guards against taking one version now for one version lately."""
        history = VersionHistory()
        assert history.may_have_missed("s", 100.0)
        history.update("s", [FIRST], 100.0)
        assert history.may_have_missed("s", 100.0 + MIN_RETENTION_S - 1)
        assert history.only_version("s", 100.0 + MIN_RETENTION_S - 1) is None
        assert not history.may_have_missed("s", 100.0 + MIN_RETENTION_S)
        assert history.only_version("s", 100.0 + MIN_RETENTION_S) == "v1"

    def test_no_version_was_missed_before_the_first_start(self) -> None:
        """Guards against questions about streams that can't exist."""
        history = VersionHistory(is_first_start=True)
        history.update("s", [FIRST], 100.0)
        assert history.only_version("s", 100.0) == "v1"
        history.miss(101.0)
        assert history.only_version("s", 101.0) is None

    def test_a_version_that_was_named_makes_a_service_mixed_once(self) -> None:
        """Guards against joining what a version wrote that gets no requests."""
        history = VersionHistory()
        history.update("s", [SECOND], 100.0)
        assert history.note({"s": {"v1", "v2"}}, 101.0) == ["s"]
        assert history.note({"s": {"v1"}}, 102.0) == []
        assert history.only_version("s", 103.0) is None
        later_s = 103.0 + MIN_RETENTION_S
        assert history.only_version("s", later_s) == "v2"

    def test_a_peer_vouches_for_one_service(self) -> None:
        history = VersionHistory()
        history.update("s", [FIRST], 100.0)
        history.vouch("s", "v1", 100.0)
        assert history.only_version("s", 100.0) == "v1"
        assert history.may_have_missed("t", 100.0)
        history.vouch("s", "v2", 101.0)
        assert history.only_version("s", 101.0) is None

    def test_a_gap_begins_the_watch_anew(self) -> None:
        """Guards against versions that came and went in an outage."""
        history = VersionHistory()
        history.update("s", [FIRST], 0.0)
        history.vouch("s", "v1", 50.0)
        history.miss(100.0)
        assert history.only_version("s", 100.0 + MIN_RETENTION_S - 1) is None
        assert history.only_version("s", 100.0 + MIN_RETENTION_S) == "v1"

    def test_a_host_that_no_longer_follows_knows_no_only_version(self) -> None:
        """Guards against a list that the directory has left behind."""
        is_current = [True]
        history = VersionHistory(lambda: is_current[0])
        history.vouch("s", "v1", 1.0)
        assert history.only_version("s", 2.0) == "v1"
        is_current[0] = False
        assert history.only_version("s", 2.0) is None


class TestStreamVersions:
    """Tests of the memory of streams."""

    def test_the_first_version_of_a_stream_counts(self) -> None:
        versions = StreamVersions()
        versions.note(1, "s", "v1", 0.0)
        versions.note(1, "s", "v2", 1.0)
        assert versions.find(1, 2.0) == "v1"
        assert versions.find(2, 2.0) is None
        assert versions.of_service("s", 2.0) == {1: "v1"}
        assert versions.of_service("other", 2.0) == {}

    def test_old_streams_are_forgotten(self) -> None:
        versions = StreamVersions()
        versions.note(1, "s", "v1", 0.0)
        assert versions.find(1, MIN_RETENTION_S) is None
        assert versions.of_service("s", MIN_RETENTION_S) == {}
        assert versions.forgotten == 0

    def test_streams_are_bounded_and_losses_counted(self) -> None:
        """Guards against memory that grows with the traffic."""
        versions = StreamVersions()
        for stream in range(stream_versions.MAX_STREAMS + 5):
            versions.note(stream, "s", "v1", 0.0)
        assert versions.forgotten == 5
        assert versions.find(4, 1.0) is None
        assert versions.find(5, 1.0) == "v1"

    def test_equal_attempts_of_two_services_are_two_streams(self) -> None:
        assert stream_id("s", "a") != stream_id("t", "a")


class TestKeepers:
    """Tests which peers keep the version of a stream."""

    def test_all_hosts_find_the_same_keepers(self) -> None:
        """Guards against a version that is asked of peers without it."""
        hosts = [
            Tracker(n, Address(f"10.0.0.{n}", 1), "d") for n in range(1, 41)
        ]
        keepers = []
        for host in hosts:
            others = tuple(h for h in hosts if h is not host)
            keepers.append(Keepers(lambda others=others: others))  # type: ignore[misc]
        for stream in range(10**18, 10**18 + 50):
            told = keepers[0].to_tell(stream)
            assert len(told) == 2
            for number, other in enumerate(keepers):
                asked = other.to_ask(stream)
                assert set(told) - {hosts[number]} <= set(asked)

    def test_few_peers_are_all_asked(self) -> None:
        peers = tuple(
            Tracker(n, Address(f"10.0.0.{n}", 1), "d") for n in range(1, 8)
        )
        assert Keepers(lambda: peers).to_ask(1) == list(peers)
