"""Simulates a host that receives documents, and times each step."""

import random
from typing import Any

import attrs

from hollyknot_bench.slopes._documents import PLAN_CENTRES
from hollyknot_bench.slopes._measure import cpu_once_us
from hollyknot_bench.slopes._wire import frame_of, read_back, wire_bytes
from hollyknot_coordination.checks import check_declarations, check_hosts
from hollyknot_coordination.spread import Apply, PeerCommand, PeerState, Send
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_state import (
    Declarations,
    DocumentKind,
    DocumentPage,
    DocumentVersion,
    FetchDocument,
    Gossip,
    HostList,
)

CENTRE = PLAN_CENTRES[0]


def new_host(name: str) -> "DocumentHost":
    """Returns a host without documents, which checks them in full."""
    checks = {
        DocumentKind.DECLARATIONS: check_declarations,
        DocumentKind.HOSTS: check_hosts,
    }
    state = PeerState(name, CENTRE, checks, random.Random(1), 0.0)
    return DocumentHost(name, state)


class DocumentHost:
    """A peer state and the documents view that its host would serve with."""

    def __init__(self, name: str, state: PeerState) -> None:
        """Builds a host.

        Args:
            name: Name of the host.
            state: Peer state that holds no document yet.
        """
        self.name = name
        self.state = state
        self._view = DocumentsView()
        self._now_s = 0.0

    def read(self, document: DocumentKind, version: int, body: bytes) -> None:
        """Applies a document that was read from the platform."""
        self._now_s += 1.0
        self._apply(
            self.state.on_platform_document(
                document, version, body, self._now_s
            )
        )

    def receive(self, peer: str, message: Any) -> list[Any]:
        """Handles a message; returns the messages sent in response."""
        commands = self.state.on_message(peer, message, self._now_s)
        self._apply(commands)
        return [c.message for c in commands if isinstance(c, Send)]

    def receive_encoded(self, peer: str, message: Any) -> list[Any]:
        """Encodes and decodes a message, then handles it."""
        return self.receive(peer, read_back(message))

    def answer(
        self,
        peer: str,
        question: Any,
        kind: type[Any],
        cpu_samples_us: list[float],
    ) -> Any:
        """Returns the only answer of the given kind.

        Args:
            peer: Host that asks.
            question: Message that it sends.
            kind: Type of the expected answer.
            cpu_samples_us: Receives the processor time, in microseconds, of
                handling the question and encoding all answers.

        Raises:
            RuntimeError: The number of answers of this kind isn't one.
        """
        found: list[Any] = []

        def answer() -> None:
            found.extend(self.receive(peer, question))
            for message in found:
                frame_of(message)

        cpu_samples_us.append(cpu_once_us(answer))
        wanted = [m for m in found if isinstance(m, kind)]
        if len(wanted) != 1:
            raise RuntimeError(
                f"expected one {kind.__name__} in answer to"
                f" {type(question).__name__}, got {len(wanted)}"
            )
        return wanted[0]

    def version(self, document: DocumentKind) -> DocumentVersion:
        """Returns the version of a document that is in force."""
        return next(v for v in self.state.versions if v.document is document)

    def _apply(self, commands: list[PeerCommand]) -> None:
        for command in commands:
            if not isinstance(command, Apply):
                continue
            if isinstance(command.value, Declarations):
                self._view = self._view.with_declarations(command.value)
            elif isinstance(command.value, HostList):
                self._view = self._view.with_hosts(command.value)


@attrs.frozen
class Transfer:
    """Cost of the transfer of a whole document to a new host.

    Attributes:
        wire_bytes: Bytes of the pages and of the requests for them.
        send_us: Processor time of the sender, in microseconds.
        receive_us: Processor time of the new host, in microseconds.
    """

    wire_bytes: int
    send_us: float
    receive_us: float


def transfer(
    document: DocumentKind, source: DocumentHost, new: DocumentHost
) -> Transfer:
    """Transfers a document, page by page, to a host that has none.

    Raises:
        RuntimeError: The new host has no complete document after all pages.
    """
    wanted = source.version(document)
    size, page, pages = 0, 0, 1
    send_us: list[float] = []
    receive_us = cpu_once_us(
        lambda: new.receive(source.name, Gossip(versions=(wanted,)))
    )
    while page < pages:
        ask = FetchDocument(document, version=wanted.version, page=page)
        found = source.answer(new.name, ask, DocumentPage, send_us)
        pages = found.pages
        size += wire_bytes(len(frame_of(found)))
        size += wire_bytes(len(frame_of(ask)))
        receive_us += _receive_us(new, source.name, found)
        page += 1
    if new.version(document) != wanted:
        raise RuntimeError(
            f"{document.value}: host {new.name} has version"
            f" {new.version(document).version} after {pages} pages, not"
            f" {wanted.version}"
        )
    return Transfer(size, sum(send_us), receive_us)


def _receive_us(new: DocumentHost, peer: str, message: Any) -> float:
    return cpu_once_us(lambda: new.receive_encoded(peer, message))
