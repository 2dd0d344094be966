"""Claims on this host: as the coordinator of its requests and as a holder."""

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
"""Seconds for a claim; the caller is then told when to come back."""

_MAX_LEARNING_S = 10.0
_NS_PER_MS = 1_000_000

Send = Callable[[str, ClaimMessage], None]
"""Sends a message to a host by name, best effort."""


class ClaimsTask:
    """Owns the coordinator and the holder of this host."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        send: Send,
        options: ClaimOptions,
    ) -> None:
        """Knows no hosts yet.

        Args:
            settings: Of this host.
            rng: Spreads times to come back.
            send: Sends to other hosts.
            options: Times; `remember_s` follows the declarations.
        """
        self._host = settings.host
        self._send = send
        self._clock = asyncio.get_running_loop().time
        # No process may repeat another's number, or it could release, or take
        # for its own, what that one was granted.
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
        """Keys that this host remembers as a holder."""
        return self._holder.records()

    @property
    def pending_handovers(self) -> int:
        """Slots whose claims no other host could tell yet."""
        return self._holder.pending_handovers

    @property
    def learning_slots(self) -> int:
        """Slots that this host holds but may not grant for yet."""
        return len(self._holder.learning_slots())

    @property
    def may_serve(self) -> bool:
        """Whether this host may serve non-idempotent requests.

        Once true it stays so: slots that it learns later are claimed at the
        other holders meanwhile.
        """
        return self._may_serve

    def on_view(self, view: DocumentsView, is_listed: bool) -> None:
        """Takes a newer host list, or newly declared data centres.

        Args:
            view: The documents in force.
            is_listed: Whether the host list names this host.
        """
        now = self._now()
        # A list from before this host was added gives it no slots to learn: it
        # would look settled, and refuse the first keys as too old.
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
        # Most changes of the declarations move no holder.
        if placement_inputs == self._placement_inputs:
            return
        self._placement_inputs = placement_inputs
        placement = make_placement(
            view.hosts, data_centres, self._coordinator.placement
        )
        self._execute(self._holder.update(placement, now))
        self._execute(self._coordinator.update(placement, now))

    def on_message(self, sender: str, message: ClaimMessage) -> None:
        """Takes a message of an authenticated host, or of this one."""
        now = self._now()
        if isinstance(message, ClaimAnswer):
            self._execute(self._coordinator.receive(sender, message, now))
        else:
            self._execute(self._holder.receive(sender, message, now))

    def tick(self) -> None:
        """Repeats what is unanswered; called every 0.1 s or so."""
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
        """Tells whether all slots are learnt, and open to keys of this moment.

        A slot that can't be learnt must not keep the host from serving
        everything else, so that the wait is bounded.
        """
        waited_s = now.now_s - self._listed_since_s
        if waited_s >= _MAX_LEARNING_S:
            return True
        is_learnt = waited_s >= 0 and not self._holder.learning_slots()
        return is_learnt and now.wall_ms > self._holder.horizon_ms

    async def wait_handed_over(self) -> None:
        """Waits until other hosts could tell all claims that this one holds."""
        self._handover_done.clear()
        await self._handover_done.wait()

    def forget(self) -> None:
        """Forgets keys that are too old; called every minute or so."""
        self._execute(self._holder.poll(self._now()))

    async def claim(
        self, customer: str, service: str, idempotency_key: str
    ) -> Grant | Verdict:
        """Asks for the claim of a non-idempotent request.

        Returns:
            The grant, to be settled once; or why the request must not run.
        """
        key = claim_key(customer, service, idempotency_key)
        if isinstance(key, KeyFault):
            return _key_refusal(key, idempotency_key)
        commands = self._coordinator.claim(key, self._now(), CLAIM_TIMEOUT_S)
        # A second request for a key that is under way here is refused at once
        # and must not answer the first one's wait.
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
            # Nothing was dispatched: without giving the claim back, the
            # caller's next attempt would be told that it may have run.
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
        # Later, not now: the decisions are not to be entered again while they
        # give their commands.
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
