"""Decides whether a lost answer was a crash and which requests were part of it.

A request that crashes every upstream that runs it may be sent again through any
host, so the register of suspects must know of its crashes. But most lost
answers are no crashes: a connection reset on the network path loses an answer
too, and blaming the request for it would refuse a harmless request. The two
differ in that a crashed process refuses new connections.

In some network partitions, connections to all upstreams behind the partition
are refused as well, so the verdict waits until a partition would have been
detected. A sign of one proves little, since upstreams that crash beside each
other look alike. The loss then stays undecided until there is proof: another
upstream of the data centre can be reached while this one still refuses, or
another incarnation takes its place, which show a crash; or the upstream answers
again, which shows that there was none.

A process that starts again before it is probed accepts the connection, as if it
had not crashed. A loss at an upstream that refuses no connection stays
undecided as well, for as long as its successor may take to be listed.
"""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from hollyknot_coordination.suspects import RequestIdentity, Suspects
from hollyknot_gateway._log import Log, fingerprints_text
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

MAX_UNDECIDED_S = 30.0
"""Seconds for which a loss without proof stays undecided. Upstreams may take
that long to start again."""

MAX_RESTART_S = 5.0
"""Seconds for which a loss stays undecided at an upstream that refuses no
connection: time for its successor's entry to arrive, and short enough that a
planned replacement is rarely taken for the end of a crash."""

MAX_UNDECIDED = 256
"""Most undecided losses; the oldest are dropped first."""

_LOST = frozenset({Reason.UPSTREAM_LOST, Reason.TRUNCATED})
_ANSWERED = frozenset({Outcome.COMPLETE, Outcome.FAILED})
_NO_CRASH = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_SILENT)
_CRASH = Verdict(Outcome.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)


@attrs.frozen
class PartitionSigns:
    """What a host knows of partitions and of upstreams that have ended.

    Attributes:
        sign: Returns why an upstream may be behind a network partition; an
            empty string if there is no sign of one.
        others_to_probe: Returns other upstreams of an upstream's data centre
            that count as reachable, to be compared with it.
        has_successor: Returns whether another incarnation has taken an
            upstream's place.
    """

    sign: Callable[[UpstreamEntry], str]
    others_to_probe: Callable[[UpstreamEntry], list[UpstreamEntry]]
    has_successor: Callable[[UpstreamEntry], bool]


@attrs.frozen
class _UndecidedLoss:
    """A loss that may have been a crash or a partition.

    Attributes:
        entry: The upstream.
        requests: The requests that were lost.
        at_s: Time of the first loss in seconds.
        until_s: Time in seconds at which it is dropped.
    """

    entry: UpstreamEntry
    requests: tuple[RequestIdentity, ...]
    at_s: float
    until_s: float


class LossClassifier:
    """Reports to the registers of suspects how each try ended."""

    def __init__(
        self,
        suspects: Suspects,
        prober: Prober,
        signs: PartitionSigns,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a classifier without pending losses.

        Args:
            suspects: Weighs the evidence.
            prober: Probes upstreams; a refused connection shows a crash.
            signs: What is known of partitions.
            log: Logs crashes.
            clock: The loop's monotonic clock, in seconds.
        """
        self._suspects = suspects
        self._prober = prober
        self._signs = signs
        self._log = log
        self._clock = clock
        self._pending: dict[str, list[RequestIdentity]] = {}
        self._undecided: list[_UndecidedLoss] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def on_try_end(
        self,
        entry: UpstreamEntry,
        request: RequestIdentity,
        verdict: Verdict,
    ) -> None:
        """Handles the end of a try whose request was sent.

        The first loss at an upstream starts a probe of it. Further losses
        there until the verdict count as part of the same incident.
        """
        if verdict.reason not in _LOST:
            if verdict.outcome in _ANSWERED:
                self._drop_undecided(entry.incarnation)
            self._report_end(entry, request, verdict)
            return
        pending = self._pending.get(entry.incarnation)
        if pending is not None:
            pending.append(request)
            return
        self._pending[entry.incarnation] = [request]
        task = asyncio.create_task(self._judge(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def settle(self) -> None:
        """Judges the undecided losses for which there is proof now.

        Call it several times a second.
        """
        now_s = self._clock()
        remaining = []
        for loss in self._undecided:
            if self._signs.has_successor(loss.entry):
                self._log_loss("crash", loss.entry, loss.requests)
                self._suspects.on_late_verdict(
                    loss.requests, loss.entry.incarnation, loss.at_s
                )
            elif now_s < loss.until_s:
                remaining.append(loss)
        self._undecided = remaining

    @property
    def is_judging(self) -> bool:
        """Whether a loss awaits its verdict, of which this host alone knows."""
        return bool(self._tasks)

    async def wait_until_judged(self) -> None:
        """Waits until all losses so far have a verdict or are undecided."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _judge(self, entry: UpstreamEntry) -> None:
        """Judges the losses at an upstream.

        If that fails, they count as no crash: as long as they were pending,
        no later loss there would be judged.
        """
        try:
            await self._probe_and_judge(entry)
        except Exception:
            lost = self._pending.pop(entry.incarnation, [])
            self._report_lost(entry, lost, _NO_CRASH)
            raise

    async def _probe_and_judge(self, entry: UpstreamEntry) -> None:
        lost_s = self._clock()
        await asyncio.sleep(PROBE_DELAY_S)
        if await self._prober.check(entry) is not ConnectFailure.REFUSED:
            self._leave_undecided(entry, lost_s, MAX_RESTART_S)
            return
        self._suspects.on_pending_loss(entry.incarnation, self._clock())
        self._log_loss("loss", entry, self._pending[entry.incarnation])
        await asyncio.sleep(VERDICT_DELAY_S)
        sign = self._signs.sign(entry)
        is_crash = not sign or await self._is_refused_alone(entry)
        if is_crash:
            lost = self._pop_pending(entry)
            self._log_loss("crash", entry, lost)
            self._report_lost(entry, lost, _CRASH)
            return
        self._log_loss(
            "crash_or_cut", entry, self._pending[entry.incarnation], sign=sign
        )
        self._leave_undecided(entry, lost_s, MAX_UNDECIDED_S)

    def _leave_undecided(
        self, entry: UpstreamEntry, lost_s: float, for_s: float
    ) -> None:
        """Ends the tries at an upstream and waits for proof of its crash."""
        lost = self._pop_pending(entry)
        self._report_lost(entry, lost, _NO_CRASH)
        self._undecided.append(
            _UndecidedLoss(entry, tuple(lost), lost_s, lost_s + for_s)
        )
        del self._undecided[:-MAX_UNDECIDED]

    async def _is_refused_alone(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream refuses while others beside it are reached."""
        others = self._signs.others_to_probe(entry)
        failures = await asyncio.gather(*map(self._prober.check, others))
        if None not in failures:
            return False
        # Probed again after the others: a partition may have ended meanwhile.
        return await self._prober.check(entry) is ConnectFailure.REFUSED

    def _drop_undecided(self, incarnation: str) -> None:
        """Drops the losses of an upstream that answers, so did not crash."""
        if not self._undecided:
            return
        self._undecided = [
            loss
            for loss in self._undecided
            if loss.entry.incarnation != incarnation
        ]

    def _pop_pending(self, entry: UpstreamEntry) -> list[RequestIdentity]:
        return self._pending.pop(entry.incarnation)

    def _log_loss(
        self,
        event: str,
        entry: UpstreamEntry,
        lost: Sequence[RequestIdentity],
        **fields: str,
    ) -> None:
        self._log.line(
            event,
            upstream=entry.incarnation,
            requests=len(lost),
            fingerprints=fingerprints_text([r.fingerprint for r in lost]),
            **fields,
        )

    def _report_lost(
        self,
        entry: UpstreamEntry,
        lost: Sequence[RequestIdentity],
        verdict: Verdict,
    ) -> None:
        for request in lost:
            self._report_end(entry, request, verdict)

    def _report_end(
        self,
        entry: UpstreamEntry,
        request: RequestIdentity,
        verdict: Verdict,
    ) -> None:
        self._suspects.on_end(
            request, entry.incarnation, verdict, self._clock()
        )
