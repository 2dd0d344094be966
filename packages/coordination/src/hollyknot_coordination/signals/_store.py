"""Stores the signals that a host observed itself or received by gossip.

Signals are advisory. While the host is partitioned from its peers, entries
grow older and expire after their time to live. The absence of pressures,
health signs or suspects then means "nothing known", never "all is well".
`silence_s` returns how long no peer was heard, so that a caller can rely on
its own host's evidence alone.
"""

import math
import random
from typing import TypeVar

import attrs

from hollyknot_coordination._peer_commands import ReportSignals
from hollyknot_coordination.signals._aged_table import AgedTable, AgedValue
from hollyknot_state import (
    Gossip,
    SignKind,
    SuspectRecord,
    TierPressure,
    UpstreamSign,
)

PRESSURE_TTL_S = 10.0
SIGN_TTL_S = 30.0
SUSPECT_TTL_S = 600.0

TRANSIT_S = 0.05
"""Added to an age on receipt, for the time of the transmission.

Without it a signal would grow younger at each hop.
"""

HEALTHY_MARGIN_S = 2.0
"""How much younger a healthy sign must be to replace an adverse one.

A message may wait in the socket of a paused process, where the ages in it
stand still. A healthy sign from before a loss then looks younger than the
loss, and requests would be sent to a lost upstream again. Two seconds
cover the pauses that are short enough for gossip to count as live. The
receiver adds longer pauses to the ages.
"""

MAX_PRESSURES = 256
MAX_SIGNS = 4_096
MAX_SUSPECTS = 1_024

MAX_MESSAGE_ENTRIES = 16
"""Maximum number of entries of all kinds in a message: about 600 bytes."""

SAMPLE_ENTRIES = 2

_MS = 1000

S = TypeVar("S", TierPressure, UpstreamSign, SuspectRecord)


class SignalStore:
    """Holds all signals that are known to one host."""

    def __init__(self, rng: random.Random, now_s: float) -> None:
        self._rng = rng
        self._last_gossip_s = now_s
        self._pressures: AgedTable[tuple[str, int], TierPressure] = AgedTable(
            PRESSURE_TTL_S, MAX_PRESSURES, lambda _old, _new: True
        )
        self._signs: AgedTable[str, UpstreamSign] = AgedTable(
            SIGN_TTL_S, MAX_SIGNS, lambda old, new: old.kind is new.kind
        )
        self._suspects: AgedTable[tuple[int, str], SuspectRecord] = AgedTable(
            SUSPECT_TTL_S,
            MAX_SUSPECTS,
            lambda old, new: old.companions == new.companions,
        )

    @property
    def has_updates(self) -> bool:
        """Whether signals wait to be sent to peers."""
        return (
            self._pressures.has_updates
            or self._signs.has_updates
            or self._suspects.has_updates
        )

    def silence_s(self, now_s: float) -> float:
        """Returns the seconds since gossip of any peer was received."""
        return now_s - self._last_gossip_s

    def pressures(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns the pressures with their current ages."""
        return tuple(
            _with_current_age(e, now_s) for e in self._pressures.entries(now_s)
        )

    def pressure_age_s(self, pool: str, tier: int, now_s: float) -> float:
        """Returns the seconds since a tier was short; infinite if unknown."""
        default = TierPressure(pool, tier, 0)
        entry = self._pressures.get((pool, tier), default, now_s)
        return now_s - entry.observed_s

    def signs(self, now_s: float) -> tuple[UpstreamSign, ...]:
        """Returns the health signs with their current ages."""
        return tuple(
            _with_current_age(e, now_s) for e in self._signs.entries(now_s)
        )

    def suspects(self, now_s: float) -> tuple[SuspectRecord, ...]:
        """Returns the suspect records with their current ages."""
        return tuple(
            _with_current_age(e, now_s) for e in self._suspects.entries(now_s)
        )

    def note_pressure(self, pressure: TierPressure, now_s: float) -> bool:
        """Merges a pressure; returns whether it is queued for gossip."""
        observed_s = now_s - pressure.age_ms / _MS
        entry = AgedValue(pressure, observed_s, observed_s)
        return self._pressures.merge(
            (pressure.pool, pressure.tier), entry, now_s
        )

    def note_sign(self, sign: UpstreamSign, now_s: float) -> bool:
        """Merges a health sign; returns whether it is queued for gossip."""
        observed_s = now_s - sign.age_ms / _MS
        margin_s = 0.0 if _is_healthy(sign) else HEALTHY_MARGIN_S
        rank_s = observed_s + margin_s
        entry = AgedValue(sign, observed_s, rank_s)
        return self._signs.merge(sign.upstream, entry, now_s)

    def note_suspect(self, record: SuspectRecord, now_s: float) -> bool:
        """Merges a suspect record; returns whether it is queued for gossip."""
        observed_s = now_s - record.age_ms / _MS
        entry = AgedValue(record, observed_s, observed_s)
        return self._suspects.merge(
            (record.fingerprint, record.upstream), entry, now_s
        )

    def on_gossip(
        self, gossip: Gossip, delay_s: float, now_s: float
    ) -> list[ReportSignals]:
        """Merges a peer's signals; returns those that were new here.

        Args:
            gossip: The received message.
            delay_s: Longest time in seconds for which the message may have
                waited unread in this process.
            now_s: Current time in monotonic seconds.
        """
        self._last_gossip_s = now_s
        transit_ms = math.ceil(TRANSIT_S * _MS)
        extra_ms = transit_ms + math.ceil(delay_s * _MS)
        report = ReportSignals(
            tuple(
                p
                for p in (
                    _with_added_age(p, extra_ms) for p in gossip.pressures
                )
                if self.note_pressure(p, now_s)
            ),
            tuple(
                s
                for s in (
                    # An adverse sign that is aged too much could lose to an
                    # earlier healthy one. Aged too little it only costs a
                    # probe.
                    _with_added_age(
                        s, extra_ms if _is_healthy(s) else transit_ms
                    )
                    for s in gossip.signs
                )
                if self.note_sign(s, now_s)
            ),
            tuple(
                r
                for r in (_with_added_age(r, extra_ms) for r in gossip.suspects)
                if self.note_suspect(r, now_s)
            ),
        )
        return [] if report == ReportSignals() else [report]

    def next_updates(self, hosts: int, now_s: float) -> ReportSignals:
        """Returns the signals for one message and counts their sending.

        If no health signs and no suspect records are queued, a random sample
        of both is sent, for hosts that missed them when new.

        Args:
            hosts: Number of hosts that the signals are to reach.
            now_s: Current time in monotonic seconds.
        """
        remaining = MAX_MESSAGE_ENTRIES
        signs = self._signs.next_updates(remaining, hosts, now_s)
        remaining -= len(signs)
        pressures = self._pressures.next_updates(remaining, hosts, now_s)
        remaining -= len(pressures)
        suspects = self._suspects.next_updates(remaining, hosts, now_s)
        if not signs and not suspects:
            signs = self._signs.sample(SAMPLE_ENTRIES, self._rng, now_s)
            suspects = self._suspects.sample(SAMPLE_ENTRIES, self._rng, now_s)
        return ReportSignals(
            tuple(_with_current_age(e, now_s) for e in pressures),
            tuple(_with_current_age(e, now_s) for e in signs),
            tuple(_with_current_age(e, now_s) for e in suspects),
        )


def _is_healthy(sign: UpstreamSign) -> bool:
    return sign.kind is SignKind.HEALTHY


def _with_added_age(signal: S, extra_ms: int) -> S:
    return attrs.evolve(signal, age_ms=signal.age_ms + extra_ms)


def _with_current_age(entry: AgedValue[S], now_s: float) -> S:
    age_ms = math.ceil((now_s - entry.observed_s) * _MS)
    return attrs.evolve(entry.value, age_ms=max(0, age_ms))
