"""Applies settings that change while a host runs."""

import asyncio
from collections.abc import Callable

import attrs

from hollyknot_gateway._log import Log
from hollyknot_state.routes import Bounds, GatewaySettings

RELOAD_S = 5.0
"""Seconds between two reads of the settings, which may change without a
signal."""


class SettingsReload:
    """The bounds in force, which follow the settings.

    Addresses stay as they are until the next start, since callers, peers and
    the balancer use them.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read: Callable[[], GatewaySettings | str],
        apply: Callable[[Bounds], None],
        log: Log,
    ) -> None:
        """Creates an instance with the settings of the start.

        Args:
            settings: The settings of this process.
            read: Reads the settings again; returns a text that says what is
                wrong if they can't be read.
            apply: Called with bounds that have changed.
            log: Logs changes, and settings that can't be read.
        """
        self._last = settings
        self._read = read
        self._apply = apply
        self._log = log

    @property
    def bounds(self) -> Bounds:
        """The bounds in force."""
        return self._last.bounds

    def reload(self) -> None:
        """Reads the settings again; those that can't be read change nothing."""
        found = self._read()
        if isinstance(found, str):
            self._log.line("reload_failed", reason=found)
            return
        if found == self._last:
            return
        before = attrs.asdict(self._last, recurse=False)
        after = attrs.asdict(found, recurse=False)
        changed = [name for name in after if after[name] != before[name]]
        self._last = found
        self._apply(found.bounds)
        self._log.line("reload", changed=",".join(changed))

    async def run(self) -> None:
        """Reloads periodically, as settings may change without a signal."""
        while True:
            await asyncio.sleep(RELOAD_S)
            self.reload()
