"""Tests that a service's upstreams are divided into lanes."""

from hollyknot_coordination.forwarding import Demand, Lanes, LaneShares
from hollyknot_coordination.forwarding.tests._builders import upstream
from hollyknot_state import LaneDemand

POOL = [upstream(name) for name in ("a", "b", "c", "d", "e", "f")]


def _sizes(lanes: Lanes, now_s: float, count: int = 6) -> tuple[int, int]:
    pool = POOL[:count]
    loose = lanes.of("engines", pool, now_s, is_loose=True)
    tight = lanes.of("engines", pool, now_s, is_loose=False)
    return len(loose), len(tight)


class TestLanes:
    """Each lane gets as many upstreams as the demand needs."""

    def test_lane_sizes_follow_the_demand_of_all_hosts(self) -> None:
        demand = Demand()
        lanes = Lanes(demand, LaneShares(1))
        assert _sizes(lanes, 0.0) == (3, 3)
        demand.apply_reported([LaneDemand("engines", 90_000, 9_000)])
        assert _sizes(lanes, 0.0) == (5, 1)

    def test_lane_has_enough_slots_for_its_streams(self) -> None:
        """Guards against tight streams beside long prompts under normal load.

        Short prompts with long answers need little prefill but many slots. If
        lanes were sized by prompt tokens alone, these streams would fill the
        few upstreams of their lane and overflow to those with long prompts.
        """
        lanes = Lanes(demand := Demand(), LaneShares(1))
        demand.apply_reported([LaneDemand("engines", 90_000, 5_000, 4, 14)])
        # At 6 tenths of 8 slots per upstream, 14 streams need three.
        assert _sizes(lanes, 0.0) == (3, 3)

    def test_streams_that_have_ended_need_no_slots(self) -> None:
        demand = Demand()
        for _ in range(14):
            demand.begin("engines", 100, 0.0, is_loose=False)
        assert demand.streams("engines", 0.0, is_loose=False) == 14
        for _ in range(14):
            demand.end("engines", is_loose=False)
        assert demand.streams("engines", 0.0, is_loose=False) == 0

    def test_streams_of_unheard_hosts_are_estimated(self) -> None:
        demand = Demand()
        demand.apply_reported([LaneDemand("engines", 0, 0, 6, 3)], 0.5)
        assert demand.streams("engines", 0.0, is_loose=True) == 12
        assert demand.streams("engines", 0.0, is_loose=False) == 6

    def test_tight_lane_is_served_first_where_slots_are_short(self) -> None:
        """Guards against a burst of one lane that delays the streams of both.

        Long prompts arrive faster than their answers end. If slots were divided
        in proportion to streams, the loose lane would take slots that tight
        streams still need.
        """
        lanes = Lanes(demand := Demand(), LaneShares(1))
        demand.apply_reported([LaneDemand("engines", 90_000, 5_000, 80, 14)])
        assert _sizes(lanes, 0.0) == (3, 3)
        demand.apply_reported([LaneDemand("engines", 90_000, 5_000, 80, 80)])
        assert _sizes(Lanes(demand, LaneShares(1)), 0.0) == (2, 4)

    def test_each_lane_keeps_one_upstream(self) -> None:
        demand = Demand()
        demand.apply_reported([LaneDemand("engines", 90_000, 0)])
        assert _sizes(Lanes(demand, LaneShares(1)), 0.0, count=2) == (1, 1)

    def test_single_upstream_serves_both_lanes(self) -> None:
        assert _sizes(Lanes(Demand(), LaneShares(1)), 0.0, count=1) == (1, 1)

    def test_small_changes_of_demand_keep_the_lane_sizes(self) -> None:
        demand = Demand()
        lanes = Lanes(demand, LaneShares(1))
        demand.apply_reported([LaneDemand("engines", 50_000, 30_000)])
        before = _sizes(lanes, 0.0)
        demand.apply_reported([LaneDemand("engines", 55_000, 30_000)])
        assert _sizes(lanes, 0.0) == before

    def test_hosts_that_hear_each_other_agree(self) -> None:
        demands = [Demand() for _ in range(4)]
        for index, demand in enumerate(demands):
            for step in range(20):
                demand.begin("engines", 900 * (index + 1), step, is_loose=True)
                demand.begin("engines", 700, step, is_loose=False)
        reports = [demand.to_report(20.0) for demand in demands]
        shares = []
        for index, demand in enumerate(demands):
            others = [t for i, t in enumerate(reports) if i != index]
            demand.apply_reported(d for report in others for d in report)
            shares.append(round(demand.share_of_loose("engines", 20.0), 2))
        assert len(set(shares)) == 1
