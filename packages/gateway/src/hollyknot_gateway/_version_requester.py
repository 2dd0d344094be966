"""Learns from peers which version began a stream, and tells them."""

import asyncio
import itertools
import math
from collections.abc import Callable, Collection, Mapping, Sequence

from hollyknot_coordination.forwarding import (
    CachedVersions,
    Held,
    Keepers,
    ReportRate,
    StreamVersions,
    ToldStreams,
    Tracker,
    VersionHistory,
    stream_id,
)
from hollyknot_gateway._host_queries import HostQueries
from hollyknot_gateway._job import Job
from hollyknot_gateway._list_proof import ListProof
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import VersionMessage, encode_message
from hollyknot_state import (
    Address,
    StreamVersion,
    VersionAnswer,
    VersionNote,
    VersionQuery,
)
from hollyknot_state.routes import UpstreamEntry

ANSWER_TIMEOUT_S = 0.03
"""Seconds until a query is sent once more, as a datagram may be lost."""

MAX_QUERIES = 3
"""Times that a query is sent."""

FORGOTTEN_PER_LINE = 1000
"""Streams that are forgotten early between two lines that say so."""

TELLING_PAUSE_S = 10.0
"""Seconds between two times at which all known streams are told."""

NEW_KEEPERS_PAUSE_S = 1.0
"""Seconds between two times at which a host that has just started tells streams
to peers that it knows by now."""

MAX_STREAMS_PER_NOTE = 24
"""Most streams in a datagram, at some 40 bytes each."""

_Answers = asyncio.Queue[tuple[Address, VersionAnswer]]
"""Answers of peers, with their senders."""


class VersionRequester:
    """Keeps the versions of a host's streams, together with its peers."""

    def __init__(
        self,
        history: VersionHistory,
        cached: CachedVersions,
        keepers: Keepers,
        hosts: HostQueries,
        list_proof: ListProof,
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a requester that knows no stream.

        Args:
            history: The versions of each service.
            cached: The versions whose upstreams hold parts of prompts.
            keepers: Chooses the peers that are told and asked.
            hosts: Learns of further peers while this host has just started.
            list_proof: Proves that this host's list of upstreams is the newest.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            log: Logs which version began a stream, and what is forgotten.
            clock: The loop's monotonic clock, in seconds.
        """
        self._versions = StreamVersions(lambda: history.retention_s)
        self._history = history
        self._cached = cached
        self._keepers = keepers
        self._hosts = hosts
        self._list_proof = list_proof
        self._told = ToldStreams(keepers)
        self._rate = rate
        self._send = send
        self._log = log
        self._clock = clock
        self._logged_forgotten = 0
        self._told_all_s = -math.inf
        self._told_new_s = -math.inf
        self._listed: Mapping[str, Sequence[UpstreamEntry]] = {}
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Answers] = {}

    @property
    def forgotten(self) -> int:
        """Number of streams forgotten early, as there were too many."""
        return self._versions.forgotten

    def on_listed(
        self, by_service: Mapping[str, Sequence[UpstreamEntry]]
    ) -> None:
        """Notes the upstreams that get requests.

        Streams that began before there was a second version are told to peers
        as soon as there is one.

        Args:
            by_service: Upstreams by service; the same object until they change.
        """
        if by_service is self._listed:
            return
        self._listed = by_service
        now_s = self._clock()
        for service, entries in by_service.items():
            if self._history.update(service, entries, now_s):
                self._on_mixed(service, now_s)

    def on_versions(self, versions: Mapping[str, Collection[str]]) -> None:
        """Notes versions by service, whether or not they get requests."""
        now_s = self._clock()
        for service in self._history.note(versions, now_s):
            self._on_mixed(service, now_s)

    def on_moved(self, services: Collection[str]) -> None:
        """Notes services between which routes of streams have moved.

        Args:
            services: The services that have lost or got a route.
        """
        now_s = self._clock()
        for service in services:
            if self._history.doubt(service, now_s):
                self._on_mixed(service, now_s)

    def on_gap(self) -> None:
        """Notes that versions may have come and gone unseen."""
        self._history.miss(self._clock())
        self.tell_all()

    def tell_all(self) -> None:
        """Tells peers the known streams, as hosts may doubt their lists."""
        now_s = self._clock()
        if now_s - self._told_all_s < TELLING_PAUSE_S:
            return
        self._told_all_s = now_s
        for service in self._listed:
            self._tell(service, self._versions.of_service(service, now_s))

    def on_first_event(self, job: Job, version: str, upstream: str) -> None:
        """Notes the version that began the stream of a request.

        A caller that takes the stream up again may name either the attempt that
        brought its first event or the last one that brought any.

        Args:
            job: The request.
            version: The version of the upstream that began the stream.
            upstream: Incarnation of that upstream.
        """
        job.version = version
        attempts = {job.call.resumes, job.call.attempt_id} - {""}
        if not job.route.may_resume or not attempts:
            return
        now_s = self._clock()
        service = job.service.name
        streams = {stream_id(service, attempt) for attempt in attempts}
        for stream in streams:
            self._versions.note(stream, service, version, now_s)
        self._log_forgotten()
        is_shared = len(job.route.services) > 1
        if is_shared or self._history.only_version(service, now_s) is None:
            self._log.line(
                "stream_began",
                request=job.call.resumes or job.call.attempt_id,
                service=service,
                version=version,
                upstream=upstream,
            )
            self._tell_first(service, dict.fromkeys(streams, version))

    def on_round(self) -> None:
        """Tells streams to peers that are known by now, now and then."""
        now_s = self._clock()
        if self._hosts.has_joined:
            self._told.clear()
        elif now_s - self._told_new_s >= NEW_KEEPERS_PAUSE_S:
            self.tell_new_keepers()

    def tell_new_keepers(self) -> None:
        """Tells streams to the peers that keep them, as more are known."""
        self._told_new_s = self._clock()
        self._send_notes(self._told.pop_untold())

    def are_changing(self, service: str) -> bool:
        """Whether streams of several versions of a service may be taken up."""
        return self._history.is_changing(service, self._clock())

    def find(self, stream: int, now_s: float) -> str | None:
        """Returns the version that began a stream, if this host knows it."""
        return self._versions.find(stream, now_s)

    def handle(self, message: VersionMessage, sender: Address) -> None:
        """Handles a message of a peer."""
        now_s = self._clock()
        if isinstance(message, VersionNote):
            for told in message.streams:
                self._versions.note(
                    told.stream_id, told.pool, told.version, now_s
                )
            # The peer may have read of a version before this host does.
            versions: dict[str, set[str]] = {}
            for told in message.streams:
                versions.setdefault(told.pool, set()).add(told.version)
            self.on_versions(versions)
        elif isinstance(message, VersionQuery):
            self._answer(message, sender, now_s)
        elif message.number in self._waiting:
            self._waiting[message.number].put_nowait((sender, message))

    def _answer(
        self, query: VersionQuery, sender: Address, now_s: float
    ) -> None:
        number = query.stream_id
        version = self._versions.find(number, now_s)
        held = self._cached.find(number, now_s)
        if version is None and isinstance(held, str):
            version = held
        only = None
        has_several = held is Held.BY_SEVERAL
        if query.pool is not None:
            if not self._list_proof.is_behind:
                only = self._history.only_version(query.pool, now_s)
            has_several = self._history.is_mixed(query.pool, now_s)
        answer = VersionAnswer(query.number, version, only, has_several or None)
        self._send_to(answer, [sender])

    def _on_mixed(self, service: str, now_s: float) -> None:
        """Tells peers the streams of a service with a second version."""
        known = self._versions.of_service(service, now_s)
        self._log.line("versions_mixed", service=service, streams=len(known))
        self._tell(service, known)

    def _log_forgotten(self) -> None:
        """Logs how many streams were forgotten early, in steps."""
        forgotten = self._versions.forgotten
        if forgotten >= self._logged_forgotten + FORGOTTEN_PER_LINE:
            self._logged_forgotten = forgotten
            self._log.line("streams_forgotten", streams=forgotten)

    async def ask(self, stream: int, service: str) -> VersionAnswer:
        """Asks peers which version began a stream.

        Args:
            stream: Number of the stream.
            service: The service that it is from.

        Returns:
            An answer that names its version, or else the only version of the
            service if most peers answered, or else none. Peers that are cut
            off together hear each other only. It says if a peer has seen
            several versions.
        """
        peers = self._keepers.to_ask(stream)
        answers = await self._collect(
            VersionQuery(next(self._numbers), stream, service),
            peers,
            is_enough=lambda answer: answer.version is not None,
        )
        best = max(answers, key=_knowledge, default=VersionAnswer(0))
        if best.version is not None:
            return best
        if any(a.has_several for a in answers):
            return VersionAnswer(0, has_several=True)
        are_most = 2 * len(answers) > len(peers)
        return best if are_most else VersionAnswer(0)

    async def ask_part(self, part: int, keepers: Keepers) -> str | Held | None:
        """Asks peers whose upstreams hold a part, and looks into own memory.

        Args:
            part: Number of the part.
            keepers: Chooses the peers that keep it.

        Returns:
            The version that all name that know one; None if nobody does.
        """
        answers = await self._collect(
            VersionQuery(next(self._numbers), part),
            keepers.to_ask(part),
            is_enough=lambda answer: bool(answer.has_several),
        )
        own = self._cached.find(part, self._clock())
        known = [own, *(answer.version for answer in answers)]
        versions = {version for version in known if version is not None}
        if len(versions) > 1 or any(a.has_several for a in answers):
            return Held.BY_SEVERAL
        return versions.pop() if versions else None

    async def _collect(
        self,
        query: VersionQuery,
        peers: Sequence[Tracker],
        is_enough: Callable[[VersionAnswer], bool],
    ) -> list[VersionAnswer]:
        """Sends a query until all peers have answered, or one knows enough."""
        addresses = [peer.address for peer in peers]
        # A peer may answer each time that it is asked.
        found: dict[Address, VersionAnswer] = {}
        if not addresses:
            return []
        answers: _Answers = asyncio.Queue()
        self._waiting[query.number] = answers
        try:
            for _ in range(MAX_QUERIES):
                self._send_to(query, addresses)
                try:
                    async with asyncio.timeout(ANSWER_TIMEOUT_S):
                        while len(found) < len(addresses):
                            sender, answer = await answers.get()
                            found[sender] = answer
                            if is_enough(answer):
                                break
                        return list(found.values())
                except TimeoutError:
                    continue
            return list(found.values())
        finally:
            del self._waiting[query.number]

    def _tell(self, service: str, versions: dict[int, str]) -> None:
        told: dict[Address, list[StreamVersion]] = {}
        for stream, version in versions.items():
            for peer in self._keepers.to_tell(stream):
                told.setdefault(peer.address, []).append(
                    StreamVersion(stream, service, version)
                )
        self._send_notes(told)

    def _tell_first(self, service: str, versions: dict[int, str]) -> None:
        """Tells peers of streams that have just begun."""
        self._tell(service, versions)
        if self._hosts.has_joined:
            return
        self._hosts.ask()
        for stream, version in versions.items():
            self._told.add(StreamVersion(stream, service, version))

    def _send_notes(self, told: dict[Address, list[StreamVersion]]) -> None:
        for address, streams in told.items():
            for first in range(0, len(streams), MAX_STREAMS_PER_NOTE):
                part = streams[first : first + MAX_STREAMS_PER_NOTE]
                self._send_to(VersionNote(tuple(part)), [address])

    def _send_to(
        self, message: VersionMessage, addresses: list[Address]
    ) -> None:
        data = encode_message(message)
        self._send(data, addresses)
        self._rate.spend_on_queries(len(data) * len(addresses))


def _knowledge(answer: VersionAnswer) -> int:
    """Returns the order of answers, the best ones last."""
    if answer.version is not None:
        return 2
    return int(answer.only_version is not None)
