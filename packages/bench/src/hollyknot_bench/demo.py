"""Implements `make demo`: checks a fleet of processes on loopback.

Exits with 0 only if every check passed and every process ended normally.
"""

import asyncio
import secrets
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator

import aiohttp
import attrs
import click
import orjson

from hollyknot_bench._fleet import (
    MODEL,
    SERVICE,
    Fleet,
    FleetOptions,
    key_of,
    running_fleet,
)

_READY_TRIES = 200
_READY_PAUSE_S = 0.1
_OK = 200


@attrs.frozen
class Check:
    """Result of one check.

    Attributes:
        name: What was checked.
        held: Whether the check passed.
        seen: What was observed.
    """

    name: str
    held: bool
    seen: str


Step = Callable[[aiohttp.ClientSession, Fleet], Awaitable[Check]]


def new_idempotency_key() -> str:
    """Returns a UUID of version 7 (RFC 9562) with the current time."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def headers(customer: str, request_class: str = "") -> dict[str, str]:
    """Returns headers with a customer's key and, if given, a request class."""
    found = {"Authorization": f"Bearer {key_of(customer)}"}
    if request_class:
        found["X-Request-Class"] = request_class
    return found


async def until_ready(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Waits until every host is ready.

    Raises:
        TimeoutError: A host is not ready after `_READY_TRIES` requests.
    """
    for name in fleet.hosts:
        url = fleet.operators_url(name) + "/readyz"
        for _ in range(_READY_TRIES):
            async with session.get(url) as response:
                if response.status == _OK:
                    break
            await asyncio.sleep(_READY_PAUSE_S)
        else:
            lines = "\n".join(fleet.hosts[name].lines[-20:])
            raise TimeoutError(
                f"host {name} is not ready after {_READY_TRIES} requests to"
                f" {url}; its last lines:\n{lines}"
            )


def _prompt(text: str, streamed: bool) -> dict[str, object]:
    return {
        "model": MODEL,
        "stream": streamed,
        "messages": [{"role": "user", "content": text}],
    }


def whole(host: str, customer: str, request_class: str) -> Step:
    """Returns a step that requests an unstreamed answer."""

    async def step(session: aiohttp.ClientSession, fleet: Fleet) -> Check:
        url = fleet.callers_url(host) + "/v1/chat/completions"
        body = _prompt(f"{request_class} question at {host}", False)
        async with session.post(
            url, json=body, headers=headers(customer, request_class)
        ) as response:
            raw = await response.read()
            verdict = response.headers.get("X-Verdict", "")
        document = orjson.loads(raw)
        text = str(document.get("choices", raw))
        held = response.status == _OK and verdict == "complete"
        return Check(f"{request_class}, whole, by {host}", held, text[:150])

    return step


def streamed(host: str, customer: str, request_class: str) -> Step:
    """Returns a step that requests a streamed answer."""

    async def step(session: aiohttp.ClientSession, fleet: Fleet) -> Check:
        url = fleet.callers_url(host) + "/v1/chat/completions"
        body = _prompt(f"{request_class} stream at {host}", True)
        async with session.post(
            url, json=body, headers=headers(customer, request_class)
        ) as response:
            raw = await response.read()
        events = [line for line in raw.split(b"\n") if line[:6] == b"data: "]
        held = bool(events) and events[-1] == b"data: [DONE]"
        held = held and response.status == _OK and len(events) > 2  # noqa: PLR2004
        seen = f"{len(events)} events, last {events[-1:] or raw[:150]!r}"
        return Check(f"{request_class}, streamed, by {host}", held, seen)

    return step


def once_by_two_hosts(first: str, second: str) -> Step:
    """Returns a step that sends one non-idempotent call through two hosts."""

    async def step(session: aiohttp.ClientSession, fleet: Fleet) -> Check:
        key = new_idempotency_key()
        sent = headers("caseworkers") | {"Idempotency-Key": key}
        answers = []
        for host in (first, second):
            url = f"{fleet.callers_url(host)}/v1/services/{SERVICE}/decisions"
            async with session.post(
                url, json={"household": 7}, headers=sent
            ) as response:
                await response.read()
                verdict = response.headers.get("X-Verdict", "")
                reason = response.headers.get("X-Reason", "")
                answers.append(f"{response.status} {verdict} {reason}".strip())
        ran = await times_run(session, fleet, key)
        held = ran == 1 and answers[0] == "200 complete"
        seen = f"{answers[0]}, then {answers[1]}; the service ran it {ran} time"
        return Check(f"one decision by {first} and {second}", held, seen)

    return step


async def times_run(
    session: aiohttp.ClientSession, fleet: Fleet, key: str
) -> int:
    """Returns how often all services together ran the call with a key."""
    count = 0
    for name in fleet.upstreams:
        if "service" not in name:
            continue
        url = fleet.upstream_url(name) + "/control/calls"
        async with session.get(url) as response:
            calls = orjson.loads(await response.read())["calls"]
        count += sum(call["idempotency_key"] == key for call in calls)
    return count


def _steps(hosts: list[str]) -> Iterator[Step]:
    for host in hosts:
        yield whole(host, "caseworkers", "counter")
        yield streamed(host, "caseworkers", "counter")
        yield whole(host, "caseworkers", "lookup")
        yield streamed(host, "findings", "overnight")
    yield once_by_two_hosts(hosts[0], hosts[1])
    yield once_by_two_hosts(hosts[0], hosts[-1])


async def run_demo() -> list[Check]:
    """Runs the demo and returns the results of its checks."""
    click.echo("starting the platform, the upstreams and four hosts ...")
    checks: list[Check] = []
    async with running_fleet(FleetOptions()) as fleet:
        children = [
            fleet.configuration,
            fleet.host_list,
            *fleet.hosts.values(),
            *fleet.upstreams.values(),
        ]
        async with aiohttp.ClientSession() as session:
            await until_ready(session, fleet)
            for step in _steps(list(fleet.hosts)):
                check = await step(session, fleet)
                checks.append(check)
                mark = "ok  " if check.held else "FAIL"
                click.echo(f"{mark} {check.name}: {check.seen}")
    still_running = [c.name for c in children if c.process.returncode is None]
    failed = [c.name for c in children if c.process.returncode]
    checks.append(
        Check("no process is left", not still_running, str(still_running))
    )
    checks.append(Check("every process ended well", not failed, str(failed)))
    return checks


@click.command()
def main() -> None:
    """Runs the demo; exits with 0 only if all checks passed."""
    checks = asyncio.run(run_demo())
    held = sum(check.held for check in checks)
    for check in checks[-2:]:
        mark = "ok  " if check.held else "FAIL"
        click.echo(f"{mark} {check.name}: {check.seen}")
    click.echo(f"{held} of {len(checks)} checks held")
    sys.exit(0 if held == len(checks) else 1)


if __name__ == "__main__":
    main()
