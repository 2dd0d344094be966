"""Tests of how `make cost` turns its rounds into measures."""

import os

import orjson
import pytest

from hollyknot_bench._cost_messages import (
    Target,
    WholeLoad,
    from_json,
    to_json,
)
from hollyknot_bench._cost_process import cpu_s, resident_bytes
from hollyknot_bench._cost_runner import Measure, busiest, slope


class TestMeasures:
    """Tests of printed lines, medians and slopes."""

    @pytest.mark.parametrize(
        ("rounds", "expected"),
        [
            ((2.0,), {"value": 2.0}),
            ((9.0, 1.0, 2.0), {"value": 2.0, "spread": [1, 9], "rounds": 3}),
        ],
    )
    def test_line_has_the_median_and_the_spread(
        self, rounds: tuple[float, ...], expected: dict[str, object]
    ) -> None:
        line = orjson.loads(Measure("cpu", "us", rounds).line())
        assert line == {"measure": "cpu", "unit": "us", **expected}

    def test_slope_leaves_the_fixed_part_out(self) -> None:
        assert slope((0, 250, 1000), (50.0, 60.0, 90.0)) == pytest.approx(0.04)

    def test_busiest_process_is_named(self) -> None:
        note = busiest({"host": 0.4, "engine": 0.75})
        assert note == "busiest: engine, 0.75 of a core"


class TestLoadGenerator:
    """Tests of the options that a load generator receives."""

    def test_options_survive_the_command_line(self) -> None:
        target = Target("host", "http://127.0.0.1/", {"A": "b"}, '{"c": 1}')
        load = WholeLoad((target, target), 100.0, 2.0, 7, {"host": 12})
        assert from_json(to_json(load), WholeLoad) == load


class TestProcesses:
    """Tests of the CPU time and memory read from /proc."""

    def test_own_process_is_measured(self) -> None:
        assert resident_bytes(os.getpid()) > 1_000_000
        times = os.times()
        assert cpu_s(os.getpid()) >= times.user + times.system - 0.02
