"""Owns the decisions about who runs when and where on this host.

Request tasks ask for a place and await it; everything that changes the
decisions' state is done here, without awaiting, so that no two tasks can see a
free slot and both take it.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from hollyknot_coordination.admission import (
    AdmissionCommand,
    AdmissionOptions,
    AdmissionQueue,
    Admit,
    Refuse,
)
from hollyknot_coordination.routing import (
    Choice,
    RoutingOptions,
    UpstreamTable,
)
from hollyknot_coordination.suspects import (
    Isolate,
    SuspectOptions,
    SuspectRegister,
)
from hollyknot_coordination.suspects import Refuse as RefuseSuspect
from hollyknot_state import (
    HostList,
    Outcome,
    Reason,
    RequestInfo,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
    Verdict,
)

Place = Choice | Verdict
"""An upstream that holds a slot for the request, or why there is none."""

_NO_UPSTREAM_RETRY_S = 5.0


@attrs.define
class _Waiting:
    info: RequestInfo
    excluded: frozenset[str]
    place: asyncio.Future[Place]


class Dispatcher:
    """The admission queue and the table of upstreams of one host."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Makes empty decisions.

        Args:
            host: This host's name.
            data_centre: Its data centre; upstreams here are preferred.
            rng: Spreads choices and times to come back.
            clock: The loop's monotonic clock, in seconds.
        """
        self._clock = clock
        self._rng = rng
        self._queue = AdmissionQueue(AdmissionOptions(), rng)
        self._table = UpstreamTable(RoutingOptions(), host, data_centre, rng)
        self._suspects = SuspectRegister(SuspectOptions())
        self._waiting: dict[str, _Waiting] = {}

    @property
    def table(self) -> UpstreamTable:
        """The upstreams, for probes, load reports and status pages."""
        return self._table

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.waiting

    def on_host_list(self, hosts: HostList) -> None:
        """Takes a new host list in."""
        self._table.on_host_list(hosts, self._clock())
        self._admit_all_pools()

    async def place(
        self, info: RequestInfo, excluded: frozenset[str] = frozenset()
    ) -> Place:
        """Waits for a slot at an upstream.

        Args:
            info: The request.
            excluded: Upstreams that it was tried at already.

        Returns:
            The upstream, where the request then counts as in flight until
            `finished`; or the verdict by which it is refused. Cancelling
            takes the request out of the queue.
        """
        if not self._table.has_pool(info.pool):
            return self._no_upstream(info)
        gate = self._suspects.gate(info.fingerprint, self._clock())
        if isinstance(gate, RefuseSuspect):
            return gate.verdict
        future: asyncio.Future[Place] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[info.request_id] = _Waiting(info, excluded, future)
        now = self._clock()
        self._apply(self._queue.offer(info, now))
        self._admit_waiting(info.pool)
        try:
            return await future
        except asyncio.CancelledError:
            self._release_cancelled(info, future)
            raise
        finally:
            self._waiting.pop(info.request_id, None)

    def finished(
        self,
        choice: Choice,
        info: RequestInfo,
        verdict: Verdict,
        met_target: bool,
        tokens: int,
        service_time_s: float,
    ) -> None:
        """Frees a slot; called once for each place that was given."""
        now = self._clock()
        self._suspects.on_end(info.fingerprint, choice.upstream, verdict, now)
        self._table.on_finished(
            choice.upstream, info.request_id, verdict, now, met_target
        )
        self._queue.on_finished(info.request_id, service_time_s, tokens, now)
        self._admit_waiting(info.pool)

    def on_first_byte(self, choice: Choice, info: RequestInfo) -> None:
        """Notes that an upstream began to answer."""
        self._table.on_first_byte(
            choice.upstream, info.request_id, self._clock()
        )

    def on_peer_signals(
        self,
        pressures: tuple[TierPressure, ...],
        signs: tuple[UpstreamSign, ...],
        suspects: tuple[SuspectRecord, ...],
    ) -> None:
        """Takes peers' soft signals in."""
        now = self._clock()
        self._queue.on_peer_pressure(pressures, now)
        self._table.on_signs(signs, now)
        self._suspects.on_records(suspects, now)
        self._admit_all_pools()

    def local_pressure(self) -> tuple[TierPressure, ...]:
        """Returns the pressure to tell peers of."""
        return self._queue.local_pressure(self._clock())

    def local_signs(self) -> tuple[UpstreamSign, ...]:
        """Returns the signs of upstreams to tell peers of."""
        return self._table.local_signs(self._clock())

    def local_suspects(self) -> tuple[SuspectRecord, ...]:
        """Returns the evidence against requests to tell peers of."""
        return self._suspects.records(self._clock())

    def expire(self) -> None:
        """Forgets old evidence; called every second or so."""
        self._suspects.expire(self._clock())

    def tick(self) -> None:
        """Does what has become due by time alone."""
        self._apply(self._queue.tick(self._clock()))
        self._admit_all_pools()

    def _admit_all_pools(self) -> None:
        pools = {waiting.info.pool for waiting in self._waiting.values()}
        for pool in sorted(pools):
            self._admit_waiting(pool)

    def _admit_waiting(self, pool: str) -> None:
        now = self._clock()
        free = self._table.free_slots(pool, now)
        if free > 0:
            self._apply(self._queue.on_capacity(pool, free, now))

    def _apply(self, commands: tuple[AdmissionCommand, ...]) -> None:
        for command in commands:
            waiting = self._waiting.pop(command.request_id, None)
            if waiting is None or waiting.place.done():
                continue
            if isinstance(command, Refuse):
                waiting.place.set_result(command.verdict)
            elif isinstance(command, Admit):
                waiting.place.set_result(self._choose(waiting))

    def _choose(self, waiting: _Waiting) -> Place:
        now = self._clock()
        info = waiting.info
        # Again, since other requests may have been lost while it waited.
        gate = self._suspects.gate(info.fingerprint, now)
        if isinstance(gate, RefuseSuspect):
            self._queue.withdraw(info.request_id, now)
            return gate.verdict
        isolated_from = (
            gate.exclude if isinstance(gate, Isolate) else frozenset()
        )
        # Every other upstream may have been tried or be full: one tried
        # before is better than none, since its refusal may have passed.
        for excluded in dict.fromkeys((waiting.excluded, frozenset[str]())):
            found = self._table.choose(info, now, excluded | isolated_from)
            if isinstance(found, Choice):
                self._suspects.on_dispatch(info.fingerprint, found.upstream)
                return found
        self._queue.withdraw(info.request_id, now)
        return self._no_upstream(info)

    def _no_upstream(self, info: RequestInfo) -> Verdict:
        return Verdict(
            Outcome.NOT_RUN,
            Reason.NO_UPSTREAM,
            f"No upstream of '{info.pool}' can take the request",
            _NO_UPSTREAM_RETRY_S * self._rng.uniform(0.5, 1.5),
        )

    def _release_cancelled(
        self, info: RequestInfo, future: asyncio.Future[Place]
    ) -> None:
        """Gives back what a cancelled request held or waited for.

        The caller may go just after the slot was given and before its task
        ran again. The slot would then be counted as taken for ever: the
        upstream would look busier and busier while it idles.
        """
        now = self._clock()
        if future.done() and not future.cancelled():
            place = future.result()
            if isinstance(place, Choice):
                verdict = Verdict(Outcome.NOT_RUN, Reason.CALLER_GONE)
                self.finished(place, info, verdict, False, 0, 0.0)
                return
        self._queue.withdraw(info.request_id, now)
