"""Holds a host's version of a document in force and applies newer ones.

The version in force only rises. A lower or equal version changes nothing,
whoever offers it: a platform that is restored from an older copy would
otherwise undo what the whole fleet has applied. A body is checked before it is
put in force. An invalid version is remembered as rejected and not announced to
peers.
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
    ReportLeftOut,
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
    read_parts,
    write_body,
)
from hollyknot_state import (
    DocumentDelta,
    DocumentKind,
    DocumentPage,
    DocumentVersion,
    FetchDocument,
    LeftOut,
)

MAX_REJECTED = 64
"""Maximum number of remembered rejected versions; the lowest are dropped."""

PAGED_IDLE_S = 30.0
"""Seconds without a request after which the bytes of the pages are freed."""


class Absent(enum.Enum):
    """Type of the placeholder for a value that a host does not have yet."""

    ABSENT = "absent"


@attrs.frozen
class Invalid:
    """Result of a check that rejects a version.

    Attributes:
        problems: Description of the faults, for an operator.
    """

    problems: str


@attrs.frozen
class Partial:
    """Result of a check that accepts a version without some of its parts.

    Attributes:
        value: Parsed document without these parts.
        left_out: Unusable parts among those that the version changes.
    """

    value: object
    left_out: tuple[LeftOut, ...]


@attrs.frozen
class Candidate:
    """A newer version that is to be checked.

    Attributes:
        snapshot: Version to check with its records.
        change: Difference from the version in force, so that a check can
            limit itself to the changed records.
        previous: Result of the check for the version in force, or `Absent`.
    """

    snapshot: Snapshot
    change: Change
    previous: object

    @property
    def version(self) -> int:
        """Version of declarations, or revision of a host list."""
        return self.snapshot.version.version

    @property
    def body(self) -> bytes:
        """Full document as JSON, in the format of the platform."""
        return write_body(self.snapshot)


Check = Callable[[Candidate], object]
"""Function that returns the parsed value, `Partial` or `Invalid`, and never
raises."""


class DocumentState:
    """Holds a document's version in force and fetches newer versions."""

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
        self._unsplit: tuple[LeftOut, ...] = ()
        self._paged: PagedDocument | Absent = Absent.ABSENT
        self._paged_used_s = 0.0

    @property
    def version(self) -> DocumentVersion:
        """Version in force, with the number 0 before there is one."""
        return self._in_force.version

    @property
    def read_after(self) -> int:
        """Version number above which the platform is asked for a version.

        A rejected version is not read again. Otherwise each reader would
        download its full body at each read until operators publish the next.
        """
        rejected = max((v.version for v in self._rejected), default=0)
        return max(self.version.version, rejected)

    def is_caught_up(self, now_s: float) -> bool:
        """Returns whether a version is in force and no higher one is known."""
        in_force = self.version.version
        wanted = self._fetcher.wanted
        return in_force > 0 and not self._announced.blocks_readiness(
            in_force, wanted, now_s
        )

    def on_platform(
        self, version: int, body: bytes, now_s: float
    ) -> list[PeerCommand]:
        """Handles a document that was read from the platform, old or new."""
        if version <= self.read_after:
            return []
        try:
            records, left_out = read_parts(self._document, body)
        except UnreadableError as error:
            # With digest 0 a readable body of this version from a peer is not
            # rejected.
            unreadable = DocumentVersion(self._document, version, 0)
            return self._reject(unreadable, str(error))
        commands = self._process_snapshot(
            make_snapshot(self._document, version, records), now_s
        )
        if self.version.version == version:
            # They are in each version that is read until somebody mends them.
            new = tuple(p for p in left_out if p not in self._unsplit)
            self._unsplit = left_out
            commands += self._report_left_out(new)
        return commands

    def on_version(
        self, peer: str, version: DocumentVersion, now_s: float
    ) -> list[PeerCommand]:
        """Handles the announcement of the version that a peer holds."""
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
        """Handles a delta that answers a request."""
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
                # The delta is the change already. Comparing all records would
                # take most of the time that a change costs.
                held = base.records
                removed = tuple(p for p in delta.removed if p in held)
                change = Change(delta.changed, removed)
                return self._check_and_apply(snapshot, change, now_s)
            # Either the hosts hold different bodies with the same digest, or
            # one of them computed its digest wrongly. The full document
            # resolves both.
            self._must_fetch_full = True
        self._fetcher.on_failure(peer)
        return self._next_request(now_s)

    def on_page(
        self, peer: str, page: DocumentPage, now_s: float
    ) -> list[PeerCommand]:
        """Handles a page that answers a request."""
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
        """Answers a peer's request; returns nothing if it cannot."""
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
        """Repeats a request that timed out and frees unused pages."""
        if now_s - self._paged_used_s > PAGED_IDLE_S:
            self._paged = Absent.ABSENT
        return self._next_request(now_s)

    def retain_sources(self, hosts: Collection[str]) -> None:
        """Forgets the announcements of hosts that are not among these."""
        self._fetcher.retain(hosts)

    def drop_source(self, host: str) -> None:
        """Forgets the announcements of a host that is believed dead."""
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
        """Checks a newer snapshot, then puts it in force or rejects it."""
        value = self._check(Candidate(snapshot, change, self._value))
        if isinstance(value, Invalid):
            commands = self._reject(snapshot.version, value.problems)
        else:
            left_out: tuple[LeftOut, ...] = ()
            if isinstance(value, Partial):
                left_out = value.left_out
                value = value.value
            self._log.append(self._in_force, snapshot.version, change)
            self._in_force = snapshot
            self._value = value
            self._announced.on_applied()
            self._must_fetch_full = False
            version = snapshot.version.version
            commands = [Apply(self._document, version, value)]
            commands += self._report_left_out(left_out)
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

    def _report_left_out(
        self, left_out: tuple[LeftOut, ...]
    ) -> list[PeerCommand]:
        if not left_out:
            return []
        version = self.version.version
        return [ReportLeftOut(self._document, version, left_out)]

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
        """Returns the pages of the version in force, or of a recent version.

        The pages of a recent version are kept as long as a delta leads from it
        to the version in force. Otherwise, while many new hosts fetch the full
        document, each change would make every source serialise it again and
        every host start again at page 0.
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
