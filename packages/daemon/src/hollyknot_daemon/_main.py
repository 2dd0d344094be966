"""Implements the command line of `hollyknotd`."""

import asyncio
import pathlib
import random
import signal
import sys

import aiomisc
import click
import uvloop

from hollyknot_daemon._host import Host
from hollyknot_state import Problems, Settings, parse_settings
from hollyknot_transport import configure_logging

_BAD_INPUT = 2
_INTERRUPTED = 1


@click.command()
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="The JSON file with this host's settings.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="hollyknot-daemon")
def main(settings_file: pathlib.Path, check: bool) -> None:
    """Runs one host of hollyknot.

    It stops gracefully on SIGTERM or SIGINT: every request in flight ends
    first. A second signal ends it at once.

    Example: hollyknotd --settings host-1.json
    """
    settings = _read(settings_file)
    if check:
        click.echo(f"{settings_file}: good")
        return
    configure_logging(settings.host, settings.data_centre)
    with aiomisc.entrypoint(
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
    ) as loop:
        sys.exit(loop.run_until_complete(_run(settings)))


def _read(path: pathlib.Path) -> Settings:
    try:
        data = path.read_bytes()
    except OSError as error:
        click.echo(f"{path}: can't be read: {error.strerror}", err=True)
        sys.exit(_BAD_INPUT)
    settings = parse_settings(data)
    if isinstance(settings, Problems):
        for problem in settings.problems:
            click.echo(f"{path}: {problem}", err=True)
        if settings.more:
            click.echo(f"{path}: and {settings.more} more", err=True)
        sys.exit(_BAD_INPUT)
    return settings


async def _run(settings: Settings) -> int:
    """Returns the exit code: 0 after a graceful stop."""
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    try:
        async with Host(settings, random.Random()) as host:
            await signals.get()
            stopping = asyncio.ensure_future(host.stop())
            again = asyncio.ensure_future(signals.get())
            await asyncio.wait(
                (stopping, again), return_when=asyncio.FIRST_COMPLETED
            )
            is_graceful = stopping.done()
            again.cancel()
            stopping.cancel()
            return 0 if is_graceful else _INTERRUPTED
    except OSError as error:
        click.echo(f"hollyknotd can't start: {error}", err=True)
        return _BAD_INPUT
