"""What hosts tell and ask the trackers of upstreams' loads.

Like reports these are soft: a lost one costs a choice by older knowledge.
"""

import attrs

from hollyknot_state._host_report import HeldRun, UpstreamUse


@attrs.frozen
class UpstreamPace:
    """How fast an upstream's streams run.

    Attributes:
        upstream: Its short name.
        interval_ms: Between two events of a stream.
    """

    upstream: int
    interval_ms: int


@attrs.frozen
class LoadNote:
    """A host's own work at upstreams that the receiver tracks.

    It replaces what the host has told of the same upstreams before.

    Attributes:
        incarnation: Of the sender's process.
        sequence: Rises within an incarnation.
        uses: Its work; one without any tells that all has ended.
        held: Parts of prompts that were newly sent to them.
        paces: Of streams there that the sender relays.
    """

    incarnation: int
    sequence: int
    uses: tuple[UpstreamUse, ...] = ()
    held: tuple[HeldRun, ...] = ()
    paces: tuple[UpstreamPace, ...] = ()


@attrs.frozen
class LoadQuery:
    """Asks for the work of all other hosts at some upstreams.

    Attributes:
        incarnation: Of the sender's process, whose own work is left out.
        number: Returned in the answer.
        upstreams: Short names.
        runs: Parts of a prompt, as of `HeldRun`: who has them is told too.
    """

    incarnation: int
    number: int
    upstreams: tuple[int, ...]
    runs: tuple[int, ...] = ()


@attrs.frozen
class LoadAnswer:
    """What a tracker knows.

    Attributes:
        number: Of the query.
        uses: Sums over hosts, of each upstream that was asked for.
        held: Which of them have which of the parts.
        paces: Of the streams there, where a host sees any.
    """

    number: int
    uses: tuple[UpstreamUse, ...]
    held: tuple[HeldRun, ...] = ()
    paces: tuple[UpstreamPace, ...] = ()
