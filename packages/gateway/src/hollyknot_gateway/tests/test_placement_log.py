"""Tests that operators see lane sizes and slow upstreams in the log."""

import os
from typing import Any

from hollyknot_coordination.forwarding import LaneSize
from hollyknot_gateway._log import Log
from hollyknot_gateway._placement_log import PlacementLog


class _RecordingLog(Log):
    """A log that keeps its lines."""

    def __init__(self) -> None:
        super().__init__("a", "north", os.open(os.devnull, os.O_WRONLY))
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def line(self, event: str, **keys: Any) -> None:
        self.lines.append((event, keys))


class TestPlacementLog:
    """Each change is logged once."""

    def test_lane_sizes_are_logged_when_they_change(self) -> None:
        sizes = {"engines": LaneSize(20, 30, is_told=False)}
        log = _RecordingLog()
        placement_log = PlacementLog(lambda: sizes, dict, log)
        placement_log.check()
        placement_log.check()
        sizes["engines"] = LaneSize(18, 30, is_told=True)
        placement_log.check()
        found = [(keys["loose"], keys["sized_by"]) for _, keys in log.lines]
        assert found == [(20, "self"), (18, "peer")]

    def test_slow_upstreams_are_logged_at_start_and_end(self) -> None:
        slowness = {"u1": 1.0, "u2": 2.4}
        log = _RecordingLog()
        placement_log = PlacementLog(dict, lambda: slowness, log)
        placement_log.check()
        slowness["u2"] = 1.8
        placement_log.check()
        assert placement_log.slow_count == 1
        del slowness["u2"]
        placement_log.check()
        assert [(event, keys["upstream"]) for event, keys in log.lines] == [
            ("upstream_slow", "u2"),
            ("upstream_usual", "u2"),
        ]
        assert placement_log.slow_count == 0
