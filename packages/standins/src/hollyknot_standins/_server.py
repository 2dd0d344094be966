"""Provides the HTTP server of a stand-in and the faults common to all."""

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
    """Address and name of a stand-in.

    Attributes:
        ip: IP address to bind.
        port: Port to bind; 0 for a free one.
        name: Name of the stand-in, which a service shows in its answers.
    """

    ip: str = "127.0.0.1"
    port: int = 0
    name: str = "standin"


@attrs.frozen
class BoundAddress:
    """The address that a stand-in has bound."""

    ip: str
    port: int


def flag() -> Any:
    """Returns an attrs field for a fault that is on or off."""
    return attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


def number(default: float) -> Any:
    """Returns an attrs field for a number."""
    valid = attrs.validators.instance_of((int, float))
    return attrs.field(default=default, validator=valid)


def text(*allowed: str) -> Any:
    """Returns an attrs field for a string, empty by default.

    Args:
        *allowed: The values allowed besides the empty one; any if none given.
    """
    valid = attrs.validators.instance_of(str)
    if allowed:
        valid = attrs.validators.and_(
            valid, attrs.validators.in_(("", *allowed))
        )
    return attrs.field(default="", validator=valid)


@attrs.define
class Faults:
    """Faults that every stand-in has; they can be set at any time.

    Attributes:
        silent: Whether requests are accepted but never answered; streams stop.
        restart_after_s: Seconds from a crash until the stand-in listens again
            on the same port; 0 for never.
    """

    silent: bool = flag()
    restart_after_s: float = number(0.0)

    def command(self, name: str, value: Any) -> None:
        """Sets one fault.

        Raises:
            ValueError: The name is unknown or the value is invalid.
        """
        fields = attrs.fields(type(self))
        if name not in {field.name for field in fields if field.validator}:
            raise ValueError(f"unknown command {name!r}")
        try:
            setattr(self, name, value)
        except (TypeError, ValueError) as error:
            raise ValueError(f"{name}: {error.args[0]}") from error


FaultsT = TypeVar("FaultsT", bound=Faults)


class Standin(Generic[FaultsT]):
    """A stand-in, with its listener, its connections and its faults."""

    def __init__(self, control: FaultsT) -> None:
        """Builds a stand-in that does not listen yet."""
        self._control = control
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._address = BoundAddress("", 0)
        self._silenced: set[asyncio.BaseTransport] = set()
        self._restart: asyncio.Task[None] | None = None
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def address(self) -> BoundAddress:
        """The address on which it listens, or listened before it crashed."""
        return self._address

    @property
    def control(self) -> FaultsT:
        """The stand-in's faults and what it has recorded."""
        return self._control

    async def start(
        self, options: ServerOptions, routes: web.RouteTableDef
    ) -> None:
        """Binds the address and serves the routes."""
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
        """Silences the open connections permanently; new ones work."""
        self._silenced.update(self._transports())

    def is_silent(self, request: web.Request) -> bool:
        """Returns whether a request's connection must send nothing more."""
        return self._control.silent or request.transport in self._silenced

    async def stop(self) -> None:
        """Stops the stand-in permanently."""
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
    """Builds an answer with a JSON body."""
    return web.Response(
        body=orjson.dumps(value), status=status, content_type="application/json"
    )


def refused(why: str) -> web.Response:
    """Builds a 503 answer whose header says that the request did not run."""
    response = json_body({"error": {"message": why}}, status=503)
    response.headers["X-Not-Run"] = "true"
    return response


@contextlib.asynccontextmanager
async def serving(
    standin: Standin[FaultsT], options: ServerOptions, routes: web.RouteTableDef
) -> AsyncIterator[Standin[FaultsT]]:
    """Runs a stand-in until the context ends."""
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(standin.stop)
        await standin.start(options, routes)
        yield standin
