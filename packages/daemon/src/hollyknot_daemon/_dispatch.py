"""Decides when and at which upstream each request of this host runs.

A request's task asks for a place (a slot at an upstream) and awaits it. The
state of admission and routing changes only here and without awaiting, so that
no two tasks can see a free slot and both take it.
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
    """Combines the admission queue and the upstream table of one host."""

    def __init__(
        self,
        host: str,
        data_centre: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Creates an empty queue and an empty upstream table.

        Args:
            host: This host's name.
            data_centre: This host's data centre, whose upstreams are preferred.
            rng: Source of random choices of upstreams and of the jitter in
                the times after which callers retry.
            clock: Returns the event loop's monotonic time, in seconds.
        """
        self._clock = clock
        self._rng = rng
        self._queue = AdmissionQueue(AdmissionOptions(), rng)
        self._table = UpstreamTable(RoutingOptions(), host, data_centre, rng)
        self._suspects = SuspectRegister(SuspectOptions())
        self._waiting: dict[str, _Waiting] = {}

    @property
    def table(self) -> UpstreamTable:
        """Upstream table, for probes, load reports and the status page."""
        return self._table

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.waiting

    def on_host_list(self, hosts: HostList) -> None:
        """Updates the upstreams from a new host list."""
        self._table.on_host_list(hosts, self._clock())
        self._admit_all_pools()

    async def place(
        self, info: RequestInfo, excluded: frozenset[str] = frozenset()
    ) -> Place:
        """Waits for a slot at an upstream.

        Args:
            info: Properties of the request that admission and routing use.
            excluded: Upstreams at which the request has already been tried.

        Returns:
            The chosen upstream, or the verdict by which the request is
            refused. The request counts as in flight at the upstream until
            `finished` is called.

        Raises:
            asyncio.CancelledError: The task was cancelled; the request has
                left the queue and holds no slot.
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
        """Frees the slot of a place; called once for each place given."""
        now = self._clock()
        self._suspects.on_end(info.fingerprint, choice.upstream, verdict, now)
        self._table.on_finished(
            choice.upstream, info.request_id, verdict, now, met_target
        )
        self._queue.on_finished(info.request_id, service_time_s, tokens, now)
        self._admit_waiting(info.pool)

    def on_first_byte(self, choice: Choice, info: RequestInfo) -> None:
        """Records that an upstream began to answer a request."""
        self._table.on_first_byte(
            choice.upstream, info.request_id, self._clock()
        )

    def on_peer_signals(
        self,
        pressures: tuple[TierPressure, ...],
        signs: tuple[UpstreamSign, ...],
        suspects: tuple[SuspectRecord, ...],
    ) -> None:
        """Applies pressures, health signs and suspects that peers gossip."""
        now = self._clock()
        self._queue.on_peer_pressure(pressures, now)
        self._table.on_signs(signs, now)
        self._suspects.on_records(suspects, now)
        self._admit_all_pools()

    def local_pressure(self) -> tuple[TierPressure, ...]:
        """Returns this host's pressures, to be gossiped to peers."""
        return self._queue.local_pressure(self._clock())

    def local_signs(self) -> tuple[UpstreamSign, ...]:
        """Returns this host's health signs, to be gossiped to peers."""
        return self._table.local_signs(self._clock())

    def local_suspects(self) -> tuple[SuspectRecord, ...]:
        """Returns this host's suspect records, to be gossiped to peers."""
        return self._suspects.records(self._clock())

    def expire(self) -> None:
        """Drops expired suspect records; called about every second."""
        self._suspects.expire(self._clock())

    def tick(self) -> None:
        """Admits or refuses waiting requests that have become due."""
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
        # The request is checked again, since upstreams may have been lost to
        # requests with its fingerprint while it waited.
        gate = self._suspects.gate(info.fingerprint, now)
        if isinstance(gate, RefuseSuspect):
            self._queue.withdraw(info.request_id, now)
            return gate.verdict
        isolated_from = (
            gate.exclude if isinstance(gate, Isolate) else frozenset()
        )
        # If every other upstream has been tried or is full, the request goes
        # to one that was tried before, since its cause of refusal may be over.
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
        """Releases the slot or the queue entry of a cancelled request.

        A caller may disconnect after its request got a slot and before the
        request's task resumes. Without the release such slots would count as
        in use for ever, and the upstream would seem busy while it idles.
        """
        now = self._clock()
        if future.done() and not future.cancelled():
            place = future.result()
            if isinstance(place, Choice):
                verdict = Verdict(Outcome.NOT_RUN, Reason.CALLER_GONE)
                self.finished(place, info, verdict, False, 0, 0.0)
                return
        self._queue.withdraw(info.request_id, now)
