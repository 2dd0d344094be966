"""Probes one peer in each round, directly and then through other peers."""

import random
from collections.abc import Callable

import attrs

from hollyknot_coordination._peer_commands import Send
from hollyknot_state import IndirectProbe, Probe, ProbeAck

ROUND_S = 1.0
"""Seconds between probes, and the time limit for the answer to each."""

DIRECT_TIMEOUT_S = 0.4
"""Seconds without an answer after which other peers are asked to probe.

This is far above a round trip within a data centre.
"""

MAX_HELPERS = 2
"""Maximum number of peers that are asked to probe for this host."""

RELAY_TTL_S = 2.0
"""Seconds for which the answer to a probe for another host is awaited."""

MAX_RELAYS = 256
"""Maximum number of probes for other hosts that are under way at once."""

_NO_TARGET = ""


@attrs.frozen
class _Relay:
    requester: str
    sequence: int
    expires_s: float


class Prober:
    """Probes peers in a shuffled order and relays probes for other hosts."""

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
        """Advances the round, or starts the next one when it is over.

        Args:
            listed: Peers to probe. Each is probed again within two passes over
                them at most. Dead peers are included, so that a host that
                returns is detected.
            alive: Peers that may be asked to probe for this host.
            suspect: Called with the peer that did not answer in the round.
            now_s: Current time in monotonic seconds.
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
        """Returns the answer that this host is alive."""
        return [Send(peer, ProbeAck(probe.sequence))]

    def on_indirect_probe(
        self, peer: str, probe: IndirectProbe, now_s: float
    ) -> list[Send]:
        """Probes a host on behalf of a peer; ignored above `MAX_RELAYS`."""
        if len(self._relays) >= MAX_RELAYS:
            return []
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(
            peer, probe.sequence, now_s + RELAY_TTL_S
        )
        return [Send(probe.target, Probe(sequence))]

    def on_ack(self, ack: ProbeAck) -> list[Send]:
        """Handles an answer; passes it on if the probe was made for a peer."""
        if self._target and ack.sequence == self._target_sequence:
            self._target = _NO_TARGET
            return []
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [Send(relay.requester, ProbeAck(relay.sequence))]

    def abandon_probe(self, now_s: float) -> None:
        """Abandons the probe under way without suspecting its target."""
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
