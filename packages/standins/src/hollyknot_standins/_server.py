"""One stand-in's HTTP server, and the faults that every stand-in can have."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Generic, TypeVar, cast

import attrs
import orjson
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MAX_BODY_BYTES = 16 * 1024 * 1024


@attrs.frozen
class ServerOptions:
    """Where a stand-in listens.

    Attributes:
        ip: The address to bind.
        port: The port to bind; 0 for a free one.
        name: Shown in answers.
    """

    ip: str = "127.0.0.1"
    port: int = 0
    name: str = "standin"


@attrs.frozen
class BoundAddress:
    """Where a stand-in listens in fact."""

    ip: str
    port: int


def flag() -> Any:
    """A field for a fault that is there or not."""
    return attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


def number(default: float) -> Any:
    """A field for a number."""
    valid = attrs.validators.instance_of((int, float))
    return attrs.field(default=default, validator=valid)


def text(*allowed: str) -> Any:
    """A field for a text, empty at first; any or one of those allowed."""
    valid = attrs.validators.instance_of(str)
    if allowed:
        valid = attrs.validators.and_(
            valid, attrs.validators.in_(("", *allowed))
        )
    return attrs.field(default="", validator=valid)


@attrs.define
class Faults:
    """Faults of every stand-in; settable at any time.

    Attributes:
        silent: Requests are accepted and never answered; streams stop.
        restart_after_s: Seconds from a crash until it listens again on the
            same port; 0 for never.
    """

    silent: bool = flag()
    restart_after_s: float = number(0.0)

    def command(self, name: str, value: Any) -> None:
        """Sets one field; raises ValueError for an unknown name or value."""
        fields = attrs.fields(type(self))
        if name not in {field.name for field in fields if field.validator}:
            raise ValueError(f"unknown command {name!r}")
        try:
            setattr(self, name, value)
        except (TypeError, ValueError) as error:
            raise ValueError(f"{name}: {error.args[0]}") from error


FaultsT = TypeVar("FaultsT", bound=Faults)


class Standin(Generic[FaultsT]):
    """A running stand-in: its listener, its connections and its control."""

    def __init__(self, control: FaultsT) -> None:
        self._control = control
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._address = BoundAddress("", 0)
        self._silenced: set[asyncio.BaseTransport] = set()
        self._restart: asyncio.Task[None] | None = None
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def address(self) -> BoundAddress:
        """Where it listens, or did before it crashed."""
        return self._address

    @property
    def control(self) -> FaultsT:
        """The faults, and what the stand-in has seen."""
        return self._control

    async def start(
        self, options: ServerOptions, routes: web.RouteTableDef
    ) -> None:
        """Binds and serves."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._hang_if_silent]
        )
        app.router.add_post("/control", self._on_control)
        app.add_routes(routes)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self._address = BoundAddress(options.ip, options.port)
        await self.restart()

    async def restart(self) -> None:
        """Listens again on the same port."""
        if self._listener is not None:
            return
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            cast(Any, self._runner).server,
            self._address.ip,
            self._address.port,
            reuse_address=True,
        )
        port = self._listener.sockets[0].getsockname()[1]
        self._address = BoundAddress(self._address.ip, port)

    def crash(self) -> None:
        """Drops all connections and refuses new ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.on_crash()
        for transport in self._transports():
            cast(asyncio.Transport, transport).abort()
        self._silenced.clear()
        if self._control.restart_after_s:
            self._restart = asyncio.create_task(self._restart_later())

    def silence_open(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        self._silenced.update(self._transports())

    def is_silent(self, request: web.Request) -> bool:
        """Whether a request's connection may carry nothing more."""
        return self._control.silent or request.transport in self._silenced

    async def stop(self) -> None:
        """Stops it for good."""
        self._control.restart_after_s = 0
        self.crash()
        if self._restart is not None:
            self._restart.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _transports(self) -> list[asyncio.BaseTransport]:
        server = cast(Any, self._runner).server
        found = [connection.transport for connection in server.connections]
        return [transport for transport in found if transport is not None]

    async def _restart_later(self) -> None:
        await asyncio.sleep(self._control.restart_after_s)
        await self.restart()

    @web.middleware
    async def _hang_if_silent(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/control"):
            return await handler(request)
        if self.is_silent(request):
            await hang()
        response = await handler(request)
        if self.is_silent(request):
            await hang()
        return response

    async def _on_control(self, request: web.Request) -> web.Response:
        commands = orjson.loads(await request.read())
        crashes = commands.pop("crash", False) is True
        if commands.pop("silence_open", False):
            self.silence_open()
        try:
            for name, value in commands.items():
                self._control.command(name, value)
        except ValueError as error:
            return json_body({"error": str(error)}, 400)
        if crashes:
            self.crash()
        return json_body({})


async def hang() -> None:
    """Waits until the connection closes, which cancels the handler."""
    await asyncio.Event().wait()


def json_body(value: Any, status: int = 200) -> web.Response:
    """Builds a JSON answer."""
    return web.Response(
        body=orjson.dumps(value), status=status, content_type="application/json"
    )


def refused(why: str) -> web.Response:
    """Builds the refusal that proves that nothing ran."""
    response = json_body({"error": {"message": why}}, status=503)
    response.headers["X-Not-Run"] = "true"
    return response


@contextlib.asynccontextmanager
async def serving(
    standin: Standin[FaultsT], options: ServerOptions, routes: web.RouteTableDef
) -> AsyncIterator[Standin[FaultsT]]:
    """Serves a stand-in until the context ends."""
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(standin.stop)
        await standin.start(options, routes)
        yield standin
