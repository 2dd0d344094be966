"""What a host that forwards by routes tells its peers, several times a second.

A report is soft: late, lost or doubled ones do no harm. It replaces the last
one of the same host, so that nothing has to be undone when one is missed.
"""

import zlib

import attrs

from hollyknot_state._limit_messages import NamedLimit
from hollyknot_state._settings import Address
from hollyknot_state._signals import SuspectRecord

_CHECKSUM_BITS = 0x7FFF_FFFF


def short_name(incarnation: str) -> int:
    """Returns what stands for an upstream in reports, in 5 bytes for 12.

    Of 10,000 upstreams two have the same one at a chance of 1 in 40; their
    loads then count for both.
    """
    return zlib.crc32(incarnation.encode()) & _CHECKSUM_BITS


@attrs.frozen
class UpstreamUse:
    """A host's own work in flight at one upstream.

    Attributes:
        upstream: Its short name.
        waiting_tokens: Of prompts that were sent and not yet answered, at each
            urgency from 0 on; zeros at the end are left out.
        waiting: Requests that were sent and not yet answered.
        running: Streams that have begun.
        urgencies: How many requests there are at each urgency, likewise; 255 at
            the most.
    """

    upstream: int
    waiting_tokens: tuple[int, ...]
    waiting: int
    running: int
    urgencies: bytes = b""


@attrs.frozen
class LaneDemand:
    """What a host's streams ask of a service's upstreams.

    Attributes:
        pool: The service; thrift does not allow that word.
        loose_tokens_s: Prompt tokens that are sent in a second, smoothed, of
            streams that bear long pauses.
        tight_tokens_s: The same of the others.
        loose_streams: Those that bear long pauses and have not ended.
        tight_streams: The same of the others.
    """

    pool: str
    loose_tokens_s: int
    tight_tokens_s: int
    loose_streams: int = 0
    tight_streams: int = 0


@attrs.frozen
class HeldRun:
    """A prompt's first parts, and an upstream that has them cached.

    Attributes:
        upstream: Its short name.
        run: The short name of the parts.
    """

    upstream: int
    run: int


@attrs.frozen
class ReadRevisions:
    """The newest changes that a host has read from the platform's directory.

    A host whose own watch fell silent learns by its peers' that it is behind.

    Attributes:
        tables: The directory's revision of the newest table; 0 for none.
        upstreams: Of the newest change among the upstreams.
        tables_era: In which era the first was given out.
        upstreams_era: In which the second.
    """

    tables: int = 0
    upstreams: int = 0
    tables_era: int = 0
    upstreams_era: int = 0


@attrs.frozen
class HostReport:
    """One report.

    Attributes:
        host: Who tells.
        incarnation: Of its process; a restart has another one.
        sequence: Rises within an incarnation.
        address: Where it takes reports.
        data_centre: Where it runs.
        table_version: Of the routes that it has in force; 0 for none.
        uses: Its work in flight; upstreams without any are left out.
        demands: Prompt tokens that it sends.
        suspects: Evidence against requests that may crash upstreams.
        held: Parts of prompts that were newly sent to upstreams.
        contacts: Some addresses of peers that it has heard of lately.
        revisions: What it has read from the platform's directory.
        limits: Rate limits that upstreams have named.
    """

    host: str
    incarnation: int
    sequence: int
    address: Address
    data_centre: str
    table_version: int
    uses: tuple[UpstreamUse, ...] = ()
    demands: tuple[LaneDemand, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    contacts: tuple[Address, ...] = ()
    held: tuple[HeldRun, ...] = ()
    revisions: ReadRevisions = ReadRevisions()
    limits: tuple[NamedLimit, ...] = ()


@attrs.frozen
class UseReport:
    """What changes all the time, for a peer that knows the rest.

    Attributes:
        incarnation: Of the sender's process.
        sequence: Shared with its other reports.
        uses: As in them.
        demands: As in them; none where they are not told.
        suspects: As in them.
        held: As in them.
        is_whole: Whether it tells of all upstreams with work in flight; else
            only of those where prompts wait to be read.
        revisions: As in them; None where it is no news.
        limits: As in them, those that are news.
    """

    incarnation: int
    sequence: int
    uses: tuple[UpstreamUse, ...] = ()
    demands: tuple[LaneDemand, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    held: tuple[HeldRun, ...] = ()
    is_whole: bool = True
    revisions: ReadRevisions | None = None
    limits: tuple[NamedLimit, ...] = ()
