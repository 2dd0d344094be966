"""Measures timeouts by the time during which this process runs."""

import asyncio
from collections.abc import Iterable
from typing import Any

SLICE_S = 0.05
"""Longest wait between two looks at the clock, in seconds."""

STALL_S = 0.025
"""Delay of a timer above which the event loop stood still, in seconds."""


async def wait_while_running(
    futures: Iterable["asyncio.Future[Any]"], timeout_s: float
) -> None:
    """Waits until a future is done or this process has run for some time.

    Time for which the event loop stood still does not count: it says nothing
    about the other side, whose answer may be there already.

    Args:
        futures: The awaited futures; they are neither awaited nor cancelled
            after the timeout.
        timeout_s: The longest wait, in seconds for which the process runs.
    """
    loop = asyncio.get_running_loop()
    futures = tuple(futures)
    left_s = timeout_s
    while left_s > 0 and not any(future.done() for future in futures):
        slice_s = min(left_s, SLICE_S)
        due_s = loop.time() + slice_s
        await asyncio.wait(
            futures, timeout=slice_s, return_when=asyncio.FIRST_COMPLETED
        )
        if loop.time() <= due_s + STALL_S:
            left_s -= slice_s
