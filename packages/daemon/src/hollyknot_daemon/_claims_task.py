"""Runs this host's part in claims of non-idempotent requests.

The host is the coordinator of the claims for its own requests, and a holder of
claims for the requests of all hosts.
"""

import asyncio
import random
import time
from collections.abc import Callable

import attrs

from hollyknot_coordination.claims import (
    ClaimCommand,
    ClaimGranted,
    ClaimOptions,
    ClaimRefused,
    Coordinator,
    Holder,
    Instant,
    KeyFault,
    SendClaim,
    claim_key,
    make_placement,
)
from hollyknot_daemon._claiming import Grant
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_state import (
    ClaimAnswer,
    ClaimMessage,
    Outcome,
    Reason,
    Settings,
    Verdict,
)

CLAIM_TIMEOUT_S = 2.0
"""Longest wait for a claim. After it the request is refused with a time after
which to retry."""

_MAX_LEARNING_S = 10.0
"""Longest wait for all slots to be learnt, from the first host list that names
this host."""

_NS_PER_MS = 1_000_000

Send = Callable[[str, ClaimMessage], None]
"""Sends a message to the named host, without a guarantee of delivery."""


class ClaimsTask:
    """Connects the claim coordinator and holder of this host to its links."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        send: Send,
        options: ClaimOptions,
    ) -> None:
        """Creates a coordinator and a holder that know no hosts yet.

        Args:
            settings: This host's settings.
            rng: Source of the jitter in the times after which callers retry.
            send: Sends a message to another host.
            options: Timeouts and limits of claims. Its `remember_s` is
                replaced by the longest one declared for a service.
        """
        self._host = settings.host
        self._send = send
        self._clock = asyncio.get_running_loop().time
        # The incarnation must differ from that of every other process of this
        # host. With the same number, a process could release claims granted to
        # another one, or take them for its own.
        incarnation = time.time_ns()
        placement = make_placement(DocumentsView().hosts, ())
        self._coordinator = Coordinator(
            settings.host, incarnation, placement, rng, options
        )
        self._holder = Holder(
            settings.host, settings.data_centre, incarnation, options
        )
        self._listed_since_s = float("inf")
        self._placement_inputs: tuple[int, tuple[str, ...]] = (0, ())
        self._may_serve = False
        self._handover_done = asyncio.Event()
        self._handover_done.set()
        self._waiting: dict[bytes, asyncio.Future[Grant | Verdict]] = {}

    @property
    def records(self) -> int:
        """Number of keys that this host stores as a holder."""
        return self._holder.records()

    @property
    def pending_handovers(self) -> int:
        """Number of slots whose claims would be lost with this host."""
        return self._holder.pending_handovers

    @property
    def learning_slots(self) -> int:
        """Number of slots that this host holds but may not grant for yet."""
        return len(self._holder.learning_slots())

    @property
    def may_serve(self) -> bool:
        """Whether this host may serve non-idempotent requests.

        Once true it stays true: while this host learns a slot that is assigned
        to it later, the slot's other holders grant the claims.
        """
        return self._may_serve

    def on_view(self, view: DocumentsView, is_listed: bool) -> None:
        """Updates placement and retention from newly adopted documents.

        Args:
            view: Declarations and host list in force.
            is_listed: Whether the host list names this host.
        """
        now = self._now()
        # A host list from before this host was added assigns it no slots to
        # learn. If it counted, the host would seem ready and then refuse the
        # first keys as too old.
        if view.is_complete and is_listed:
            self._listed_since_s = min(self._listed_since_s, now.now_s)
        services = view.declarations.services.values()
        remember_s = max((s.remember_s for s in services), default=0)
        if remember_s:
            self._holder.options = attrs.evolve(
                self._holder.options, remember_s=remember_s
            )
        data_centres = view.declarations.data_centres
        placement_inputs = (view.hosts.revision, data_centres)
        # Most changes of the declarations leave the placement as it is.
        if placement_inputs == self._placement_inputs:
            return
        self._placement_inputs = placement_inputs
        placement = make_placement(
            view.hosts, data_centres, self._coordinator.placement
        )
        self._execute(self._holder.update(placement, now))
        self._execute(self._coordinator.update(placement, now))

    def on_message(self, sender: str, message: ClaimMessage) -> None:
        """Handles a claim message of an authenticated host or of this one."""
        now = self._now()
        if isinstance(message, ClaimAnswer):
            self._execute(self._coordinator.receive(sender, message, now))
        else:
            self._execute(self._holder.receive(sender, message, now))

    def tick(self) -> None:
        """Resends unanswered messages; called about every 0.1 s."""
        now = self._now()
        if now.now_s >= self._coordinator.next_poll_s():
            self._execute(self._coordinator.poll(now))
        if now.now_s >= self._holder.next_poll_s():
            self._execute(self._holder.poll(now))
        if not self._may_serve:
            self._may_serve = self._can_start_serving(now)
        if not self._handover_done.is_set() and not self.pending_handovers:
            self._handover_done.set()

    def _can_start_serving(self, now: Instant) -> bool:
        """Tells whether all slots are learnt and accept keys made just now.

        The wait is bounded by `_MAX_LEARNING_S`: a slot that can't be learnt
        must not keep the host from serving all other requests.
        """
        waited_s = now.now_s - self._listed_since_s
        if waited_s >= _MAX_LEARNING_S:
            return True
        is_learnt = waited_s >= 0 and not self._holder.learning_slots()
        return is_learnt and now.wall_ms > self._holder.horizon_ms

    async def wait_handed_over(self) -> None:
        """Waits until no claim would be lost if this host stopped."""
        self._handover_done.clear()
        await self._handover_done.wait()

    def forget(self) -> None:
        """Drops keys past their retention; called about every minute."""
        self._execute(self._holder.poll(self._now()))

    async def claim(
        self, customer: str, service: str, idempotency_key: str
    ) -> Grant | Verdict:
        """Requests the claim for a non-idempotent request.

        Returns:
            The grant, which must be settled exactly once, or a verdict that
            says why the request must not run.
        """
        key = claim_key(customer, service, idempotency_key)
        if isinstance(key, KeyFault):
            return _key_refusal(key, idempotency_key)
        commands = self._coordinator.claim(key, self._now(), CLAIM_TIMEOUT_S)
        # A second request with a key that is being claimed on this host is
        # refused at once. Its refusal must not complete the future on which
        # the first request waits.
        for command in commands:
            if isinstance(command, ClaimRefused):
                return command.verdict
        waiting: asyncio.Future[Grant | Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[key] = waiting
        self._execute(commands)
        try:
            return await waiting
        except asyncio.CancelledError:
            # Nothing was sent upstream, so the claim is released. Otherwise
            # the caller's next attempt would be refused as possibly run.
            self._execute(self._coordinator.finish(key, Outcome.NOT_RUN))
            raise
        finally:
            self._waiting.pop(key, None)

    def _execute(self, commands: list[ClaimCommand] | list[SendClaim]) -> None:
        for command in commands:
            match command:
                case SendClaim(host=host, message=message):
                    self._deliver(host, message)
                case ClaimGranted(key=key):
                    self._answer(key, self._build_grant(key))
                case ClaimRefused(key=key, verdict=verdict):
                    self._answer(key, verdict)

    def _deliver(self, host: str, message: ClaimMessage) -> None:
        if host != self._host:
            self._send(host, message)
            return
        # Deferred to the event loop: the coordinator and the holder are not
        # reentrant while their commands are being executed.
        loop = asyncio.get_running_loop()
        loop.call_soon(self.on_message, self._host, message)

    def _answer(self, key: bytes, answer: Grant | Verdict) -> None:
        waiting = self._waiting.get(key)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _build_grant(self, key: bytes) -> Grant:
        def settle(verdict: Verdict) -> None:
            self._execute(self._coordinator.finish(key, verdict.outcome))

        return Grant(settle)

    def _now(self) -> Instant:
        return Instant(self._clock(), time.time_ns() // _NS_PER_MS)


def _key_refusal(fault: KeyFault, idempotency_key: str) -> Verdict:
    detail = fault.value
    if not idempotency_key:
        detail = (
            "this call runs at most once: send 'Idempotency-Key' with a UUID"
            " of version 7 and repeat it when you send the call again"
        )
    return Verdict(Outcome.NOT_RUN, Reason.IDEMPOTENCY_KEY, detail)
