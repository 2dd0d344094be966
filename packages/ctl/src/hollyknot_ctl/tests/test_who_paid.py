"""Tests of the account of whose requests were late, refused or failed."""

import itertools
import json
import pathlib
import textwrap
from collections import Counter
from collections.abc import Iterable
from typing import Any

import pytest
from click.testing import CliRunner, Result

from hollyknot_ctl import _who_paid as command
from hollyknot_ctl._explain_failure import read_lines
from hollyknot_ctl._main import cli
from hollyknot_ctl._payers import PACES_KEPT
from hollyknot_ctl._request_ends import Fate, RequestEnd, RequestEnds

_LOG = pathlib.Path(__file__).with_name("who_paid.log")
_PAGE = pathlib.Path(__file__).parents[5] / "docs" / "OPERATIONS.md"


def _line(
    event: str, /, *, request: object = "a1", at: object = 50.0, **more: object
) -> str:
    """Returns a log line as a host writes it."""
    common = {"customer": "c", "route": "r", "data_centre": "north"}
    fields = {**common, "host": "h1", **more}
    pairs = " ".join(f"{k}={v}" for k, v in fields.items())
    return f"at={at} event={event} request={request} {pairs}\n"


def _answer(late: str = "", **more: object) -> str:
    return _line("try", outcome="complete", reason="none", late=late, **more)


def _failed_try(reason: str = "connect-failed", **more: object) -> str:
    return _line("failed_try", reason=reason, **more)


def _refused(
    reason: str = "shed", outcome: str = "not-run", **more: object
) -> str:
    more = {"status": 503, **more}
    return _line("refused", reason=reason, outcome=outcome, **more)


def _ends(texts: Iterable[str], max_open: int = 100) -> list[RequestEnd]:
    ends = RequestEnds(max_open)
    found = [end for line in read_lines(texts) for end in ends.add(line)]
    return [*found, *ends.finish()]


def _fates(texts: Iterable[str]) -> list[tuple[Fate, str]]:
    return [(end.fate, end.cause) for end in _ends(texts)]


class TestFates:
    """What became of a request by its lines."""

    @pytest.mark.parametrize(
        ("text", "fate", "cause"),
        [
            (_answer(), Fate.IN_TIME, ""),
            (_answer("first"), Fate.LATE, "late: first"),
            (_answer("gap"), Fate.LATE, "late: gap"),
            (_line("try"), Fate.UNJUDGED, ""),
            (_refused(), Fate.REFUSED, "refused: shed"),
            (
                _refused(detail='"needs 6.20 s, 4.10 s left"'),
                Fate.REFUSED,
                "refused: shed, too slow",
            ),
            (
                _refused("no-upstream", detail='"the time limit has passed"'),
                Fate.REFUSED,
                "refused: no-upstream, out of time",
            ),
            (
                _refused("upstream-lost", "may-have-run", status="502"),
                Fate.FAILED,
                "failed: upstream-lost",
            ),
            (_refused("bad-key", status="401"), Fate.WRONG, "wrong: bad-key"),
            (
                _line("cut_off", reason="truncated"),
                Fate.FAILED,
                "cut off: truncated",
            ),
            (_line("caller_gone"), Fate.FAILED, "caller gone"),
            (
                _failed_try("upstream-error"),
                Fate.FAILED,
                "failed: upstream-error",
            ),
        ],
    )
    def test_of_a_single_line(self, text: str, fate: Fate, cause: str) -> None:
        assert _fates([text]) == [(fate, cause)]

    def test_names_whom_it_concerns(self) -> None:
        (end,) = _ends(["front-1 12.5 " + _answer(at=7.0)])
        assert end == RequestEnd(7.0, "c", "r", "north", Fate.IN_TIME)


class TestOneRequest:
    """A request counts once, by its last line."""

    def test_several_tries_count_once(self) -> None:
        """Guards against a loss for each try of a request that was answered."""
        texts = [_failed_try(), _failed_try(), _answer()]
        assert _fates(texts) == [(Fate.IN_TIME, "")]

    def test_failed_tries_before_a_refusal_count_once(self) -> None:
        texts = [_failed_try(), _refused("connect-failed")]
        assert _fates(texts) == [(Fate.REFUSED, "refused: connect-failed")]

    def test_failed_tries_before_the_end_of_a_stream_count_once(self) -> None:
        texts = [_failed_try("truncated"), _line("cut_off", reason="truncated")]
        assert _fates(texts) == [(Fate.FAILED, "cut off: truncated")]

    def test_call_that_its_caller_left_counts_once(self) -> None:
        """Guards against a call in time whose answer nobody received."""
        texts = [
            _failed_try("caller-gone"),
            _line("caller_gone"),
            _answer(),
            _failed_try("caller-gone"),
        ]
        assert _fates(texts) == [(Fate.FAILED, "caller gone")]

    def test_return_of_a_caller_counts_again(self) -> None:
        texts = [_refused(), _answer(request="a2")]
        assert [fate for fate, _ in _fates(texts)] == [
            Fate.REFUSED,
            Fate.IN_TIME,
        ]

    def test_same_id_at_two_hosts_counts_twice(self) -> None:
        texts = [_failed_try(), _answer(host="h2")]
        assert Counter(fate for fate, _ in _fates(texts)) == {
            Fate.IN_TIME: 1,
            Fate.FAILED: 1,
        }

    def test_open_requests_are_bounded(self) -> None:
        """Guards against memory that grows with the failed tries of a log."""
        ends = RequestEnds(max_open=3)
        texts = [_failed_try(request=f"a{n}") for n in range(10)]
        ended = [len(list(ends.add(line))) for line in read_lines(texts)]
        assert ended == [0, 0, 0] + [1] * 7
        assert len(list(ends.finish())) == 3

    def test_failed_tries_without_an_id_are_told(self) -> None:
        """Guards against losing lines that can't be combined silently."""
        ends = RequestEnds()
        for line in read_lines([_failed_try(request="")]):
            assert not list(ends.add(line))
        assert ends.unnamed_tries == 1


def _run(*arguments: str, text: str = "") -> Result:
    return CliRunner().invoke(cli, ["who-paid", *arguments], input=text)


def _json(text: str, *arguments: str) -> Any:
    got = _run("--json", *arguments, text=text)
    assert got.exit_code == 0
    return json.loads(got.stdout)


class TestCommand:
    """The command `who-paid`."""

    def test_prints_the_example_of_the_page(self) -> None:
        """Guards against a page whose example is not what the tool prints."""
        got = _run("--top", "3", str(_LOG))
        assert got.exit_code == 0
        example = textwrap.indent(got.stdout, "    ")
        assert example in _PAGE.read_text("utf-8")

    def test_reads_several_files_and_standard_input(
        self, tmp_path: pathlib.Path
    ) -> None:
        file = tmp_path / "h1.log"
        file.write_text(_answer())
        got = _json(_answer(host="h2"), str(file), "-")
        assert got["total"]["requests"] == 2

    def test_shares_are_of_the_whole_loss(self) -> None:
        texts = [_refused(request=f"a{n}", customer="x") for n in range(3)]
        texts += [_answer("gap", request="b"), _answer(request="d")]
        got = _json("".join(texts))
        assert [(r["name"], r["loss_share"]) for r in got["customers"]] == [
            ("x", 0.75),
            ("c", 0.25),
        ]

    def test_window_counts_requests_that_ended_in_it(self) -> None:
        """Guards against a failed try at the edge that counts as the end."""
        texts = [
            _failed_try(at=99.0),
            _answer(at=100.0),
            _failed_try(at=199.0, request="a2"),
            _answer(at=200.0, request="a2"),
        ]
        limits = ["--from", "1970-01-01T00:01:40Z", "--to", "200"]
        total = _json("".join(texts), *limits)["total"]
        assert (total["requests"], total["in_time"]) == (1, 1)

    def test_time_without_a_zone_is_utc(self) -> None:
        got = _run("--from", "1970-01-01T00:00:51", text=_answer(at=50.0))
        assert got.exit_code == 2
        got = _run("--from", "1970-01-01T00:00:50", text=_answer(at=50.0))
        assert got.exit_code == 0

    @pytest.mark.parametrize(
        "bad",
        [
            "Traceback (most recent call last):\n",
            "at=soon event=try request=a9\n",
            "at=nan event=try request=a9\n",
            "event=refused request=a9\n",
            _refused(request="a9", status="many"),
            _answer(request="a9", tokens="7", first_ms="fast"),
            "at=5.0 event=lines_dropped of=try count=x\n",
            "\xff\x00\n",
        ],
    )
    def test_unreadable_lines_are_counted_and_placed(self, bad: str) -> None:
        """Guards against lines that are lost without a word."""
        got = _json(_answer() + "\n" + bad)
        assert got["total"]["requests"] == 1
        assert (got["unreadable"], got["first_unreadable"]) == (1, "-:3")

    def test_other_events_are_readable(self) -> None:
        text = _answer() + "at=50.0 event=peer_met peer=h2 host=h1\n"
        assert _json(text)["unreadable"] == 0

    def test_lines_that_hosts_left_out_are_told(self) -> None:
        text = _answer() + "at=50.0 event=lines_dropped of=try count=7\n"
        got = _run(text=text)
        assert "hosts left out 7 lines of try" in got.stderr

    def test_old_lines_are_told_as_unjudged(self) -> None:
        got = _run(text=_line("try"))
        assert "1 answers of hosts whose lines lack the key late" in got.stderr

    @pytest.mark.parametrize(
        ("arguments", "text", "said"),
        [
            ((), "", "no request ended in the 0 lines"),
            ((), "noise\n", "1 unreadable lines, the first at -:1"),
            (("--to", "10"), _answer(), "check --from and --to"),
            (("--from", "noon"), "", "'noon' is no time"),
            (("--from", "inf"), "", "'inf' is no time"),
            (("--from", "9", "--to", "9"), "", "the window is empty"),
            (("--top", "0"), "", "--top"),
            (("no-such-file",), "", "no-such-file"),
        ],
    )
    def test_bad_input_has_a_remedy(
        self, arguments: tuple[str, ...], text: str, said: str
    ) -> None:
        got = _run(*arguments, text=text)
        assert got.exit_code == 2
        assert said in got.stderr
        assert not got.stdout

    def test_names_from_logs_cannot_control_the_terminal(self) -> None:
        got = _run(text=_answer(customer="\x1b[2J"))
        assert "\x1b" not in got.stdout

    def test_tells_progress(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(command, "PROGRESS_LINES", 2)
        got = _run(text=_answer() * 5)
        assert got.stderr.splitlines() == ["2 lines read", "4 lines read"]

    def test_long_lines_do_not_fill_the_memory(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a file without line ends that is read as a whole."""
        monkeypatch.setattr(command, "MAX_LINE_CHARACTERS", 100)
        got = _run(text="x" * 1000)
        assert "10 unreadable lines" in got.stderr


class TestEngines:
    """The table of engines."""

    def test_slowest_engine_comes_first(self) -> None:
        texts = [
            _answer(upstream=u, tokens="900", read=r, ahead=a, first_ms=f)
            for u, r, a, f in (
                ("fast", "800", "200", "100"),
                ("slow", "800", "1200", "600"),
                ("slow", "900", "100", "310"),
                ("slow", "900", "100", "9000"),
                ("cached", "10", "0", "40"),
            )
        ]
        rows = _json("".join(texts))["engines"]
        assert [(r["upstream"], r["first_ms"]) for r in rows] == [
            ("slow", 310.0),
            ("fast", 100.0),
            ("cached", None),
        ]

    def test_requests_without_a_prompt_are_left_out(self) -> None:
        assert _json(_answer(upstream="u", tokens="0"))["engines"] == []

    def test_samples_are_bounded_and_even(self) -> None:
        """Guards against a median of an hour's first minutes only."""
        texts = [
            _answer(upstream="u", tokens="9", read="1000", first_ms=first_ms)
            for first_ms in itertools.chain(
                ["100"] * PACES_KEPT, ["500"] * PACES_KEPT * 4
            )
        ]
        (row,) = _json("".join(texts))["engines"]
        assert row["first_ms"] == 500.0
