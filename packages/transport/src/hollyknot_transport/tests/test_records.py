"""Tests of the text of a metrics scrape and of the log's lines."""

import io
import re
from collections.abc import Iterator

import pytest
import structlog

from hollyknot_transport import Metrics, configure_logging, get_logger


class TestMetrics:
    """Tests of counters that are passed to the registry at a scrape."""

    def test_each_scrape_has_the_sums(self) -> None:
        metrics = Metrics()
        metrics.tries.add("tariff")
        metrics.render("")
        metrics.tries.add("tariff")
        metrics.relayed_chunks.add("tariff", amount=7)
        metrics.requests.add("lookup", "complete", "none")
        for waited_s in (0.01, 0.2, 0.2):
            metrics.first_byte("lookup", waited_s)
        text = metrics.render("")[0].decode()
        lines = set(text.splitlines())
        first_byte = "hollyknot_first_byte_seconds"
        assert lines >= {
            'hollyknot_upstream_tries_total{pool="tariff"} 2',
            'hollyknot_relayed_chunks_total{pool="tariff"} 7',
            'hollyknot_requests_total{class="lookup",reason="none",'
            'verdict="complete"} 1',
            first_byte + '_bucket{class="lookup",le="0.05"} 1.0',
            first_byte + '_bucket{class="lookup",le="0.25"} 3.0',
            first_byte + '_count{class="lookup"} 3.0',
        }

    def test_wrong_number_of_labels_is_found(self) -> None:
        metrics = Metrics()
        metrics.tries.add("tariff", "too many")
        with pytest.raises(ValueError, match="zip"):
            metrics.render("")


@pytest.fixture(name="lines")
def _lines() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    configure_logging("host 1", "hall-a", stream)
    yield stream
    structlog.reset_defaults()


_VALUES = {
    "plain": "plain",
    "": "",
    "two words": '"two words"',
    'a"b c': '"a\\"b c"',
    'a"b': '"a\\"b"',
    "a=b": '"a=b"',
    "a\\b": "a\\b",
    "a\\ b": '"a\\\\ b"',
    "a\nb": "a\\nb",
    1.5: "1.5",
    True: "true",
    False: "false",
    None: "",
}


class TestLog:
    """Tests that each event is one line of key=value pairs."""

    @pytest.mark.parametrize(("value", "text"), _VALUES.items())
    def test_values_are_quoted_where_needed(
        self, lines: io.StringIO, value: object, text: str
    ) -> None:
        get_logger("daemon").info("an-event", key=value, last=2)
        line = lines.getvalue()
        time = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{6})?Z"
        rest = (
            f" level=info event=an-event layer=daemon key={text} last=2"
            ' host="host 1" data_centre=hall-a\n'
        )
        found = re.fullmatch(f"timestamp={time}(.*)", line, re.DOTALL)
        assert found is not None
        assert found[2] == rest

    def test_an_exception_stays_on_its_line(self, lines: io.StringIO) -> None:
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            get_logger("daemon").exception("failed", key=1)
        line = lines.getvalue()
        assert line.count("\n") == 1
        assert " level=error event=failed " in line
        assert "ValueError: bad\\nvalue" in line
