"""What this host learns from peers and the platform, and tells them."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from hollyknot_coordination.spread import (
    Apply,
    PeerCommand,
    PeerState,
    Reject,
    ReportConflict,
    ReportMember,
    ReportSignals,
    Send,
    StartPolling,
    StopPolling,
)
from hollyknot_daemon._documents import CHECKS, Documents
from hollyknot_state import (
    DocumentKind,
    PeerMessage,
    Settings,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)
from hollyknot_transport import (
    PlatformDocument,
    PlatformFailure,
    get_logger,
    watch,
)

_LOG = get_logger("daemon")

SendMessage = Callable[[str, PeerMessage], None]
"""Sends a message to a host by name, best effort."""


class PeersTask:
    """Owns this host's peer state and its reads of the platform."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        documents: Documents,
        send: SendMessage,
        on_signals: Callable[[ReportSignals], None],
    ) -> None:
        """Knows nothing yet.

        Args:
            settings: Of this host.
            rng: For all random choices.
            documents: Told of what comes in force.
            send: Sends to other hosts.
            on_signals: Told of what peers saw.
        """
        self._settings = settings
        self._rng = rng
        self._documents = documents
        self._send = send
        self._on_signals = on_signals
        self._clock = asyncio.get_running_loop().time
        self._state = PeerState(
            settings.host, settings.data_centre, CHECKS, rng, self._clock()
        )
        self._watches: dict[DocumentKind, asyncio.Task[None]] = {}

    @property
    def state(self) -> PeerState:
        """What is known, to read."""
        return self._state

    async def close(self) -> None:
        """Ends the reads of the platform."""
        for task in self._watches.values():
            task.cancel()
        await asyncio.gather(*self._watches.values(), return_exceptions=True)

    def on_message(self, peer: str, message: PeerMessage) -> None:
        """Takes a message of an authenticated peer."""
        self._execute(self._state.on_message(peer, message, self._clock()))

    def tick(
        self,
        pressures: tuple[TierPressure, ...],
        signs: tuple[UpstreamSign, ...],
        suspects: tuple[SuspectRecord, ...],
    ) -> None:
        """Does what is due; called every `TICK_S`.

        Args:
            pressures: Seen by this host.
            signs: Seen by this host.
            suspects: Seen by this host.
        """
        now = self._clock()
        self._state.note_signals(
            now, pressures=pressures, signs=signs, suspects=suspects
        )
        self._execute(self._state.on_tick(now))

    def _execute(self, commands: list[PeerCommand]) -> None:
        for command in commands:
            self._do(command)

    def _do(self, command: PeerCommand) -> None:
        match command:
            case Send(peer=peer, message=message):
                self._send(peer, message)
            case Apply(document=document, version=version, value=value):
                self._documents.put(value)
                _LOG.info(
                    "document-in-force",
                    document=document.value,
                    version=version,
                )
            case Reject(document=document, version=version):
                _LOG.error(
                    "document-rejected",
                    document=document.value,
                    version=version,
                    problems=command.problems,
                )
            case ReportConflict(document=document, version=version):
                _LOG.error(
                    "document-conflict",
                    document=document.value,
                    version=version,
                    peer=command.peer,
                )
            case StartPolling(document=document, pause_s=pause_s):
                self._start_watching(document, pause_s)
            case StopPolling(document=document):
                task = self._watches.pop(document, None)
                if task is not None:
                    task.cancel()
            case ReportMember(host=host, state=state):
                _LOG.info("peer-changed", peer=host, state=state.value)
            case ReportSignals():
                self._on_signals(command)

    def _start_watching(self, document: DocumentKind, pause_s: float) -> None:
        platform = self._settings.platform
        addresses = {
            DocumentKind.DECLARATIONS: platform.configuration,
            DocumentKind.HOSTS: platform.host_list,
        }
        self._watches[document] = asyncio.ensure_future(
            watch(
                document,
                addresses[document],
                lambda: self._state.read_after(document),
                pause_s,
                self._on_platform,
                self._rng,
            )
        )

    def _on_platform(self, found: PlatformDocument | PlatformFailure) -> None:
        if isinstance(found, PlatformFailure):
            _LOG.warning(
                "platform-read-failed",
                document=found.name.value,
                detail=found.detail,
            )
            return
        with contextlib.suppress(asyncio.CancelledError):
            self._execute(
                self._state.on_platform_document(
                    found.name, found.version, found.body, self._clock()
                )
            )
