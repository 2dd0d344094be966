"""Asks for trials of what may crash upstreams, and grants those of peers."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable

from hollyknot_coordination.forwarding import Rendezvous, ReportRate, Tracker
from hollyknot_coordination.suspects import Suspects, Trial, TrialOwner
from hollyknot_gateway._log import Log
from hollyknot_gateway._reports import TrialMessage, encode_message
from hollyknot_state import Address, TrialAnswer, TrialQuery

ANSWER_TIMEOUT_S = 0.05
"""Seconds until a query is sent once more, as a datagram may be lost."""

MAX_QUERIES = 2
"""Times that a query is sent to one host."""

MAX_OWNERS = 3
"""Most hosts that are asked, each after the one before did not answer."""

MAX_ANSWERS = 256
"""Most answers that are kept for queries that are repeated."""

SILENCE_S = 3.0
"""Seconds without an answer of any owner after which a host decides by itself:
it may be cut off, or among hosts of a release without trials."""

SILENT_WAIT_S = 1.0
"""Seconds to the next trial if no owner answers."""

SHORT_WAIT_S = 2.0
"""Longest wait that the owner is asked about again for each request."""

_FIRST_NUMBERS = 2**30
_MS = 1000


class TrialRequester:
    """Has each identity's owner decide on its trials."""

    def __init__(
        self,
        suspects: Suspects,
        owners: Rendezvous,
        own: Tracker,
        is_informed: Callable[[], bool],
        rate: ReportRate,
        send: Callable[[bytes, list[Address]], None],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Builds a requester that has asked for nothing.

        Args:
            suspects: What may crash upstreams, and what was answered.
            owners: Ranks the hosts by identity.
            own: This host, as its peers know it.
            is_informed: Whether this host knows what its peers know. Until
                then it decides on no trial.
            rate: Byte budget that all sent messages are charged to.
            send: Sends a datagram to the given hosts.
            log: Logs trials.
            clock: The loop's monotonic clock, in seconds.
        """
        self._suspects = suspects
        self._owners = owners
        self._own = own
        self._is_informed = is_informed
        self._rate = rate
        self._send = send
        self._log = log
        self._clock = clock
        self._owner = TrialOwner()
        self._answers: OrderedDict[tuple[Address, int], TrialAnswer] = (
            OrderedDict()
        )
        # A host that has just started must not repeat its earlier numbers.
        self._numbers = itertools.count(own.incarnation % _FIRST_NUMBERS)
        self._waiting: dict[int, asyncio.Future[float]] = {}
        self._silent_since_s = 0.0
        self._last_silence_s = float("-inf")

    async def ask(self, trial: Trial, request: str) -> float:
        """Asks whether a request may be sent.

        A host that reaches none of the first owners for `SILENCE_S` decides by
        itself.

        Args:
            trial: What is suspected.
            request: Id of the request, for the log.

        Returns:
            0 if it may be sent now, else seconds until one may be.
        """
        wait_s = await self._decision(trial)
        if wait_s > SHORT_WAIT_S:
            self._suspects.deny(trial, wait_s, self._clock())
        self._log.line(
            "trial_denied" if wait_s else "trial_granted",
            request=request,
            identity=f"{trial.identity:016x}",
            crashes=trial.crashes,
            alone=trial.is_alone,
            wait_ms=round(wait_s * _MS),
        )
        return wait_s

    def handle(self, message: TrialMessage, sender: Address) -> None:
        """Handles a message of a peer."""
        if isinstance(message, TrialQuery):
            if not self._is_informed():
                # The host that asks goes on to the next owner.
                return
            trial = Trial(
                message.identity,
                message.crashes,
                message.is_alone,
                frozenset(),
            )
            self._send_to(self._answer(message, trial, sender), sender)
            return
        self._last_silence_s = float("-inf")
        waiting = self._waiting.get(message.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(message.wait_ms / _MS)

    def _answer(
        self, query: TrialQuery, trial: Trial, sender: Address
    ) -> TrialAnswer:
        """Answers a query; one that is repeated gets the same answer."""
        key = (sender, query.number)
        answer = self._answers.get(key)
        if answer is None:
            wait_ms = round(self._decide(trial) * _MS)
            answer = TrialAnswer(query.number, wait_ms)
            self._answers[key] = answer
            if len(self._answers) > MAX_ANSWERS:
                self._answers.popitem(last=False)
        return answer

    async def _decision(self, trial: Trial) -> float:
        owners = self._owners.first(trial.identity, MAX_OWNERS, self._own)
        for owner in owners:
            if owner is self._own:
                if self._is_informed():
                    return self._decide(trial)
                continue
            wait_s = await self._ask_peer(trial, owner.address)
            if wait_s is not None:
                return wait_s
        return self._decide(trial) if self._is_silence() else SILENT_WAIT_S

    def _is_silence(self) -> bool:
        """Whether no owner has answered for so long that none may exist."""
        now_s = self._clock()
        if now_s - self._last_silence_s > SILENCE_S:
            self._silent_since_s = now_s
        self._last_silence_s = now_s
        return now_s - self._silent_since_s >= SILENCE_S

    def _decide(self, trial: Trial) -> float:
        """Decides on a trial as the owner of its identity."""
        now_s = self._clock()
        identity = trial.identity
        if self._suspects.is_proved(identity, now_s):
            self._owner.clear(identity)
            return 0.0
        wait_s = self._suspects.convicted_s(identity, now_s)
        if wait_s > 0:
            # The host that asks has missed some of the crashes.
            return wait_s
        crashes = max(trial.crashes, self._suspects.count(identity, now_s))
        return self._owner.decide(
            identity, crashes, now_s, is_alone=trial.is_alone
        )

    async def _ask_peer(self, trial: Trial, peer: Address) -> float | None:
        """Returns a peer's decision; None if it does not answer."""
        number = next(self._numbers)
        query = TrialQuery(
            number, trial.identity, trial.crashes, trial.is_alone
        )
        answer: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[number] = answer
        try:
            for _ in range(MAX_QUERIES):
                self._send_to(query, peer)
                done, _pending = await asyncio.wait(
                    (answer,), timeout=ANSWER_TIMEOUT_S
                )
                if done:
                    return answer.result()
            self._log.line("trial_owner_silent", owner=str(peer))
            return None
        finally:
            del self._waiting[number]

    def _send_to(self, message: TrialMessage, address: Address) -> None:
        data = encode_message(message)
        self._send(data, [address])
        self._rate.spend_on_queries(len(data))
