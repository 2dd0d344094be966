"""Decides whether a lost answer was a crash and which requests were part of it.

A request that crashes every upstream that runs it may be sent again through any
host, so the register of suspects must know of its crashes. But most lost
answers are no crashes: a connection reset on the network path loses an answer
too, and blaming the request for it would refuse a harmless request. The two
differ in that a crashed process refuses new connections. In some network
partitions, connections to all upstreams behind the partition are refused as
well, so the verdict waits until a partition would have been detected.
"""

import asyncio
from collections.abc import Callable

from hollyknot_coordination.suspects import SuspectRegister
from hollyknot_gateway._log import Log
from hollyknot_gateway._pool import ConnectFailure
from hollyknot_gateway._prober import Prober
from hollyknot_state import Outcome, Reason, Verdict
from hollyknot_state.routes import UpstreamEntry

PROBE_DELAY_S = 0.03
"""Seconds from a loss to the probe: a process that crashes closes its
connections one after the other, and its listening socket among them."""

VERDICT_DELAY_S = 0.8
"""Seconds from a refused connection to the verdict: twice the shortest silence
that shows that a data centre is behind a network partition."""

_MAX_LOGGED = 8
"""Largest number of fingerprints in one log line."""

_LOST = frozenset({Reason.UPSTREAM_LOST, Reason.TRUNCATED})
_NO_CRASH = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
_CRASH = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)


class LossClassifier:
    """Reports to the register of suspects how each try ended."""

    def __init__(
        self,
        suspects: SuspectRegister,
        prober: Prober,
        partition_sign: Callable[[UpstreamEntry], str],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a classifier without pending losses.

        Args:
            suspects: Weighs the evidence.
            prober: Probes upstreams; a refused connection shows a crash.
            partition_sign: Returns why an upstream may be behind a network
                partition; an empty string if there is no sign of one.
            log: Logs crashes.
            clock: The loop's monotonic clock, in seconds.
        """
        self._suspects = suspects
        self._prober = prober
        self._partition_sign = partition_sign
        self._log = log
        self._clock = clock
        self._pending: dict[str, list[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_try_end(
        self, entry: UpstreamEntry, fingerprint: int, verdict: Verdict
    ) -> None:
        """Handles the end of a try whose request was sent.

        The first loss at an upstream starts a probe of it. Further losses
        there until the verdict count as part of the same incident.
        """
        if verdict.reason not in _LOST:
            self._report_end(entry, fingerprint, verdict)
            return
        pending = self._pending.get(entry.incarnation)
        if pending is not None:
            pending.append(fingerprint)
            return
        self._pending[entry.incarnation] = [fingerprint]
        task = asyncio.create_task(self._judge(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_until_judged(self) -> None:
        """Waits until all losses so far have a verdict."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _judge(self, entry: UpstreamEntry) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        failure = await self._prober.check(entry)
        is_refused = failure is ConnectFailure.REFUSED
        sign = ""
        if is_refused:
            self._log_loss("loss", entry, self._pending[entry.incarnation])
            await asyncio.sleep(VERDICT_DELAY_S)
            sign = self._partition_sign(entry)
        is_crash = is_refused and not sign
        lost = self._pending.pop(entry.incarnation)
        if is_refused:
            event = "crash" if is_crash else "crash_or_cut"
            self._log_loss(event, entry, lost, sign=sign)
        for fingerprint in lost:
            self._report_end(
                entry, fingerprint, _CRASH if is_crash else _NO_CRASH
            )

    def _log_loss(
        self, event: str, entry: UpstreamEntry, lost: list[int], **fields: str
    ) -> None:
        self._log.line(
            event,
            upstream=entry.incarnation,
            requests=len(lost),
            fingerprints=",".join(f"{f:016x}" for f in lost[:_MAX_LOGGED]),
            **fields,
        )

    def _report_end(
        self, entry: UpstreamEntry, fingerprint: int, verdict: Verdict
    ) -> None:
        self._suspects.on_end(
            fingerprint, entry.incarnation, verdict, self._clock()
        )
