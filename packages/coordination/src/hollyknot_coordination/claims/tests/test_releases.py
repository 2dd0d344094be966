"""Tests that releases are repeated until every holder acknowledged them."""

from collections.abc import Callable

import pytest

from hollyknot_coordination.claims import _releases
from hollyknot_coordination.claims.tests._fleet import (
    Fleet,
    Message,
    fresh_key,
    make_fleet,
)
from hollyknot_state import ClaimAnswer, ReleaseClaim

_PARTITION_S = 30.0


def _no_answers(message: Message) -> bool:
    """Passes the requests for grants; loses the answers and the releases."""
    return not isinstance(message.body, ClaimAnswer | ReleaseClaim)


def _claim_in_a_partition(
    fleet: Fleet, passes: Callable[[Message], bool]
) -> bytes:
    key = fresh_key(fleet)
    fleet.claim("a", key)
    fleet.run_for(_PARTITION_S, passes)
    assert key not in fleet.hosts["a"].granted
    return key


def _sends_of(fleet: Fleet, name: str) -> int:
    """Counts the messages that a host sends in two minutes without claims."""
    count = 0
    for _ in range(1_200):
        fleet.now_s += 0.1
        fleet.poll(name)
        count += len(fleet.network)
        fleet.deliver_all()
    return count


class TestReleases:
    """Tests releases that a network partition has lost."""

    @pytest.mark.parametrize("names", ["abc", "abcde"])
    def test_lost_releases_are_repeated(self, names: str) -> None:
        """Guards against a request that can never run after a partition.

        All holders grant the key, but their answers are lost, so that the
        coordinator refuses with "not run". Its releases are lost, too. If they
        were sent only once, each later attempt would be refused because the
        request may have run.
        """
        fleet = make_fleet(*names)
        key = _claim_in_a_partition(fleet, _no_answers)
        fleet.run_for(_releases.MAX_REPEAT_INTERVAL_S)
        assert fleet.try_key("b", key) == "granted"
        assert fleet.started[key] == 1

    def test_acknowledged_releases_are_not_repeated(self) -> None:
        fleet = make_fleet("a", "b", "c")
        _claim_in_a_partition(fleet, _no_answers)
        fleet.run_for(_releases.MAX_REPEAT_INTERVAL_S)
        assert _sends_of(fleet, "a") == 0

    def test_repeats_to_a_lost_holder_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_releases, "MAX_REPEATS", 3)
        fleet = make_fleet("a", "b", "c")
        fleet.kill("c")
        _claim_in_a_partition(fleet, _no_answers)
        assert _sends_of(fleet, "a") == 0
