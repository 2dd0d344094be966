"""Tests of the commands of hollyknotctl through its command line."""

import copy
import hashlib
import json
import pathlib
from typing import Any

import click
import pytest
from click.testing import CliRunner, Result

from hollyknot_ctl import _main
from hollyknot_ctl._main import cli, main

_DECLARED: dict[str, Any] = {
    "data_centres": ["hall-a"],
    "classes": {
        "counter": {"tier": 1, "target": {"first_token_ms": 800}},
        "night": {"tier": 3, "target": {"whole_answer_ms": 60_000}},
    },
    "customers": {
        "desk": {
            "key_sha256": hashlib.sha256(b"key").hexdigest(),
            "classes": ["counter"],
            "default_class": "counter",
        }
    },
    "models": {"drafts": {}},
    "services": {
        "permits": {"non_idempotent": [{"method": "PUT", "path": "/orders*"}]}
    },
}
_PERMITS = ["--customer", "desk", "--service", "permits"]


def _run(*arguments: str, stdin: str = "") -> Result:
    result = CliRunner().invoke(cli, arguments, input=stdin)
    assert result.exception is None or isinstance(result.exception, SystemExit)
    return result


@pytest.fixture
def good(tmp_path: pathlib.Path) -> str:
    """Writes valid declarations and returns the path of the file."""
    path = tmp_path / "declarations.json"
    path.write_text(json.dumps(_DECLARED))
    return str(path)


def _write_changed(folder: pathlib.Path, way: str, value: Any) -> str:
    changed = copy.deepcopy(_DECLARED)
    *steps, last = way.split("/")
    item = changed
    for step in steps:
        item = item[step]
    item[last] = value
    path = folder / "changed.json"
    path.write_text(json.dumps(changed))
    return str(path)


class TestCheck:
    """The command `check`."""

    def test_valid_file_exits_with_0(self, good: str) -> None:
        result = _run("check", good)
        assert (result.exit_code, result.stderr) == (0, "")
        assert result.stdout == f"{good}: good declarations\n"

    def test_prints_one_line_for_each_mistake(
        self, good: str, tmp_path: pathlib.Path
    ) -> None:
        bad = _write_changed(tmp_path, "classes/night", {"tire": 1})
        result = _run("check", good, bad)
        assert result.exit_code == 2
        assert result.stderr.splitlines() == [
            f"{bad}: classes.night.tier: is missing; add it",
            f"{bad}: classes.night.target: is missing; add it",
            f"{bad}: classes.night.tire: is an unknown field; did you mean"
            ' "tier"?',
        ]

    @pytest.mark.parametrize(
        ("text", "message"),
        [
            ('{"host": 1}', "host: 1 is not a string"),
            ('{"revision": "1"}', "revision: "),
            ("{", "not JSON at line 1"),
            ("[" * 9_999, "deeper than"),
        ],
    )
    def test_detects_the_kind_from_the_content(
        self, tmp_path: pathlib.Path, text: str, message: str
    ) -> None:
        path = tmp_path / "a.json"
        path.write_text(text)
        result = _run("check", str(path))
        assert result.exit_code == 2
        assert message in result.stderr

    def test_settings_with_a_missing_tls_file_are_rejected(
        self, tmp_path: pathlib.Path
    ) -> None:
        address = {"ip": "127.0.0.1", "port": 1}
        value = {
            "host": "a",
            "data_centre": "hall-a",
            "callers": address,
            "links": address,
            "operators": address,
            "platform": {"configuration": [address], "host_list": [address]},
            "link_keys": ["k" * 32],
            "tls": {"certificate": "c.pem", "key": "k.pem", "authority": "a"},
        }
        for name in ("c.pem", "k.pem"):
            (tmp_path / name).write_text("")
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(value))
        result = _run("check", "--json", str(path))
        assert result.exit_code == 2
        (checked,) = json.loads(result.stdout)
        assert checked["kind"] == "settings"
        assert [p["path"] for p in checked["problems"]] == ["tls.authority"]

    def test_unreadable_files_are_reported(
        self, tmp_path: pathlib.Path
    ) -> None:
        result = _run("check", str(tmp_path), str(tmp_path / "none\x1b[2J"))
        assert result.exit_code == 2
        assert result.stderr.count("can't be read") == 2
        assert "\x1b" not in result.stderr


class TestDiff:
    """The command `diff`."""

    def test_equal_declarations_have_no_differences(self, good: str) -> None:
        assert _run("diff", good, good).stdout == "no differences\n"
        assert json.loads(_run("diff", "--json", good, good).stdout) == []

    @pytest.mark.parametrize(
        ("way", "value", "lines"),
        [
            (
                "classes/counter",
                {"tier": 2, "target": {"whole_answer_ms": 9}},
                [
                    "classes.counter: tier lowered from 1 to 2 (for desk)",
                    "classes.counter: first_token_ms 800 -> none (for desk)",
                    "classes.counter: whole_answer_ms none -> 9 (for desk)",
                ],
            ),
            (
                "customers/desk",
                {
                    "key_sha256": "0" * 64,
                    "classes": ["night"],
                    "default_class": "night",
                },
                [
                    "customers.desk: gains class night",
                    "customers.desk: loses class counter",
                    "customers.desk: default class counter -> night",
                    "customers.desk: key changed: the old key is refused",
                ],
            ),
            ("customers", {}, ["customers.desk: removed"]),
            (
                "models",
                {"finds": {}},
                ["models.finds: added", "models.drafts: removed"],
            ),
            (
                "services/permits",
                {
                    "idempotent": [{"method": "POST", "path": "/search"}],
                    "remember_s": 60,
                },
                [
                    "services.permits: PUT /orders* is no longer declared"
                    " non-idempotent",
                    "services.permits: POST /search becomes declared"
                    " idempotent",
                    "services.permits: remember_s 86400 -> 60",
                ],
            ),
            (
                "data_centres",
                ["hall-b"],
                [
                    "data_centres.hall-b: added: keys' homes move",
                    "data_centres.hall-a: removed: keys' homes move",
                ],
            ),
        ],
    )
    def test_lists_changes_and_affected_customers(
        self,
        good: str,
        tmp_path: pathlib.Path,
        way: str,
        value: Any,
        lines: list[str],
    ) -> None:
        new = _write_changed(tmp_path, way, value)
        assert _run("diff", good, new).stdout.splitlines() == lines

    def test_invalid_declarations_are_rejected(
        self, good: str, tmp_path: pathlib.Path
    ) -> None:
        bad = _write_changed(tmp_path, "classes/counter/tier", 7)
        result = _run("diff", good, bad)
        assert (result.exit_code, result.stdout) == (2, "")
        assert result.stderr.startswith(f"{bad}: classes.counter.tier: ")


class TestExplain:
    """The command `explain`."""

    def test_non_idempotent_call_is_not_retried_if_it_may_have_run(
        self, good: str
    ) -> None:
        result = _run(
            *("explain", good, "--key", "--service", "permits"),
            *("--method", "PUT", "--path", "/%6frders/7"),
            stdin="key\n",
        )
        assert result.exit_code == 0
        lines = result.stdout.splitlines()
        assert "customer: desk" in lines
        assert "class: counter (it is the customer's default)" in lines
        assert (
            "nature: non-idempotent (the service declares it non-idempotent"
            " by PUT /orders*)"
        ) in lines
        assert "retried if proved not run: yes" in lines
        assert "retried if it may have run: no" in lines
        assert any("claimed-before" in line for line in lines)

    def test_idempotent_call_is_retried(self, good: str) -> None:
        result = _run("explain", "--json", good, *_PERMITS)
        found = json.loads(result.stdout)
        assert found["result"]["nature"] == "idempotent"
        assert found["is_retried_if_lost"] is True
        reasons = {r["reason"] for r in found["refusals"]}
        assert "shed" in reasons
        assert "claimed-before" not in reasons

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            ([*_PERMITS, "--class", "night"], "unknown-class (HTTP 403)"),
            (["--customer", "x", "--model", "drafts"], "bad-key (HTTP 401)"),
            (["--key", "--model", "drafts"], "bad-key (HTTP 401)"),
            (["--customer", "desk", "--model", "x"], "unknown-model (HTTP 404"),
            ([*_PERMITS, "--path", "/a//b"], "bad-request (HTTP 400)"),
        ],
    )
    def test_prints_why_a_request_is_refused(
        self, good: str, arguments: list[str], message: str
    ) -> None:
        result = _run("explain", good, *arguments, stdin="wrong")
        assert result.exit_code == 0
        assert result.stdout.startswith("refused: not-run, ")
        assert message in result.stdout

    def test_needs_one_customer_and_one_target(self, good: str) -> None:
        for extra in ([], ["--key", *_PERMITS], [*_PERMITS, "--model", "m"]):
            result = _run("explain", good, *extra)
            assert result.exit_code == 2
            assert "give one of" in result.stderr


class TestHashKey:
    """The command `hash-key`."""

    def test_prints_the_hash_that_hosts_look_up(self) -> None:
        expected = hashlib.sha256(b"key").hexdigest()
        assert _run("hash-key", stdin=" key\n").stdout == expected + "\n"
        as_json = _run("hash-key", "--json", stdin="key").stdout
        assert json.loads(as_json) == {"key_sha256": expected}

    @pytest.mark.parametrize("stdin", ["", " \n", "two keys"])
    def test_input_without_one_key_is_rejected(self, stdin: str) -> None:
        assert _run("hash-key", stdin=stdin).exit_code == 2


class TestTool:
    """Behaviour that all commands share."""

    @pytest.mark.parametrize("name", sorted(cli.commands))
    def test_help_gives_an_example(self, name: str) -> None:
        result = _run(name, "--help")
        assert f"Examples:\n    hollyknotctl {name}" in result.stdout
        assert "--json" in result.stdout

    @pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
    def test_completion_prints_a_script(self, shell: str) -> None:
        result = _run("completion", shell)
        assert f"_HOLLYKNOTCTL_COMPLETE={shell}_complete" in result.stdout

    def test_internal_error_is_reported_as_one_line(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Guards against a traceback when a command raises unexpectedly.

        An operator would get forty lines of traceback instead of one line
        that says what failed.
        """

        @click.command()
        def broken() -> None:
            raise RuntimeError("oh\nno")

        monkeypatch.setattr(_main, "cli", broken)
        monkeypatch.setattr("sys.argv", ["hollyknotctl"])
        with pytest.raises(SystemExit) as ended:
            main()
        assert ended.value.code == 2
        assert capsys.readouterr().err.count("\n") == 1
