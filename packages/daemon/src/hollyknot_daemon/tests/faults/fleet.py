"""Starts hosts as processes in two data centres, with relays in between.

A relay stands before every interface that a test may disturb: the links of a
host, the platform as each host sees it, and each upstream.
"""

import asyncio
import contextlib
import itertools
import pathlib
import signal
import tempfile
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Sequence,
)
from typing import Any

import aiohttp
import attrs
import orjson

from hollyknot_bench._fleet import (
    DATA_CENTRES,
    LINK_KEY,
    MODEL,
    SERVICE,
    declarations,
    entry,
    key_of,
)
from hollyknot_bench._processes import Child, child
from hollyknot_bench.demo import new_idempotency_key
from hollyknot_coordination.claims import claim_key, home, slot_of
from hollyknot_daemon.tests.faults.answer_checker import Answer, AnswerChecker
from hollyknot_daemon.tests.faults.relay import IP, Flow, Relay
from hollyknot_standins import (
    ConfigurationControl,
    ConfigurationOptions,
    EngineControl,
    EngineOptions,
    HostListControl,
    HostListOptions,
    ServiceControl,
    ServiceOptions,
    Standin,
    start_configuration,
    start_engine,
    start_host_list,
    start_service,
)

A, B = DATA_CENTRES
TOKENS = 12
_INTERVAL_S = 0.005
SLOW_FACTOR = 50.0
"""Factor on an engine's times at which an answer takes three seconds."""

CUSTOMER = "caseworkers"
_AUTHORIZED = {"Authorization": f"Bearer {key_of(CUSTOMER)}"}
_OK = 200
_USABLE = ("live", "recovering")
_HOSTS = 3
_STREAMS_PER_HOST = 2
"""Number of streams that a test starts at the same time through one host."""
_POLL_S = 0.05
_CALL_TIMEOUT_S = 60.0
_HANDOVER_TIMEOUT_S = 60.0
"""Longest handover of a stopping host, in seconds. A stop is meant to end
because its handover is complete, not because of this limit."""


def _model(version: int) -> str:
    return f"model-of-version-{version}"


def key_at(data_centre: str) -> str:
    """Returns a new idempotency key that has its home in a data centre."""
    while True:
        key = new_idempotency_key()
        if home(slot_of(claim_key_of(key)), DATA_CENTRES) == data_centre:
            return key


def claim_key_of(key: str) -> bytes:
    """Returns the bytes by which hosts name an idempotency key in messages."""
    found = claim_key(CUSTOMER, SERVICE, key)
    assert isinstance(found, bytes)
    return found


@attrs.define
class HostProcess:
    """A host process with the relays before its links and its platform.

    Attributes:
        name: Name in the host list.
        data_centre: Data centre in which it runs.
        links: Relay through which other hosts reach it.
        platform: Relays through which it reaches the configuration service
            and the host list.
        process: The process; None until it is started.
        stack: Closes the relays and the process.
        is_paused: Whether the process is paused by a signal.
    """

    name: str
    data_centre: str
    links: Relay
    platform: tuple[Relay, Relay]
    stack: contextlib.AsyncExitStack
    process: Child | None = None
    is_paused: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.process is not None and (
            self.process.process.returncode is None
        )

    def port(self, field: str) -> int:
        """Returns the port that the start-up log line has in a field."""
        assert self.process is not None
        return self.process.port(field)

    def clear_lines(self) -> None:
        """Discards the log lines that were read so far."""
        assert self.process is not None
        self.process.lines.clear()

    def has_logged(self, event: str) -> bool:
        """Tells whether an event is among the log lines that are kept."""
        assert self.process is not None
        return any(f"event={event} " in line for line in self.process.lines)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send(number)

    def pause(self) -> None:
        """Pauses the process."""
        self.send(signal.SIGSTOP)
        self.is_paused = True

    def resume(self) -> None:
        """Resumes the process, whose view of the fleet may be out of date."""
        self.send(signal.SIGCONT)
        self.is_paused = False

    async def kill(self) -> None:
        """Kills the process, which loses its state, and waits for its end."""
        self.send(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()


@attrs.define
class FaultFleet:
    """Hosts, upstreams and platform of a fault test.

    Each host is a process; upstreams and platform run in this process.

    Attributes:
        configuration: The configuration service.
        host_list: The host list.
        engines: Stand-in engines by name.
        services: Stand-in services by name.
        relays: Relay before each upstream, by the upstream's name.
        answer_checker: Checks all answers that callers got.
        session: HTTP client that opens a connection for each request.
        directory: Directory of the hosts' settings files.
        hosts: Live hosts by name.
        answers_begun: Text or body of each request of whose answer some bytes
            have arrived.
    """

    configuration: Standin[ConfigurationControl]
    host_list: Standin[HostListControl]
    engines: dict[str, Standin[EngineControl]]
    services: dict[str, Standin[ServiceControl]]
    relays: dict[str, Relay]
    answer_checker: AnswerChecker
    session: aiohttp.ClientSession
    directory: pathlib.Path
    hosts: dict[str, HostProcess] = attrs.Factory(dict)
    answers_begun: set[str] = attrs.Factory(set)
    _numbers: Any = attrs.Factory(lambda: itertools.count(1))
    _names: list[str] = attrs.Factory(list)

    def at(self, data_centre: str) -> list[HostProcess]:
        """Returns the live hosts of a data centre."""
        return [h for h in self.hosts.values() if h.data_centre == data_centre]

    def service(self, data_centre: str) -> Standin[ServiceControl]:
        """Returns the service of a data centre."""
        return self.services[f"{data_centre}-service"]

    async def call_service(self, host: HostProcess, key: str) -> Answer:
        """Sends a non-idempotent call whose body contains its key."""
        return await self._send(
            Answer(host.name, f"order {key}", key),
            host,
            f"/v1/services/{SERVICE}/decisions",
            f"order {key}".encode(),
        )

    async def open_links(self, host: HostProcess) -> None:
        """Sends calls until a host has links with all others, both ways."""
        others = [h for h in self.hosts.values() if h is not host]

        def is_linked() -> bool:
            dialled = all(host.name in h.links.sources for h in others)
            return dialled and host.links.sources >= {h.name for h in others}

        while not is_linked():
            for data_centre in DATA_CENTRES:
                await self.call_service(host, key_at(data_centre))
            await asyncio.sleep(_POLL_S)

    async def chat(
        self, host: HostProcess, text: str, streamed: bool = False
    ) -> Answer:
        """Sends a chat completion request to the model."""
        body = {
            "model": MODEL,
            "stream": streamed,
            "messages": [{"role": "user", "content": text}],
        }
        return await self._send(
            Answer(host.name, text, is_streamed=streamed),
            host,
            "/v1/chat/completions",
            orjson.dumps(body),
        )

    async def status(self, host: HostProcess) -> dict[str, Any]:
        """Returns the status document that a host serves to operators."""
        url = f"http://{IP}:{host.port('operators_port')}/status"
        async with self.session.get(url) as response:
            found: dict[str, Any] = orjson.loads(await response.read())
        return found

    async def until(self, condition: Callable[[], Any]) -> None:
        """Waits for a condition; the test's own time limit bounds it."""
        while not condition():
            await asyncio.sleep(_POLL_S)

    async def until_status(
        self,
        hosts: Iterable[HostProcess],
        condition: Callable[[dict[str, Any]], bool],
    ) -> None:
        """Waits until each host's status fulfils a condition."""
        for host in hosts:
            while not condition(await self.status(host)):
                await asyncio.sleep(_POLL_S)

    def partition_hosts(
        self,
        some: Iterable[HostProcess],
        others: Iterable[HostProcess],
        flow: Flow = Flow.CUT,
    ) -> None:
        """Partitions two groups of hosts, in both directions."""
        near, far = list(some), list(others)
        for here, there in ((near, far), (far, near)):
            for host in here:
                host.links.set(flow, *(h.name for h in there))

    def partition_platform(
        self, hosts: Iterable[HostProcess], flow: Flow = Flow.CUT
    ) -> None:
        """Partitions hosts from the platform."""
        for host in hosts:
            for relay in host.platform:
                relay.set(flow)

    def ran(self) -> int:
        """Returns how many requests the upstreams have started."""
        engines = sum(e.control.ran.total() for e in self.engines.values())
        calls = sum(len(s.control.calls) for s in self.services.values())
        return engines + calls

    async def until_idle(self) -> None:
        """Waits until no engine has a request in flight."""
        for engine in self.engines.values():
            load: dict[str, Any] = {"running": 1}
            while load["running"]:
                url = f"http://{IP}:{engine.address.port}/v1/load"
                async with self.session.get(url) as response:
                    load = orjson.loads(await response.read())
                await asyncio.sleep(_POLL_S)

    async def until_platform_loss_noticed(self) -> None:
        """Waits until each host has logged a failed read of the platform."""
        for host in self.hosts.values():
            host.clear_lines()
        await self.until(
            lambda: all(
                h.has_logged("platform-read-failed")
                for h in self.hosts.values()
            )
        )

    def list_hosts(self, leaving: Sequence[str] = ()) -> None:
        """Publishes the hosts and all upstreams.

        Args:
            leaving: Names of hosts and upstreams to list as leaving.
        """
        entries = [
            entry(h.name, "host", h.data_centre, h.links.port, ())
            for h in self.hosts.values()
        ]
        for name, relay in self.relays.items():
            data_centre, _, role = name.rpartition("-")
            pool = MODEL if role == "engine" else SERVICE
            entries.append(entry(name, role, data_centre, relay.port, (pool,)))
        for one in entries:
            if one["name"] in leaving:
                one["state"] = "leaving"
        self.host_list.control.set_entries(entries)

    def publish_model(self) -> int:
        """Publishes declarations with a new model and returns their version."""
        control = self.configuration.control
        version = control.published.number + 1
        value: dict[str, Any] = declarations()
        value["models"][_model(version)] = {}
        control.publish(value)
        return version

    async def until_version(self, version: int) -> None:
        """Waits until a version is in force on every host."""
        await self.until_status(
            self.hosts.values(),
            lambda status: bool(status["versions"]["declarations"] == version),
        )

    async def lists_model(self, version: int) -> bool:
        """Tells whether every host lists the model that a version added."""
        found = []
        for host in self.hosts.values():
            url = f"http://{IP}:{host.port('callers_port')}/v1/models"
            async with self.session.get(url, headers=_AUTHORIZED) as response:
                found.append(_model(version).encode() in await response.read())
        return all(found)

    async def prepare(self, data_centre: str) -> HostProcess:
        """Creates a new host and its relays without starting its process."""
        name = f"{data_centre}-host-{next(self._numbers):02}"
        self._names.append(name)
        stack = contextlib.AsyncExitStack()
        links = await stack.enter_async_context(Relay(self._names).running())
        platform = (
            await stack.enter_async_context(Relay().running()),
            await stack.enter_async_context(Relay().running()),
        )
        platform[0].target = self.configuration.address.port
        platform[1].target = self.host_list.address.port
        host = HostProcess(name, data_centre, links, platform, stack)
        self.hosts[name] = host
        return host

    async def start(self, host: HostProcess) -> None:
        """Starts the process of a prepared host."""
        file = self.directory / f"{host.name}.json"
        file.write_bytes(orjson.dumps(_settings(host)))
        arguments = ["-m", "hollyknot_daemon", "--settings", str(file)]
        host.process = await host.stack.enter_async_context(
            child(host.name, arguments, "event=started")
        )
        host.links.target = host.port("links_port")

    async def replace_lost(self) -> list[HostProcess]:
        """Replaces the hosts that have ended; returns the new hosts."""
        lost = [h for h in self.hosts.values() if not h.is_running]
        new = []
        for host in lost:
            del self.hosts[host.name]
            await host.stack.aclose()
            new.append(await self.prepare(host.data_centre))
        await asyncio.gather(*(self.start(host) for host in new))
        if lost:
            self.list_hosts()
        return new

    async def heal(self) -> None:
        """Removes all faults and waits until every host serves normally."""
        for standin in (self.configuration, self.host_list):
            standin.control.down = False
            standin.control.stale = 0
            await standin.restart()
        for engine in self.engines.values():
            fresh = EngineControl()
            for name in ("silent", "draining", "straggle", "truncate", "hold"):
                engine.control.command(name, getattr(fresh, name))
            engine.control.crash_on = ""
            engine.control.restart_after_s = 0.0
            await engine.restart()
        for service in self.services.values():
            service.control.draining = service.control.silent = False
            service.control.slow_s, service.control.crash = 0.0, ""
            await service.restart()
        for host in self.hosts.values():
            if host.is_paused:
                host.resume()
            for relay in (host.links, *host.platform):
                relay.heal()
        for relay in self.relays.values():
            relay.heal()
            await relay.listen()
        await self.replace_lost()
        await self.until_settled()
        await asyncio.gather(*map(self._restore_limit, self.hosts.values()))

    async def _restore_limit(self, host: HostProcess) -> None:
        """Sends requests until a host's limit for its engine has recovered.

        After an ejection a host sends its engine one request at a time. The
        second stream of the next test would then wait for the end of the
        first, and a fault could not hit both.
        """
        name = f"{host.data_centre}-engine"
        while True:
            status = await self.status(host)
            (engine,) = (u for u in status["upstreams"] if u["name"] == name)
            if (
                engine["state"] == "live"
                and engine["limit"] >= _STREAMS_PER_HOST
            ):
                return
            texts = (
                f"regrow {n} {host.name}" for n in range(_STREAMS_PER_HOST)
            )
            await asyncio.gather(*(self.chat(host, text) for text in texts))

    async def until_settled(self) -> None:
        """Waits until each host has recovered from all faults.

        It is then ready, has the newest host list, has learnt its claim slots,
        suspects no partition, and can use all peers and upstreams.
        """
        revision = self.host_list.control.published.number

        def is_settled(status: dict[str, Any]) -> bool:
            return bool(
                status["ready"]
                and status["versions"]["hosts"] == revision
                and not status["claims"]["learning_slots"]
                and not status["suspects_partition"]
                and all(p["state"] != "unreachable" for p in status["peers"])
                and all(u["state"] in _USABLE for u in status["upstreams"])
            )

        await self.until_status(self.hosts.values(), is_settled)

    async def _send(
        self, blank: Answer, host: HostProcess, path: str, body: bytes
    ) -> Answer:
        headers = dict(_AUTHORIZED)
        if blank.key:
            headers["Idempotency-Key"] = blank.key
        url = f"http://{IP}:{host.port('callers_port')}{path}"
        answer, parts, is_whole = blank, [], False
        try:
            async with self.session.post(
                url, data=body, headers=headers
            ) as response:
                answer_headers = response.headers
                answer = attrs.evolve(
                    blank,
                    status=response.status,
                    verdict=answer_headers.get("X-Verdict", ""),
                    reason=answer_headers.get("X-Reason", ""),
                    request_id=answer_headers.get("X-Request-Id", ""),
                    retry_after=answer_headers.get("Retry-After", ""),
                )
                async for part in response.content.iter_any():
                    parts.append(part)
                    if answer.status == _OK:
                        self.answers_begun.add(blank.sent)
                is_whole = True
        except TimeoutError:
            # The host hangs: the test must fail instead of recording a lost
            # connection.
            raise
        except (aiohttp.ClientError, OSError):
            pass
        raw = b"".join(parts)
        if answer.is_streamed and answer.status and not answer.verdict:
            answer = attrs.evolve(answer, verdict=_final_verdict(raw))
            raw = raw.partition(b": verdict=")[0]
        return self.answer_checker.add_answer(
            attrs.evolve(answer, body=raw, is_whole=is_whole)
        )


def _final_verdict(raw: bytes) -> str:
    """Returns the verdict at the end of a stream, "broken" if it has none."""
    _, mark, verdict = raw.rpartition(b": verdict=")
    return verdict.decode().strip() if mark else "broken"


def _settings(host: HostProcess) -> dict[str, Any]:
    any_port = {"ip": IP, "port": 0}
    configuration, host_list = (
        [{"ip": IP, "port": relay.port}] for relay in host.platform
    )
    return {
        "host": host.name,
        "data_centre": host.data_centre,
        "callers": any_port,
        "links": any_port,
        "operators": any_port,
        "platform": {"configuration": configuration, "host_list": host_list},
        "link_keys": [LINK_KEY],
        "handover_s": _HANDOVER_TIMEOUT_S,
    }


Test = Callable[[FaultFleet], Awaitable[None]]
Drive = Callable[[Test], None]


@contextlib.asynccontextmanager
async def running_fault_fleet() -> AsyncIterator[FaultFleet]:
    """Runs three hosts in each of two data centres until the context ends."""
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        configuration = await enter(
            start_configuration(ConfigurationOptions(value=declarations()))
        )
        host_list = await enter(start_host_list(HostListOptions()))
        tokens = EngineOptions(
            min_tokens=TOKENS, max_tokens=TOKENS, interval_s=_INTERVAL_S
        )
        engines = {
            f"{dc}-engine": await enter(start_engine(tokens))
            for dc in DATA_CENTRES
        }
        services = {
            f"{dc}-service": await enter(start_service(ServiceOptions()))
            for dc in DATA_CENTRES
        }
        relays = {}
        for name, upstream in (engines | services).items():
            relays[name] = await enter(Relay().running())
            relays[name].target = upstream.address.port
        session = await enter(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=0),
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            )
        )
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = FaultFleet(
            configuration,
            host_list,
            engines,
            services,
            relays,
            AnswerChecker(engines.values(), services.values(), TOKENS),
            session,
            pathlib.Path(directory),
        )
        stack.push_async_callback(_end, fleet)
        for data_centre in DATA_CENTRES:
            for _ in range(_HOSTS):
                await fleet.prepare(data_centre)
        await asyncio.gather(*(fleet.start(h) for h in fleet.hosts.values()))
        fleet.list_hosts()
        yield fleet


async def _end(fleet: FaultFleet) -> None:
    # Killed, since a planned stop would wait for its handover to hosts that
    # are stopping, too.
    for host in fleet.hosts.values():
        if host.is_running:
            await host.kill()
    await asyncio.gather(*(h.stack.aclose() for h in fleet.hosts.values()))
