"""Tests that no crowd of callers ends a process by memory or descriptors."""

import asyncio
import contextlib
import os
import pathlib
import socket
from collections.abc import AsyncIterator

import aiohttp
import attrs
import orjson
import pytest

from hollyknot_bench._processes import Child, child
from hollyknot_daemon.tests.rig import (
    API_KEY,
    IP,
    declarations,
    entry,
    settings_at,
)
from hollyknot_standins import (
    ConfigurationOptions,
    EngineOptions,
    HostListOptions,
    start_configuration,
    start_engine,
    start_host_list,
)

MEMORY_MB = 140
MAX_FDS = 400
MAX_OPEN = 380
"""Most open descriptors; the rest is left for upstreams, peers and files."""
MAX_BODY_BYTES = 2**22

_HANG_S = 240.0
_POLL_S = 0.2
_CALM_POLLS = 5
_KIB = 1024
_MAIN = (
    "import resource as r; from hollyknot_daemon import main;"
    f"r.setrlimit(r.RLIMIT_NOFILE, ({MAX_FDS}, {MAX_FDS})); main()"
)
_CHUNK = b"%x\r\n%b\r\n" % (2**16, bytes(2**16))
_SHORT = _CHUNK * (MAX_BODY_BYTES // 2**16 - 1)
_CHUNKED = "Transfer-Encoding: chunked"
_LENGTH = f"Content-Length: {MAX_BODY_BYTES}"


@attrs.frozen
class Crowd:
    """Connections that send the same bytes and then stay open."""

    connections: int
    data: bytes


def _head(field: str, key: str = API_KEY) -> bytes:
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h.example\r\n"
        f"Authorization: Bearer {key}\r\n{field}\r\n\r\n"
    ).encode()


def _whole(content: bytes) -> bytes:
    """Returns a request of the largest allowed body."""
    start = b'{"model":"silent","messages":[{"role":"user","content":' + content
    return _head(_LENGTH) + start.ljust(MAX_BODY_BYTES - 3) + b"}]}"


def _values(value: bytes) -> bytes:
    return b"[" + value * ((MAX_BODY_BYTES - 100) // len(value)) + b"0]"


CROWDS = {
    "large chunks": Crowd(40, _head(_CHUNKED) + _SHORT),
    "a chunk of a terabyte": Crowd(
        40, _head(_CHUNKED) + b"10000000000\r\n" + bytes(MAX_BODY_BYTES)
    ),
    "a length": Crowd(40, _head(_LENGTH) + bytes(MAX_BODY_BYTES - 5)),
    "no key": Crowd(40, _head(_CHUNKED, "nobody's") + _SHORT),
    "chunks of 2 bytes": Crowd(40, _head(_CHUNKED) + b"2\r\nab\r\n" * 2**17),
    "lists": Crowd(12, _whole(_values(b"[],"))),
    "objects": Crowd(12, _whole(_values(b"{},"))),
    "whole": Crowd(
        40, _whole(b'"%b"' % bytes(MAX_BODY_BYTES - 100).replace(b"\0", b"x"))
    ),
    "over the limit": Crowd(40, _head(_CHUNKED) + _CHUNK * 192),
    "idle": Crowd(600, b""),
}


class TestCrowds:
    """Callers outside the limits, as many at once as end a process."""

    @pytest.mark.alone
    @pytest.mark.parametrize("kind", CROWDS)
    def test_a_host_outlives_a_crowd(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against connections that are bounded each, but not in sum."""

        async def test() -> None:
            async with contextlib.AsyncExitStack() as stack:
                enter = stack.enter_async_context
                host = await enter(_host(tmp_path))
                port = host.port("callers_port")
                while await _ordinary_status(port) != 200:
                    await asyncio.sleep(_POLL_S)
                await enter(_joined(CROWDS[kind], port))
                most_open = await _settle(host.pid, port)
                status = await _ordinary_status(port)
                memory = _peak_bytes(host.pid)
                print(
                    "\n", kind, memory / 10**6, "MB", most_open, "open", status
                )
                assert host.process.returncode is None
                assert memory <= MEMORY_MB * 10**6
                assert most_open <= MAX_OPEN
                assert status == 200

        asyncio.run(test())


@contextlib.asynccontextmanager
async def _host(folder: pathlib.Path) -> AsyncIterator[Child]:
    """Runs a host process, an engine and an engine that never answers."""
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        value = declarations()
        value["models"]["silent"] = {}
        configuration = await enter(
            start_configuration(ConfigurationOptions(value=value))
        )
        host_list = await enter(start_host_list(HostListOptions()))
        engine = await enter(start_engine(EngineOptions()))
        silent = await enter(start_engine(EngineOptions()))
        silent.control.silent = True
        settings = attrs.evolve(
            settings_at(configuration, host_list),
            max_body_bytes=MAX_BODY_BYTES,
            memory_mb=MEMORY_MB,
        )
        file = folder / "settings.json"
        file.write_bytes(orjson.dumps(attrs.asdict(settings)))
        arguments = ["-c", _MAIN, "--settings", str(file)]
        host = await enter(child("host", arguments, "event=started"))
        host_list.control.set_entries(
            [
                entry("host-1", "host", host.port("links_port")),
                entry("engine", "engine", engine.address.port, "tariff"),
                entry("silent", "engine", silent.address.port, "silent"),
            ]
        )
        yield host


@contextlib.asynccontextmanager
async def _joined(crowd: Crowd, port: int) -> AsyncIterator[None]:
    """Opens a crowd's connections and aborts them at the end."""
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(crowd.connections):
            sock = socket.socket()
            sock.setblocking(False)
            await loop.sock_connect(sock, (IP, port))
            transport, _ = await loop.create_connection(
                asyncio.Protocol, sock=sock
            )
            stack.callback(transport.abort)
            transport.write(crowd.data)
        yield


async def _settle(pid: int, port: int) -> int:
    """Waits until the host reads no more and returns its most descriptors."""
    seen: object = None
    calm = most_open = 0
    async with asyncio.timeout(_HANG_S):
        while calm < _CALM_POLLS:
            await asyncio.sleep(_POLL_S)
            most_open = max(most_open, len(os.listdir(f"/proc/{pid}/fd")))
            queues = _queues(port)
            calm = calm + 1 if queues == seen else 0
            seen = queues
    return most_open


def _queues(port: int) -> list[list[str]]:
    """Returns addresses, states and queued bytes of a port's connections."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
    rows = [line.split()[1:5] for line in lines]
    return [row for row in rows if f":{port:04X}" in row[0] + row[1]]


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * _KIB


async def _ordinary_status(port: int) -> int:
    """Returns the status of one ordinary request; 0 if it has no answer."""
    body = {
        "model": "tariff",
        "messages": [{"role": "user", "content": "rate?"}],
    }
    headers = {"Authorization": f"Bearer {API_KEY}"}
    url = f"http://{IP}:{port}/v1/chat/completions"
    try:
        async with (
            asyncio.timeout(_HANG_S),
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json=body) as response,
        ):
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0
