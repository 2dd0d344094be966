"""Tests that a partition is distinguished from a silence by chance."""

import random

import pytest

from hollyknot_coordination.forwarding.peers._silence_detector import (
    FALSE_ALARM_PROBABILITY,
    MIN_SILENCE_S,
    SilenceDetector,
    unlikely_gap,
)

FALSE_ALARMS_AN_HOUR = 10.0
"""False alarms per hour that a host may raise. Each costs a connection to one
upstream."""

FOUND_S = 3.0
"""Seconds within which a partition has to be detected among many hosts.
Callers' requests may hang for this long before contact with a data centre
counts as lost."""

_STEP_S = 0.1


def _false_alarms(hosts: int, reports_a_second: float, hours: float) -> int:
    """Returns how often a reachable data centre is reported as silent.

    Each report is from a random host, since hosts with many peers choose the
    targets of their reports at random.
    """
    rng = random.Random(hosts)
    detector = SilenceDetector("here")
    known = {"there": hosts}
    now_s = 0.0
    alarms = 0
    while now_s < hours * 3600:
        detector.note("there", now_s)
        now_s += rng.expovariate(reports_a_second)
        alarms += "there" in detector.silent(known, now_s)
    return alarms


class TestChance:
    """Reports of many hosts arrive at random, with long gaps now and then."""

    @pytest.mark.parametrize(
        ("hosts", "reports_a_second"), [(28, 14.0), (39, 8.0), (39, 4.0)]
    )
    def test_a_calm_data_centre_is_hardly_ever_silent(
        self, hosts: int, reports_a_second: float
    ) -> None:
        """Hosts open six connections for each request that they forward.

        With 195 hosts in five data centres and no partition, each host probes
        all upstreams of a data centre several times a minute. It happens if a
        silence of four usual intervals counts as a partition, though one in
        fifty gaps between random reports is longer.
        """
        hours = 2.0
        alarms = _false_alarms(hosts, reports_a_second, hours)
        assert alarms / hours < FALSE_ALARMS_AN_HOUR

    @pytest.mark.parametrize(("hosts", "reports_a_second"), [(28, 14), (39, 8)])
    def test_a_partition_is_found(
        self, hosts: int, reports_a_second: int
    ) -> None:
        rng = random.Random(1)
        detector = SilenceDetector("here")
        partition_s = 60.0
        now_s = 0.0
        while now_s < partition_s:
            detector.note("there", now_s)
            now_s += rng.expovariate(reports_a_second)
        assert detector.silent({"there": hosts}, partition_s + FOUND_S)


class TestFewHosts:
    """Few hosts send reports in turn, so that gaps are short."""

    @pytest.mark.parametrize("hosts", [1, 2, 3])
    def test_a_partition_is_found_as_soon_as_reports_allow(
        self, hosts: int
    ) -> None:
        detector = SilenceDetector("here")
        for step in range(100):
            detector.note("there", step * _STEP_S / hosts)
        last_s = 99 * _STEP_S / hosts
        known = {"there": hosts}
        assert not detector.silent(known, last_s + MIN_SILENCE_S - 0.01)
        assert detector.silent(known, last_s + MIN_SILENCE_S + 0.01)

    def test_one_host_has_no_gap_beyond_its_own_pace(self) -> None:
        assert unlikely_gap(1, FALSE_ALARM_PROBABILITY) == 1.0

    def test_more_hosts_have_longer_gaps(self) -> None:
        gaps = [
            unlikely_gap(hosts, FALSE_ALARM_PROBABILITY)
            for hosts in (1, 3, 10, 30, 300)
        ]
        assert gaps == sorted(gaps)
