"""One document on one host: what is in force and how a newer one comes in.

Versions in force only rise. A lower or equal version changes nothing, whoever
offers it: a platform restored from an older copy would otherwise take back
what the whole fleet has applied. A body is checked before it is in force; an
invalid one is remembered as rejected and is spread no further.
"""

import enum
import random
from collections.abc import Callable, Collection

import attrs

from hollyknot_coordination._peer_commands import (
    Apply,
    PeerCommand,
    Reject,
    ReportConflict,
    Send,
)
from hollyknot_coordination.spread._announced import AnnouncedVersion
from hollyknot_coordination.spread._delta_log import DeltaLog
from hollyknot_coordination.spread._fetcher import Fetcher
from hollyknot_coordination.spread._pages import PagedDocument, PageError
from hollyknot_coordination.spread._records import (
    Change,
    Snapshot,
    UnreadableError,
    apply_change,
    empty_snapshot,
    find_change,
    make_snapshot,
    read_records,
    write_body,
)
from hollyknot_state import (
    DocumentDelta,
    DocumentKind,
    DocumentPage,
    DocumentVersion,
    FetchDocument,
)

MAX_REJECTED = 64
PAGED_IDLE_S = 30.0
"""Seconds without a request after which the pages' bytes are let go."""


class Absent(enum.Enum):
    """Stands where a host has nothing yet."""

    ABSENT = "absent"


@attrs.frozen
class Invalid:
    """A check's refusal.

    Attributes:
        problems: What is wrong, for an operator.
    """

    problems: str


@attrs.frozen
class Candidate:
    """A newer version that a check has to judge.

    Attributes:
        snapshot: The version and its records.
        change: What differs from the version in force, so that a check may
            look at the changed records only.
        previous: What the check made of the version in force, or `Absent`.
    """

    snapshot: Snapshot
    change: Change
    previous: object

    @property
    def version(self) -> int:
        """The version or revision."""
        return self.snapshot.version.version

    @property
    def body(self) -> bytes:
        """The whole document, in the shape in which the platform gives it."""
        return write_body(self.snapshot)


Check = Callable[[Candidate], object]
"""Returns the parsed value, or `Invalid`. It raises nothing."""


class DocumentState:
    """Holds a document's version in force and fetches what is newer."""

    def __init__(
        self, document: DocumentKind, check: Check, rng: random.Random
    ) -> None:
        self._document = document
        self._check = check
        self._in_force = empty_snapshot(document)
        self._value: object = Absent.ABSENT
        self._rejected: dict[DocumentVersion, None] = {}
        self._conflict = 0
        self._log = DeltaLog()
        self._fetcher = Fetcher(document, rng)
        self._announced = AnnouncedVersion()
        self._must_fetch_full = False
        self._paged: PagedDocument | Absent = Absent.ABSENT
        self._paged_used_s = 0.0

    @property
    def version(self) -> DocumentVersion:
        """The version in force; version 0 before there is one."""
        return self._in_force.version

    @property
    def read_after(self) -> int:
        """The version after which to ask the platform.

        A rejected version is not read again: it would cost each reader its
        whole body at each read until the operators publish the next.
        """
        rejected = max((v.version for v in self._rejected), default=0)
        return max(self.version.version, rejected)

    def is_caught_up(self, now_s: float) -> bool:
        """Whether a version is in force and none above it is heard of."""
        in_force = self.version.version
        wanted = self._fetcher.wanted
        return in_force > 0 and not self._announced.blocks_readiness(
            in_force, wanted, now_s
        )

    def on_platform(
        self, version: int, body: bytes, now_s: float
    ) -> list[PeerCommand]:
        """Takes what the platform gave, be it older or newer."""
        if version <= self.read_after:
            return []
        try:
            records = read_records(self._document, body)
        except UnreadableError as error:
            # Digest 0: a peer may still bring this version in good order.
            unreadable = DocumentVersion(self._document, version, 0)
            return self._reject(unreadable, str(error))
        return self._process_snapshot(
            make_snapshot(self._document, version, records), now_s
        )

    def on_version(
        self, peer: str, version: DocumentVersion, now_s: float
    ) -> list[PeerCommand]:
        """Takes the version that a peer says it holds."""
        in_force = self.version
        commands: list[PeerCommand] = []
        is_conflict = (
            version.version == in_force.version and version != in_force
        )
        if is_conflict and self._conflict != version.version:
            self._conflict = version.version
            commands.append(
                ReportConflict(self._document, version.version, peer)
            )
        if self._is_missing(version):
            self._announced.observe(version.version, now_s)
            self._fetcher.add_source(peer, version.version)
        commands.extend(self._next_request(now_s))
        return commands

    def on_delta(
        self, peer: str, delta: DocumentDelta, now_s: float
    ) -> list[PeerCommand]:
        """Takes an answer in the form of a delta."""
        if not self._is_missing(delta.target):
            return self._next_request(now_s)
        base = self._log.snapshot_at(self._in_force, delta.base)
        if isinstance(base, Snapshot):
            snapshot = apply_change(
                base, delta.target.version, delta.changed, delta.removed
            )
            if snapshot.version == delta.target:
                if delta.base != self.version:
                    return self._process_snapshot(snapshot, now_s)
                # Comparing all records would be most of a change's cost.
                held = base.records
                removed = tuple(p for p in delta.removed if p in held)
                change = Change(delta.changed, removed)
                return self._check_and_apply(snapshot, change, now_s)
            # The two hosts hold different bodies under the base's digest, or
            # one computes wrongly. The whole document settles it.
            self._must_fetch_full = True
        self._fetcher.on_failure(peer)
        return self._next_request(now_s)

    def on_page(
        self, peer: str, page: DocumentPage, now_s: float
    ) -> list[PeerCommand]:
        """Takes an answer in the form of a page."""
        if not self._is_missing(page.version):
            return self._next_request(now_s)
        found = self._fetcher.handle_page(peer, page)
        if not found:
            return self._next_request(now_s)
        version, records = found
        snapshot = make_snapshot(self._document, version.version, records)
        if snapshot.version != version:
            self._fetcher.on_failure(peer)
            return self._next_request(now_s)
        return self._process_snapshot(snapshot, now_s)

    def on_fetch(
        self, peer: str, request: FetchDocument, now_s: float
    ) -> list[Send]:
        """Answers a peer's request, or returns nothing if it can't."""
        if request.page > 0:
            return self._send_page(peer, request, now_s)
        if self.version.version == 0:
            return []
        if any(b.version >= self.version.version for b in request.bases):
            return []
        delta = self._log.delta_from(request.bases)
        if isinstance(delta, DocumentDelta):
            return [Send(peer, delta)]
        return [Send(peer, self._paged_document(now_s).page(0))]

    def on_tick(self, now_s: float) -> list[PeerCommand]:
        """Sends a request again whose time is up, and lets go of pages."""
        if now_s - self._paged_used_s > PAGED_IDLE_S:
            self._paged = Absent.ABSENT
        return self._next_request(now_s)

    def retain_sources(self, hosts: Collection[str]) -> None:
        """Forgets what was heard from hosts that are not among these."""
        self._fetcher.retain(hosts)

    def drop_source(self, host: str) -> None:
        """Forgets what was heard from a host that is believed dead."""
        self._fetcher.drop(host)

    def _is_missing(self, version: DocumentVersion) -> bool:
        newer = version.version > self.version.version
        return newer and version not in self._rejected

    def _next_request(self, now_s: float) -> list[PeerCommand]:
        bases = self._log.bases(self._in_force)
        if self._must_fetch_full:
            bases = ()
        return list(self._fetcher.next_request(bases, now_s))

    def _process_snapshot(
        self, snapshot: Snapshot, now_s: float
    ) -> list[PeerCommand]:
        change = find_change(self._in_force.records, snapshot.records)
        return self._check_and_apply(snapshot, change, now_s)

    def _check_and_apply(
        self, snapshot: Snapshot, change: Change, now_s: float
    ) -> list[PeerCommand]:
        """Checks a newer snapshot and puts it in force or rejects it."""
        value = self._check(Candidate(snapshot, change, self._value))
        if isinstance(value, Invalid):
            commands = self._reject(snapshot.version, value.problems)
        else:
            self._log.append(self._in_force, snapshot.version, change)
            self._in_force = snapshot
            self._value = value
            self._announced.on_applied()
            self._must_fetch_full = False
            version = snapshot.version.version
            commands = [Apply(self._document, version, value)]
        self._fetcher.drop_unwanted(self._is_version_missing)
        commands.extend(self._next_request(now_s))
        return commands

    def _is_version_missing(self, version: int) -> bool:
        if version <= self.version.version:
            return False
        return all(v.version != version or not v.digest for v in self._rejected)

    def _reject(
        self, version: DocumentVersion, problems: str
    ) -> list[PeerCommand]:
        self._rejected[version] = None
        self._announced.on_rejected(version.version)
        while len(self._rejected) > MAX_REJECTED:
            del self._rejected[min(self._rejected, key=lambda v: v.version)]
        return [Reject(self._document, version.version, problems)]

    def _send_page(
        self, peer: str, request: FetchDocument, now_s: float
    ) -> list[Send]:
        paged = self._paged
        if (
            isinstance(paged, Absent)
            or paged.version.version != request.version
        ):
            if self.version.version != request.version:
                return []
            paged = self._paged_document(now_s)
        self._paged_used_s = now_s
        try:
            return [Send(peer, paged.page(request.page))]
        except PageError:
            return []

    def _paged_document(self, now_s: float) -> PagedDocument:
        """Returns pages of the version in force or of one a delta leads from.

        While many new hosts fetch the whole, each change would otherwise make
        each source write its bytes again and the hosts begin again.
        """
        paged = self._paged
        if isinstance(paged, Absent) or (
            paged.version != self.version
            and not isinstance(
                self._log.delta_from((paged.version,)), DocumentDelta
            )
        ):
            paged = PagedDocument(self._in_force)
            self._paged = paged
        self._paged_used_s = now_s
        return paged
