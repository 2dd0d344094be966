"""Runs a small fleet: platform, upstreams and hosts as processes."""

import contextlib
import hashlib
import pathlib
import tempfile
from collections.abc import AsyncIterator

import aiohttp
import attrs
import orjson

from hollyknot_bench._processes import LOOPBACK, Child, child

LINK_KEY = "a-key-for-the-links-of-a-fleet-on-one-machine"
DATA_CENTRES = ("hall-a", "hall-b")
MODEL = "tariff"
SERVICE = "permits"
CUSTOMERS = {
    "caseworkers": ("counter", "lookup"),
    "findings": ("overnight",),
}


def key_of(customer: str) -> str:
    """Returns the bearer key of one of the fleet's customers."""
    return f"key-of-{customer}-on-one-machine"


def declarations() -> dict[str, object]:
    """Returns the declarations that the configuration service publishes."""
    customers = {
        name: {
            "key_sha256": hashlib.sha256(key_of(name).encode()).hexdigest(),
            "classes": list(classes),
            "default_class": classes[0],
        }
        for name, classes in CUSTOMERS.items()
    }
    return {
        "data_centres": list(DATA_CENTRES),
        "classes": {
            "counter": {
                "tier": 1,
                "target": {"first_token_ms": 1100, "between_tokens_ms": 68},
            },
            "lookup": {"tier": 2, "target": {"whole_answer_ms": 2000}},
            "overnight": {"tier": 3, "target": {"whole_answer_ms": 3_600_000}},
        },
        "customers": customers,
        "models": {MODEL: {"description": "Answers tariff questions"}},
        "services": {
            SERVICE: {"idempotent": [{"method": "POST", "path": "/quote"}]}
        },
    }


@attrs.frozen
class FleetOptions:
    """Size and timing of a fleet.

    Attributes:
        hosts: Number of hosts in each data centre.
        engines: Number of engines in each data centre.
        services: Number of services in each data centre.
        data_centres: Names of the data centres.
        token_interval_s: Time between two tokens of an engine, in seconds.
        slots: Number of requests that an engine runs at once.
        engine_tokens: Length of the engines' answers in tokens, unless a
            request's `max_tokens` is less.
        trace_dir: Directory to which hosts write their spans, if any.
        log_dir: Directory to which the output of all processes is also
            written, if any.
        handover_s: How long a stopping host waits until others have taken over
            its claims, in seconds. They do so only if the host list marks the
            host as leaving, so the default is not to wait.
    """

    hosts: int = 2
    engines: int = 1
    services: int = 1
    data_centres: tuple[str, ...] = DATA_CENTRES
    token_interval_s: float = 0.005
    slots: int = 64
    engine_tokens: int = 16
    trace_dir: pathlib.Path | None = None
    log_dir: pathlib.Path | None = None
    handover_s: float = 0.0


@attrs.define
class Fleet:
    """The running processes of a fleet.

    Attributes:
        configuration: Process of the configuration service.
        host_list: Process of the host list service.
        hosts: Hosts by name.
        upstreams: Engines and services by name.
        entries: Entries of the host list.
    """

    configuration: Child
    host_list: Child
    hosts: dict[str, Child] = attrs.Factory(dict)
    upstreams: dict[str, Child] = attrs.Factory(dict)
    entries: list[dict[str, object]] = attrs.Factory(list)

    def callers_url(self, host: str) -> str:
        """Returns the base URL at which a host serves callers."""
        return f"http://{LOOPBACK}:{self.hosts[host].port('callers_port')}"

    def operators_url(self, host: str) -> str:
        """Returns the base URL at which a host serves operators."""
        return f"http://{LOOPBACK}:{self.hosts[host].port('operators_port')}"

    def upstream_url(self, name: str) -> str:
        """Returns the base URL of an upstream."""
        return f"http://{LOOPBACK}:{self.upstreams[name].port()}"


def entry(
    name: str, role: str, data_centre: str, port: int, pools: tuple[str, ...]
) -> dict[str, object]:
    """Returns the host list entry of a live host or upstream."""
    return {
        "name": name,
        "role": role,
        "data_centre": data_centre,
        "ip": LOOPBACK,
        "port": port,
        "pools": list(pools),
        "state": "live",
    }


async def publish_hosts(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Publishes the fleet's entries as the host list."""
    url = f"http://{LOOPBACK}:{fleet.host_list.port()}/control"
    async with session.post(url, json={"set": fleet.entries}) as response:
        response.raise_for_status()


@contextlib.asynccontextmanager
async def running_fleet(options: FleetOptions) -> AsyncIterator[Fleet]:
    """Runs a fleet until the context ends, then stops all its processes.

    Args:
        options: Size and timing of the fleet.

    Yields:
        The fleet. Its host list is published, but hosts may not have fetched
        it yet.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        fleet = await _start_platform(stack, directory, options)
        for data_centre in options.data_centres:
            await _start_upstreams(stack, fleet, data_centre, options)
            for number in range(options.hosts):
                name = f"{data_centre}-host-{number + 1}"
                await start_host(
                    stack, fleet, name, data_centre, directory, options
                )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await publish_hosts(session, fleet)
        yield fleet


async def _start_platform(
    stack: contextlib.AsyncExitStack,
    directory: pathlib.Path,
    options: FleetOptions,
) -> Fleet:
    value = directory / "declarations.json"
    value.write_bytes(orjson.dumps(declarations()))
    configuration = await stack.enter_async_context(
        _standin(
            options, "configuration", "configuration", "--value", str(value)
        )
    )
    host_list = await stack.enter_async_context(
        _standin(options, "host-list", "host-list")
    )
    return Fleet(configuration, host_list)


async def _start_upstreams(
    stack: contextlib.AsyncExitStack,
    fleet: Fleet,
    data_centre: str,
    options: FleetOptions,
) -> None:
    for number in range(options.engines):
        name = f"{data_centre}-engine-{number + 1}"
        started = await stack.enter_async_context(
            _standin(
                options,
                "engine",
                name,
                "--slots",
                str(options.slots),
                "--min-tokens",
                str(options.engine_tokens),
                "--max-tokens",
                str(options.engine_tokens),
                "--interval-s",
                str(options.token_interval_s),
            )
        )
        fleet.upstreams[name] = started
        fleet.entries.append(
            entry(name, "engine", data_centre, started.port(), (MODEL,))
        )
    for number in range(options.services):
        name = f"{data_centre}-service-{number + 1}"
        started = await stack.enter_async_context(
            _standin(options, "service", name)
        )
        fleet.upstreams[name] = started
        fleet.entries.append(
            entry(name, "service", data_centre, started.port(), (SERVICE,))
        )


async def start_host(
    stack: contextlib.AsyncExitStack,
    fleet: Fleet,
    name: str,
    data_centre: str,
    directory: pathlib.Path,
    options: FleetOptions,
) -> Child:
    """Starts one host and adds its entry to the fleet, not yet published."""
    settings = directory / f"{name}.json"
    settings.write_bytes(
        orjson.dumps(_settings(fleet, name, data_centre, options))
    )
    arguments = ["-m", "hollyknot_daemon", "--settings", str(settings)]
    log = options.log_dir / f"{name}.log" if options.log_dir else None
    started = await stack.enter_async_context(
        child(name, arguments, "event=started", log)
    )
    fleet.hosts[name] = started
    port = started.port("links_port")
    fleet.entries.append(entry(name, "host", data_centre, port, ()))
    return started


def _settings(
    fleet: Fleet, name: str, data_centre: str, options: FleetOptions
) -> dict[str, object]:
    any_port = {"ip": LOOPBACK, "port": 0}
    traces = options.trace_dir / f"{name}.jsonl" if options.trace_dir else ""
    return {
        "host": name,
        "data_centre": data_centre,
        "callers": any_port,
        "links": any_port,
        "operators": any_port,
        "platform": {
            "configuration": [_address(fleet.configuration)],
            "host_list": [_address(fleet.host_list)],
        },
        "link_keys": [LINK_KEY],
        "trace_file": str(traces),
        "handover_s": options.handover_s,
    }


def _address(started: Child) -> dict[str, object]:
    return {"ip": LOOPBACK, "port": started.port()}


def _standin(
    options: FleetOptions, kind: str, name: str, *arguments: str
) -> contextlib.AbstractAsyncContextManager[Child]:
    log = options.log_dir / f"{name}.log" if options.log_dir else None
    command = ["-m", "hollyknot_standins", kind, "--name", name, *arguments]
    return child(name, command, "ready ", log)
