"""Tests that logs are bounded and never block."""

import os
import re

from hollyknot_gateway._log import (
    BUFFERED_LINES,
    EVENT_LINES_PER_S,
    Log,
    parts_text,
)
from hollyknot_state.routes import PromptPart


class _Clock:
    """A clock that the tests set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def _log() -> tuple[Log, int, int, _Clock]:
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    os.set_blocking(reading, False)
    clock = _Clock()
    return Log("h1", "north", writing, clock, clock), reading, writing, clock


def _read(descriptor: int) -> list[str]:
    data = b""
    try:
        while part := os.read(descriptor, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return data.decode().splitlines()


class TestPartsText:
    """Tests how parts of a prompt are listed."""

    def test_bounds_what_callers_name(self) -> None:
        """Guards against lines that grow with names that callers choose."""
        parts = tuple(PromptPart("x" * 900, 1) for _ in range(500))
        assert len(parts_text(parts)) < 300


class TestLog:
    """Tests of the lines that are written and dropped."""

    def test_writes_one_line_per_event(self) -> None:
        log, reading, _, _ = _log()
        log.line("try", request="a1", detail="two words", left=1.5)
        log.flush()
        assert _read(reading) == [
            'at=0.000 event=try request=a1 detail="two words" left=1.5'
            " host=h1 data_centre=north"
        ]

    def test_line_break_in_value_starts_no_new_line(self) -> None:
        log, reading, _, _ = _log()
        log.line("try", request="a\nat=9 event=forged")
        log.flush()
        assert len(_read(reading)) == 1

    def test_stopped_reader_does_not_block(self) -> None:
        """Guards against a full pipe that stops all streams of a host.

        The reader of the logs stops and the pipe fills. A write on the event
        loop must not wait for room in it.
        """
        log, reading, _, clock = _log()
        for second in range(60):
            clock.now_s = float(second)
            for _ in range(EVENT_LINES_PER_S):
                log.line("try", text="x" * 200)
            log.flush()
        assert log.waiting <= BUFFERED_LINES
        assert log.dropped > 0
        _read(reading)
        log.flush()
        lines = _read(reading)
        clock.now_s = 61.0
        log.line("try")
        for _ in range(99):
            log.flush()
            lines += _read(reading)
        counts = re.findall(
            r"event=lines_dropped of=try count=(\d+)", str(lines)
        )
        assert sum(map(int, counts)) == log.dropped

    def test_frequent_event_does_not_crowd_out_others(self) -> None:
        log, reading, _, _ = _log()
        for _ in range(EVENT_LINES_PER_S * 3):
            log.line("try")
        log.line("crash")
        log.flush()
        events = [line.split()[1] for line in _read(reading)]
        assert events.count("event=try") == EVENT_LINES_PER_S
        assert events.count("event=crash") == 1

    def test_ordinary_lines_leave_room_for_failures(self) -> None:
        """Guards against a missing line for a failed request.

        The reader stops for 30 s under load, and a request fails. Lines of
        successful requests must not have filled the buffer by then.
        """
        log, reading, _, clock = _log()
        for second in range(30):
            clock.now_s = float(second)
            for _ in range(EVENT_LINES_PER_S):
                log.line("try")
        log.line("failed_try", request="lost")
        lines = []
        while log.waiting:
            log.flush()
            lines += _read(reading)
        assert any("event=failed_try request=lost" in line for line in lines)

    def test_closed_reader_discards_lines(self) -> None:
        log, reading, writing, _ = _log()
        os.close(reading)
        log.line("try")
        log.flush()
        assert log.waiting == 0
        os.close(writing)
