"""Releases that were sent and not yet taken by every holder.

A cut that makes an attempt fail also loses its releases. The holders that
granted it would then keep its key for an attempt that never ran: each later
attempt would be told that the request may have run, and it never would. So a
release is repeated until each holder has said that it took it.
"""

from collections import OrderedDict

import attrs

from hollyknot_coordination.claims._attempt import ClaimAttempt
from hollyknot_coordination.claims._commands import SendClaim
from hollyknot_state import Attempt, ClaimAnswer, ReleaseClaim

INITIAL_REPEAT_INTERVAL_S = 0.5
MAX_REPEAT_INTERVAL_S = 60.0
"""A cut lasts an hour now and then; a minute more after it does no harm."""

MAX_REPEATS = 130
"""Repeats after which a holder counts as gone: some two hours."""

MAX_PENDING = 4_096
"""Releases that are repeated; beyond it the oldest are given up."""


@attrs.define
class _PendingRelease:
    """A release and who has not taken it yet."""

    message: ReleaseClaim
    hosts: set[str]
    repeat_s: float = 0.0
    wait_s: float = INITIAL_REPEAT_INTERVAL_S
    repeats: int = 0


class Releases:
    """The releases of one coordinator."""

    def __init__(self) -> None:
        """Has none to repeat."""
        self._pending: OrderedDict[Attempt, _PendingRelease] = OrderedDict()

    def __len__(self) -> int:
        """How many are not yet taken by every holder."""
        return len(self._pending)

    def send(self, attempt: ClaimAttempt) -> list[SendClaim]:
        """Returns an attempt's releases and repeats them from now on."""
        sends = list(attempt.releases())
        message = ReleaseClaim(attempt.key, attempt.attempt)
        hosts = {send.host for send in sends}
        self._pending[attempt.attempt] = _PendingRelease(message, hosts)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        return sends

    def handle_answer(self, sender: str, answer: ClaimAnswer) -> None:
        """Notes that a holder has taken a release."""
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
        """Returns when something is due, infinity if nothing is."""
        times = (pending.repeat_s for pending in self._pending.values())
        return min(times, default=float("inf"))
