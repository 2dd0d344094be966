"""Probes one peer a round, itself and through others, in a shuffled ring."""

import random
from collections.abc import Callable

import attrs

from hollyknot_coordination._peer_commands import Send
from hollyknot_state import IndirectProbe, Probe, ProbeAck

ROUND_S = 1.0
"""Seconds between probes; also the time in which one must be answered."""

DIRECT_TIMEOUT_S = 0.4
"""Seconds after which others are asked; far above a round trip."""

MAX_HELPERS = 2
"""Peers that are asked to probe for this host."""

RELAY_TTL_S = 2.0
MAX_RELAYS = 256

_NO_TARGET = ""


@attrs.frozen
class _Relay:
    requester: str
    sequence: int
    expires_s: float


class Prober:
    """The ring, the probe under way and the probes on behalf of others."""

    def __init__(self, rng: random.Random, now_s: float) -> None:
        self._rng = rng
        self._ring: list[str] = []
        self._sequence = 0
        self._target = _NO_TARGET
        self._target_sequence = 0
        self._has_asked_helpers = False
        self._started_s = now_s
        self._next_s = now_s + rng.uniform(0, ROUND_S)
        self._relays: dict[int, _Relay] = {}

    def on_tick(
        self,
        listed: tuple[str, ...],
        alive: tuple[str, ...],
        suspect: Callable[[str], None],
        now_s: float,
    ) -> list[Send]:
        """Goes on with the round.

        Args:
            listed: Peers to probe; each is probed once in two turns of the
                ring at most, also a dead one, so that it is found again.
            alive: Peers that may be asked to help.
            suspect: Called with a peer that nobody reached in the round.
            now_s: Monotonic seconds.
        """
        if now_s >= self._next_s:
            if self._target:
                suspect(self._target)
            return self._start_round(listed, now_s)
        is_late = now_s - self._started_s >= DIRECT_TIMEOUT_S
        if self._target and is_late and not self._has_asked_helpers:
            self._has_asked_helpers = True
            return self._ask_helpers(alive)
        return []

    def on_probe(self, peer: str, probe: Probe) -> list[Send]:
        """Answers that this host is alive."""
        return [Send(peer, ProbeAck(probe.sequence))]

    def on_indirect_probe(
        self, peer: str, probe: IndirectProbe, now_s: float
    ) -> list[Send]:
        """Probes a host on behalf of a peer."""
        if len(self._relays) >= MAX_RELAYS:
            return []
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(
            peer, probe.sequence, now_s + RELAY_TTL_S
        )
        return [Send(probe.target, Probe(sequence))]

    def on_ack(self, ack: ProbeAck) -> list[Send]:
        """Takes an answer, for this host or for one that asked it to help."""
        if self._target and ack.sequence == self._target_sequence:
            self._target = _NO_TARGET
            return []
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [Send(relay.requester, ProbeAck(relay.sequence))]

    def abandon_probe(self, now_s: float) -> None:
        """Gives up the probe under way without blaming its target."""
        self._target = _NO_TARGET
        self._next_s = now_s + ROUND_S

    def _start_round(self, listed: tuple[str, ...], now_s: float) -> list[Send]:
        self._relays = {
            s: r for s, r in self._relays.items() if r.expires_s > now_s
        }
        self._next_s = now_s + ROUND_S
        self._target = self._next_target(listed)
        if not self._target:
            return []
        self._target_sequence = self._next_sequence()
        self._started_s = now_s
        self._has_asked_helpers = False
        return [Send(self._target, Probe(self._target_sequence))]

    def _next_target(self, listed: tuple[str, ...]) -> str:
        present = set(listed)
        while self._ring:
            host = self._ring.pop()
            if host in present:
                return host
        self._ring = list(listed)
        self._rng.shuffle(self._ring)
        return self._ring.pop() if self._ring else _NO_TARGET

    def _ask_helpers(self, alive: tuple[str, ...]) -> list[Send]:
        others = [h for h in alive if h != self._target]
        helpers = self._rng.sample(others, min(MAX_HELPERS, len(others)))
        message = IndirectProbe(self._target_sequence, self._target)
        return [Send(helper, message) for helper in helpers]

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
