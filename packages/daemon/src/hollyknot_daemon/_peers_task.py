"""Runs this host's gossip with peers and its polling of the platform."""

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
    ReportLeftOut,
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
    poll_document,
)

_LOG = get_logger("daemon")

_MAX_LOGGED = 100
"""Most parts of a version that are logged one by one."""

SendMessage = Callable[[str, PeerMessage], None]
"""Sends a message to the named host, without a guarantee of delivery."""


class PeersTask:
    """Executes the commands of this host's peer state."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        documents: Documents,
        send: SendMessage,
        on_signals: Callable[[ReportSignals], None],
    ) -> None:
        """Creates a peer state that knows no peers and no documents yet.

        Args:
            settings: This host's settings.
            rng: Source of all random choices.
            documents: Receives each newly adopted document.
            send: Sends a message to another host.
            on_signals: Receives the pressures, health signs and suspect
                records that peers gossip.
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
        self._polls: dict[DocumentKind, asyncio.Task[None]] = {}

    @property
    def state(self) -> PeerState:
        """Peer state, which callers only read."""
        return self._state

    async def close(self) -> None:
        """Stops polling the platform."""
        for task in self._polls.values():
            task.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)

    def on_message(self, peer: str, message: PeerMessage) -> None:
        """Handles a message of an authenticated peer."""
        self._execute(self._state.on_message(peer, message, self._clock()))

    def tick(
        self,
        pressures: tuple[TierPressure, ...],
        signs: tuple[UpstreamSign, ...],
        suspects: tuple[SuspectRecord, ...],
    ) -> None:
        """Sends the gossip that is due; called about every 0.1 s.

        Args:
            pressures: Shortages of capacity that this host observed.
            signs: Health signs of upstreams that this host observed.
            suspects: Suspect records of this host.
        """
        now = self._clock()
        self._state.note_signals(
            now, pressures=pressures, signs=signs, suspects=suspects
        )
        self._execute(self._state.on_tick(now))

    def _execute(self, commands: list[PeerCommand]) -> None:
        for command in commands:
            self._execute_one(command)

    def _execute_one(self, command: PeerCommand) -> None:
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
            case ReportLeftOut():
                _log_left_out(command)
            case ReportConflict(document=document, version=version):
                _LOG.error(
                    "document-conflict",
                    document=document.value,
                    version=version,
                    peer=command.peer,
                )
            case StartPolling(document=document, pause_s=pause_s):
                self._start_polling(document, pause_s)
            case StopPolling(document=document):
                task = self._polls.pop(document, None)
                if task is not None:
                    task.cancel()
            case ReportMember(host=host, state=state):
                _LOG.info("peer-changed", peer=host, state=state.value)
            case ReportSignals():
                self._on_signals(command)

    def _start_polling(self, document: DocumentKind, pause_s: float) -> None:
        platform = self._settings.platform
        addresses = {
            DocumentKind.DECLARATIONS: platform.configuration,
            DocumentKind.HOSTS: platform.host_list,
        }
        self._polls[document] = asyncio.ensure_future(
            poll_document(
                document,
                addresses[document],
                lambda: self._state.read_after(document),
                pause_s,
                self._on_platform_result,
                self._rng,
            )
        )

    def _on_platform_result(
        self, found: PlatformDocument | PlatformFailure
    ) -> None:
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


def _log_left_out(report: ReportLeftOut) -> None:
    document, version = report.document.value, report.version
    for left_out in report.left_out[:_MAX_LOGGED]:
        _LOG.error(
            "document-part-left-out",
            document=document,
            version=version,
            part=left_out.part,
            problem=left_out.problem,
        )
    more = len(report.left_out) - _MAX_LOGGED
    if more > 0:
        _LOG.error(
            "document-parts-left-out",
            document=document,
            version=version,
            more=more,
        )
