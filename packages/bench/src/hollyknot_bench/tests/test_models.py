"""Tests of routing and suspects on the models of both."""

import attrs
import pytest

from hollyknot_bench._routing_model import RoutingModel, RoutingScenario
from hollyknot_bench._suspects_model import SuspectsScenario, run_suspects
from hollyknot_coordination.routing import RoutingOptions

SHORT = RoutingScenario(duration_s=30.0)


class TestHerding:
    """Tests that hosts with the same old reports do not herd to one engine."""

    @pytest.mark.fault(
        fault="load reports late",
        step="accepted",
        rule="hosts that see the same late report do not herd",
        seen_failing="hosts go by reports only (in the test itself)",
    )
    @pytest.mark.parametrize("hosts", [8, 64])
    def test_load_is_spread(self, hosts: int) -> None:
        """Guards against engines that are overloaded in turn.

        Hosts that choose the least loaded engine by reports alone all send to
        the same engine until the next report.
        """
        scenario = attrs.evolve(SHORT, hosts=hosts)
        ours = RoutingModel(scenario).run()
        naive = attrs.evolve(scenario, reports_only=True)
        assert ours.attainment > 0.85
        assert ours.excess < 0.8
        assert RoutingModel(naive).run().excess > 2.5


class TestLocality:
    """Tests that prefixes find warm caches without overloading an engine."""

    def test_more_warm_prefixes_and_attainment_no_worse(self) -> None:
        scenario = attrs.evolve(SHORT, prefixes=400, cold_s=0.8)
        ours = RoutingModel(scenario).run()
        off = RoutingOptions(locality=False)
        without = RoutingModel(attrs.evolve(scenario, options=off)).run()
        assert ours.warm > without.warm + 0.1
        assert ours.attainment >= without.attainment

    def test_one_prefix_for_all_makes_no_hot_spot(self) -> None:
        scenario = attrs.evolve(SHORT, prefixes=1, cold_s=0.8)
        assert RoutingModel(scenario).run().excess < 0.8


class TestStraggler:
    """Tests that limits follow a slow engine that reports no load.

    They fall while it is slow and rise after it recovers.
    """

    @pytest.mark.fault(
        fault="upstream straggle",
        step="queued",
        rule="each class meets its target as often as capacity allows",
    )
    def test_limits_follow(self) -> None:
        scenario = RoutingScenario(
            slow_factor=5.0, slow_from_s=20.0, slow_to_s=50.0, utilisation=0.6
        )
        result = RoutingModel(scenario).run()
        limits = {int(s.at_s): s.limit_sum for s in result.samples}
        assert limits[48] < limits[19] / 2
        assert limits[118] > limits[19] / 2
        assert result.attainment > 0.95


class TestSuspects:
    """Tests that a request that crashes upstreams is stopped."""

    @pytest.mark.fault(
        fault="poison request",
        step="queued",
        rule="a request that crashes upstreams is stopped, no other is refused",
        seen_failing="the defence is off (in the test itself)",
    )
    @pytest.mark.parametrize(("hosts", "batch"), [(1, 8), (8, 8), (4, 64)])
    def test_is_stopped_and_no_innocent_is_refused(
        self, hosts: int, batch: int
    ) -> None:
        """Guards against upstreams that crash one after another without end.

        A caller resends the request that crashed an upstream. It is stopped
        only if hosts report to each other which requests were in each crash.
        """
        scenario = SuspectsScenario(hosts, 8, batch, True, 8, seed=4)
        result = run_suspects(scenario)
        assert 2 <= result.crashes <= 4
        assert result.refused == 0
        bare = run_suspects(attrs.evolve(scenario, uses_register=False))
        assert bare.crashes > 8
