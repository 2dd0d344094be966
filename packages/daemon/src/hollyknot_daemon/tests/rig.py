"""Runs one host between in-process stand-ins for tests of the whole path."""

import asyncio
import contextlib
import hashlib
import random
import secrets
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import attrs

from hollyknot_coordination.claims import ClaimOptions
from hollyknot_daemon import Host
from hollyknot_standins import (
    ConfigurationControl,
    ConfigurationOptions,
    EngineControl,
    EngineOptions,
    HostListControl,
    HostListOptions,
    ServiceControl,
    Standin,
    start_configuration,
    start_engine,
    start_host_list,
    start_service,
)
from hollyknot_standins import ServiceOptions as ServiceStandinOptions
from hollyknot_state import Address, Platform, Settings

IP = "127.0.0.1"
API_KEY = "a-bearer-key-of-the-tests"
_POLL_S = 0.02


def declarations() -> dict[str, Any]:
    """Returns declarations with one class of each tier."""
    return {
        "data_centres": ["hall-a"],
        "classes": {
            "counter": {
                "tier": 1,
                "target": {"first_token_ms": 1100, "between_tokens_ms": 68},
            },
            "lookup": {"tier": 2, "target": {"whole_answer_ms": 2000}},
        },
        "customers": {
            "caseworkers": {
                "key_sha256": hashlib.sha256(API_KEY.encode()).hexdigest(),
                "classes": ["counter"],
                "default_class": "counter",
            }
        },
        "models": {"tariff": {"description": ""}, "unserved": {}},
        "services": {"permits": {}},
    }


@attrs.frozen
class Rig:
    """A host under test and the stand-ins around it.

    Attributes:
        host: Host under test.
        engines: Engines that serve the model `tariff`.
        service: Service that serves `permits`.
        configuration: Stand-in of the configuration service.
        host_list: Stand-in of the host list.
        session: HTTP client of the callers.
    """

    host: Host
    engines: list[Standin[EngineControl]]
    service: Standin[ServiceControl]
    configuration: Standin[ConfigurationControl]
    host_list: Standin[HostListControl]
    session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        """Base URL at which the host serves callers."""
        return f"http://{IP}:{self.host.callers_port}"

    async def send_request(
        self, path: str, key: str = API_KEY, **request: Any
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Sends a request with a bearer key and reads the answer."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        headers |= request.pop("headers", {})
        method = request.pop("method", "POST")
        async with self.session.request(
            method, self.url + path, headers=headers, **request
        ) as response:
            return response, await response.read()

    def version(self, document: str) -> int:
        """Returns the version of a document that is in force on the host."""
        versions = self.host.status()["versions"]
        assert isinstance(versions, dict)
        number: int = versions[document]
        return number

    async def until_ready(self) -> None:
        """Waits until the host is ready for requests."""
        await self.until(lambda: self.host.readiness.is_ready)

    async def until(self, condition: Any) -> None:
        """Waits for a condition; the test's own time limit bounds it."""
        while not condition():
            await asyncio.sleep(_POLL_S)


def entry(name: str, role: str, port: int, *pools: str) -> dict[str, Any]:
    """Returns an entry of the host list."""
    return {
        "name": name,
        "role": role,
        "data_centre": "hall-a",
        "ip": IP,
        "port": port,
        "pools": list(pools),
        "state": "live",
    }


def settings_at(
    configuration: Standin[Any], host_list: Standin[Any], trace_file: str = ""
) -> Settings:
    """Returns settings of a host whose platform is two stand-ins."""

    def address(standin: Standin[Any]) -> Address:
        return Address(standin.address.ip, standin.address.port)

    any_port = Address(IP, 0)
    return Settings(
        host="host-1",
        data_centre="hall-a",
        callers=any_port,
        links=any_port,
        operators=any_port,
        platform=Platform((address(configuration),), (address(host_list),)),
        link_keys=(secrets.token_hex(32),),
        max_body_bytes=65_536,
        trace_file=trace_file,
    )


@contextlib.asynccontextmanager
async def running_rig(
    engines: int = 2,
    engine_options: EngineOptions | None = None,
    trace_file: str = "",
    ahead_s: float = 0.05,
    is_listed_late: bool = False,
    write_list: Callable[[list[dict[str, Any]]], bytes] | None = None,
) -> AsyncIterator[Rig]:
    """Runs a host and the stand-ins around it until the context ends.

    Args:
        engines: Number of engines that serve the model.
        engine_options: Options of the engines.
        trace_file: File to which the host writes its spans; empty for none.
        ahead_s: `ahead_s` of the claim options, in seconds.
        is_listed_late: Whether the host first reads a list without itself.
        write_list: Writes the host list's entries as JSON, which may be
            invalid.
    """
    claim_options = ClaimOptions(ahead_s=ahead_s, skew_s=0.01)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        configuration = await enter(
            start_configuration(ConfigurationOptions(value=declarations()))
        )
        host_list = await enter(start_host_list(HostListOptions()))
        options = engine_options or EngineOptions()
        started = [await enter(start_engine(options)) for _ in range(engines)]
        service = await enter(start_service(ServiceStandinOptions()))
        settings = settings_at(configuration, host_list, trace_file)
        host = await enter(Host(settings, random.Random(7), claim_options))
        entries = [
            entry("host-1", "host", host.links_port),
            entry("service-1", "service", service.address.port, "permits"),
        ]
        entries += [
            entry(f"engine-{n}", "engine", e.address.port, "tariff")
            for n, e in enumerate(started)
        ]
        session = await enter(aiohttp.ClientSession())
        rig = Rig(host, started, service, configuration, host_list, session)
        if is_listed_late:
            await rig.until(lambda: rig.version("hosts") == 1)
            await rig.until(lambda: rig.version("declarations") == 1)
        if write_list is None:
            host_list.control.set_entries(entries)
        else:
            host_list.control.published.publish(write_list(entries))
        await rig.until_ready()
        yield rig
