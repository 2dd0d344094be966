"""The command `hollyknotctl status`, which shows a running host."""

import asyncio
import ipaddress
from collections.abc import Iterator, Mapping
from typing import Any

import aiohttp
import click
import orjson

from hollyknot_ctl._output import (
    EXIT_BAD_INPUT,
    EXIT_UNREACHABLE,
    echo_json,
    examples,
    fail,
    json_option,
    printable,
    table,
)

_TIMEOUT_S = 5.0
_MAX_BYTES = 16 * 1024 * 1024
_MAX_PORT = 65_535
_OK = 200


class _UnreachableError(Exception):
    """The address returned no status; the message says why."""


@click.command(
    epilog=examples(
        "hollyknotctl status 10.0.0.7:7002",
    ),
)
@click.argument("address", metavar="ADDRESS")
@json_option
def status(address: str, as_json: bool) -> None:
    """Show the status that a running host reports.

    ADDRESS is the host's address for operators, as IP:PORT or [IPv6]:PORT.
    Exits with 1 if it can't be reached.
    """
    url = _url(address)
    try:
        document = asyncio.run(_fetch(url))
    except _UnreachableError as e:
        fail(f"{address}: {e}", EXIT_UNREACHABLE)
    if as_json:
        echo_json(document)
        return
    for line in _lines(document):
        click.echo(line)


def _url(address: str) -> str:
    ip, _, port = address.rpartition(":")
    try:
        host = ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    except ValueError:
        fail(f"{address}: is not IP:PORT or [IPv6]:PORT", EXIT_BAD_INPUT)
    if not port.isdecimal() or not 1 <= int(port[:6]) <= _MAX_PORT:
        fail(f"{address}: the port must be 1 to {_MAX_PORT}", EXIT_BAD_INPUT)
    shown = (
        f"[{host}]" if isinstance(host, ipaddress.IPv6Address) else str(host)
    )
    return f"http://{shown}:{port}/status"


async def _fetch(url: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, allow_redirects=False) as answer,
        ):
            body = await _read_bounded(answer)
            code = answer.status
    except TimeoutError:
        raise _UnreachableError(f"no answer within {_TIMEOUT_S:g} s") from None
    except (aiohttp.ClientError, OSError) as e:
        raise _UnreachableError(f"can't be reached: {e}") from None
    if code != _OK:
        raise _UnreachableError(f"answered with status {code}")
    return _document(body)


async def _read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    body = b""
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > _MAX_BYTES:
            raise _UnreachableError(
                f"answered with more than {_MAX_BYTES:,} bytes; check that it"
                " is a host's address for operators"
            )
    return body


def _document(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        document = None
    if not isinstance(document, dict):
        raise _UnreachableError(
            "did not answer with a JSON object; check that it is a host's"
            " address for operators"
        )
    return document


def _lines(document: Mapping[str, Any]) -> Iterator[str]:
    for name, value in document.items():
        if not isinstance(value, dict | list):
            yield printable(f"{name}: {_cell(value)}")
    for name, value in document.items():
        if isinstance(value, dict | list):
            yield ""
            yield printable(f"{name}:")
            yield _section(value)


def _section(value: dict[str, Any] | list[Any]) -> str:
    if not value:
        return "none"
    if isinstance(value, list):
        rows = [v if isinstance(v, dict) else {"value": v} for v in value]
    elif all(isinstance(v, dict) for v in value.values()):
        rows = [{"name": k, **v} for k, v in value.items()]
    else:
        rows = [{"name": k, "value": v} for k, v in value.items()]
    headings = list(dict.fromkeys(key for row in rows for key in row))
    return table(
        [printable(h) for h in headings],
        [[_cell(row.get(h, "")) for h in headings] for row in rows],
    )


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return value if isinstance(value, str) else orjson.dumps(value).decode()
