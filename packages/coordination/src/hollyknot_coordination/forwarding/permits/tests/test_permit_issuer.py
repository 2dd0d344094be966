"""Tests of the permits that one host issues."""

import pytest

from hollyknot_coordination.forwarding import HostCount
from hollyknot_coordination.forwarding.permits._permit_issuer import (
    MAX_SAVED_PERMITS,
    MAX_WAIT_S,
    RATE_FRACTION,
    PermitIssuer,
)

STEP_S = 0.01


def _issuer(hosts: int = 8, heard: int = 8) -> PermitIssuer:
    size = HostCount(0.0, is_alone=False)
    size.set(hosts, heard, 0.0)
    return PermitIssuer(size)


def _issued(
    issuer: PermitIssuer,
    begin_s: float,
    seconds: float,
    rate: float = 2.0,
    *,
    is_least_urgent: bool = False,
    is_sole: bool = False,
) -> int:
    """Asks every `STEP_S`, and returns the number of permits issued."""
    return sum(
        not issuer.issue(
            "a",
            rate,
            begin_s + step * STEP_S,
            is_least_urgent=is_least_urgent,
            is_sole=is_sole,
        )
        for step in range(int(seconds / STEP_S))
    )


class TestPermitIssuer:
    """A host issues permits at its share of the rate, and saves up a few."""

    def test_issues_its_share_of_the_rate(self) -> None:
        issued = _issued(_issuer(), 10.0, 20.0)
        assert abs(issued - 2.0 * RATE_FRACTION * 20.0) <= MAX_SAVED_PERMITS

    def test_saves_few_permits_while_idle(self) -> None:
        issuer = _issuer()
        _issued(issuer, 10.0, 1.0)
        assert _issued(issuer, 1000.0, 2 * STEP_S) == int(MAX_SAVED_PERMITS)

    def test_a_host_that_hears_few_peers_issues_less(self) -> None:
        some = _issued(_issuer(hosts=8, heard=2), 10.0, 40.0)
        assert abs(some - 2.0 * RATE_FRACTION * 40.0 / 4) <= MAX_SAVED_PERMITS
        sole = _issued(_issuer(8, 2), 10.0, 40.0, is_sole=True)
        assert sole > 3 * some

    def test_a_host_that_has_just_started_issues_none(self) -> None:
        """Guards against a new host that assumes it is the only one."""
        assert _issued(_issuer(), 0.0, 0.9) == 0

    def test_a_host_that_hears_no_peer_issues_none(self) -> None:
        issuer = PermitIssuer(HostCount(0.0, is_alone=False))
        assert _issued(issuer, 10.0, 10.0) == 0

    def test_a_host_without_peers_issues_permits(self) -> None:
        issuer = PermitIssuer(HostCount(0.0, is_alone=True))
        assert _issued(issuer, 10.0, 10.0) > 0

    def test_one_permit_is_kept_for_urgent_requests(self) -> None:
        issuer = _issuer()
        _issued(issuer, 10.0, 5.0, is_least_urgent=True)
        assert not issuer.issue("a", 2.0, 15.0, is_least_urgent=False)

    def test_least_urgent_requests_get_permits_too(self) -> None:
        issued = _issued(_issuer(), 10.0, 20.0, is_least_urgent=True)
        assert issued >= 2.0 * RATE_FRACTION * 20.0 - MAX_SAVED_PERMITS

    @pytest.mark.parametrize("rate", [0.0, 1e-9, 1e9])
    def test_waits_are_bounded(self, rate: float) -> None:
        issuer = _issuer()
        waits = [
            issuer.issue("a", rate, 10.0, is_least_urgent=False)
            for _ in range(100)
        ]
        assert all(0.0 <= wait <= MAX_WAIT_S for wait in waits)

    def test_a_clock_that_goes_back_issues_nothing(self) -> None:
        issuer = _issuer()
        _issued(issuer, 10.0, 1.0)
        assert issuer.issue("a", 2.0, 5.0, is_least_urgent=False)

    def test_a_removed_upstream_is_forgotten(self) -> None:
        issuer = _issuer()
        _issued(issuer, 10.0, 5.0)
        issuer.forget("a")
        assert issuer._buckets == {}
