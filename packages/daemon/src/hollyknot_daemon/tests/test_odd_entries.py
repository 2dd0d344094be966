"""Tests that an odd entry of the host list costs that entry alone."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import orjson
import pytest
import structlog

from hollyknot_daemon.tests.rig import Rig, entry, running_rig
from hollyknot_standins import (
    ConfigurationControl,
    ConfigurationOptions,
    Standin,
    start_configuration,
)
from hollyknot_state import Address, DocumentKind
from hollyknot_transport import _platform, poll_document

_TIMEOUT_S = 30.0
_BODY = {"model": "tariff", "messages": [{"role": "user", "content": "?"}]}


def _odd(field: str, value: str) -> bytes:
    """Returns an entry with a field whose value is written as given."""
    good = orjson.dumps(entry("odd", "engine", 9, "tariff") | {field: "@"})
    return good.replace(b'"@"', value.encode("latin-1"))


def _nested(levels: int) -> str:
    return "[" * levels + "]" * levels


_PORTS = ["70000", "-1", "0", str(2**63), "1e308", "1e400", "9" * 400, "NaN"]
_PORTS += ["1.5", '"80"', "true", "null", "[]", "-0", "Infinity"]
_DEPTHS = [13, 250, 300, 1000, 1500, 200_000]
_ODD = [
    *(_odd("port", port) for port in _PORTS),
    *(_odd("later", _nested(levels)) for levels in _DEPTHS),
    *(_odd("ip", f'"{ip}"') for ip in ("", "localhost", "1.2.3", "::g")),
    *(_odd("name", f'"{name}"') for name in ("", "a b", "x" * 200, "\xff")),
    *(_odd("name", value) for value in ("7", "null", "[]", '"\\ud800"')),
    *(_odd("pools", value) for value in ('"tariff"', "[7]", '["a b"]', "{}")),
    *(_odd("state", value) for value in ('"gone"', "1")),
    *(_odd("role", value) for value in ('"cache"', "null")),
    *(_odd("data_centre", value) for value in ('""', "0")),
    *(b"null", b"7", b"[]", b"{}", b'"]}"', b"nonsense", b"", b"[{}]"),
]
_PLACES = {"first": 0, "middle": 2, "last": 5}


def _write(
    entries: list[dict[str, Any]], odd: list[bytes], place: int
) -> bytes:
    written = [orjson.dumps(e) for e in entries]
    written[place:place] = odd
    return b"[" + b",".join(written) + b"]"


def _run(
    test: Callable[[Rig], Any],
    write_list: Callable[[list[dict[str, Any]]], bytes] | None = None,
) -> None:
    async def main() -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            async with running_rig(write_list=write_list) as rig:
                await test(rig)

    asyncio.run(main())


async def _serves(rig: Rig) -> bool:
    path = "/v1/chat/completions"
    response, _ = await rig.send_request(path, json=_BODY)
    return response.status == 200


class TestHostList:
    """Host lists to which another writer added odd entries."""

    @pytest.mark.parametrize("place", _PLACES)
    def test_a_host_starts_beside_odd_entries(self, place: str) -> None:
        """Guards against a host that serves nothing for another's entry."""
        with structlog.testing.capture_logs() as logs:
            _run(_check_start, lambda e: _write(e, _ODD, _PLACES[place]))
        events = {line["event"] for line in logs}
        assert not events & {"document-rejected", "platform-read-failed"}
        left_out = [e for e in logs if e["event"] == "document-part-left-out"]
        assert len(left_out) == len(_ODD)
        assert all(line["part"] and line["problem"] for line in left_out)

    @pytest.mark.parametrize("place", _PLACES)
    def test_a_running_host_follows_the_list(self, place: str) -> None:
        """Guards against a host that keeps its old list for an odd entry."""

        async def test(rig: Rig) -> None:
            entries = list(rig.host_list.control.entries.values())
            for number, odd in enumerate(_ODD):
                new = entry(f"new-{number}", "engine", 9, "unserved")
                written = _write([*entries, new], [odd], _PLACES[place])
                _deliver(rig, number + 100, written)
                hosts = rig.host._documents.view.hosts
                names = [e.name for e in hosts.entries]
                assert (hosts.revision, odd) == (number + 100, odd)
                assert sorted(names) == sorted(
                    [e["name"] for e in entries] + [new["name"]]
                ), odd
            assert await _serves(rig)

        _run(test)

    def test_a_list_without_a_usable_entry_changes_nothing(self) -> None:
        """Guards against a host that gives up all upstreams for garbage."""

        async def test(rig: Rig) -> None:
            for number, odd in enumerate(_ODD):
                _deliver(rig, number + 100, b"[%b]" % odd if odd else b"[,]")
                assert rig.version("hosts") == 2, odd
            assert await _serves(rig)

        _run(test)

    def test_an_odd_entry_is_logged_once(self) -> None:
        """Guards against a log line for each later revision of the list."""

        async def test(rig: Rig) -> None:
            entries = list(rig.host_list.control.entries.values())
            odd = [_odd("port", "NaN"), _odd("port", "70000")]
            for number in range(3):
                _deliver(rig, number + 100, _write(entries, odd, number))

        with structlog.testing.capture_logs() as logs:
            _run(test)
        left_out = [e for e in logs if e["event"] == "document-part-left-out"]
        assert [(e["version"], e["part"]) for e in left_out] == [
            (100, "odd"),
            (100, "odd"),
        ]


async def _check_start(rig: Rig) -> None:
    assert await _serves(rig)
    assert len(rig.host._documents.view.hosts.entries) == 4


def _address(standin: Standin[Any]) -> Address:
    return Address(standin.address.ip, standin.address.port)


async def _poll(
    address: Address, control: ConfigurationControl, odd: str
) -> list[Any]:
    """Returns what a poll delivers until a version follows an odd one."""
    got: list[Any] = []

    def read_after() -> int:
        return max((getattr(d, "version", 0) for d in got), default=0)

    rng = random.Random(1)
    kind = DocumentKind.DECLARATIONS
    poll = asyncio.ensure_future(
        poll_document(kind, (address,), read_after, 1e-4, got.append, rng)
    )
    control.publish_raw(odd)
    async with asyncio.timeout(_TIMEOUT_S):
        while control.reads < 3 and not poll.done():
            await asyncio.sleep(0)
        control.publish_raw("{}")
        while read_after() < 3 and not poll.done():
            await asyncio.sleep(0)
    poll.cancel()
    await asyncio.gather(poll, return_exceptions=True)
    return got


def _deliver(rig: Rig, revision: int | str, entries: bytes) -> None:
    """Hands the host an answer of the host list, as its poll does."""
    start = f'{{"revision":{revision},"entries":'
    body = start.encode() + entries + b"}"
    found = _platform._parse(DocumentKind.HOSTS, body)
    rig.host._control_plane._peers_task._on_platform_result(found)


class TestDocuments:
    """Whole documents that are odd."""

    @pytest.mark.parametrize("levels", _DEPTHS)
    def test_deep_declarations_end_no_poll(self, levels: int) -> None:
        """Guards against a host that follows no declarations any more."""
        deep = f'{{"deep":{_nested(levels)}}}'

        async def main() -> None:
            options = ConfigurationOptions()
            async with start_configuration(options) as standin:
                control = standin.control
                got = await _poll(_address(standin), control, deep)
                assert [(d.version, d.body) for d in got[-1:]] == [(3, b"{}")]

        asyncio.run(main())

    def test_a_fault_in_a_document_ends_no_poll(self) -> None:
        """Guards against a host that follows nothing after an exception."""
        got: list[Any] = []

        def deliver(found: Any) -> None:
            got.append(found)
            raise AssertionError(found)

        async def main() -> None:
            kind, rng = DocumentKind.DECLARATIONS, random.Random(1)
            async with start_configuration(ConfigurationOptions()) as standin:
                at = (_address(standin),)
                poll = asyncio.ensure_future(
                    poll_document(kind, at, lambda: 0, 1e-4, deliver, rng)
                )
                async with asyncio.timeout(_TIMEOUT_S):
                    while len(got) < 3 and not poll.done():
                        await asyncio.sleep(0)
                poll.cancel()
                await asyncio.gather(poll, return_exceptions=True)

        asyncio.run(main())
        assert len(got) >= 3

    @pytest.mark.parametrize("number", [-1, 2**63, 2**64 - 1, 2**64, "1e308"])
    def test_an_odd_revision_ends_no_list(self, number: int | str) -> None:
        """Guards against a host that takes all later lists for older ones."""

        async def test(rig: Rig) -> None:
            entries = orjson.dumps(list(rig.host_list.control.entries.values()))
            _deliver(rig, number, entries)
            _deliver(rig, 7, entries)
            assert rig.version("hosts") == 7

        _run(test)
