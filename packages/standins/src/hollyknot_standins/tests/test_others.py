"""Tests of the plain service, the platform services and the processes."""

import asyncio
import contextlib
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import pytest

from hollyknot_standins import (
    ConfigurationOptions,
    HostListOptions,
    ServiceOptions,
    start_configuration,
    start_host_list,
    start_service,
)

VALUES = "/v1/values/declarations"
Get = Callable[[str], Coroutine[Any, Any, tuple[int, Any]]]


def run_scenario(
    start: Any, options: Any, scenario: Callable[[Any, Get], Any]
) -> None:
    """Runs a scenario against a stand-in, with a function that GETs JSON."""

    async def run() -> None:
        async with (
            asyncio.timeout(20),
            start(options) as standin,
            aiohttp.ClientSession() as session,
        ):

            async def get(path: str) -> tuple[int, Any]:
                url = f"http://127.0.0.1:{standin.address.port}{path}"
                async with session.get(url) as answer:
                    if answer.status == 304:
                        return answer.status, None
                    return answer.status, await answer.json()

            await scenario(standin, get)

    asyncio.run(run())


class TestService:
    """The service records exactly the calls that it runs."""

    @pytest.mark.parametrize(("when", "count"), [("before", 0), ("after", 1)])
    def test_crash_before_or_after_a_call_is_recorded_exactly(
        self, when: str, count: int
    ) -> None:
        """Guards against a record that differs from what ran before a crash.

        The service crashes before or after it runs a call. The caller gets no
        answer in either case; only the record tells the cases apart.
        """

        async def scenario(service: Any, get: Get) -> None:
            service.control.crash = when
            with pytest.raises(aiohttp.ClientError):
                await get("/crews?a=1")
            assert len(service.control.calls) == count
            await service.restart()
            status, call = await get("/crews?a=1")
            assert (status, call["path"]) == (200, "/crews?a=1")
            _, record = await get("/control/calls")
            assert len(record["calls"]) == count + 1

        run_scenario(start_service, ServiceOptions(), scenario)

    def test_load_query_is_not_taken_for_a_call(self) -> None:
        """Guards against a load query that crashes the service for a call."""

        async def scenario(service: Any, get: Get) -> None:
            service.control.crash = "after"
            status, _ = await get("/v1/load")
            assert (status, service.control.calls) == (404, [])
            with pytest.raises(aiohttp.ClientError):
                await get("/crews?a=1")
            assert [call.path for call in service.control.calls] == [
                "/crews?a=1"
            ]

        run_scenario(start_service, ServiceOptions(), scenario)

    def test_draining_service_runs_nothing(self) -> None:
        async def scenario(service: Any, get: Get) -> None:
            service.control.draining = True
            assert (await get("/x"))[0] == 503
            assert service.control.calls == []

        run_scenario(start_service, ServiceOptions(), scenario)


class TestConfiguration:
    """Reads and watches of the configuration, and their faults."""

    def test_watch_counts_as_one_read(self) -> None:
        async def scenario(service: Any, get: Get) -> None:
            watch = asyncio.create_task(get(f"{VALUES}?after=1&wait_s=10"))
            while not (await get("/control/reads"))[1]["reads"]:
                pass
            service.control.publish({"a": 1})
            assert await watch == (200, {"version": 2, "value": {"a": 1}})
            assert (await get(f"{VALUES}?after=2&wait_s=0.01"))[0] == 304
            assert (await get("/control/reads"))[1]["reads"] == 2

        run_scenario(start_configuration, ConfigurationOptions(), scenario)

    def test_outage_ends_a_watch_and_stale_returns_an_old_version(self) -> None:
        """Guards against faults that do not reach a waiting watcher.

        Version 2 is published, then the service goes down and comes back
        restored from an older copy: the watch must end with 503, and later
        reads must return version 1.
        """

        async def scenario(service: Any, get: Get) -> None:
            service.control.publish({"a": 1})
            watch = asyncio.create_task(get(f"{VALUES}?after=2&wait_s=10"))
            while not (await get("/control/reads"))[1]["reads"]:
                pass
            service.control.command("down", True)
            assert (await watch)[0] == 503
            service.control.command("down", False)
            service.control.command("stale", 1)
            _, old = await get(f"{VALUES}?after=2&wait_s=10")
            assert old == {"version": 1, "value": {}}

        run_scenario(start_configuration, ConfigurationOptions(), scenario)


class TestHostList:
    """Changes of the host list's entries, at once or after a lag."""

    def test_patches_are_published_after_the_lag(self) -> None:
        async def scenario(hosts: Any, get: Get) -> None:
            a, b, c = ({"name": name} for name in "abc")
            hosts.control.command("set", [a, b])
            hosts.control.lag_s = 3600.0
            hosts.control.command("patch", {"remove": ["b"]})
            _, before = await get("/v1/hosts")
            assert before == {"revision": 2, "entries": [a, b]}
            hosts.control.lag_s = 0.001
            hosts.control.command("patch", {"put": [c], "remove": ["a"]})
            _, after = await get("/v1/hosts?after=2&wait_s=10")
            assert after == {"revision": 3, "entries": [b, c]}

        run_scenario(start_host_list, HostListOptions(), scenario)


class TestProcess:
    """Stand-ins as separate processes."""

    @pytest.mark.parametrize(
        "kind", ["engine", "service", "configuration", "host-list"]
    )
    def test_process_starts_and_stops_on_sigterm(self, kind: str) -> None:
        code = "from hollyknot_standins import main; main()"
        command = [sys.executable, "-c", code, kind, "--port", "0"]
        with contextlib.ExitStack() as stack:
            process = stack.enter_context(
                subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            )
            stack.callback(process.kill)
            assert process.stdout is not None
            line = process.stdout.readline()
            assert line.startswith("ready ip=127.0.0.1 port=")
            process.send_signal(signal.SIGTERM)
            assert process.wait(20) == 0
