"""Tests of finding what happened to a request in the logs of hosts."""

import json
import pathlib

from click.testing import CliRunner

from hollyknot_ctl._explain_failure import read_lines, request_timeline
from hollyknot_ctl._main import cli

LINES = """\
at=10.000 event=upstream upstream=i-1 service=s host=h1 data_centre=north
at=50.100 event=unreachable upstream=i-1 reason=refused host=h2
Traceback (most recent call last):
at=50.000 event=try request=a1 upstream=i-1 outcome=may-have-run \
reason=upstream-lost detail="no byte in time" host=h1 data_centre=north
at=50.001 event=refused request=a1 status=502 host=h1 data_centre=north
at=50.900 event=crash upstream=i-1 requests=3 host=h1 data_centre=north
at=50.200 event=try request=a2 upstream=i-1 host=h1 data_centre=north
at=50.300 event=source_lost source=tables host=h3 data_centre=south
at=50.400 event=source_lost source=tables host=h1 data_centre=north
"""


class TestRequestTimeline:
    """The lines of a request and those that may explain it."""

    def test_has_lines_that_may_show_the_cause_by_time(self) -> None:
        found = request_timeline("a1", read_lines(LINES.splitlines()))
        assert [(line.event, line.host) for line in found] == [
            ("try", "h1"),
            ("refused", "h1"),
            ("unreachable", "h2"),
            ("source_lost", "h1"),
            ("crash", "h1"),
        ]

    def test_reads_quoted_values(self) -> None:
        found = request_timeline("a1", read_lines(LINES.splitlines()))
        assert found[0].fields["detail"] == "no byte in time"

    def test_unknown_request_has_no_lines(self) -> None:
        assert request_timeline("a9", read_lines(LINES.splitlines())) == []


SUSPECT_LINES = """\
at=49.900 event=suspect_sent request=a1 upstream=i-1 crashed=i-0 host=h1
at=50.000 event=failed_try request=a1 upstream=i-1 host=h1
at=50.030 event=loss upstream=i-1 requests=3 host=h1
at=50.900 event=crash_or_cut upstream=i-1 requests=3 sign=i-2 host=h1
at=55.000 event=quarantine request=a1 upstreams=i-0 pending=i-1 host=h2
"""


class TestSuspects:
    """What hosts knew of a request that may crash upstreams."""

    def test_verdicts_and_refusals_are_included(self) -> None:
        """Guards against a refusal whose evidence is not shown."""
        lines = read_lines(SUSPECT_LINES.splitlines())
        found = request_timeline("a1", lines)
        assert [line.event for line in found] == [
            "suspect_sent",
            "failed_try",
            "loss",
            "crash_or_cut",
            "quarantine",
        ]


NOTICES = """\
at=10.0 event=upstream_leaving upstream=i-1 host=h1
at=11.0 event=upstream_leaving upstream=i-3 host=h1
at=12.0 event=upstream_leaving upstream=i-1 host=h2
at=20.0 event=rest_asked upstream=i-2 rest_s=60.0 host=h1
at=30.0 event=rest_asked upstream=i-2 rest_s=45.0 host=h1
at=40.0 event=rest_asked upstream=i-1 rest_s=2.0 host=h1
at=50.0 event=failed_try request=a1 upstream=i-1 host=h1
at=50.1 event=failed_try request=a1 upstream=i-2 host=h1
at=50.2 event=refused request=a2 reason=upstreams-resting host=h1
"""


class TestNotices:
    """What upstreams had said of themselves long before the request."""

    def _notices(self, request: str) -> list[tuple[float, str]]:
        found = request_timeline(request, read_lines(NOTICES.splitlines()))
        return [
            (line.at_s, line.fields["upstream"])
            for line in found
            if line.at_s < 50.0
        ]

    def test_notices_of_its_upstreams_are_included(self) -> None:
        """Guards against a cause that is too old to be shown."""
        assert self._notices("a1") == [(10.0, "i-1"), (30.0, "i-2")]

    def test_all_notices_are_included_if_no_upstream_was_left(self) -> None:
        assert self._notices("a2") == [
            (10.0, "i-1"),
            (11.0, "i-3"),
            (30.0, "i-2"),
        ]


class TestCommand:
    """The command `explain-failure`."""

    def test_prints_the_timeline(self, tmp_path: pathlib.Path) -> None:
        file = tmp_path / "h1.log"
        file.write_text(LINES)
        got = CliRunner().invoke(cli, ["explain-failure", "a1", str(file)])
        assert got.exit_code == 0
        assert "+0.900 s  h1  crash  upstream=i-1 requests=3" in got.output

    def test_prints_the_timeline_as_json(self, tmp_path: pathlib.Path) -> None:
        file = tmp_path / "h1.log"
        file.write_text(LINES)
        got = CliRunner().invoke(
            cli, ["explain-failure", "--json", "a1", str(file)]
        )
        assert got.exit_code == 0
        events = [line["event"] for line in json.loads(got.output)]
        assert events[:2] == ["try", "refused"]

    def test_unknown_request_gives_a_remedy(
        self, tmp_path: pathlib.Path
    ) -> None:
        file = tmp_path / "h1.log"
        file.write_text(LINES)
        got = CliRunner().invoke(cli, ["explain-failure", "a9", str(file)])
        assert got.exit_code == 2
        assert "all hosts" in got.output
