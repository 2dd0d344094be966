"""Reports that a host of the gateway sends to its peers several times a second.

Late, lost or duplicate reports do no harm: a report replaces the previous one
of the same host, so that nothing has to be undone when one is missed.
"""

import zlib

import attrs

from hollyknot_state._limit_messages import NamedLimit
from hollyknot_state._settings import Address
from hollyknot_state._signals import CrashingPart, SuspectRecord

_CHECKSUM_BITS = 0x7FFF_FFFF


def short_name(incarnation: str) -> int:
    """Returns a 31-bit checksum that stands for a name in reports.

    It takes 5 bytes, where an upstream's incarnation takes 12. Among 10,000
    upstreams two share a checksum with a probability of 1 in 40; each of them
    is then credited with the load of both.
    """
    encoded = incarnation.encode("utf-8", "surrogateescape")
    return zlib.crc32(encoded) & _CHECKSUM_BITS


@attrs.frozen
class UpstreamUse:
    """A host's own work in flight at one upstream.

    Attributes:
        upstream: Short name of the upstream.
        waiting_tokens: Prompt tokens of requests that were sent and have no
            answer yet, at each urgency from 0 on; trailing zeros are left out.
        waiting: Requests that were sent and have no answer yet.
        running: Streams that have begun.
        urgencies: Requests at each urgency from 0 on, one byte each, at most
            255; trailing zeros are left out.
    """

    upstream: int
    waiting_tokens: tuple[int, ...]
    waiting: int
    running: int
    urgencies: bytes = b""


@attrs.frozen
class LaneDemand:
    """The load that a host's streams put on a service's upstreams.

    Attributes:
        pool: Name of the service; `service` is a reserved word of thrift.
        loose_tokens_s: Prompt tokens sent per second, smoothed, of streams that
            tolerate long inter-token gaps.
        tight_tokens_s: Prompt tokens sent per second, smoothed, of the other
            streams.
        loose_streams: Streams in flight that tolerate long inter-token gaps.
        tight_streams: Other streams in flight.
    """

    pool: str
    loose_tokens_s: int
    tight_tokens_s: int
    loose_streams: int = 0
    tight_streams: int = 0


@attrs.frozen
class HeldRun:
    """A prompt prefix and an upstream that has it cached.

    Attributes:
        upstream: Short name of the upstream.
        run: Short name of the prefix, which is the first parts of a prompt.
    """

    upstream: int
    run: int


@attrs.frozen
class ReadRevisions:
    """The newest changes that a host has read from the platform's directory.

    A host whose own watch has stalled learns from its peers' revisions that it
    is behind.

    Attributes:
        tables: Directory revision of the newest route table; 0 for none.
        upstreams: Directory revision of the newest change of an upstream; 0 for
            none.
        tables_era: Era of the directory to which `tables` belongs.
        upstreams_era: Era of the directory to which `upstreams` belongs.
    """

    tables: int = 0
    upstreams: int = 0
    tables_era: int = 0
    upstreams_era: int = 0


@attrs.frozen
class HostReport:
    """A full report, which also identifies its host to unknown peers.

    Attributes:
        host: Name of the reporting host.
        incarnation: Incarnation of the host's process, new after a restart.
        sequence: Number that rises within an incarnation.
        address: Address at which the host receives reports.
        data_centre: The host's data centre.
        table_version: Version of the route table in force; 0 for none.
        uses: The host's work in flight; upstreams without any are left out.
        demands: Load that the host's streams put on services.
        suspects: Evidence against requests that may crash upstreams.
        held: Prompt prefixes that the host has newly sent to upstreams.
        contacts: Addresses of some peers that lately sent the host a message.
        revisions: Revisions of the platform's directory that the host has read.
        limits: Rate limits that upstreams have named.
        takes_relays: Whether the host makes tries for its peers; None if not.
        cut_off: Short names of the services of which it reaches no upstream.
        brittle: Services whose upstreams are brittle, in place of an upstream,
            with the rejections per second that one can bear as the rate.
        parts: Evidence against parts of prompts that may crash upstreams, in
            place of requests.
        crashing_parts: Parts that have crashed an upstream in a trial.
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
    takes_relays: bool | None = None
    cut_off: tuple[int, ...] = ()
    brittle: tuple[NamedLimit, ...] = ()
    parts: tuple[SuspectRecord, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()


@attrs.frozen
class LaneShare:
    """The share of a service's upstreams that the loose lane gets.

    Attributes:
        pool: Short name of the service; `service` is a reserved word of thrift.
        permille: The share in thousandths.
        rank: Rank of the host that computed it; the highest one counts.
        age_ms: Milliseconds since it was computed.
    """

    pool: int
    permille: int
    rank: int
    age_ms: int


@attrs.frozen
class UseReport:
    """The frequently changing part of a report, for peers that know the rest.

    Attributes:
        incarnation: Incarnation of the sender's process.
        sequence: Number from the sequence of the sender's full reports.
        uses: Same as in a full report.
        demands: Same as in a full report; empty where they are left out.
        suspects: Same as in a full report.
        held: Same as in a full report.
        is_whole: Whether the report covers all upstreams with work in flight;
            otherwise it covers only those with prompts that wait for prefill.
        revisions: Same as in a full report; None where they have not changed.
        limits: Rate limits that have changed.
        lane_shares: Shares of the loose lanes, as the sender uses them.
        cut_off: Same as in a full report.
        brittle: Brittle services that have changed.
        parts: Same as in a full report.
        crashing_parts: Same as in a full report.
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
    lane_shares: tuple[LaneShare, ...] = ()
    cut_off: tuple[int, ...] = ()
    brittle: tuple[NamedLimit, ...] = ()
    parts: tuple[SuspectRecord, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()
