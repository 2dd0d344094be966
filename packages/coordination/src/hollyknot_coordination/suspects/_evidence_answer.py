"""Divides all that a host knows into datagrams for a peer that asks for it.

Hosts keep nothing on disk, so that evidence lasts only as long as it is handed
to each host that starts. Losses of what was lost most often go first: what does
not fit is what costs least if the peer learns it again.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs

from hollyknot_coordination.suspects._loss_register import LossRegister
from hollyknot_coordination.suspects._suspects import Suspects
from hollyknot_coordination.suspects._unsent_news import Loss, grouped
from hollyknot_state import SuspectNews

_CONVICTION_BYTES = 20
_LOSS_BYTES = 9
_CRASH_BYTES = 20
"""Most bytes of a convicted part, of a loss, and of what the losses of one
crash have in common beside the name of its upstream."""

_ToMessage = Callable[[Sequence[Loss]], SuspectNews]


@attrs.frozen
class Evidence:
    """All that a host knows, as far as there is room.

    Attributes:
        news: One item for each datagram.
        left_out: Number of losses and convictions that had no room.
    """

    news: tuple[SuspectNews, ...]
    left_out: int


def all_evidence(
    suspects: Suspects, now_s: float, max_bytes: int, max_messages: int
) -> Evidence:
    """Returns the evidence against requests and parts of prompts.

    Parts go first, as one part stands for many requests.

    Args:
        suspects: What the host knows.
        now_s: Current time in seconds of the host's monotonic clock.
        max_bytes: Largest size of the news in one message, in bytes.
        max_messages: Most messages.
    """

    def of_requests(losses: Sequence[Loss]) -> SuspectNews:
        return SuspectNews((), losses=grouped(losses, now_s))

    def of_parts(losses: Sequence[Loss]) -> SuspectNews:
        return SuspectNews.of_parts(of_requests(losses))

    convicted = suspects.parts.all_convictions(now_s)
    size = max_bytes // _CONVICTION_BYTES
    messages = [
        SuspectNews((), crashing_parts=convicted[start : start + size])
        for start in range(0, len(convicted), size)
    ]
    most = max_messages * max_bytes // _LOSS_BYTES
    registers: tuple[tuple[LossRegister, _ToMessage], ...] = (
        (suspects.parts, of_parts),
        (suspects.requests, of_requests),
    )
    left_out = 0
    for register, to_message in registers:
        losses, without_room = register.all_losses(most, now_s)
        left_out += without_room
        for fitting in _divide(losses, max_bytes):
            if len(messages) < max_messages:
                messages.append(to_message(fitting))
            else:
                left_out += len(fitting)
    return Evidence(tuple(messages) or (SuspectNews(()),), left_out)


def _divide(losses: Iterable[Loss], max_bytes: int) -> Iterable[list[Loss]]:
    """Yields the losses that fit into one message after the other."""
    fitting: list[Loss] = []
    crashes: set[tuple[str, float]] = set()
    size = 0
    for loss in losses:
        crash = (loss.upstream, loss.at_s)
        crash_bytes = _CRASH_BYTES + len(loss.upstream)
        added = _LOSS_BYTES + (0 if crash in crashes else crash_bytes)
        if fitting and size + added > max_bytes:
            yield fitting
            fitting, crashes, size = [], set(), 0
            added = _LOSS_BYTES + crash_bytes
        fitting.append(loss)
        crashes.add(crash)
        size += added
    if fitting:
        yield fitting
