"""Repeats releases until every holder has acknowledged them.

A network partition that makes an attempt fail also loses its releases. The
holders that granted the attempt would then keep the key for an attempt that
never ran. Each later attempt would be refused because the request may have run,
so that the request would never run.
"""

from collections import OrderedDict

import attrs

from hollyknot_coordination.claims._attempt import ClaimAttempt
from hollyknot_coordination.claims._commands import SendClaim
from hollyknot_state import Attempt, ClaimAnswer, ReleaseClaim

INITIAL_REPEAT_INTERVAL_S = 0.5
MAX_REPEAT_INTERVAL_S = 60.0
"""Longest interval between repeats. A network partition can last an hour; a
minute more after it does no harm."""

MAX_REPEATS = 130
"""Repeats after which holders that don't answer count as lost: about two hours.
"""

MAX_PENDING = 4_096
"""Most releases that are repeated; beyond it the oldest are dropped."""


@attrs.define
class _PendingRelease:
    """A release and the hosts that have not acknowledged it yet."""

    message: ReleaseClaim
    hosts: set[str]
    repeat_s: float = 0.0
    wait_s: float = INITIAL_REPEAT_INTERVAL_S
    repeats: int = 0


class Releases:
    """Sends and repeats the releases of one coordinator."""

    def __init__(self) -> None:
        """Creates a sender without pending releases."""
        self._pending: OrderedDict[Attempt, _PendingRelease] = OrderedDict()

    def __len__(self) -> int:
        """Returns how many releases some holder has not acknowledged."""
        return len(self._pending)

    def send(self, attempt: ClaimAttempt) -> list[SendClaim]:
        """Returns an attempt's releases and keeps them to be repeated."""
        sends = list(attempt.releases())
        message = ReleaseClaim(attempt.key, attempt.attempt)
        hosts = {send.host for send in sends}
        self._pending[attempt.attempt] = _PendingRelease(message, hosts)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        return sends

    def handle_answer(self, sender: str, answer: ClaimAnswer) -> None:
        """Processes a holder's acknowledgement of a release."""
        pending = self._pending.get(answer.attempt)
        if pending is None:
            return
        pending.hosts.discard(sender)
        if not pending.hosts:
            del self._pending[answer.attempt]

    def due(self, now_s: float) -> list[SendClaim]:
        """Returns the repeats that are due."""
        sends: list[SendClaim] = []
        for attempt, pending in list(self._pending.items()):
            if now_s < pending.repeat_s:
                continue
            is_first_poll = not pending.repeat_s
            pending.repeat_s = now_s + pending.wait_s
            if is_first_poll:
                continue
            pending.wait_s = min(pending.wait_s * 2, MAX_REPEAT_INTERVAL_S)
            pending.repeats += 1
            sends += [
                SendClaim(host, pending.message)
                for host in sorted(pending.hosts)
            ]
            if pending.repeats >= MAX_REPEATS:
                del self._pending[attempt]
        return sends

    def next_due_s(self) -> float:
        """Returns when the next repeat is due; infinity if none is."""
        times = (pending.repeat_s for pending in self._pending.values())
        return min(times, default=float("inf"))
