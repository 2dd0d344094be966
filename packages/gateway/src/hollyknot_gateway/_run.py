"""Runs a host as the main task of a process and handles its signals."""

import asyncio
import os
import random
import signal
import sys
from collections.abc import Callable

import uvloop

from hollyknot_gateway._host import STANDARD_OUTPUT, Host, Ports
from hollyknot_state.routes import GatewaySettings

_EXIT_START_FAILED = 2


def run(
    settings: GatewaySettings,
    ports: Ports,
    read_settings: Callable[[], GatewaySettings | str],
) -> int:
    """Runs a host until it is stopped by SIGTERM or SIGINT.

    Args:
        settings: The settings of this process.
        ports: The interfaces of its platform.
        read_settings: Reads the settings again; returns a text that says what
            is wrong if they can't be read.

    Returns:
        The exit code: 0 after a graceful stop, 2 if the host can't listen on
        one of its addresses.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(settings, ports, read_settings))


async def _run(
    settings: GatewaySettings,
    ports: Ports,
    read_settings: Callable[[], GatewaySettings | str],
) -> int:
    loop = asyncio.get_running_loop()
    # A blocking write to a pipe that nobody reads would stop the process.
    os.set_blocking(STANDARD_OUTPUT, False)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        rng = random.Random()
        async with Host(settings, ports, rng, read_settings) as host:
            loop.add_signal_handler(signal.SIGHUP, host.reload)
            await stopped.wait()
            await host.stop()
    except OSError as error:
        sys.stderr.write(
            f"the host can't start: {error}; check the addresses in its"
            " settings\n"
        )
        return _EXIT_START_FAILED
    return 0
