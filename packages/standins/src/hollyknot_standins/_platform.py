"""Simulates the platform's configuration service and its host list."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
import orjson
from aiohttp import web

from hollyknot_standins._server import (
    Faults,
    ServerOptions,
    Standin,
    flag,
    json_body,
    number,
    serving,
)

Entry = dict[str, Any]


class PublishedDocument:
    """A document with a number that rises with each change.

    Readers can wait for the next change.
    """

    def __init__(
        self, body: Callable[[int, bytes], bytes], document: bytes
    ) -> None:
        """Builds a document with one version.

        Args:
            body: Builds the body of an answer from a number and its document.
            document: The document with the number 1.
        """
        self._body = body
        self._bodies = [body(1, document)]
        self._changed = asyncio.Event()

    @property
    def number(self) -> int:
        """The newest version or revision; the first is 1."""
        return len(self._bodies)

    def body(self, number: int) -> bytes:
        """Returns the body of the answer with the document of this number."""
        return self._bodies[number - 1]

    def publish(self, document: bytes) -> None:
        """Adds a version and wakes the watchers."""
        self._bodies.append(self._body(self.number + 1, document))
        self.wake()

    def wake(self) -> None:
        """Wakes all watchers, so that they check their conditions again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def change(self) -> None:
        """Waits until a version is published or the watchers are woken."""
        await self._changed.wait()


@attrs.define
class PlatformControl(Faults):
    """Faults of one of the platform's services, and its count of reads.

    Attributes:
        published: Document that the service publishes.
        down: Whether each call is answered with status 503.
        stale: Number of an older document that every call gets, as from a
            service restored from a backup, whatever number the reader has
            already; 0 for the newest.
        lag_s: Seconds from a change until it is published.
        reads: Number of calls so far; a watch counts as one.
    """

    published: PublishedDocument = attrs.field(kw_only=True)
    down: bool = flag()
    stale: int = number(0)
    lag_s: float = number(0.0)
    reads: int = 0

    def command(self, name: str, value: Any) -> None:
        """Sets a fault and wakes the watchers, so that it applies to them."""
        super().command(name, value)
        self.published.wake()

    def apply_after_lag(self, change: Callable[[], None]) -> None:
        """Calls `change` after the lag, or at once if there is none."""
        if self.lag_s:
            asyncio.get_running_loop().call_later(self.lag_s, change)
        else:
            change()


def _document(number: int, document: bytes) -> bytes:
    return b'{"version":%d,"value":%b}' % (number, document)


def _entries(number: int, document: bytes) -> bytes:
    return b'{"revision":%d,"entries":%b}' % (number, document)


@attrs.define
class ConfigurationControl(PlatformControl):
    """Faults and commands of the configuration service."""

    def publish(self, value: Any) -> None:
        """Publishes any JSON value as the next version."""
        self.publish_raw(orjson.dumps(value).decode())

    def publish_raw(self, text: str) -> None:
        """Publishes a text as the next version; it may be invalid JSON."""
        self.apply_after_lag(lambda: self.published.publish(text.encode()))

    def command(self, name: str, value: Any) -> None:
        """Publishes a version or sets a fault."""
        if name == "publish":
            self.publish(value)
        elif name == "publish_raw":
            self.publish_raw(value)
        else:
            super().command(name, value)


@attrs.define
class HostListControl(PlatformControl):
    """Faults and commands of the host list.

    Attributes:
        entries: Entries of the newest revision, by name.
    """

    entries: dict[str, Entry] = attrs.field(factory=dict)

    def set_entries(self, entries: list[Entry]) -> None:
        """Replaces all entries."""
        self.apply_after_lag(lambda: self._apply({}, entries, []))

    def patch(self, put: list[Entry], remove: list[str]) -> None:
        """Adds or replaces entries by name, and removes others."""
        self.apply_after_lag(lambda: self._apply(self.entries, put, remove))

    def command(self, name: str, value: Any) -> None:
        """Changes entries or sets a fault."""
        if name == "set":
            self.set_entries(value)
        elif name == "patch":
            self.patch(value.get("put", []), value.get("remove", []))
        else:
            super().command(name, value)

    def _apply(
        self, base: dict[str, Entry], put: list[Entry], remove: list[str]
    ) -> None:
        merged = base | {entry["name"]: entry for entry in put}
        self.entries = {n: e for n, e in merged.items() if n not in remove}
        self.published.publish(orjson.dumps(list(self.entries.values())))


@attrs.frozen
class ConfigurationOptions(ServerOptions):
    """Address and initial document of a configuration service.

    Attributes:
        value: JSON value of version 1.
    """

    name: str = "configuration"
    value: Any = attrs.Factory(dict)


@attrs.frozen
class HostListOptions(ServerOptions):
    """Address and initial entries of a host list.

    Attributes:
        entries: Entries of revision 1.
    """

    name: str = "host-list"
    entries: tuple[Entry, ...] = ()


def _routes(path: str, control: PlatformControl) -> web.RouteTableDef:
    routes = web.RouteTableDef()
    published = control.published

    async def newer(after: int, wait_s: float) -> None:
        async with asyncio.timeout(wait_s):
            while published.number <= after and not (
                control.down or control.stale
            ):
                await published.change()

    @routes.get(path)
    async def read(request: web.Request) -> web.Response:
        control.reads += 1
        after = int(request.query.get("after", "0"))
        try:
            await newer(after, float(request.query.get("wait_s", "0")))
        except TimeoutError:
            return web.Response(status=304)
        if control.down:
            return json_body({"error": "down"}, 503)
        body = published.body(control.stale or published.number)
        return web.Response(body=body, content_type="application/json")

    @routes.get("/control/reads")
    async def reads(_request: web.Request) -> web.Response:
        return json_body({"reads": control.reads, "number": published.number})

    return routes


@contextlib.asynccontextmanager
async def start_configuration(
    options: ConfigurationOptions,
) -> AsyncIterator[Standin[ConfigurationControl]]:
    """Runs a configuration service until the context ends."""
    published = PublishedDocument(_document, orjson.dumps(options.value))
    standin = Standin(ConfigurationControl(published=published))
    routes = _routes("/v1/values/declarations", standin.control)
    async with serving(standin, options, routes):
        yield standin


@contextlib.asynccontextmanager
async def start_host_list(
    options: HostListOptions,
) -> AsyncIterator[Standin[HostListControl]]:
    """Runs a host list until the context ends."""
    published = PublishedDocument(_entries, orjson.dumps(options.entries))
    entries = {entry["name"]: entry for entry in options.entries}
    standin = Standin(HostListControl(published=published, entries=entries))
    routes = _routes("/v1/hosts", standin.control)
    async with serving(standin, options, routes):
        yield standin
