"""Runs one stand-in as a separate process, by subcommand."""

import asyncio
import contextlib
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import click
import orjson
import uvloop

from hollyknot_standins._engine import EngineOptions, start_engine
from hollyknot_standins._platform import (
    ConfigurationOptions,
    HostListOptions,
    start_configuration,
    start_host_list,
)
from hollyknot_standins._server import ServerOptions, Standin
from hollyknot_standins._service import ServiceOptions, start_service

Start = Callable[[Any], contextlib.AbstractAsyncContextManager[Standin[Any]]]


async def _serve(start: Start, options: ServerOptions) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with start(options) as standin:
        address = standin.address
        click.echo(f"ready ip={address.ip} port={address.port}")
        await stopped.wait()


def _command(
    name: str, start: Start, options: type[ServerOptions]
) -> click.Command:
    """Builds a subcommand with an option for each field of an options class."""
    params: list[click.Parameter] = []
    defaults = options()
    for field in attrs.fields(options):
        flag = "--" + field.name.replace("_", "-")
        default = getattr(defaults, field.name)
        is_file = field.name in ("value", "entries")
        kind = click.Path(exists=True) if is_file else type(default)
        shown = None if is_file else default
        params.append(click.Option([flag], type=kind, default=shown))

    def run(**given: Any) -> None:
        for file in {"value", "entries"} & given.keys():
            path = given.pop(file)
            if path is not None:
                given[file] = orjson.loads(Path(path).read_bytes())
        uvloop.run(_serve(start, options(**given)))

    return click.Command(
        name, callback=run, params=params, help=options.__doc__
    )


main = click.Group(
    "python -m hollyknot_standins",
    commands=[
        _command("engine", start_engine, EngineOptions),
        _command("service", start_service, ServiceOptions),
        _command("configuration", start_configuration, ConfigurationOptions),
        _command("host-list", start_host_list, HostListOptions),
    ],
    help=__doc__,
)
