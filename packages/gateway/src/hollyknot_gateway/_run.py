"""Runs a host as the process's main work, with its signals."""

import asyncio
import random
import signal
import sys

import uvloop

from hollyknot_gateway._host import Host, Ports
from hollyknot_state.routes import GatewaySettings

_BAD_START = 2


def run(settings: GatewaySettings, ports: Ports) -> int:
    """Runs a host until it is stopped by SIGTERM or SIGINT.

    Args:
        settings: Of this process.
        ports: Of its platform.

    Returns:
        The exit code: 0 after a graceful stop.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(settings, ports))


async def _run(settings: GatewaySettings, ports: Ports) -> int:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        async with Host(settings, ports, random.Random()) as host:
            loop.add_signal_handler(signal.SIGHUP, host.reload)
            await stopped.wait()
            await host.stop()
    except OSError as error:
        sys.stderr.write(f"can't start: {error}\n")
        return _BAD_START
    return 0
