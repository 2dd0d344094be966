"""The soft signals that a host has seen itself or heard from its peers.

What a reader sees while the host is cut off: entries grow older and go after
their time to live. No pressure, no sign and no suspect then means "nothing
known", never "all is well"; `silence_s` tells how long no peer was heard, so
that a reader can go by its own host's evidence alone.
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
"""Added to an age on receipt, for the way. Ages thus never shrink by hops."""

HEALTHY_MARGIN_S = 2.0
"""A healthy sign must be younger by this than an adverse one to replace it.

A message may lie in a paused process's socket; the ages in it stand still, and
a healthy sign from before a loss then looks younger than the loss. One would
notice work sent to a lost upstream again. Two seconds cover the pauses between
which gossip still counts as live; longer ones are added by the receiver.
"""

MAX_PRESSURES = 256
MAX_SIGNS = 4_096
MAX_SUSPECTS = 1_024

MAX_MESSAGE_ENTRIES = 16
"""Entries of all kinds in one message; about 600 bytes at the most."""

SAMPLE_ENTRIES = 2

_MS = 1000

S = TypeVar("S", TierPressure, UpstreamSign, SuspectRecord)


class SignalStore:
    """All signals of one host."""

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
    def has_news(self) -> bool:
        """Whether signals wait to be told."""
        return (
            self._pressures.has_news
            or self._signs.has_news
            or self._suspects.has_news
        )

    def silence_s(self, now_s: float) -> float:
        """Returns the seconds since a peer's gossip came."""
        return now_s - self._last_gossip_s

    def pressures(self, now_s: float) -> tuple[TierPressure, ...]:
        """Returns the pressures with their ages at this moment."""
        return tuple(
            _with_current_age(e, now_s) for e in self._pressures.entries(now_s)
        )

    def pressure_age_s(self, pool: str, tier: int, now_s: float) -> float:
        """Returns how long ago a tier was short; infinite if unknown."""
        default = TierPressure(pool, tier, 0)
        entry = self._pressures.get((pool, tier), default, now_s)
        return now_s - entry.observed_s

    def signs(self, now_s: float) -> tuple[UpstreamSign, ...]:
        """Returns the signs with their ages at this moment."""
        return tuple(
            _with_current_age(e, now_s) for e in self._signs.entries(now_s)
        )

    def suspects(self, now_s: float) -> tuple[SuspectRecord, ...]:
        """Returns the suspect records with their ages at this moment."""
        return tuple(
            _with_current_age(e, now_s) for e in self._suspects.entries(now_s)
        )

    def note_pressure(self, pressure: TierPressure, now_s: float) -> bool:
        """Takes a pressure; tells whether it is news."""
        observed_s = now_s - pressure.age_ms / _MS
        entry = AgedValue(pressure, observed_s, observed_s)
        return self._pressures.merge(
            (pressure.pool, pressure.tier), entry, now_s
        )

    def note_sign(self, sign: UpstreamSign, now_s: float) -> bool:
        """Takes a sign; tells whether it is news."""
        observed_s = now_s - sign.age_ms / _MS
        margin_s = 0.0 if _is_healthy(sign) else HEALTHY_MARGIN_S
        rank_s = observed_s + margin_s
        entry = AgedValue(sign, observed_s, rank_s)
        return self._signs.merge(sign.upstream, entry, now_s)

    def note_suspect(self, record: SuspectRecord, now_s: float) -> bool:
        """Takes a suspect record; tells whether it is news."""
        observed_s = now_s - record.age_ms / _MS
        entry = AgedValue(record, observed_s, observed_s)
        return self._suspects.merge(
            (record.fingerprint, record.upstream), entry, now_s
        )

    def on_gossip(
        self, gossip: Gossip, delay_s: float, now_s: float
    ) -> list[ReportSignals]:
        """Takes a peer's signals.

        Args:
            gossip: The message.
            delay_s: How long it may have lain unread in this process.
            now_s: Monotonic seconds.
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
                    # An adverse sign made too old could lose to an earlier
                    # healthy one; made too young it costs a probe.
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
        """Returns what to tell in one message and counts it as told.

        Args:
            hosts: How many hosts are to hear of it.
            now_s: Monotonic seconds.
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
