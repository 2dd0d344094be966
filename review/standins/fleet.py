"""A small installation: the project's hosts and stand-ins of the platform.

Hosts are separate processes, started with the command of the deploy file. The
store, replicas and requesters are stand-ins that follow the users' pages; they
run in the script's own process. Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SEAL = "X-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self.note("begin", trouble=TROUBLE)

    def note(self, event, **fields):
        parts = [f"{time.monotonic() - self._began:8.3f}", event]
        parts += [f"{name}={value}" for name, value in fields.items()]
        self._file.write(" ".join(parts) + "\n")
        self._file.flush()


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line, the headers and the body of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *rest = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store, as the pages tell it: lists and watches.

    `refuses(ip)` says what happens to a call of a machine: None (it is served),
    "reset" (its channel is reset when it is accepted), "busy" (503) or "silent"
    (no response).
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.refuses = lambda ip: None
        self.calls = 0
        self.resets = 0
        self._waiting = set()
        self._changed = asyncio.Event()

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        """Writes an item; returns when the store has confirmed it."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._add(item)
        if not key.startswith("servers/"):
            self.record.note("store_confirmed", key=key, revision=self.revision)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._add({"key": key, "rev": self.revision, "tombstone": True})

    def _add(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info("peername")[0]
        if self.refuses(ip) == "reset":
            self.resets += 1
            reset(writer)
            return
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                self.calls += 1
                refusal = self.refuses(ip)
                if refusal == "reset":
                    self.resets += 1
                    reset(writer)
                    return
                if refusal == "silent":
                    await asyncio.sleep(60)
                    return
                if refusal == "busy":
                    status, body = 503, b"{}"
                else:
                    status, document = await self._answer(
                        line.split()[1], writer
                    )
                    body = json.dumps(document).encode()
                if self.refuses(ip) == "reset":
                    reset(writer)
                    return
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        writer.close()

    def cut_watches(self):
        """Cuts the watches that are waiting; returns how many."""
        waiting, self._waiting = self._waiting, set()
        for writer in waiting:
            writer.close()
        return len(waiting)

    async def _answer(self, target, writer):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": found[:500],
                "has_more": len(found) > 500,
                "as_of": self.revision,
            }
        if url.path != "/v1/kv-watch":
            return 404, {}
        revision, until = int(query["after"]), time.monotonic()
        until += int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["rev"] > revision and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            self._waiting.add(writer)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
            self._waiting.discard(writer)
            if writer.is_closing():
                raise ConnectionResetError("the watch was cut")


class Replica:
    """A sound replica. `on_accept` may reset a channel, `answer` may be replaced.

    It notes each request that it has begun to run.
    """

    def __init__(self, record, name, service, zone="hall-a", slots=64):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.ran = []
        self.rejected = []
        self.accepted = 0
        self.reset_channels = 0
        self.on_accept = lambda: False
        self.answer = self.good

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
        }

    async def _serve(self, reader, writer):
        self.accepted += 1
        if self.on_accept():
            self.reset_channels += 1
            reset(writer)
            return
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if line.split()[1].startswith("/health"):
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nX-Replica-Id: {self.name}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                expected = headers.get("x-expect-replica", self.name)
                if expected != self.name:
                    await self.write(writer, headers, 421, b"", "")
                    continue
                await self.answer(line, headers, body, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        writer.close()

    def note_run(self, headers, line=""):
        attempt = headers.get("x-attempt-id", "")
        self.ran.append((time.monotonic(), attempt, headers))
        self.record.note(
            "ran",
            replica=self.name,
            request=attempt,
            tenant=headers.get("x-tenant", "-"),
            line=line.replace(" ", "_"),
        )

    async def good(self, line, headers, body, writer):
        """Runs a request and answers it."""
        self.note_run(headers, line)
        await self.write(writer, headers, 200, b"good " * 160, SEAL)

    async def stream(self, line, headers, body, writer):
        """Runs a request of a stream: 58 events, one each 16 ms."""
        self.note_run(headers, line)
        attempt = headers.get("x-attempt-id", "")
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{SEAL}"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, 59):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.016)
        writer.write(b"0\r\n\r\n")

    async def full(self, line, headers, body, writer):
        """Rejects a request, which it has not run."""
        attempt = headers.get("x-attempt-id", "")
        self.rejected.append((time.monotonic(), attempt))
        self.record.note("rejected", replica=self.name, request=attempt)
        await self.write(writer, headers, 503, b"", "X-Not-Executed: 1\r\n")

    async def write(self, writer, headers, status, body, extra):
        attempt = headers.get("x-attempt-id", "")
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


class Answer:
    """What a requester got: a status, or 0 if the channel ended before it."""

    def __init__(self, status=0, headers=None, body=b"", how=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.how = how


class Channel:
    """A requester's kept channel to a host."""

    def __init__(self, record, reader, writer):
        self.record = record
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, record, address):
        ip, _, port = address.rpartition(":")
        return cls(record, *await asyncio.open_connection(ip, int(port)))

    @property
    def is_open(self):
        return not (self.writer.is_closing() or self.reader.at_eof())

    async def ask(self, attempt, path, method="POST", key="", budget_ms=4000):
        """Sends a request and returns its answer."""
        body = b"question" if method == "POST" else b""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: site.example",
            f"X-Attempt-Id: {attempt}",
            f"X-Time-Budget-Ms: {budget_ms}",
        ]
        if key:
            lines.append(f"X-Api-Key: {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.record.note("sent", request=attempt, path=path, key=key or "-")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(budget_ms / 1000 + 0.5):
                line, headers = await read_head(self.reader)
                answer = Answer(
                    int(line.split()[1]),
                    headers,
                    await read_body(self.reader, headers),
                )
        except asyncio.IncompleteReadError:
            answer = Answer(how="closed")
        except ConnectionError:
            answer = Answer(how="reset")
        except TimeoutError:
            answer = Answer(how="no answer")
        if not answer.status or answer.headers.get("connection") == "close":
            self.writer.close()
        self.record.note(
            "answered",
            request=attempt,
            status=answer.status or answer.how.replace(" ", "-"),
            by="replica" if "x-replica-seal" in answer.headers else "host",
        )
        return answer


class Host:
    """One process of the project on a loopback address of its own."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"{fleet.network}.{10 + number}"
        self.log = fleet.folder / f"{self.name}.log"
        self.settings_file = fleet.folder / f"{self.name}.json"
        self.process = None
        self.ends_by_itself = 0
        self._is_expected = False
        self._watch = None

    @property
    def front(self):
        return f"{self.ip}:{self.fleet.ports['front']}"

    def settings(self):
        fleet = self.fleet
        ports = fleet.ports
        return {
            "node": self.name,
            "role": "host",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip_addr": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": {zone: "region-1" for zone in fleet.zones},
            "listen": {
                "front": f"{self.ip}:{ports['front']}",
                "ready": f"{self.ip}:{ports['ready']}",
                "control": f"{self.ip}:{ports['control']}",
            },
            "port_range": [ports["first"], ports["first"] + 15],
            "seed_addrs": [
                f"{host.ip}:{ports['control']}" for host in fleet.hosts[:3]
            ],
            "first_start": True,
            "failure_counted": False,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "engine", "stream", "tenants",
                          "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": fleet.bounds,
            "platform": {"address": fleet.store_address or fleet.store.address, "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }

    def write_settings(self):
        template = (ROOT / self.fleet.role["template"]).read_text()
        text = template.replace("{{.|json}}", json.dumps(self.settings()))
        self.settings_file.write_text(text)

    async def start(self):
        self.write_settings()
        self._is_expected = False
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.fleet.role["run"]),
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "HOLLYKNOT_SETTINGS": str(self.settings_file),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record.note("host_started", host=self.name)
        self._watch = asyncio.create_task(self._note_end(self.process))

    async def _note_end(self, process):
        code = await process.wait()
        if not self._is_expected:
            self.ends_by_itself += 1
        self.fleet.record.note(
            "host_ended", host=self.name, code=code,
            by_itself=not self._is_expected,
        )

    def signal(self, number):
        self.fleet.record.note("signal", host=self.name, signal=number.name)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_expected = True
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self._is_expected = True
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        ip, port = self.ip, self.fleet.ports["ready"]
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await read_head(reader)
                writer.close()
                return line.split()[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """Hosts, a store and replicas, which all end with the script."""

    def __init__(self, folder, record, hosts=1, zones=("hall-a",)):
        self.folder = folder
        self.record = record
        self.zones = zones
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.ports = self._free_ports()
        self.bounds = {
            "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000,
            "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
            "loss_slack_ms": 200, "config_ms": 2000,
            "rollback_slack_ms": 250, "outer_ms": 5000,
            "strict_revoke": False, "revoke_ms": 5000,
            "retry_budget_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 52, "recovery_s": 12, "pass_ms": 120,
            "retry_after_s": 10,
        }
        self.store = Store(record)
        self.gate = None
        self._tasks = []
        self.store_address = ""
        self.replicas = []
        self.hosts = []
        for number in range(hosts):
            self.hosts.append(Host(self, number, zones[number % len(zones)]))

    def _free_ports(self):
        first = random.randint(11000, 30000) // 32 * 32
        return {"first": first, "front": first + 20, "ready": first + 21,
                "control": first + 22}

    async def add_replica(self, replica):
        self.replicas.append(replica)
        await replica.start(f"{self.network}.{100 + len(self.replicas)}")
        self.store.put(f"servers/{replica.name}", replica.entry())
        return replica

    async def beat(self):
        """Renews the entries of the replicas, as each does for itself."""
        while True:
            await asyncio.sleep(1.2)
            for replica in self.replicas:
                if f"servers/{replica.name}" in self.store.items:
                    self.store.put(f"servers/{replica.name}", replica.entry())

    def spawn(self, work):
        """Starts a task that ends with the fleet."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self):
        self.spawn(self.beat())
        for host in self.hosts:
            await host.start()

    async def wait_ready(self, timeout_s=30):
        until = time.monotonic() + timeout_s
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"{host.name} has not become ready")
                await asyncio.sleep(0.1)
        self.record.note("all_ready")

    async def start_gate(self):
        """Puts a proxy before the store, which can reset channels."""
        self.gate = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).with_name("gate.py")),
            f"{self.network}.99:0", self.store.address,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
        )
        self.store_address = (await self.gate.stdout.readline()).decode()
        self.store_address = self.store_address.split()[1]

    async def reset_store_for(self, seconds):
        """Has the store reset all channels for some time."""
        self.record.note("store_resets_begin")
        self.gate.send_signal(signal.SIGUSR1)
        await asyncio.sleep(seconds)
        self.gate.send_signal(signal.SIGUSR2)
        count = (await self.gate.stdout.readline()).decode().split()[1]
        self.record.note("store_resets_end", channels=count)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.stop()
        if self.gate is not None:
            self.gate.kill()
            await self.gate.wait()


def route(name, service, kind="idempotent", **more):
    """Returns a route like those that the pages show."""
    return {
        "name": f"r-{name}", "host": "site.example", "prefix": f"/{name}/",
        "kind": kind, "timeout_ms": 4000, "target_latency_ms": 400,
        "priority": 2, "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "auth_exempt": False, "session_affinity": False,
        "stream_resume": False, **more,
    }


def service(name):
    return {"name": name, "health_path": "/health", "max_conns": 96,
            "protocol": "h1", "tls": False}


def configuration(version, routes, services, tenants=None):
    document = {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


def main(folder, play, hosts=1, zones=("hall-a",), limit_s=110):
    """Plays a case and exits with its result."""
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory() as place:
            fleet = Fleet(pathlib.Path(place), record, hosts, zones)
            try:
                async with asyncio.timeout(limit_s):
                    await fleet.store.start(f"{fleet.network}.100")
                    return await play(fleet)
            finally:
                await fleet.stop()
                if logs := os.environ.get("KEEP_LOGS"):
                    for host in fleet.hosts:
                        shutil.copy(host.log, logs)

    try:
        code = asyncio.run(run())
    except Exception as error:  # The case could not run.
        record.note("could_not_run", error=repr(error))
        print("could not run:", repr(error))
        code = COULD_NOT_RUN
    record.note("end", code=code)
    raise SystemExit(code)
