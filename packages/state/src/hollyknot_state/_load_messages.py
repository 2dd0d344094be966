"""Messages between hosts and the trackers of the loads of upstreams.

A tracker is a host that sums up the load of an upstream over all hosts. The
messages may be lost: a host then places requests by older loads.
"""

import attrs

from hollyknot_state._customer_work import ServiceWork
from hollyknot_state._host_report import (
    HeldRun,
    LaneDemand,
    LaneShare,
    UpstreamUse,
)


@attrs.frozen
class UpstreamPace:
    """The pace of an upstream's streams.

    Attributes:
        upstream: Short name of the upstream.
        interval_ms: Milliseconds between two events of a stream.
    """

    upstream: int
    interval_ms: int


@attrs.frozen
class UpstreamSpeed:
    """How long an upstream takes to prefill.

    Attributes:
        upstream: Short name of the upstream.
        token_ns: Nanoseconds per prompt token until the first event.
    """

    upstream: int
    token_ns: int


@attrs.frozen
class LoadNote:
    """A host's own work at upstreams that the receiver tracks.

    It replaces the host's earlier notes about the same upstreams.

    Attributes:
        incarnation: Incarnation of the sender's process.
        sequence: Number that rises within an incarnation.
        uses: The sender's work in flight; an empty entry says that all work at
            the upstream has ended.
        held: Prompt prefixes that were newly sent to the upstreams.
        paces: Paces of the streams that the sender relays.
        speeds: Speeds as seen from the sender's newest first events.
    """

    incarnation: int
    sequence: int
    uses: tuple[UpstreamUse, ...] = ()
    held: tuple[HeldRun, ...] = ()
    paces: tuple[UpstreamPace, ...] = ()
    speeds: tuple[UpstreamSpeed, ...] = ()


@attrs.frozen
class LoadQuery:
    """Asks for the work of all other hosts at some upstreams.

    Attributes:
        incarnation: Incarnation of the sender's process, whose own work is left
            out of the answer.
        number: Number that the answer returns.
        upstreams: Short names of the upstreams.
        runs: Short names of prompt prefixes, as in `HeldRun`; the answer says
            which upstreams have them cached.
        wants_demands: Whether the sender sizes the lanes of all hosts and
            therefore needs samples of their demand.
    """

    incarnation: int
    number: int
    upstreams: tuple[int, ...]
    runs: tuple[int, ...] = ()
    wants_demands: bool = False


@attrs.frozen
class LoadAnswer:
    """Answers a `LoadQuery` with what the tracker knows.

    Attributes:
        number: Number of the query.
        uses: Sums over hosts, for each upstream that was asked about.
        held: Which of these upstreams have which of the prefixes cached.
        paces: Paces of the upstreams' streams, where a host relays any.
        demands: Demand of the answering host itself, by service, if the query
            wants it.
        speeds: Speeds of the upstreams, where enough is known.
        lane_shares: Shares of the loose lanes, as the answering host uses them.
        work: Work that the tracker's own callers offer to services that are
            short of room; empty in most answers.
    """

    number: int
    uses: tuple[UpstreamUse, ...]
    held: tuple[HeldRun, ...] = ()
    paces: tuple[UpstreamPace, ...] = ()
    demands: tuple[LaneDemand, ...] = ()
    speeds: tuple[UpstreamSpeed, ...] = ()
    lane_shares: tuple[LaneShare, ...] = ()
    work: tuple[ServiceWork, ...] = ()
